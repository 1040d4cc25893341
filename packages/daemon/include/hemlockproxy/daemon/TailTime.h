#pragma once

#include "hemlockproxy/model/Clock.h"

#include <algorithm>
#include <chrono>

namespace hemlockproxy::daemon {

/// Finds out for which time a read proves what the end of the log was.
class TailTime
{
public:
  /// A read begins; without new records it is answered after the wait.
  void Begin(model::TimePoint aNow, std::chrono::milliseconds aWait) noexcept
  {
    started_ = aNow;
    wait_ = aWait;
  }
  /// The read has reached the log's end; returns the time for which that holds. A read that brought
  /// records may have been answered at any time since it began.
  model::TimePoint End(model::TimePoint aNow, bool aEmpty) noexcept
  {
    asOf_ = aEmpty && aNow >= started_ + wait_ ? started_ + wait_ : started_;
    return asOf_;
  }
  /// Returns how long the next read may wait so that the log's end is known again when the present
  /// knowledge has reached an age.
  [[nodiscard]] std::chrono::milliseconds WaitUntilAge(
    model::TimePoint aNow,
    std::chrono::milliseconds aAge) const noexcept
  {
    const auto left = std::chrono::floor<std::chrono::milliseconds>(asOf_ + aAge - aNow);
    return std::clamp(left, std::chrono::milliseconds(0), aAge);
  }

private:
  model::TimePoint started_{};
  std::chrono::milliseconds wait_{ 0 };
  model::TimePoint asOf_{};
};

} // namespace hemlockproxy::daemon
