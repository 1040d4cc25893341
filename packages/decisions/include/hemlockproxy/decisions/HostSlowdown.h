#pragma once

#include "hemlockproxy/model/Clock.h"

#include <optional>

namespace hemlockproxy::decisions {

/// Follows how long work takes on a backend server's host at present, as a multiple of the usual
/// time, by what its responses report.
///
/// Responds to hosts whose speed changes many times per second: an estimate made of past service
/// times follows such changes too late.
///
///     slowdown.Observe(now, reported);
///     expected = usual * slowdown.Factor(now);
class HostSlowdown
{
public:
  /// Takes in a report; the factor must be above 0.
  void Observe(model::TimePoint aNow, double aFactor) noexcept;
  /// Returns the present factor, 1 before the first report. The weight of the last report halves
  /// with each 200 ms of its age, in favour of the mean of the reports.
  [[nodiscard]] double Factor(model::TimePoint aNow) const noexcept;

private:
  std::optional<double> mean_;
  double last_ = 1;
  model::TimePoint reportedAt_{};
};

} // namespace hemlockproxy::decisions
