#include "hemlockproxy/decisions/Distribution.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::decisions;
using namespace std::chrono_literals;
using model::ConfigVersion;
using model::kFirstLogEpoch;

namespace {

constexpr model::LogEpoch kRestored = kFirstLogEpoch.Next();

model::ConfigurationPtr Configuration(std::uint64_t aVersion)
{
  auto out = std::make_shared<model::Configuration>();
  out->version_ = ConfigVersion(aVersion);
  return out;
}

} // namespace

/// One daemon and a log that is restored from an older copy.
TEST_GROUP(LogEpoch)
{
  const model::DaemonId self_{ "10.0.0.1:7000" };
  const model::DaemonId peer_{ "10.0.0.2:7000" };
  std::optional<Distribution> distribution_;
  model::RandomSource random_{ 1 };
  model::TimePoint now_{ 1h };

  void setup() override
  {
    DistributionOptions options;
    options.id_ = self_;
    options.startLogDelay_ = 0ms;
    distribution_.emplace(*Distribution::Create(options));
    (void)All<SendNotice>(PeersChanged{ { { self_, peer_ }, {} } });
  }
  template <typename Action>
  std::vector<Action> All(const DistributionEvent& aEvent, model::Duration aPassed = 0ms)
  {
    now_ += aPassed;
    std::vector<Action> found;
    for (const auto& action : distribution_->Handle(aEvent, now_, random_)) {
      if (const auto* one = std::get_if<Action>(&action)) {
        found.push_back(*one);
      }
    }
    return found;
  }
  /// Lets the daemon read the log to its end in an epoch, with the newest version there.
  void ReadLog(model::LogEpoch aEpoch, std::uint64_t aVersion)
  {
    (void)All<SendNotice>(LogEpochSeen{ aEpoch });
    (void)All<SendNotice>(LogVersionAccepted{ Configuration(aVersion), nullptr });
    // The peer holds it, so that no acknowledgement is awaited.
    (void)All<SendNotice>(PeerVersionReported{ peer_, ConfigVersion(aVersion) });
    (void)All<SendNotice>(LogTailReached{ now_ });
  }
  [[nodiscard]] std::uint64_t Enforced() const
  {
    const auto& enforced = distribution_->Enforced();
    return enforced ? enforced->version_.Value() : 0;
  }
};

// Guards against members that never hear of a restore, since a few of a failure domain read the
// log.
TEST(LogEpoch, IsKnownFromTheReportsOfOthers)
{
  LONGS_EQUAL(1, All<LogEpochRaised>(LogEpochSeen{ kFirstLogEpoch }).size());
  const LogReport report{ peer_, ConfigVersion(1), 0ms, kRestored };
  const auto raised = All<LogEpochRaised>(LogReportReceived{ report });
  LONGS_EQUAL(1, raised.size());
  CHECK_TRUE(raised.front().epoch_ == kRestored);
  CHECK_TRUE(raised.front().previous_ == kFirstLogEpoch);
  // A response of before the restore may come late.
  CHECK_TRUE(All<LogEpochRaised>(LogEpochSeen{ kFirstLogEpoch }).empty());
  CHECK_TRUE(All<LogEpochRaised>(LogReportReceived{ report }).empty());
  CHECK_TRUE(distribution_->LogEpoch() == kRestored);
}

// Guards against a reader that keeps a restore for itself.
TEST(LogEpoch, IsReportedToOthers)
{
  (void)All<StartReading>(DistributionTick{});
  ReadLog(kRestored, 1);
  const auto reports = All<SendLogReport>(LogTailReached{ now_ += 2s });
  CHECK_FALSE(reports.empty());
  CHECK_TRUE(reports.front().report_.epoch_ == kRestored);
}

TEST_GROUP_BASE(LogEpochStart, TEST_GROUP_CppUTestGroupLogEpoch){};

// Guards against a restarted daemon that enforces the older version of a restored log, although its
// peers hold the newer one.
TEST(LogEpochStart, ARestoredLogDoesNotProveWhatTheNewestVersionIs)
{
  ReadLog(kRestored, 10);
  LONGS_EQUAL(0, Enforced());
  (void)All<BecomeReady>(VersionFloorRaised{ ConfigVersion(15) });
  (void)All<BecomeReady>(VersionFloorSettled{});
  LONGS_EQUAL(0, Enforced());
  CHECK_TRUE(All<BecomeReady>(PeerVersionReported{ peer_, ConfigVersion(15) }).empty());
  CHECK_FALSE(All<BecomeReady>(LogVersionAccepted{ Configuration(15), nullptr }).empty());
  LONGS_EQUAL(15, Enforced());
}

// Guards against a daemon that waits for ever for peers that are not there.
TEST(LogEpochStart, WaitsForTheFloorForALimitedTime)
{
  ReadLog(kRestored, 10);
  CHECK_TRUE(All<BecomeReady>(DistributionTick{}, 1900ms).empty());
  CHECK_FALSE(All<BecomeReady>(DistributionTick{}, 100ms).empty());
  LONGS_EQUAL(10, Enforced());
}

// Guards against a slower start where the log was never restored.
TEST(LogEpochStart, TheFirstEpochNeedsNoFloor)
{
  ReadLog(kFirstLogEpoch, 10);
  LONGS_EQUAL(10, Enforced());
}
