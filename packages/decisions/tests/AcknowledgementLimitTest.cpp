#include "hemlockproxy/decisions/Distribution.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::decisions;
using namespace std::chrono_literals;
using model::ConfigVersion;

namespace {

constexpr auto kApplyWithin = 2000ms;
constexpr auto kTick = 50ms;

} // namespace

/// A log reader whose only peer does not answer.
TEST_GROUP(AcknowledgementLimit)
{
  void setup() override
  {
    DistributionOptions options;
    options.id_ = model::DaemonId("10.0.0.1:7000");
    options.ApplyWithin(kApplyWithin);
    distribution_.emplace(*Distribution::Create(options));
    Handle(PeersChanged{ { { options.id_, model::DaemonId("10.0.0.2:7000") }, {} } });
    Handle(LogTailReached{ now_ });
  }
  void Handle(const DistributionEvent& aEvent)
  {
    (void)distribution_->Handle(aEvent, now_, random_);
  }
  void Accept(std::uint64_t aVersion)
  {
    auto configuration = std::make_shared<model::Configuration>();
    configuration->version_ = ConfigVersion(aVersion);
    Handle(LogVersionAccepted{ std::move(configuration), nullptr });
  }
  [[nodiscard]] std::uint64_t Enforced() const
  {
    return distribution_->Enforced() ? distribution_->Enforced()->version_.Value() : 0;
  }
  std::optional<Distribution> distribution_;
  model::RandomSource random_{ 1 };
  model::TimePoint now_{ 1h };
};

// Guards against versions in quick succession that start each other's wait for a peer anew.
TEST(AcknowledgementLimit, EachOfManyVersionsIsInForceInTime)
{
  constexpr auto kGap = 250ms;
  const auto started = now_;
  for (std::uint64_t version = 0; now_ < started + 10s; now_ += kTick) {
    if (now_ - started >= kGap * version) {
      Accept(++version);
    }
    Handle(DistributionTick{});
    const auto due = now_ - started - kApplyWithin;
    CHECK_TRUE(due < 0ms || Enforced() >= 1 + static_cast<std::uint64_t>(due / kGap));
  }
}

// Guards against a version that is enforced late where the log reader was replaced before.
TEST(AcknowledgementLimit, LeavesTimeForTheReplacementOfAReader)
{
  Accept(1);
  const auto started = now_;
  while (Enforced() == 0) {
    now_ += kTick;
    Handle(DistributionTick{});
    CHECK_TRUE(now_ - started < kApplyWithin / 3);
  }
}
