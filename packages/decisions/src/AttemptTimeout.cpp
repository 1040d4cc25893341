#include "hemlockproxy/decisions/AttemptTimeout.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace hemlockproxy::decisions {

using model::Duration;

namespace {

constexpr double kBucketsPerDoubling = 4;
constexpr double kHighShare = 0.99;
/// The counts are halved at this total, so that the percentile follows a change of the service.
constexpr std::uint32_t kMaximumTotal = 1024;
constexpr std::uint32_t kWindow = 512;

Duration Scaled(Duration aDuration, double aFactor) noexcept
{
  return Duration(std::llround(static_cast<double>(aDuration.count()) * aFactor));
}

} // namespace

model::Result<AttemptTimeout, AttemptTimeoutError> AttemptTimeout::Create(
  AttemptTimeoutOptions aOptions)
{
  if (!(aOptions.latencyFactor_ >= 1)) {
    return AttemptTimeoutError{ "latency factor: expected at least 1" };
  }
  if (!(aOptions.unknownShare_ > 0 && aOptions.unknownShare_ <= 0.5)) {
    return AttemptTimeoutError{ "share for unknown latencies: expected more than 0, at most 0.5" };
  }
  return AttemptTimeout(aOptions);
}

Duration AttemptTimeout::AttemptTime(Duration aLeft) const noexcept
{
  if (aLeft <= Duration{} || lost_) {
    return std::max(aLeft, Duration{});
  }
  const bool known = total_ >= options_.minimumObservations_;
  const Duration time = std::max<Duration>(options_.minimum_,
                                           known ? Scaled(HighLatency(), options_.latencyFactor_)
                                                 : Scaled(aLeft, options_.unknownShare_));
  const Duration rest = aLeft - time;
  return rest < aLeft / 2 || rest < Slowest() ? aLeft : time;
}

void AttemptTimeout::Observe(Duration aLatency) noexcept
{
  const double ms = std::chrono::duration<double, std::milli>(aLatency).count();
  const double bucket = std::ceil(kBucketsPerDoubling * std::log2(std::max(1.0, ms)));
  ++counts_[static_cast<std::size_t>(std::min<double>(bucket, kBuckets - 1))];
  if (++total_ >= kMaximumTotal) {
    for (std::uint32_t& count : counts_) {
      count /= 2;
    }
    total_ = std::accumulate(counts_.begin(), counts_.end(), std::uint32_t{ 0 });
  }
  if (++inWindow_ >= kWindow) {
    slowestBefore_ = std::exchange(slowestInWindow_, Duration{});
    inWindow_ = 0;
  }
  slowestInWindow_ = std::max(slowestInWindow_, aLatency);
  lost_ = false;
}

Duration AttemptTimeout::HighLatency() const noexcept
{
  const double wanted = kHighShare * total_;
  std::uint32_t seen = 0;
  for (std::size_t i = 0; total_ > 0 && i < kBuckets; ++i) {
    seen += counts_[i];
    if (seen >= wanted) {
      const double ms = std::exp2(static_cast<double>(i) / kBucketsPerDoubling);
      return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
    }
  }
  return Duration{};
}

Duration AttemptTimeout::Slowest() const noexcept
{
  return std::max(slowestInWindow_, slowestBefore_);
}

} // namespace hemlockproxy::decisions
