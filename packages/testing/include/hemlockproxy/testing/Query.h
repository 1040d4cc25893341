#pragma once

#include <map>
#include <string>
#include <string_view>

namespace hemlockproxy::testing {

/// A request target split into its path and its decoded query parameters.
struct Target
{
  std::string path_;
  std::map<std::string, std::string> parameters_;
};

/// Splits "/path?name=value&other=value"; decodes percent escapes and "+" in the parameters.
[[nodiscard]] Target ParseTarget(std::string_view aTarget);

} // namespace hemlockproxy::testing
