#include "hemlockproxy/testing/ClaimComparison.h"

#include <algorithm>
#include <cstdio>
#include <docopt/docopt.h>

using namespace hemlockproxy;
using namespace std::chrono_literals;

namespace {

constexpr const char* kUsage =
  R"(Compares ways of holding claims over the same faults, in virtual time.

Usage: hemlock-claims-bench [--seed=N] [--seconds=N]

Options:
  --seed=N     Seed of all random choices [default: 20261204].
  --seconds=N  Virtual time of each run, at least 12 [default: 20].

Prints lines "figure STRATEGY.FAULT.NAME VALUE UNIT".
)";

double Milliseconds(model::Duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

void Print(const std::string& aPrefix, const char* aName, double aValue, const char* aUnit)
{
  std::printf("figure %s.%s %.2f %s\n", aPrefix.c_str(), aName, aValue, aUnit);
}

void PrintOutcomes(const std::string& aPrefix, const testing::ClaimFigures& aFigures)
{
  Print(aPrefix, "runs_above_one", static_cast<double>(aFigures.runsAboveOne_), "runs");
  Print(aPrefix, "false_not_run", static_cast<double>(aFigures.falseNotRun_), "attempts");
  Print(aPrefix, "not_run_after_run", static_cast<double>(aFigures.notRunAfterRun_), "callers");
  Print(aPrefix, "not_run", aFigures.notRunPercent_, "percent");
  Print(aPrefix, "unknown", aFigures.unknownPercent_, "percent");
}

} // namespace

int main(int aCount, char** aArguments)
{
  const auto options = docopt::docopt(kUsage, { aArguments + 1, aArguments + aCount });
  const auto seed = static_cast<std::uint64_t>(options.at("--seed").asLong());
  const std::chrono::seconds time(std::max(options.at("--seconds").asLong(), 12L));
  const auto& scenarios = testing::ClaimScenarios();
  for (const std::string& strategy : testing::ClaimStrategyNames()) {
    for (const testing::ClaimScenario& scenario : scenarios) {
      PrintOutcomes(strategy + "." + scenario.name_,
                    testing::CompareClaims(strategy, scenario, { 100, time, 2ms }, seed));
    }
    for (const auto append : { 2ms, 20ms }) {
      for (const int rate : { 10, 100, 400, 1000 }) {
        const auto figures =
          testing::CompareClaims(strategy, scenarios.front(), { rate, time, append }, seed);
        const std::string prefix = strategy + ".append_" + std::to_string(append.count()) +
                                   "ms.rate_" + std::to_string(rate);
        Print(prefix, "claim_p50", Milliseconds(figures.claimP50_), "ms");
        Print(prefix, "claim_p99", Milliseconds(figures.claimP99_), "ms");
        Print(prefix, "log_appends", figures.appendsPerSecond_, "per_second");
      }
    }
  }
  return 0;
}
