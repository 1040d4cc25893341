#include "policy/Parts.h"

#include <ostream>
#include <vector>

namespace hemlockproxy::testing::policy {

using namespace decisions;

namespace {

constexpr Duration kLength = 12s;
constexpr double kLoad = 0.7;

struct Scenario
{
  const char* name_;
  /// Changes the world before arrivals start, or plans changes.
  std::function<void(World&, const Deployment&)> apply_;
  double firstDomainFactor_ = 1;
  /// The factor of LinkCost.
  double linkFactor_ = 1;
};

void LoseDomain(World& aWorld, const Deployment& aDeployment)
{
  for (std::size_t index = 0; index < aDeployment.endpoints_; ++index) {
    if (aWorld.DomainOf(index) == 1) {
      aWorld.At(0, index).daemonDown_ = true;
      aWorld.Crash(0, index);
    }
  }
  aWorld.After(3s, [&aWorld] { aWorld.PublishMembers(); });
}

void ColdStart(World& aWorld, const Deployment& /*aDeployment*/)
{
  aWorld.At(0, 0).down_ = true;
  aWorld.PublishMembers();
  aWorld.After(3s, [&aWorld] {
    aWorld.At(0, 0).down_ = false;
    aWorld.At(0, 0).coldSince_ = aWorld.Now();
    aWorld.PublishMembers();
  });
}

std::vector<Scenario> Scenarios()
{
  const auto nothing = [](World&, const Deployment&) {};
  return {
    { "normal", nothing },
    { "reports_lag_3s", [](World& aWorld, const Deployment&) { aWorld.reportLag_ = 3s; } },
    { "reports_lag_3s_unstated",
      [](World& aWorld, const Deployment&) {
        aWorld.reportLag_ = 3s;
        aWorld.statesAge_ = false;
      } },
    { "broken_says_idle",
      [](World& aWorld, const Deployment&) {
        aWorld.At(0, 0).failsFast_ = true;
        aWorld.At(0, 0).saysIdle_ = true;
      } },
    { "busy_says_idle",
      [](World& aWorld, const Deployment&) {
        aWorld.At(0, 0).slowness_ = 3;
        aWorld.At(0, 0).saysIdle_ = true;
      } },
    { "cold_start", ColdStart },
    { "one_slow", [](World& aWorld, const Deployment&) { aWorld.At(0, 0).slowness_ = 6; } },
    { "domain_lost",
      [](World& aWorld, const Deployment& aDeployment) {
        aWorld.After(4s, [&aWorld, aDeployment] { LoseDomain(aWorld, aDeployment); });
      } },
    { "uneven_callers", nothing, 2 },
    { "uneven_callers_costly_link", nothing, 2, 10 },
  };
}

Policy WithChooser(const char* aName,
                   const std::function<std::unique_ptr<LoadScore>()>& aScore,
                   std::unique_ptr<EndpointPicker> (*aPicker)())
{
  Policy policy = DefaultPolicy();
  policy.name_ = aName;
  policy.chooser_ = [aScore, aPicker] {
    EndpointChooserOptions options;
    options.score_ = aScore();
    options.picker_ = aPicker();
    return options;
  };
  return policy;
}

/// No domains, ejection, slow start or memory of failures.
Policy Plain(const char* aName,
             std::unique_ptr<LoadScore> (*aScore)(),
             std::unique_ptr<EndpointPicker> (*aPicker)())
{
  Policy policy = DefaultPolicy();
  policy.name_ = aName;
  policy.chooser_ = [aScore, aPicker] {
    EndpointChooserOptions options;
    options.score_ = aScore();
    options.picker_ = aPicker();
    options.domainRule_ = DomainRule::Ignore;
    options.ejection_.reset();
    options.warmUp_ = 0ms;
    options.failureHold_ = 0ms;
    options.refusalHold_ = 0ms;
    return options;
  };
  return policy;
}

std::vector<Policy> Policies()
{
  Policy noEjection = DefaultPolicy();
  noEjection.name_ = "no-ejection";
  noEjection.chooser_ = [] {
    EndpointChooserOptions options;
    options.ejection_.reset();
    return options;
  };
  Policy hedged = DefaultPolicy();
  hedged.name_ = "hedged";
  hedged.hedgeAfter_ = 110ms;
  return { DefaultPolicy(),
           WithChooser("two-own", MakeOwnWorkScore, MakeTwoChoices),
           WithChooser(
             "two-report", [] { return MakeWorkAndReportScore(1); }, MakeTwoChoices),
           WithChooser(
             "others-0", [] { return MakeLatencyAwareScore(0); }, MakeTwoChoices),
           WithChooser(
             "others-1", [] { return MakeLatencyAwareScore(1); }, MakeTwoChoices),
           WithChooser(
             "least", [] { return MakeLatencyAwareScore(1); }, MakeLeastScore),
           noEjection,
           hedged,
           Plain("round-robin", MakeOwnWorkScore, MakeRoundRobin),
           Plain("least-reported", MakeReportedScore, MakeLeastScore) };
}

void RunScenario(const Deployment& aDeployment,
                 const Scenario& aScenario,
                 Policy aPolicy,
                 std::uint64_t aSeed,
                 std::ostream& aOutput)
{
  aPolicy.chooser_ = [make = aPolicy.chooser_, factor = aScenario.linkFactor_] {
    EndpointChooserOptions options = make();
    options.defaultLink_.factor_ = factor;
    return options;
  };
  World world(aDeployment, aPolicy, aSeed, 1);
  aScenario.apply_(world, aDeployment);
  world.Offer(0, { kLoad * CapacityPerSecond(aDeployment), aScenario.firstDomainFactor_ });
  world.Run(kLength);
  const Totals& totals = world.Of(0);
  const std::string name =
    std::string("choice.") + aDeployment.name_ + '.' + aScenario.name_ + '.' + aPolicy.name_ + '.';
  Figure(aOutput, name + "failed", totals.FailedPercent(), "%");
  Figure(aOutput, name + "p99", totals.Percentile(0.99), "ms");
  Figure(aOutput,
         name + "across_domains",
         static_cast<double>(totals.bytesAcross_) / 1024 / static_cast<double>(totals.requests_),
         "KiB/request");
}

} // namespace

void RunChoice(std::uint64_t aSeed, std::ostream& aOutput)
{
  for (const Deployment& deployment : kDeployments) {
    for (const Scenario& scenario : Scenarios()) {
      for (const Policy& policy : Policies()) {
        RunScenario(deployment, scenario, policy, aSeed, aOutput);
      }
    }
  }
}

} // namespace hemlockproxy::testing::policy
