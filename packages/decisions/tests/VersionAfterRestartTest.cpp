#include "MeshDriver.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::decisions;
using namespace hemlockproxy::decisions::tests;
using model::ConfigVersion;

/// Two daemons per failure domain on links that lose 30% of the datagrams. The steps are those to
/// which DistributionFuzz reduced its failure with seed 277209091514096.
TEST_BASE(VersionAfterRestartScenario)
{
  VersionAfterRestartScenario()
    : mesh_({ 3,
              2,
              Profile::Frugal,
              kSeed,
              [](MembershipOptions& aMembership, auto&) {
                aMembership.digestInterval_ = 1s;
                aMembership.repairInterval_ = 5s;
                aMembership.reconnectInterval_ = 5s;
                aMembership.domainTimeout_ = 5s;
              } })
    , highest_(mesh_.Size())
  {
    mesh_.onEnforce_ = [this](std::size_t aNode, const EnforceVersion& aAction) {
      const ConfigVersion version = aAction.configuration_->version_;
      reverted_ = reverted_ || version < highest_[aNode];
      highest_[aNode] = std::max(highest_[aNode], version);
    };
  }
  void Restart(std::size_t aNode)
  {
    mesh_.Kill(aNode);
    mesh_.RunFor(1s);
    mesh_.Start(aNode);
  }
  /// Publishes, takes the log down when the first node enforces the version, and restarts it.
  void RestartFirst()
  {
    mesh_.logAvailable_ = true;
    const ConfigVersion version = mesh_.Publish();
    for (int step = 0; step < 1000; ++step) {
      mesh_.RunFor(5ms);
      for (std::size_t i = 0; i < mesh_.Size(); ++i) {
        if (mesh_.Up(i) && !mesh_.At(i).paused_ && mesh_.Enforced(i) == version) {
          mesh_.logAvailable_ = false;
          Restart(i);
          return;
        }
      }
    }
    FAIL("no node enforces the version");
  }

  static constexpr std::uint64_t kSeed = 576053784538374617;
  Mesh mesh_;
  std::vector<ConfigVersion> highest_;
  bool reverted_ = false;
};

TEST_GROUP_BASE(VersionAfterRestart, VersionAfterRestartScenario){};

// Guards against a version that no peer holds yet and that is enforced at once since an earlier
// version had waited for the start rule: after a restart without the log the daemon would enforce
// what its peers hold, which is older.
TEST(VersionAfterRestart, IsNotOlderThanThatOfTheFormerProcess)
{
  mesh_.StartAll();
  mesh_.Kill(0);
  mesh_.Pause(5);
  mesh_.Pause(2);
  mesh_.RunFor(66ms);
  mesh_.lossPercent_ = 30;
  mesh_.delayInside_ = 1200us;
  mesh_.logAvailable_ = false;
  mesh_.Kill(3);
  mesh_.RunFor(1s);
  mesh_.Start(0);
  RestartFirst();
  mesh_.RunFor(200ms);
  RestartFirst();
  mesh_.logAvailable_ = true;
  (void)mesh_.Publish();
  mesh_.RunFor(17ms);
  mesh_.logAvailable_ = false;
  mesh_.RunFor(6s);
  RestartFirst();
  mesh_.RunFor(4500ms);
  CHECK_FALSE(reverted_);
}
