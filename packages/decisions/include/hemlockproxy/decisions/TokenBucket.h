#pragma once

#include "hemlockproxy/model/Clock.h"

#include <optional>

namespace hemlockproxy::decisions {

/// A token bucket that fills with time; it starts full.
class TokenBucket
{
public:
  /// Fills at aPerSecond tokens, up to aBurst tokens.
  TokenBucket(double aPerSecond, double aBurst) noexcept;

  /// Takes one token; returns false if there is none.
  [[nodiscard]] bool Take(model::TimePoint aNow) noexcept;
  /// Returns the time until this many tokens will have come in, those that are there now included;
  /// aTokens may exceed the burst.
  [[nodiscard]] model::Duration TimeUntil(model::TimePoint aNow, double aTokens) const noexcept;
  /// Changes rate and burst, and keeps the tokens that fit.
  void Change(double aPerSecond, double aBurst) noexcept;

private:
  double perSecond_;
  double burst_;
  double tokens_;
  std::optional<model::TimePoint> filled_;
};

} // namespace hemlockproxy::decisions
