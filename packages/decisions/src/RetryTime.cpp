#include "hemlockproxy/decisions/RetryTime.h"

#include <algorithm>
#include <random>

namespace hemlockproxy::decisions {

std::chrono::milliseconds RetryTime(const RetryTimeOptions& aOptions,
                                    std::optional<model::Duration> aExpectedWait,
                                    model::RandomSource& aRandom)
{
  // From once to twice the time: coming too early is a second rejection, coming late only a wait.
  std::uniform_real_distribution<double> factor(1, 2);
  const auto base = aExpectedWait ? std::chrono::ceil<std::chrono::milliseconds>(*aExpectedWait)
                                  : aOptions.unknown_;
  const auto bounded = std::clamp(base, aOptions.least_, aOptions.most_);
  return std::min(aOptions.most_,
                  std::chrono::duration_cast<std::chrono::milliseconds>(bounded * factor(aRandom)));
}

} // namespace hemlockproxy::decisions
