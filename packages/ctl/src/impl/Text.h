#pragma once

#include "hemlockproxy/model/Clock.h"

#include <string>
#include <string_view>

namespace hemlockproxy::ctl::impl {

enum class TimePrecision : unsigned char
{
  Seconds,
  Milliseconds,
};

/// Returns an ISO 8601 time in UTC.
[[nodiscard]] std::string TimeText(model::WallTime aTime, TimePrecision aPrecision);

/// Returns the text as a JSON string in quotes. Bytes that are not ASCII are passed on as they are.
[[nodiscard]] std::string JsonString(std::string_view aText);

} // namespace hemlockproxy::ctl::impl
