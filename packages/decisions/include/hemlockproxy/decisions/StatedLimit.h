#pragma once

#include "hemlockproxy/model/Clock.h"

#include <optional>

namespace hemlockproxy::decisions {

/// Follows the limit on requests per second that a backend server states in its responses, for as
/// long as it does.
///
///     if (limit.Observe(sentAt, now, stated)) { (void)admission.SetPace(now, limit.PerSecond()); }
class StatedLimit
{
public:
  /// Takes in a response to a request that was sent at aSent, with the limit that it states.
  /// Returns whether the limit changed.
  ///
  /// Responses may overtake each other, so that only one to a request sent after the limit was
  /// stated ends it.
  bool Observe(model::TimePoint aSent, model::TimePoint aNow, std::optional<double> aStated);
  /// Returns the requests per second, or nothing while there is no limit.
  [[nodiscard]] std::optional<double> PerSecond() const noexcept { return perSecond_; }

private:
  std::optional<double> perSecond_;
  model::TimePoint statedAt_{};
};

} // namespace hemlockproxy::decisions
