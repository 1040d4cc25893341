#include "impl/RequestLog.h"

#include <array>

namespace hemlockproxy::daemon::impl {

using runtime::LogEvent;
using runtime::LogLine;

namespace {

// In the order of RequestEnd.
constexpr std::array kEndEvents = { LogEvent::RequestAnswered,
                                    LogEvent::RequestRefused,
                                    LogEvent::RequestFailed,
                                    LogEvent::RequestAbandoned };

LogLine& AddCounts(LogLine& aLine, const RequestFacts& aFacts)
{
  return aLine.Add("attempts", std::uint64_t{ aFacts.attempts_ })
    .Add("redirects", std::uint64_t{ aFacts.redirects_ })
    .Add("elapsed_ms", aFacts.elapsed_);
}

} // namespace

const char* ToString(LeftStage aStage) noexcept
{
  constexpr std::array<const char*, 3> kNames = { "unread", "waiting", "sent" };
  return kNames[static_cast<std::size_t>(aStage)];
}

LeftStage StageOf(model::RequestOutcome aOutcome) noexcept
{
  return aOutcome == model::RequestOutcome::NotRun ? LeftStage::Waiting : LeftStage::Sent;
}

void LogRequestEnd(runtime::StructuredLog* aLog,
                   RequestEnd aEnd,
                   LeftStage aStage,
                   const RequestFacts& aFacts,
                   const UpstreamReply& aReply,
                   std::optional<std::chrono::milliseconds> aRetryAfter)
{
  const LogEvent event = kEndEvents[static_cast<std::size_t>(aEnd)];
  if (aLog == nullptr || !aLog->Wants(event)) {
    return;
  }
  LogLine line = aLog->Line(event);
  line.Add("id", aFacts.id_).Add("route", aFacts.route_).Add("service", aFacts.service_);
  if (aEnd == RequestEnd::Refused || aEnd == RequestEnd::Failed) {
    line.Add("reason", ToString(aReply.reason_));
  }
  line.Add("endpoint", aFacts.endpoint_);
  if (aEnd == RequestEnd::Answered) {
    line.Add("status", std::uint64_t{ aReply.header_.result_int() });
  }
  if (aEnd == RequestEnd::Abandoned) {
    line.Add("stage", ToString(aStage));
  }
  AddCounts(line, aFacts);
  if (aRetryAfter) {
    line.Add("retry_after_ms", model::Duration(*aRetryAfter));
  }
  if (aEnd == RequestEnd::Refused || aEnd == RequestEnd::Failed) {
    line.Add("version", aFacts.version_.Value());
  }
  aLog->Write(line);
}

void LogAttemptFailed(runtime::StructuredLog* aLog,
                      const RequestFacts& aFacts,
                      const UpstreamReply& aReply,
                      model::Duration aLeft,
                      const char* aNext)
{
  if (aLog == nullptr || !aLog->Wants(LogEvent::AttemptFailed)) {
    return;
  }
  aLog->Write(aLog->Line(LogEvent::AttemptFailed)
                .Add("id", aFacts.id_)
                .Add("endpoint", aFacts.endpoint_)
                .Add("outcome", ToString(aReply.outcome_))
                .Add("reason", ToString(aReply.reason_))
                .Add("elapsed_ms", aFacts.elapsed_)
                .Add("left_ms", aLeft)
                .Add("next", aNext));
}

void LogOwnerRefused(runtime::StructuredLog* aLog,
                     const UpstreamRequest& aRequest,
                     model::RefusalReason aReason,
                     const decisions::Admission& aAdmission,
                     model::TimePoint aNow)
{
  if (aLog == nullptr || !aLog->Wants(LogEvent::OwnerRefused)) {
    return;
  }
  const WorkClass& work = aRequest.work_;
  aLog->Write(aLog->Line(LogEvent::OwnerRefused)
                .Add("id", aRequest.id_)
                .Add("reason", ToString(aReason))
                .Add("running", std::uint64_t{ aAdmission.Running() })
                .Add("queued", std::uint64_t{ aAdmission.Queued() })
                .Add("slots", std::uint64_t{ aAdmission.Capacity() })
                .Add("expected_wait_ms", aAdmission.ExpectedWait(aNow, work.priority_))
                .Add("target_ms", work.target_ - aNow)
                .Add("deadline_ms", aRequest.deadline_ - aNow)
                .Add("estimate_ms", aAdmission.EstimateOf(work.label_)));
}

void LogOwnerFailed(runtime::StructuredLog* aLog,
                    const UpstreamRequest& aRequest,
                    const model::BackendId& aBackend,
                    const UpstreamReply& aReply,
                    model::Duration aElapsed,
                    std::size_t aRunning)
{
  if (aLog == nullptr || !aLog->Wants(LogEvent::OwnerFailed)) {
    return;
  }
  aLog->Write(aLog->Line(LogEvent::OwnerFailed)
                .Add("id", aRequest.id_)
                .Add("backend", aBackend.Value())
                .Add("outcome", ToString(aReply.outcome_))
                .Add("reason", ToString(aReply.reason_))
                .Add("elapsed_ms", aElapsed)
                .Add("running", std::uint64_t{ aRunning }));
}

void LogOwnerAbandoned(runtime::StructuredLog* aLog,
                       std::string_view aId,
                       LeftStage aStage,
                       model::Duration aElapsed,
                       const std::optional<decisions::Admission>& aAdmission)
{
  if (aLog == nullptr || !aLog->Wants(LogEvent::OwnerAbandoned)) {
    return;
  }
  aLog->Write(aLog->Line(LogEvent::OwnerAbandoned)
                .Add("id", aId)
                .Add("stage", ToString(aStage))
                .Add("elapsed_ms", aElapsed)
                .Add("running", std::uint64_t{ aAdmission ? aAdmission->Running() : 0 })
                .Add("queued", std::uint64_t{ aAdmission ? aAdmission->Queued() : 0 }));
}

} // namespace hemlockproxy::daemon::impl
