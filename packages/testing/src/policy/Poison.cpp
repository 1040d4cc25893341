#include "policy/Parts.h"

#include <ostream>
#include <vector>

namespace hemlockproxy::testing::policy {

using namespace decisions;
using model::RefusalReason;

namespace {

constexpr Duration kLength = 30s;
constexpr Duration kRestart = 3s;
constexpr Duration kCallerPause = 200ms;
constexpr double kLoad = 0.5;
constexpr Duration kExportTime = 4s;

struct Scenario
{
  const char* name_;
  Repeatable repeatable_;
  std::size_t poisons_;
  /// Callers whose innocent requests take kExportTime.
  std::size_t exports_;
};

constexpr Scenario kScenarios[] = { { "repeatable", Repeatable::Yes, 1, 0 },
                                    { "not_repeatable", Repeatable::No, 1, 0 },
                                    { "three_and_exports", Repeatable::Yes, 3, 20 } };

std::vector<Policy> Policies()
{
  Policy quarantine = DefaultPolicy();
  quarantine.quarantine_ = QuarantineOptions{};
  Policy count = DefaultPolicy();
  count.name_ = "count-only";
  count.quarantine_ =
    QuarantineOptions{ .exoneration_ = Exoneration::None, .conviction_ = Conviction::ByCount };
  Policy countAndClear = DefaultPolicy();
  countAndClear.name_ = "count-and-clear";
  countAndClear.quarantine_ = QuarantineOptions{ .conviction_ = Conviction::ByCount };
  Policy none = DefaultPolicy();
  none.name_ = "none";
  return { quarantine, count, countAndClear, none };
}

/// A caller that sends one request after the other with the same fingerprint until the end,
/// whatever the outcome.
struct RepeatingCaller
{
  World& world_;
  std::size_t entries_;
  std::uint64_t number_;
  bool poison_;
  Repeatable repeatable_;
  std::size_t sent_ = 0;
  std::optional<TimePoint> first_;
  std::optional<TimePoint> rejected_;
  std::size_t rejections_ = 0;

  void Send()
  {
    auto request = std::make_shared<Request>();
    request->entry_ = (number_ + sent_++) % entries_;
    request->arrived_ = world_.Now();
    request->deadline_ = world_.Now() + (poison_ ? 2s : 3 * kExportTime);
    request->serviceTime_ = kExportTime;
    request->repeatable_ = repeatable_;
    request->fingerprint_ = { { 1, number_ } };
    request->poison_ = poison_;
    request->onEnd_ = [this](RefusalReason aReason) {
      if (aReason == RefusalReason::Quarantined && !rejected_) {
        rejected_ = world_.Now();
      }
      rejections_ += aReason == RefusalReason::Quarantined ? 1 : 0;
      world_.After(kCallerPause, [this] { Send(); });
    };
    first_ = first_.value_or(world_.Now());
    world_.Arrive(request);
  }
};

void RunOne(const Deployment& aDeployment,
            const Policy& aPolicy,
            const Scenario& aScenario,
            std::uint64_t aSeed,
            std::ostream& aOutput)
{
  World world(aDeployment, aPolicy, aSeed, 1);
  world.onPoison_ = [&world](std::size_t aService, std::size_t aEndpoint) {
    world.Crash(aService, aEndpoint);
    world.After(kRestart,
                [&world, aService, aEndpoint] { world.At(aService, aEndpoint).down_ = false; });
  };
  std::deque<RepeatingCaller> callers;
  for (std::size_t number = 0; number < aScenario.poisons_ + aScenario.exports_; ++number) {
    const bool poison = number < aScenario.poisons_;
    callers.push_back({ world,
                        aDeployment.endpoints_,
                        number,
                        poison,
                        poison ? aScenario.repeatable_ : Repeatable::Yes });
    world.After(poison ? Duration(3s + number * 1s) : Duration(number * 50ms),
                [&caller = callers.back()] { caller.Send(); });
  }
  world.Offer(0, { .perSecond_ = kLoad * CapacityPerSecond(aDeployment) });
  world.Run(kLength);
  const Totals& totals = world.Of(0);
  const std::string name =
    std::string("poison.") + aDeployment.name_ + '.' + aScenario.name_ + '.' + aPolicy.name_ + '.';
  Figure(aOutput, name + "servers_taken_down", static_cast<double>(world.Crashes()), "1");
  const RepeatingCaller& first = callers.front();
  const Duration until = first.rejected_.value_or(world.Now()) - first.first_.value_or(TimePoint{});
  std::size_t innocent = totals.quarantined_;
  for (const RepeatingCaller& caller : callers) {
    innocent += caller.poison_ ? 0 : caller.rejections_;
  }
  Figure(aOutput,
         name + (first.rejected_ ? "until_rejected" : "never_rejected"),
         std::chrono::duration<double, std::milli>(until).count(),
         "ms");
  Figure(aOutput, name + "innocent_rejected", static_cast<double>(innocent), "1");
  Figure(aOutput, name + "innocent_failed", totals.FailedPercent(), "%");
  Figure(aOutput, name + "p99", totals.Percentile(0.99), "ms");
}

} // namespace

void RunPoison(std::uint64_t aSeed, std::ostream& aOutput)
{
  for (const Deployment& deployment : kDeployments) {
    for (const Scenario& scenario : kScenarios) {
      for (const Policy& policy : Policies()) {
        RunOne(deployment, policy, scenario, aSeed, aOutput);
      }
    }
  }
}

} // namespace hemlockproxy::testing::policy
