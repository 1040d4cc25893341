#include "hemlockproxy/decisions/TokenBucket.h"

#include <algorithm>
#include <chrono>

namespace hemlockproxy::decisions {

TokenBucket::TokenBucket(double aPerSecond, double aBurst) noexcept
  : perSecond_(aPerSecond)
  , burst_(aBurst)
  , tokens_(aBurst)
{
}

bool TokenBucket::Take(model::TimePoint aNow) noexcept
{
  if (filled_ && aNow > *filled_) {
    const std::chrono::duration<double> elapsed = aNow - *filled_;
    tokens_ = std::min(burst_, tokens_ + elapsed.count() * perSecond_);
  }
  filled_ = std::max(aNow, filled_.value_or(aNow));
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

model::Duration TokenBucket::TimeUntil(model::TimePoint aNow, double aTokens) const noexcept
{
  const std::chrono::duration<double> elapsed = aNow - filled_.value_or(aNow);
  const double now = std::min(burst_, tokens_ + std::max(0.0, elapsed.count()) * perSecond_);
  const std::chrono::duration<double> missing(std::max(0.0, aTokens - now) / perSecond_);
  return std::chrono::ceil<model::Duration>(missing);
}

void TokenBucket::Change(double aPerSecond, double aBurst) noexcept
{
  perSecond_ = aPerSecond;
  burst_ = aBurst;
  tokens_ = std::min(tokens_, burst_);
}

} // namespace hemlockproxy::decisions
