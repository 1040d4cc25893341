#include "hemlockproxy/decisions/ServiceTimeEstimate.h"

#include <algorithm>
#include <cmath>

namespace hemlockproxy::decisions {

namespace {

// The weight of a new observation; the estimate follows a change within about 20 requests, which
// one endpoint completes in a fraction of a second under load.
constexpr double kWeight = 0.1;

// An estimate is believed for a second without observations and counts half for each further one.
constexpr std::chrono::seconds kFreshFor{ 1 };
constexpr std::chrono::seconds kHalfLife{ 1 };

model::Duration FromNanoseconds(double aNs) noexcept
{
  return std::chrono::duration_cast<model::Duration>(
    std::chrono::duration<double, std::nano>(std::max(0.0, aNs)));
}

double ToNanoseconds(model::Duration aDuration) noexcept
{
  return std::chrono::duration<double, std::nano>(aDuration).count();
}

} // namespace

void ServiceTimeEstimate::Observe(model::Duration aServiceTime) noexcept
{
  ++observations_;
  const double ns = ToNanoseconds(aServiceTime);
  if (!meanNs_) {
    meanNs_ = ns;
    return;
  }
  const double difference = ns - *meanNs_;
  *meanNs_ += kWeight * difference;
  deviationNs_ += kWeight * (std::abs(difference) - deviationNs_);
}

void ServiceTimeEstimate::ObserveAtLeast(model::Duration aServiceTime) noexcept
{
  if (aServiceTime > Mean()) {
    Observe(aServiceTime);
  }
}

model::Duration ServiceTimeEstimate::Mean() const noexcept
{
  return FromNanoseconds(meanNs_.value_or(0));
}

model::Duration ServiceTimeEstimate::MeanPlus(double aDeviations) const noexcept
{
  return FromNanoseconds(meanNs_.value_or(0) + aDeviations * deviationNs_);
}

model::Duration ServiceTimeEstimate::FreshMeanPlus(model::TimePoint aNow,
                                                   double aDeviations) const noexcept
{
  const model::Duration age = observedAt_ ? aNow - *observedAt_ : model::Duration{};
  if (age <= kFreshFor) {
    return MeanPlus(aDeviations);
  }
  const double halvings = ToNanoseconds(age - kFreshFor) / ToNanoseconds(kHalfLife);
  return FromNanoseconds(ToNanoseconds(MeanPlus(aDeviations)) * std::exp2(-halvings));
}

} // namespace hemlockproxy::decisions
