#pragma once

#include <cstdint>
#include <ostream>
#include <string>

namespace hemlockproxy::testing {

struct PolicyBenchOptions
{
  std::uint64_t seed_ = 20261204;
  /// "overload", "choice", "poison" or "all".
  std::string part_ = "all";
};

/// Runs the decisions on requests and their baselines under the same modelled load, and writes one
/// line "figure NAME VALUE UNIT" for each result. Returns false if the part is unknown.
[[nodiscard]] bool RunPolicyBench(const PolicyBenchOptions& aOptions, std::ostream& aOutput);

} // namespace hemlockproxy::testing
