#pragma once

#include "hemlockproxy/model/Clock.h"
#include "hemlockproxy/model/RequestOutcome.h"

#include <chrono>
#include <optional>

namespace hemlockproxy::decisions {

struct RetryTimeOptions
{
  /// The shortest time. A caller that comes back at once meets the same queue.
  std::chrono::milliseconds least_{ 50 };
  /// The longest time. A queue that is longer than this is an overload, whose end is not known.
  std::chrono::milliseconds most_{ 1000 };
  /// When nothing is known of a queue: no endpoint or no configuration. About the time after which
  /// a lost endpoint is noticed or a restarted daemon has read its configuration.
  std::chrono::milliseconds unknown_{ 300 };
};

/// Returns after what time the caller of a rejected request may come back: when the owner expected
/// a free slot, with a random share so that callers rejected together do not return together. The
/// load that it answers is a burst that ends, or an endpoint that is full while others are not.
[[nodiscard]] std::chrono::milliseconds RetryTime(const RetryTimeOptions& aOptions,
                                                  std::optional<model::Duration> aExpectedWait,
                                                  model::RandomSource& aRandom);

} // namespace hemlockproxy::decisions
