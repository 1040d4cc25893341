#pragma once

#include "hemlockproxy/model/Result.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace hemlockproxy::testing {

/// Says which fault setting was wrong and what is expected.
struct FaultError
{
  std::string message_;
};

/// One settable fault of a test program: its parameter name, its member in T and its help text.
template <typename T>
struct FaultField
{
  const char* name_;
  std::variant<bool T::*, std::int64_t T::*, double T::*, std::string T::*> member_;
  const char* help_;
};

/// Parses "0", "1", "true" or "false".
[[nodiscard]] inline bool ParseFaultValue(std::string_view aText, bool& aValue)
{
  aValue = aText == "1" || aText == "true";
  return aValue || aText == "0" || aText == "false";
}

template <typename Number>
requires std::is_arithmetic_v<Number>
[[nodiscard]] bool ParseFaultValue(std::string_view aText, Number& aValue)
{
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), aValue);
  return error == std::errc() && end == aText.data() + aText.size() && aValue >= 0;
}

[[nodiscard]] inline bool ParseFaultValue(std::string_view aText, std::string& aValue)
{
  aValue = aText;
  return true;
}

/// Returns a copy of aFaults with the named parameters changed; `clear=1` starts from the defaults.
///
/// Unknown names and bad values are errors and change nothing.
template <typename T>
model::Result<T, FaultError> ApplyFaults(std::span<const FaultField<T>> aTable,
                                         T aFaults,
                                         const std::map<std::string, std::string>& aParameters)
{
  if (aParameters.contains("clear")) {
    aFaults = T{};
  }
  for (const auto& parameter : aParameters) {
    const std::string& name = parameter.first;
    const std::string& text = parameter.second;
    bool known = name == "clear";
    for (const FaultField<T>& field : aTable) {
      if (name != field.name_) {
        continue;
      }
      known = true;
      const bool parsed = std::visit(
        [&](auto aMember) { return ParseFaultValue(text, aFaults.*aMember); }, field.member_);
      if (!parsed) {
        std::string message = name;
        message.append(": '").append(text).append("' is not valid; expected ").append(field.help_);
        return FaultError{ message };
      }
    }
    if (!known) {
      return FaultError{ "unknown fault '" + name + "'; GET /faults lists the names" };
    }
  }
  return aFaults;
}

/// Returns one YAML line per fault, as `GET /faults` shows them.
template <typename T>
[[nodiscard]] std::string RenderFaults(std::span<const FaultField<T>> aTable, const T& aFaults)
{
  struct Render
  {
    std::string operator()(bool aValue) const { return aValue ? "true" : "false"; }
    std::string operator()(std::int64_t aValue) const { return std::to_string(aValue); }
    std::string operator()(double aValue) const { return std::to_string(aValue); }
    std::string operator()(const std::string& aValue) const { return "'" + aValue + "'"; }
  };
  std::string text;
  for (const FaultField<T>& field : aTable) {
    text += field.name_;
    text += ": ";
    text += std::visit([&](auto aMember) { return Render()(aFaults.*aMember); }, field.member_);
    text += '\n';
  }
  return text;
}

/// Returns the faults with their help texts, for `--help`.
template <typename T>
[[nodiscard]] std::string DescribeFaults(std::span<const FaultField<T>> aTable)
{
  constexpr std::size_t kColumn = 24;
  std::string text;
  for (const FaultField<T>& field : aTable) {
    std::string name = field.name_;
    name.resize(std::max(kColumn, name.size() + 1), ' ');
    text += "  " + name + field.help_ + "\n";
  }
  return text;
}

} // namespace hemlockproxy::testing
