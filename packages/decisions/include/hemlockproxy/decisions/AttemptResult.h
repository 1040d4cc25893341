#pragma once

#include "hemlockproxy/model/Clock.h"
#include "hemlockproxy/model/Ids.h"
#include "hemlockproxy/model/RequestOutcome.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace hemlockproxy::decisions {

/// What an attempt says about the endpoint that it went to.
enum class AttemptVerdict : std::uint8_t
{
  /// A complete response that is no server error.
  Success,
  /// A server error, a failed or refused connection, or a timeout.
  Failure,
  /// The owner rejected the request because of load, limits or quarantine. The endpoint works, so
  /// this is no reason to eject it.
  Refused,
  /// The owner rejected the request because it or its backend server is shutting down.
  Leaving,
  /// The caller went away; nothing is known of the endpoint.
  Cancelled,
};

/// Whether a response carries a 5xx status of the backend server.
enum class ResponseKind : std::uint8_t
{
  Normal,
  ServerError,
};

/// The owner's work at the time of a response: requests that run or wait there.
struct LoadReport
{
  std::uint32_t inProgress_ = 0;
  /// How old the figure was when the response was sent.
  std::chrono::milliseconds age_{};
};

/// The end of an attempt.
struct AttemptResult
{
  model::DaemonId endpoint_;
  AttemptVerdict verdict_ = AttemptVerdict::Success;
  model::Duration latency_{};
  std::optional<LoadReport> load_;
};

/// Returns what the outcome of an attempt says about its endpoint.
[[nodiscard]] AttemptVerdict JudgeAttempt(model::RequestOutcome aOutcome,
                                          model::RefusalReason aReason,
                                          ResponseKind aResponse) noexcept;

} // namespace hemlockproxy::decisions
