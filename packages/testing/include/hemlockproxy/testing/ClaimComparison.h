#pragma once

#include "hemlockproxy/testing/ClaimStrategies.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace hemlockproxy::testing {

/// What happens to a share of the runs, besides the faults of daemons and links.
enum class RequestFault : std::uint8_t
{
  None,
  OwnerBefore,
  OwnerDuring,
  OwnerAfter,
  ResponseLost,
  EntryKilled,
};

/// Faults of one comparison run.
struct ClaimScenario
{
  const char* name_;
  RequestFault request_ = RequestFault::None;
  /// Called at a third and at two thirds of the run.
  void (*begin_)(ClaimSimulator&) = [](ClaimSimulator&) {};
  void (*end_)(ClaimSimulator&) = [](ClaimSimulator&) {};
};

/// The load of one comparison run.
struct ClaimLoad
{
  int callersPerSecond_ = 100;
  std::chrono::seconds time_{ 20 };
  std::chrono::milliseconds appendTime_{ 2 };
};

struct ClaimFigures
{
  /// Runs of a key beyond its first.
  std::size_t runsAboveOne_ = 0;
  /// Attempts that were answered "not run" and ran.
  std::size_t falseNotRun_ = 0;
  /// Callers whose last attempt was truly not run while an earlier one with the same key ran.
  std::size_t notRunAfterRun_ = 0;
  /// Shares of callers by the outcome of their last attempt.
  double notRunPercent_ = 0;
  double unknownPercent_ = 0;
  /// From the arrival at the entry to the first forward.
  model::Duration claimP50_{};
  model::Duration claimP99_{};
  double appendsPerSecond_ = 0;
};

/// The scenarios; the first one has no faults.
[[nodiscard]] const std::vector<ClaimScenario>& ClaimScenarios();

/// Runs a scenario with a strategy of ClaimStrategyNames(). Equal arguments give equal figures.
[[nodiscard]] ClaimFigures CompareClaims(const std::string& aStrategy,
                                         const ClaimScenario& aScenario,
                                         const ClaimLoad& aLoad,
                                         std::uint64_t aSeed);

} // namespace hemlockproxy::testing
