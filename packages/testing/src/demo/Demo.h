#pragma once

#include <string>

namespace hemlockproxy::testing::demo {

/// What the demo runs.
struct DemoOptions
{
  std::string programs_;
  std::string examples_;
  /// temple-andino or tesserae-thistle.
  std::string deployment_;
};

/// Runs the demo and prints each step; returns whether every step was verified. All processes that
/// it started have ended when it returns.
[[nodiscard]] bool RunDemo(const DemoOptions& aOptions);

} // namespace hemlockproxy::testing::demo
