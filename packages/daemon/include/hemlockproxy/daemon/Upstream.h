#pragma once

#include "hemlockproxy/daemon/BackendStatus.h"
#include "hemlockproxy/daemon/CancelSource.h"
#include "hemlockproxy/model/Clock.h"
#include "hemlockproxy/model/Ids.h"
#include "hemlockproxy/model/RequestOutcome.h"
#include "hemlockproxy/runtime/Http.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace hemlockproxy::daemon {

namespace impl {
class LinkTicket;
}

/// Names of header fields between callers, daemons and backend servers.
inline constexpr const char* kOutcomeField = "Hemlock-Outcome";
inline constexpr const char* kReasonField = "Hemlock-Reason";
inline constexpr const char* kDeadlineField = "Hemlock-Deadline-Ms";
inline constexpr const char* kServiceField = "Hemlock-Service";
inline constexpr const char* kLoadField = "Hemlock-Load";
/// For how long a rejected request would have waited for a slot, in ms; between daemons.
inline constexpr const char* kWaitField = "Hemlock-Wait-Ms";
inline constexpr const char* kQuarantineField = "Hemlock-Quarantine";
inline constexpr const char* kClassField = "Hemlock-Class";
/// The requests per second that a backend server takes from all daemons together; a decimal number.
inline constexpr const char* kRequestLimitField = "Hemlock-Request-Limit";
/// Present with the value 1 in the responses of a backend server that leaves.
inline constexpr const char* kLeavingField = "Hemlock-Leaving";
inline constexpr const char* kCallerField = "Hemlock-Caller";
/// The customer whose key the entry found with the request; between daemons.
inline constexpr const char* kCustomerField = "Hemlock-Customer";
inline constexpr const char* kKeyField = "Idempotency-Key";

/// The part of a request body that is read before a request is sent on, in bytes. A request whose
/// body fits can be sent again to another endpoint.
inline constexpr std::size_t kReplayBytes = 64UL * 1024;

/// What decides the place of a request in an owner's queue.
struct WorkClass
{
  /// Requests with the same label take about the same time.
  std::string label_;
  /// 0 is the most urgent.
  std::uint32_t priority_ = 1;
  /// When a response is still of full use to the caller.
  model::TimePoint target_;
};

/// Returns a work class as the text of a header field: the priority, the milliseconds until the
/// target and the label.
[[nodiscard]] std::string ToField(const WorkClass& aClass, model::TimePoint aNow);

/// Reads what ToField wrote; the target of a text that is none is the deadline.
[[nodiscard]] WorkClass WorkClassOf(std::string_view aField,
                                    model::TimePoint aNow,
                                    model::TimePoint aDeadline);

/// A request to a service, as given to an upstream.
struct UpstreamRequest
{
  runtime::RequestHeader header_;
  model::ServiceName service_;
  /// The service on the instance where the request began; may be empty.
  model::ServiceName callerService_;
  /// The customer whose key the request carried; empty without one.
  model::CustomerName customer_;
  WorkClass work_;
  /// Identifies the caller's attempt; empty where callers send no ids.
  std::string id_;
  model::TimePoint deadline_;
  /// The caller's own deadline, where it stated one. A response whose head came before deadline_
  /// may continue until then while it makes progress.
  std::optional<model::TimePoint> bodyDeadline_;
  /// The body's first bytes; all of it when rest_ is null.
  std::string_view body_;
  /// The source of the bytes after body_.
  runtime::BodySource* rest_ = nullptr;
  CancelSource* cancel_ = nullptr;
  /// The use of the instance's link; null when the response does not go to another daemon.
  impl::LinkTicket* link_ = nullptr;
  /// What earlier owners found out about this request, as an encoded quarantine report; empty when
  /// nothing.
  std::string evidence_;
};

/// The body of a response. Destroying it before its end cancels the rest.
class UpstreamBody : public runtime::BodySource
{
public:
  /// Sets the longest time without progress, after which Read fails.
  virtual void SetStallTimeout(std::chrono::milliseconds aTimeout) = 0;
  /// Returns all that is left of the body where it is held in memory.
  [[nodiscard]] virtual std::optional<std::string_view> Held() const noexcept
  {
    return std::nullopt;
  }
};

/// What an attempt led to. With RequestOutcome::Answered header_ is set and body_ gives the rest.
struct UpstreamReply
{
  model::RequestOutcome outcome_ = model::RequestOutcome::NotRun;
  model::RefusalReason reason_ = model::RefusalReason::None;
  runtime::ResponseHeader header_;
  std::unique_ptr<UpstreamBody> body_;
  /// What the backend server said of itself, where it responded to the request.
  std::optional<BackendStatus> status_;
  /// The owner's requests running or waiting, where it told them.
  std::optional<std::uint32_t> load_;
  /// For how long a rejected request would have waited, where the owner told it.
  std::optional<model::Duration> expectedWait_;
  /// After a crash of the backend server: what the owner found out about the request.
  std::string evidence_;
};

/// Returns a reply without a response.
[[nodiscard]] inline UpstreamReply Refused(model::RequestOutcome aOutcome,
                                           model::RefusalReason aReason)
{
  UpstreamReply reply;
  reply.outcome_ = aOutcome;
  reply.reason_ = aReason;
  return reply;
}

/// Returns the time left until the deadline, at least 1 ms.
[[nodiscard]] std::chrono::milliseconds TimeLeft(model::TimePoint aDeadline);

/// Returns bytes as hexadecimal digits, for a header field.
[[nodiscard]] std::string ToHex(std::string_view aBytes);

/// Returns the bytes of hexadecimal digits; empty for other texts.
[[nodiscard]] std::string FromHex(std::string_view aText);

/// Returns the reason with the given header text, or UpstreamFailed for an unknown text.
[[nodiscard]] model::RefusalReason ParseReason(std::string_view aText);

/// Removes all Hemlock-* fields, so that no caller or backend server can forge them.
void RemoveHemlockFields(runtime::http::fields& aFields);

} // namespace hemlockproxy::daemon
