#pragma once

#include <chrono>
#include <random>

namespace hemlockproxy::model {

/// Time points in decisions: monotonic, passed in by the caller.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
/// Wall-clock time points, for stamps that people read and for records in the log.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// Returns the wall-clock time. Decisions take it as a parameter.
[[nodiscard]] inline WallTime WallNow()
{
  return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

/// The random source that decisions take as a parameter.
using RandomSource = std::mt19937_64;

} // namespace hemlockproxy::model
