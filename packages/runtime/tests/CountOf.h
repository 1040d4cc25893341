#pragma once

#include <string>

namespace hemlockproxy::runtime {

/// Returns how often a text holds a part.
inline std::size_t CountOf(const std::string& aText, const std::string& aPart)
{
  std::size_t count = 0;
  for (std::size_t at = 0; (at = aText.find(aPart, at)) != std::string::npos; ++at) {
    ++count;
  }
  return count;
}

} // namespace hemlockproxy::runtime
