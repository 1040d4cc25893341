#pragma once

#include "hemlockproxy/model/Clock.h"
#include "hemlockproxy/model/Result.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace hemlockproxy::decisions {

struct AttemptTimeoutOptions
{
  /// Observations before the latencies count as known.
  std::uint32_t minimumObservations_ = 20;
  /// The timeout as a multiple of the 99th percentile. Queues under load multiply latencies, and a
  /// timeout below them would add retries to an overload.
  double latencyFactor_ = 4;
  /// The shortest timeout. A pause of a process or a lost segment on a link lasts some hundred
  /// milliseconds, and the wait is worth it.
  std::chrono::milliseconds minimum_{ 1000 };
  /// The share of the time left that an attempt gets while the latencies are unknown.
  double unknownShare_ = 0.25;
};

struct AttemptTimeoutError
{
  std::string message_;
};

/// Learns how long an attempt of a repeatable request on one route may take to its response header
/// before the request is better sent to another endpoint.
///
///     const Duration time = timeout.AttemptTime(deadline - now);
///     ...
///     timeout.Observe(latency);
class AttemptTimeout
{
public:
  /// Fails on a factor below 1 and on a share outside (0, 0.5].
  [[nodiscard]] static model::Result<AttemptTimeout, AttemptTimeoutError> Create(
    AttemptTimeoutOptions aOptions);

  /// Returns the time for an attempt when aLeft remains until the deadline. It is all of aLeft when
  /// a second attempt could not hold the slowest response seen lately, or less than half of aLeft
  /// would remain for it.
  [[nodiscard]] model::Duration AttemptTime(model::Duration aLeft) const noexcept;

  /// Takes in the time from the start of an attempt to its response header.
  void Observe(model::Duration aLatency) noexcept;
  /// Takes in that a request failed although an earlier attempt of it was given up. The request may
  /// need longer than the second attempt had, so that attempts get the whole time until the next
  /// observation.
  void ObserveLoss() noexcept { lost_ = true; }

  /// Returns an upper bound of the 99th percentile, at most 19% above it; 0 before the first
  /// observation.
  [[nodiscard]] model::Duration HighLatency() const noexcept;
  /// Returns the slowest of the last 512 to 1023 observations.
  [[nodiscard]] model::Duration Slowest() const noexcept;

private:
  /// Four buckets for each doubling, from 1 ms to 65 s.
  static constexpr std::size_t kBuckets = 65;

  explicit AttemptTimeout(const AttemptTimeoutOptions& aOptions) noexcept
    : options_(aOptions)
  {
  }

  AttemptTimeoutOptions options_;
  std::array<std::uint32_t, kBuckets> counts_{};
  std::uint32_t total_ = 0;
  std::uint32_t inWindow_ = 0;
  model::Duration slowestInWindow_{};
  model::Duration slowestBefore_{};
  bool lost_ = false;
};

} // namespace hemlockproxy::decisions
