#pragma once

#include "hemlockproxy/model/Clock.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace hemlockproxy::decisions {

/// What an entry knows of the load of an endpoint.
struct EndpointLoad
{
  /// This entry's own requests in progress there, recently failed ones included.
  double own_ = 0;
  /// Work of other entries by the last report, less with the report's age.
  double others_ = 0;
  /// The last report as received.
  double reported_ = 0;
  /// Slots, fewer while the endpoint is cold.
  double slots_ = 1;
  /// Mean latency relative to the other endpoints, at least 1.
  double relativeLatency_ = 1;
};

/// Returns the work per slot once this request is added.
[[nodiscard]] double Occupancy(const EndpointLoad& aLoad) noexcept;

/// Turns the load of an endpoint into one figure by which endpoints are compared.
class LoadScore
{
public:
  virtual ~LoadScore() = default;
  [[nodiscard]] virtual double Score(const EndpointLoad& aLoad) const noexcept = 0;
};

/// Own work only.
[[nodiscard]] std::unique_ptr<LoadScore> MakeOwnWorkScore();
/// The last report only; a baseline.
[[nodiscard]] std::unique_ptr<LoadScore> MakeReportedScore();
/// Own work, and the work of others by the last report with a weight.
[[nodiscard]] std::unique_ptr<LoadScore> MakeWorkAndReportScore(double aOthersWeight);
/// The same, times the relative latency.
[[nodiscard]] std::unique_ptr<LoadScore> MakeLatencyAwareScore(double aOthersWeight);

/// Picks one of several scores.
class EndpointPicker
{
public:
  virtual ~EndpointPicker() = default;
  /// Returns an index into aScores, which is not empty.
  [[nodiscard]] virtual std::size_t Pick(const std::vector<double>& aScores,
                                         model::RandomSource& aRandom) = 0;
};

/// The lower of two scores taken at random.
[[nodiscard]] std::unique_ptr<EndpointPicker> MakeTwoChoices();
/// The lowest score; ties at random.
[[nodiscard]] std::unique_ptr<EndpointPicker> MakeLeastScore();
/// One after the other whatever the score; a baseline.
[[nodiscard]] std::unique_ptr<EndpointPicker> MakeRoundRobin();

} // namespace hemlockproxy::decisions
