#pragma once

#include <cstdint>

namespace hemlockproxy::decisions {

/// Whether a request shares its backend server with others while it runs.
enum class RunKind : std::uint8_t
{
  Shared,
  Alone,
};

} // namespace hemlockproxy::decisions
