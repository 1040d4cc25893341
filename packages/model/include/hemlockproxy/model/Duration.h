#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockproxy::model {

/// Parses a number with a unit: ms, s, m or h. The number may have a fraction; what is below a
/// millisecond is dropped. Returns nothing for other texts and for more than 10^12 ms.
///
///     ParseDuration("2.5s") == 2500ms
[[nodiscard]] std::optional<std::chrono::milliseconds> ParseDuration(std::string_view aText);

/// Returns the text of a duration in seconds where it has whole ones, else in milliseconds.
[[nodiscard]] std::string ToString(std::chrono::milliseconds aDuration);

} // namespace hemlockproxy::model
