#include "hemlockproxy/decisions/HostSlowdown.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace hemlockproxy::decisions {

namespace {

/// The figure changes many times per second, so that a report says little after a few of these.
constexpr std::chrono::milliseconds kReportHalfLife{ 200 };
/// The weight of a report in the mean: a busy endpoint sends 50 responses per second, so that the
/// mean covers about two seconds.
constexpr double kMeanWeight = 0.01;

} // namespace

void HostSlowdown::Observe(model::TimePoint aNow, double aFactor) noexcept
{
  const double mean = mean_.value_or(aFactor);
  mean_ = mean + kMeanWeight * (aFactor - mean);
  last_ = aFactor;
  reportedAt_ = aNow;
}

double HostSlowdown::Factor(model::TimePoint aNow) const noexcept
{
  if (!mean_) {
    return 1;
  }
  const std::chrono::duration<double> age = std::max(model::Duration{}, aNow - reportedAt_);
  const double weight = std::exp2(-age / std::chrono::duration<double>(kReportHalfLife));
  return *mean_ + weight * (last_ - *mean_);
}

} // namespace hemlockproxy::decisions
