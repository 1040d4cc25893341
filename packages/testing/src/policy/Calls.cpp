#include "policy/CallWorld.h"
#include "policy/Parts.h"

#include <algorithm>
#include <ostream>
#include <vector>

namespace hemlockproxy::testing::policy {

using namespace decisions;

namespace {

constexpr Duration kLength = 12s;
constexpr double kOffered[] = { 2000, 2400, 3000, 3600, 4200 };
/// How much waiting in the own failure domain is preferred to the link, as deployed.
constexpr double kLinkFactor = 4;

/// The figures of deployment 1 (docs/requirements-2026-12.md). A daemon there uses 0.01 of a core
/// at 14 requests per second, about 0.1 ms for each message, and may use a tenth of a core.
CallDeployment DeploymentOne()
{
  return { .name_ = "deployment-1",
           .endpoints_ = { 64, 13 },
           .slots_ = 5,
           .domains_ = 3,
           .oneWayDelay_ = 3500us,
           .messageTime_ = 1ms,
           .kinds_ = { { "lookup", 90ms, 400ms, 1500ms, 1, true, 1294, 0.7 },
                       { "unsafe", 120ms, 500ms, 2000ms, 1, false, 533, 0 },
                       { "download", 72ms, 1200ms, 2500ms, 2, true, 173, 0 } },
           .call_ = { "call", 22ms, 120ms, 250ms, 1, true, 0, 0 } };
}

EndpointChooserOptions ChooserOptions()
{
  EndpointChooserOptions options;
  options.defaultLink_.factor_ = kLinkFactor;
  return options;
}

std::vector<CallPolicy> Policies()
{
  return { { "policy", ChooserOptions, [] { return RetryPolicyOptions{}; } } };
}

double Median(std::vector<double> aValues)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto middle = aValues.begin() + static_cast<std::ptrdiff_t>(aValues.size() / 2);
  std::nth_element(aValues.begin(), middle, aValues.end());
  return *middle;
}

void RunPolicy(const CallDeployment& aDeployment,
               const CallPolicy& aPolicy,
               std::uint64_t aSeed,
               std::ostream& aOutput)
{
  const double seconds = std::chrono::duration<double>(kLength - CallWorld::kWarmUp).count();
  const std::string prefix = std::string("calls.") + aDeployment.name_ + '.' + aPolicy.name_ + '.';
  double best = 0;
  double last = 0;
  for (const double offered : kOffered) {
    CallWorld world(aDeployment, aPolicy, aSeed);
    world.Run(offered, kLength);
    const CallTotals& totals = world.Totals();
    const std::string name = prefix + std::to_string(static_cast<int>(offered)) + '.';
    const auto perSecond = [&](std::uint64_t aCount) {
      return static_cast<double>(aCount) / seconds;
    };
    last = perSecond(totals.inTarget_);
    best = std::max(best, last);
    Figure(aOutput, name + "in_target", last, "1/s");
    Figure(aOutput, name + "in_deadline", perSecond(totals.served_), "1/s");
    Figure(aOutput, name + "runs", perSecond(totals.runs_), "1/s");
    Figure(aOutput, name + "failed_by_call", perSecond(totals.failedByCall_), "1/s");
    Figure(aOutput, name + "calls", perSecond(totals.calls_), "1/s");
    Figure(aOutput, name + "busiest_called", totals.BusiestOfMean(), "x");
    Figure(aOutput, name + "attempts", perSecond(totals.attempts_), "1/s");
    Figure(aOutput, name + "refusals", perSecond(totals.refusals_), "1/s");
    Figure(aOutput, name + "across_domains", perSecond(totals.acrossDomains_), "1/s");
    Figure(aOutput, name + "unserved_after_p50", Median(totals.refusedAfterMs_), "ms");
  }
  Figure(aOutput, prefix + "in_target_at_most_of_best", 100 * last / best, "%");
}

} // namespace

void RunCalls(std::uint64_t aSeed, std::ostream& aOutput)
{
  const CallDeployment deployment = DeploymentOne();
  for (const CallPolicy& policy : Policies()) {
    RunPolicy(deployment, policy, aSeed, aOutput);
  }
}

} // namespace hemlockproxy::testing::policy
