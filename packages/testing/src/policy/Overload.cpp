#include "policy/Parts.h"

#include <algorithm>
#include <ostream>
#include <vector>

namespace hemlockproxy::testing::policy {

using namespace decisions;
using model::LimitKind;

namespace {

constexpr Duration kLength = 8s;
constexpr double kLoads[] = { 0.5, 0.8, 1, 1.5, 2, 3 };
/// Requests that one entry can hold in the comparison of two services.
constexpr std::size_t kEntryCapacity = 150;

Policy WithOrder(const char* aName, const std::function<std::unique_ptr<QueueOrder>()>& aMake)
{
  Policy policy = DefaultPolicy();
  policy.name_ = aName;
  policy.admission_ = [aMake](std::uint32_t aSlots) {
    AdmissionOptions options{ .slots_ = aSlots };
    options.order_ = aMake();
    return options;
  };
  return policy;
}

Policy WithNeed(const char* aName, double aDeviations)
{
  Policy policy = DefaultPolicy();
  policy.name_ = aName;
  policy.admission_ = [aDeviations](std::uint32_t aSlots) {
    return AdmissionOptions{ .slots_ = aSlots, .needDeviations_ = aDeviations };
  };
  return policy;
}

/// Bounded queue, but no rejection by deadline.
Policy WithoutEstimate()
{
  Policy policy = DefaultPolicy();
  policy.name_ = "no-estimate";
  policy.admission_ = [](std::uint32_t aSlots) {
    AdmissionOptions options{ .slots_ = aSlots, .deadlineCheck_ = DeadlineCheck::None };
    options.order_ = MakeFifoOrder();
    return options;
  };
  return policy;
}

Policy WithUnlimitedRetries(const char* aName)
{
  Policy policy = DefaultPolicy();
  policy.name_ = aName;
  policy.retry_ = [] {
    RetryPolicyOptions options{ .rule_ = { .attempts_ = 3 } };
    options.budget_ = MakeUnlimitedBudget();
    return options;
  };
  return policy;
}

/// Unbounded first-come queue and unbudgeted retries.
Policy Baseline()
{
  Policy policy = DefaultPolicy();
  policy.name_ = "baseline";
  policy.withdraws_ = false;
  policy.retry_ = [] {
    RetryPolicyOptions options{ .rule_ = { .attempts_ = 3 } };
    options.latenciesPerAttempt_ = 0;
    options.budget_ = MakeUnlimitedBudget();
    return options;
  };
  policy.admission_ = [](std::uint32_t aSlots) {
    AdmissionOptions options{ .slots_ = aSlots,
                              .limits_ = { { LimitKind::QueuedRequests, 1'000'000'000 } },
                              .deadlineCheck_ = DeadlineCheck::None };
    options.order_ = MakeFifoOrder();
    return options;
  };
  return policy;
}

std::vector<Policy> Policies()
{
  Policy hedged = DefaultPolicy();
  hedged.name_ = "hedged";
  hedged.hedgeAfter_ = 110ms;
  return { DefaultPolicy(),
           WithOrder("fifo", MakeFifoOrder),
           WithOrder("lifo", MakeLifoOrder),
           WithOrder("deadline-250ms", [] { return MakeDeadlineOrder(250ms); }),
           WithOrder("deadline-unbounded", [] { return MakeDeadlineOrder(1h); }),
           WithNeed("need-0", 0),
           WithoutEstimate(),
           WithUnlimitedRetries("unlimited-retries"),
           hedged,
           Baseline() };
}

double Percent(std::uint64_t aPart, std::uint64_t aWhole)
{
  return aWhole == 0 ? 0 : 100.0 * static_cast<double>(aPart) / static_cast<double>(aWhole);
}

void RunLoads(const Deployment& aDeployment,
              const Policy& aPolicy,
              std::uint64_t aSeed,
              std::ostream& aOutput)
{
  const std::string prefix = std::string("overload.") + aDeployment.name_ + '.' + aPolicy.name_;
  double best = 0;
  double last = 0;
  double mostRetried = 0;
  for (const double load : kLoads) {
    World world(aDeployment, aPolicy, aSeed, 1);
    world.Offer(0, { .perSecond_ = load * CapacityPerSecond(aDeployment) });
    world.Run(kLength);
    const Totals& totals = world.Of(0);
    const auto unserved = totals.requests_ - totals.served_;
    const double seconds = std::chrono::duration<double>(kLength - World::kWarmUp).count();
    const std::string name = prefix + '.' + std::to_string(load).substr(0, 3) + "x.";
    last = static_cast<double>(totals.served_) / seconds;
    best = std::max(best, last);
    const double retried = Percent(totals.retriedRuns_, totals.runs_);
    mostRetried = std::max(mostRetried, retried);
    Figure(aOutput, name + "goodput", last, "1/s");
    Figure(aOutput, name + "p50", totals.Percentile(0.5), "ms");
    Figure(aOutput, name + "p99", totals.Percentile(0.99), "ms");
    Figure(aOutput, name + "rejected_at_once", Percent(totals.rejectedAtOnce_, unserved), "%");
    Figure(aOutput, name + "deadline_used_up", Percent(totals.usedUp_, unserved), "%");
    Figure(
      aOutput, name + "retries_per_request", Percent(totals.retries_, totals.requests_) / 100, "1");
    Figure(aOutput, name + "retried_runs", retried, "%");
  }
  Figure(aOutput, prefix + ".goodput_at_3x_of_best", 100 * last / best, "%");
  Figure(aOutput, prefix + ".most_retried_runs", mostRetried, "%");
}

/// Service 0 gets three times its capacity while service 1 gets half of its own.
void RunTwoServices(const Deployment& aDeployment, std::uint64_t aSeed, std::ostream& aOutput)
{
  for (const bool gated : { true, false }) {
    for (Policy policy : { DefaultPolicy(), Baseline() }) {
      policy.gate_ =
        EntryGateOptions{ .capacity_ = kEntryCapacity, .shareOfFree_ = gated ? 1.0 : 1e9 };
      World world(aDeployment, policy, aSeed, 2);
      world.Offer(0, { .perSecond_ = 3 * CapacityPerSecond(aDeployment) });
      world.Offer(1, { .perSecond_ = 0.5 * CapacityPerSecond(aDeployment) });
      world.Run(kLength);
      const std::string name = std::string("services.") + aDeployment.name_ + '.' + policy.name_ +
                               (gated ? ".shares." : ".one_pool.");
      Figure(aOutput, name + "other_service_failed", world.Of(1).FailedPercent(), "%");
      Figure(aOutput, name + "other_service_p99", world.Of(1).Percentile(0.99), "ms");
    }
  }
}

} // namespace

void RunOverload(std::uint64_t aSeed, std::ostream& aOutput)
{
  for (const Deployment& deployment : kDeployments) {
    for (const Policy& policy : Policies()) {
      RunLoads(deployment, policy, aSeed, aOutput);
    }
    RunTwoServices(deployment, aSeed, aOutput);
  }
}

} // namespace hemlockproxy::testing::policy
