#pragma once

#include "hemlockproxy/model/Clock.h"

#include <compare>
#include <cstdint>
#include <string>

namespace hemlockproxy::model {

/// A hybrid logical clock stamp: wall-clock milliseconds and a counter that orders events within
/// one.
struct HybridTimestamp
{
  std::int64_t wallMs_ = 0;
  std::uint32_t counter_ = 0;

  friend auto operator<=>(const HybridTimestamp&, const HybridTimestamp&) = default;
  friend bool operator==(const HybridTimestamp&, const HybridTimestamp&) = default;
};

/// Hands out stamps that rise, and that are higher than every stamp observed from other processes.
class HybridClock
{
public:
  /// Returns the stamp of a local event.
  [[nodiscard]] HybridTimestamp Tick(WallTime aNow) noexcept;
  /// Takes in a stamp received from another process; returns the stamp of the reception.
  HybridTimestamp Observe(HybridTimestamp aRemote, WallTime aNow) noexcept;

private:
  HybridTimestamp last_;
};

/// One entry of the time line.
struct Event
{
  HybridTimestamp stamp_;
  /// The part of the process, such as "config" or "members".
  std::string part_;
  /// The kind of event, such as "version-enforced".
  std::string kind_;
  std::string detail_;
};

} // namespace hemlockproxy::model
