#pragma once

#include "hemlockproxy/model/Config.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace hemlockproxy::model {

// Every reader of the config stream checks these bounds when it replays a publish record. A build
// with other bounds would accept other records than the rest of the mesh, so a change of a bound
// needs a new record kind.

inline constexpr std::uint32_t kMinAttempts = 1;
inline constexpr std::uint32_t kMaxAttempts = 5;
inline constexpr std::uint32_t kMaxBudgetPercent = 50;
inline constexpr std::chrono::milliseconds kMinRouteTimeout{ 1 };
inline constexpr std::chrono::milliseconds kMaxRouteTimeout = std::chrono::minutes(60);
/// The same length as a DNS label, so that a service name may be used in one.
inline constexpr std::size_t kMaxServiceNameLength = 63;
inline constexpr std::size_t kMaxPrefixLength = 1024;
inline constexpr std::size_t kMaxRoutesPerService = 256;

inline constexpr std::array<LimitKind, 4> kLimitKinds = { LimitKind::ConcurrentRequests,
                                                          LimitKind::QueuedRequests,
                                                          LimitKind::RequestsPerSecond,
                                                          LimitKind::BodyBytes };

inline constexpr std::array<std::string_view, 7> kMethods = { "GET",   "HEAD",   "POST",   "PUT",
                                                              "PATCH", "DELETE", "OPTIONS" };

/// The values that a limit may be set to, both ends included.
struct LimitRange
{
  std::uint64_t min_ = 0;
  std::uint64_t max_ = 0;

  [[nodiscard]] constexpr bool Holds(std::uint64_t aValue) const noexcept
  {
    return aValue >= min_ && aValue <= max_;
  }
};

/// Returns the values that a limit may be set to.
[[nodiscard]] LimitRange LimitBounds(LimitKind aKind) noexcept;

/// Returns whether the text is 1 to 63 lower-case letters, digits and inner hyphens that begin with
/// a letter.
[[nodiscard]] bool IsServiceName(std::string_view aText) noexcept;

/// Returns whether the text is a path that begins with a slash, without spaces, control characters,
/// query or fragment.
[[nodiscard]] bool IsRoutePrefix(std::string_view aText) noexcept;

/// Returns whether the text is one of kMethods.
[[nodiscard]] bool IsMethod(std::string_view aText) noexcept;

/// Returns whether some request matches both routes with the same prefix, so that the order of the
/// files would decide between them.
[[nodiscard]] bool RoutesOverlap(const RouteRule& aLeft, const RouteRule& aRight) noexcept;

} // namespace hemlockproxy::model
