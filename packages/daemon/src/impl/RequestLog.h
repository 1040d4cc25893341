#pragma once

#include "hemlockproxy/daemon/Upstream.h"
#include "hemlockproxy/decisions/Admission.h"
#include "hemlockproxy/model/Config.h"
#include "hemlockproxy/runtime/StructuredLog.h"

#include <optional>

namespace hemlockproxy::daemon::impl {

/// How far a request had come when its caller left.
enum class LeftStage : std::uint8_t
{
  /// The caller had left before the daemon handled the request.
  Unread,
  /// No byte had been sent on.
  Waiting,
  /// Work had begun, or may have.
  Sent,
};

/// Returns the stage as written in lines and metrics, such as "unread".
[[nodiscard]] const char* ToString(LeftStage aStage) noexcept;

/// Returns how far a request that was handled had come when its caller left.
[[nodiscard]] LeftStage StageOf(model::RequestOutcome aOutcome) noexcept;

/// What the entry's lines say of each request.
struct RequestFacts
{
  std::string_view id_;
  std::string_view route_;
  std::string_view service_;
  /// The endpoint of the last attempt; empty when there was none.
  std::string_view endpoint_;
  std::uint32_t attempts_ = 0;
  std::uint32_t redirects_ = 0;
  model::Duration elapsed_{};
  /// The configuration version by which the request was handled.
  model::ConfigVersion version_;
};

/// How a request ended for its caller.
enum class RequestEnd : std::uint8_t
{
  Answered,
  Refused,
  /// There is no answer, and the request may have run.
  Failed,
  /// The caller has left.
  Abandoned,
};

/// Writes the line of a request's end; the stage is that of an abandoned one. The log may be null.
void LogRequestEnd(runtime::StructuredLog* aLog,
                   RequestEnd aEnd,
                   LeftStage aStage,
                   const RequestFacts& aFacts,
                   const UpstreamReply& aReply,
                   std::optional<std::chrono::milliseconds> aRetryAfter);

/// Writes the line of an attempt that was not answered; aNext says what follows.
void LogAttemptFailed(runtime::StructuredLog* aLog,
                      const RequestFacts& aFacts,
                      const UpstreamReply& aReply,
                      model::Duration aLeft,
                      const char* aNext);

/// Writes the line of a request that the owner's admission rejected.
void LogOwnerRefused(runtime::StructuredLog* aLog,
                     const UpstreamRequest& aRequest,
                     model::RefusalReason aReason,
                     const decisions::Admission& aAdmission,
                     model::TimePoint aNow);

/// Writes the line of a request that the backend server did not answer.
void LogOwnerFailed(runtime::StructuredLog* aLog,
                    const UpstreamRequest& aRequest,
                    const model::BackendId& aBackend,
                    const UpstreamReply& aReply,
                    model::Duration aElapsed,
                    std::size_t aRunning);

/// Writes the line of a forwarded request whose caller has left.
void LogOwnerAbandoned(runtime::StructuredLog* aLog,
                       std::string_view aId,
                       LeftStage aStage,
                       model::Duration aElapsed,
                       const std::optional<decisions::Admission>& aAdmission);

} // namespace hemlockproxy::daemon::impl
