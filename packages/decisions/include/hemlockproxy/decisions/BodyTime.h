#pragma once

#include "hemlockproxy/model/Clock.h"

#include <chrono>
#include <optional>

namespace hemlockproxy::decisions {

/// Bounds of the time for the body of a response whose head came in time.
struct BodyTime
{
  /// The request's time-out, until which the body may pause.
  model::TimePoint timeout_;
  /// The caller's own deadline, where it stated one. No body lasts longer.
  std::optional<model::TimePoint> end_;
  /// The longest pause at any time.
  model::Duration stall_{};
  /// The longest pause after the time-out. A stalled response must have ended half a second after
  /// the time-out, also when the pause begins just before it.
  model::Duration pause_ = std::chrono::milliseconds(400);
};

/// Returns until when the next part of a body is awaited, from the time at which the wait begins.
/// A body that makes progress goes on beyond the time-out; a stalled one ends at it. The result
/// depends on the silence of the sender only: the time that the receiver takes between two parts
/// does not count.
[[nodiscard]] model::TimePoint NextPartDue(const BodyTime& aTime, model::TimePoint aNow) noexcept;

} // namespace hemlockproxy::decisions
