#include "MeshDriver.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::decisions;
using namespace hemlockproxy::decisions::tests;
using model::ConfigVersion;

namespace {

constexpr auto kApplyWithin = 2000ms;
constexpr std::uint64_t kSeeds = 20;

} // namespace

/// One failure domain with the waits of the platform.
TEST_BASE(LogTakeoverScenario)
{
  void Run(std::size_t aMembers, std::uint64_t aSeed)
  {
    MeshOptions options{ 1, aMembers, Profile::Fast, aSeed };
    options.adjust_ = [](MembershipOptions&, DistributionOptions& aDistribution) {
      aDistribution.ApplyWithin(kApplyWithin);
      aDistribution.startLogDelay_ = 0ms;
      aDistribution.logRetry_ = kApplyWithin / 2;
    };
    mesh_.emplace(std::move(options));
    (void)mesh_->Publish();
    mesh_->StartAll();
    mesh_->RunFor(60s);
    LONGS_EQUAL(mesh_->Size(), mesh_->CountEnforcing(ConfigVersion(1)));
  }
  std::vector<std::size_t> Readers()
  {
    std::vector<std::size_t> readers;
    for (std::size_t i = 0; i < mesh_->Size(); ++i) {
      if (mesh_->Up(i) && mesh_->At(i).reading_) {
        readers.push_back(i);
      }
    }
    return readers;
  }
  std::optional<Mesh> mesh_;
};

TEST_GROUP_BASE(LogTakeoverReaders, LogTakeoverScenario){};

// Guards against a domain that follows no new version while its log readers stand still.
TEST(LogTakeoverReaders, SilentReadersAreReplacedBeforeAVersionIsDue)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Run(5, seed);
    const auto readers = Readers();
    LONGS_EQUAL(2, readers.size());
    for (const std::size_t reader : readers) {
      mesh_->Pause(reader);
    }
    mesh_->RunFor(100ms);
    const ConfigVersion version = mesh_->Publish();
    mesh_->RunFor(kApplyWithin);
    LONGS_EQUAL(3, mesh_->CountEnforcing(version));
  }
}

// Guards against a domain without a log reader after both have vanished at once.
TEST(LogTakeoverReaders, VanishedReadersAreReplacedBeforeAVersionIsDue)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Run(4, seed);
    for (const std::size_t reader : Readers()) {
      mesh_->Kill(reader);
    }
    const ConfigVersion version = mesh_->Publish();
    mesh_->RunFor(kApplyWithin);
    LONGS_EQUAL(2, mesh_->CountEnforcing(version));
  }
}
