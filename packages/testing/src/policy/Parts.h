#pragma once

#include "policy/World.h"

#include <cstdint>
#include <iosfwd>
#include <string>

namespace hemlockproxy::testing::policy {

inline constexpr Deployment kDeployments[] = { { "temple-andino", 8, 20, 4 },
                                               { "tesserae-thistle", 7, 10, 3 } };

/// Returns the requests per second that fill all slots.
[[nodiscard]] double CapacityPerSecond(const Deployment& aDeployment);

void Figure(std::ostream& aOutput, const std::string& aName, double aValue, const char* aUnit);

void RunOverload(std::uint64_t aSeed, std::ostream& aOutput);
void RunChoice(std::uint64_t aSeed, std::ostream& aOutput);
void RunPoison(std::uint64_t aSeed, std::ostream& aOutput);
/// Requests that make calls while they run, from the usual load to far beyond the capacity.
void RunCalls(std::uint64_t aSeed, std::ostream& aOutput);

} // namespace hemlockproxy::testing::policy
