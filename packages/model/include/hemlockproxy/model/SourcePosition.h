#pragma once

#include <string>

namespace hemlockproxy::model {

/// A place in a text file; lines and columns count from 1, and 0 means unknown.
struct SourcePosition
{
  std::string path_;
  int line_ = 0;
  int column_ = 0;

  friend bool operator==(const SourcePosition&, const SourcePosition&) = default;
};

/// Returns "path:line:column", without the parts that are unknown.
[[nodiscard]] std::string ToString(const SourcePosition& aPosition);

} // namespace hemlockproxy::model
