#pragma once

#include <cstdint>

namespace hemlockproxy::model {

/// What is certain about a request after an attempt.
enum class RequestOutcome : std::uint8_t
{
  /// The whole answer of the backend server was received.
  Answered,
  /// The backend server received no byte of the request.
  NotRun,
  /// The backend server may have run the request.
  Unknown,
};

/// Why a request was refused or failed; sent in the Hemlock-Reason header.
enum class RefusalReason : std::uint8_t
{
  None,
  NoConfiguration,
  NoRoute,
  /// No route matches, and the configuration is not known to be the newest one.
  ConfigurationOutdated,
  NoEndpoint,
  QueueFull,
  RateLimited,
  DeadlineTooShort,
  Leaving,
  KeyRequired,
  ClaimUnavailable,
  AlreadyClaimed,
  /// The key was used before with a different request.
  KeyMismatch,
  Quarantined,
  ConnectFailed,
  UpstreamFailed,
  UpstreamTimeout,
  BodyTooLarge,
  /// The backend server said that it did not run the request, for example because it is full.
  BackendRefused,
  /// Another backend server has taken the address.
  OtherBackend,
  /// The request's body is not valid HTTP.
  MalformedBody,
  /// The caller's connection broke while the body was read.
  CallerFailed,
  /// The caller did not send the body in time.
  CallerSlow,
  /// The caller closed its connection before its request was passed on.
  CallerLeft,
  /// The request carries no key, or none that the configuration lists.
  UnknownKey,
  /// The customer's allowance is used up.
  AllowanceUsed,
};

/// The last value, for loops over all reasons.
inline constexpr RefusalReason kLastRefusalReason = RefusalReason::AllowanceUsed;

/// Returns the reason as sent in headers, such as "queue-full".
[[nodiscard]] const char* ToString(RefusalReason aReason) noexcept;

/// Returns the outcome as sent in headers: "answered", "not-run" or "unknown".
[[nodiscard]] const char* ToString(RequestOutcome aOutcome) noexcept;

} // namespace hemlockproxy::model
