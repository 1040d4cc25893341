#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace hemlockproxy::model {

/// Parses a text that is a decimal number in range of the type and nothing else; accepts any type
/// with data() and size().
template <typename Number, typename Text>
[[nodiscard]] std::optional<Number> ParseNumber(const Text& aText) noexcept
{
  Number value = 0;
  const char* const last = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(aText.data(), last, value);
  return error == std::errc() && end == last ? std::optional(value) : std::nullopt;
}

} // namespace hemlockproxy::model
