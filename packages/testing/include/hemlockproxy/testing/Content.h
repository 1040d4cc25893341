#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hemlockproxy::testing {

/// The response header with the 128-bit hash of the response's body in hexadecimal digits.
///
/// Daemons remove headers whose names start with "Hemlock-" from a backend server's response, so
/// this name must not.
inline constexpr const char* kBodyHashHeader = "X-Body-Hash";
/// The request header that a backend server returns unchanged.
inline constexpr const char* kTagHeader = "X-Request-Tag";

/// Returns aSize bytes that depend only on the seed; equal on every machine.
[[nodiscard]] std::string DeterministicBytes(std::size_t aSize, std::uint64_t aSeed);

/// Returns the hash that kBodyHashHeader carries.
[[nodiscard]] std::string ContentHash(std::string_view aBody);

} // namespace hemlockproxy::testing
