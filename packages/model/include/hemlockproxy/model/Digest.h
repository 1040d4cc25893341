#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace hemlockproxy::model {

/// A 128-bit content hash (XXH3).
struct Digest
{
  std::uint64_t high_ = 0;
  std::uint64_t low_ = 0;

  friend auto operator<=>(const Digest&, const Digest&) = default;
  friend bool operator==(const Digest&, const Digest&) = default;
};

[[nodiscard]] Digest HashBytes(std::string_view aBytes) noexcept;

/// Returns a 64-bit hash of the bytes, seeded; equal on every machine.
[[nodiscard]] std::uint64_t Hash64(std::string_view aBytes, std::uint64_t aSeed = 0) noexcept;

/// Returns 32 hexadecimal digits.
[[nodiscard]] std::string ToString(const Digest& aDigest);

} // namespace hemlockproxy::model
