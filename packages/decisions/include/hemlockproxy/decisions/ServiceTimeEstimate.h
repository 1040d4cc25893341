#pragma once

#include "hemlockproxy/model/Clock.h"

#include <cstdint>
#include <optional>

namespace hemlockproxy::decisions {

/// Moving mean and mean deviation of service times.
class ServiceTimeEstimate
{
public:
  /// Takes in the service time of a completed request.
  void Observe(model::Duration aServiceTime) noexcept;
  /// Takes in a request that was aborted after this time; it can only raise the mean.
  void ObserveAtLeast(model::Duration aServiceTime) noexcept;

  /// Returns the mean, or 0 before the first observation.
  [[nodiscard]] model::Duration Mean() const noexcept;
  /// Returns the mean plus so many mean deviations, at least 0.
  [[nodiscard]] model::Duration MeanPlus(double aDeviations) const noexcept;
  /// Returns the same, less the longer the last observation was ago: an estimate that rejects
  /// everything of its kind gets no new observations, and must not do so for ever.
  [[nodiscard]] model::Duration FreshMeanPlus(model::TimePoint aNow,
                                              double aDeviations) const noexcept;
  /// Returns how many observations were made.
  [[nodiscard]] std::uint64_t Observations() const noexcept { return observations_; }
  /// Notes when an observation was made, for FreshMeanPlus.
  void ObservedAt(model::TimePoint aNow) noexcept { observedAt_ = aNow; }

private:
  std::optional<double> meanNs_;
  double deviationNs_ = 0;
  std::uint64_t observations_ = 0;
  std::optional<model::TimePoint> observedAt_;
};

} // namespace hemlockproxy::decisions
