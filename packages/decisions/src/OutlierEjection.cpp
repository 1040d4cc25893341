#include "hemlockproxy/decisions/OutlierEjection.h"

#include <algorithm>
#include <cmath>

namespace hemlockproxy::decisions {

using model::DaemonId;
using model::Duration;
using model::TimePoint;

namespace {

constexpr double kLatencyWeight = 0.1;
constexpr std::uint32_t kMaximumDoublings = 16;

double Nanoseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::nano>(aDuration).count();
}

} // namespace

model::Result<OutlierEjection, OutlierEjectionError> OutlierEjection::Create(
  OutlierEjectionOptions aOptions)
{
  if (aOptions.maximumShare_ < 0 || aOptions.maximumShare_ > 1) {
    return OutlierEjectionError{ "maximum share: expected 0 to 1" };
  }
  if (aOptions.failureShare_ <= 0 || aOptions.failureShare_ > 1) {
    return OutlierEjectionError{ "failure share: expected more than 0 and at most 1" };
  }
  if (aOptions.baseEjection_.count() <= 0 || aOptions.halfLife_.count() <= 0) {
    return OutlierEjectionError{ "ejection time and half-life: expected more than 0" };
  }
  return OutlierEjection(aOptions);
}

void OutlierEjection::SetEndpoints(const std::vector<DaemonId>& aEndpoints)
{
  std::unordered_map<DaemonId, History> kept;
  for (const DaemonId& id : aEndpoints) {
    kept.emplace(id, histories_[id]);
  }
  histories_ = std::move(kept);
}

void OutlierEjection::Observe(TimePoint aNow,
                              const DaemonId& aEndpoint,
                              AttemptVerdict aVerdict,
                              std::optional<Duration> aLatency)
{
  const auto found = histories_.find(aEndpoint);
  const bool says = aVerdict == AttemptVerdict::Success || aVerdict == AttemptVerdict::Failure;
  if (found == histories_.end() || !says) {
    return;
  }
  History& history = found->second;
  Decay(aNow, history);
  Forgive(aNow, history);
  history.attempts_ += 1;
  if (aVerdict == AttemptVerdict::Success) {
    history.failuresInRow_ = 0;
    history.onProbation_ = false;
    if (aLatency) {
      const double latency = Nanoseconds(*aLatency);
      const double mean = history.latencyNs_.value_or(latency);
      history.latencyNs_ = mean + kLatencyWeight * (latency - mean);
      history.latencySamples_ += 1;
    }
  } else {
    history.failures_ += 1;
    ++history.failuresInRow_;
  }
  if (IsEjected(aNow, aEndpoint) || !IsOutlier(aEndpoint, history) || !MayEject(aNow)) {
    return;
  }
  ++history.ejections_;
  history.ejectedUntil_ = aNow + EjectionTime(history);
  history.onProbation_ = true;
  history.failuresInRow_ = 0;
  history.attempts_ = 0;
  history.failures_ = 0;
  history.latencyNs_.reset();
  history.latencySamples_ = 0;
}

void OutlierEjection::Decay(TimePoint aNow, History& aHistory) const
{
  const Duration elapsed = aNow - aHistory.decayed_.value_or(aNow);
  if (elapsed > Duration::zero()) {
    const double factor = std::exp2(-Nanoseconds(elapsed) / Nanoseconds(options_.halfLife_));
    aHistory.attempts_ *= factor;
    aHistory.failures_ *= factor;
  }
  aHistory.decayed_ = std::max(aNow, aHistory.decayed_.value_or(aNow));
}

void OutlierEjection::Forgive(TimePoint aNow, History& aHistory) const
{
  // One step of growth is taken back for each period as long as the last ejection.
  while (aHistory.ejections_ > 0 && aHistory.ejectedUntil_ &&
         aNow - *aHistory.ejectedUntil_ > EjectionTime(aHistory)) {
    *aHistory.ejectedUntil_ += EjectionTime(aHistory);
    --aHistory.ejections_;
  }
}

Duration OutlierEjection::EjectionTime(const History& aHistory) const
{
  const std::uint32_t doublings =
    std::min(kMaximumDoublings, std::max(1U, aHistory.ejections_) - 1);
  return std::min<Duration>(options_.maximumEjection_,
                            options_.baseEjection_ * (std::int64_t{ 1 } << doublings));
}

bool OutlierEjection::IsEjected(TimePoint aNow, const DaemonId& aEndpoint) const
{
  const auto found = histories_.find(aEndpoint);
  return found != histories_.end() && found->second.ejectedUntil_ &&
         aNow < *found->second.ejectedUntil_;
}

std::optional<TimePoint> OutlierEjection::EjectedUntil(const DaemonId& aEndpoint) const
{
  const auto found = histories_.find(aEndpoint);
  return found == histories_.end() ? std::nullopt : found->second.ejectedUntil_;
}

std::size_t OutlierEjection::EjectedCount(TimePoint aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(histories_.begin(), histories_.end(), [aNow](const auto& aEntry) {
      return aEntry.second.ejectedUntil_ && aNow < *aEntry.second.ejectedUntil_;
    }));
}

bool OutlierEjection::MayEject(TimePoint aNow) const
{
  const auto after = static_cast<double>(EjectedCount(aNow) + 1);
  return after <= options_.maximumShare_ * static_cast<double>(histories_.size());
}

bool OutlierEjection::IsOutlier(const DaemonId& aEndpoint, const History& aHistory) const
{
  const std::uint32_t allowed = aHistory.onProbation_ ? 1 : options_.consecutiveFailures_;
  if (aHistory.failuresInRow_ >= allowed || FailsTooOften(aEndpoint, aHistory)) {
    return true;
  }
  return aHistory.latencySamples_ >= options_.minimumAttempts_ &&
         RelativeLatency(aEndpoint) >= options_.latencyRatio_;
}

bool OutlierEjection::FailsTooOften(const DaemonId& aEndpoint, const History& aHistory) const
{
  if (aHistory.attempts_ < options_.minimumAttempts_) {
    return false;
  }
  double attempts = 0;
  double failures = 0;
  for (const auto& [id, history] : histories_) {
    if (id != aEndpoint) {
      attempts += history.attempts_;
      failures += history.failures_;
    }
  }
  const double share = aHistory.failures_ / aHistory.attempts_;
  const double othersShare = attempts > 0 ? failures / attempts : 0;
  return share >= options_.failureShare_ && share >= options_.failureRatio_ * othersShare;
}

double OutlierEjection::RelativeLatency(const DaemonId& aEndpoint) const
{
  const auto found = histories_.find(aEndpoint);
  if (found == histories_.end() || !found->second.latencyNs_) {
    return 1;
  }
  std::vector<double> others;
  for (const auto& [id, history] : histories_) {
    if (id != aEndpoint && history.latencyNs_) {
      others.push_back(*history.latencyNs_);
    }
  }
  // With one other endpoint it is unknown which of the two is unusual.
  if (others.size() < 2) {
    return 1;
  }
  const auto middle = others.begin() + static_cast<std::ptrdiff_t>(others.size() / 2);
  std::nth_element(others.begin(), middle, others.end());
  return *middle > 0 ? *found->second.latencyNs_ / *middle : 1;
}

} // namespace hemlockproxy::decisions
