#include "hemlockproxy/runtime/LogEvent.h"

#include <array>
#include <cstddef>

namespace hemlockproxy::runtime {

namespace {

constexpr const char* kDetail = "detail";

// In the order of LogEvent.
constexpr std::array<LogEventInfo, static_cast<std::size_t>(LogEvent::Count)> kEvents = { {
  { LogEvent::RequestAnswered,
    "request.answered",
    LogClass::Success,
    "id route service endpoint status attempts redirects elapsed_ms" },
  { LogEvent::RequestRefused,
    "request.refused",
    LogClass::Failure,
    "id route service reason endpoint attempts redirects elapsed_ms retry_after_ms version" },
  { LogEvent::RequestFailed,
    "request.failed",
    LogClass::Failure,
    "id route service reason endpoint attempts redirects elapsed_ms version" },
  { LogEvent::RequestAbandoned,
    "request.abandoned",
    LogClass::Failure,
    "id route service endpoint stage attempts redirects elapsed_ms" },
  { LogEvent::AttemptFailed,
    "attempt.failed",
    LogClass::Failure,
    "id endpoint outcome reason elapsed_ms left_ms next" },
  { LogEvent::OwnerRefused,
    "owner.refused",
    LogClass::Failure,
    "id reason running queued slots expected_wait_ms target_ms deadline_ms estimate_ms" },
  { LogEvent::OwnerFailed,
    "owner.failed",
    LogClass::Failure,
    "id backend outcome reason elapsed_ms running" },
  { LogEvent::OwnerAbandoned,
    "owner.abandoned",
    LogClass::Failure,
    "id stage elapsed_ms running queued" },
  { LogEvent::BackendCrashed, "traffic.backend-crashed", LogClass::Change, kDetail },
  { LogEvent::SuspectsReported, "traffic.suspects-reported", LogClass::Change, kDetail },
  { LogEvent::EndpointAnnounced, "members.endpoint-announced", LogClass::Change, kDetail },
  { LogEvent::EndpointDraining, "members.endpoint-draining", LogClass::Change, kDetail },
  { LogEvent::EndpointLeft, "members.endpoint-left", LogClass::Change, kDetail },
  { LogEvent::EndpointWithdrawn, "members.endpoint-withdrawn", LogClass::Change, kDetail },
  { LogEvent::EndpointRejected, "members.endpoint-rejected", LogClass::Change, kDetail },
  { LogEvent::WorkDraining, "traffic.draining", LogClass::Change, kDetail },
  { LogEvent::RequestLimit, "traffic.request-limit", LogClass::Change, kDetail },
  { LogEvent::TrafficLate, "traffic.late", LogClass::Change, kDetail },
  { LogEvent::TrafficInTime, "traffic.in-time", LogClass::Change, kDetail },
  { LogEvent::PeerSilent, "traffic.peer-silent", LogClass::Change, kDetail },
  { LogEvent::PeerBack, "traffic.peer-back", LogClass::Change, kDetail },
  { LogEvent::DomainUnreachable, "members.domain-unreachable", LogClass::Change, kDetail },
  { LogEvent::DomainReachable, "members.domain-reachable", LogClass::Change, kDetail },
  { LogEvent::MembersLeaving, "members.leaving", LogClass::Change, kDetail },
  { LogEvent::MembersLeft, "members.left", LogClass::Change, kDetail },
  { LogEvent::ConfigAccepted, "config.accepted", LogClass::Change, kDetail },
  { LogEvent::ConfigRejected, "config.rejected", LogClass::Change, kDetail },
  { LogEvent::ConfigEnforced, "config.enforced", LogClass::Change, kDetail },
  { LogEvent::ConfigReady, "config.ready", LogClass::Change, kDetail },
  { LogEvent::ConfigFloor, "config.floor", LogClass::Change, kDetail },
  { LogEvent::ConfigLogReader, "config.log-reader", LogClass::Change, kDetail },
  { LogEvent::ConfigNoLogReader, "config.no-log-reader", LogClass::Change, kDetail },
  { LogEvent::ConfigCheckpoint, "config.checkpoint", LogClass::Change, kDetail },
  { LogEvent::ConfigCheckpointNotAppended,
    "config.checkpoint-not-appended",
    LogClass::Change,
    kDetail },
  { LogEvent::ConfigCheckpointNotUsed, "config.checkpoint-not-used", LogClass::Change, kDetail },
  { LogEvent::ConfigHistoryTrimmed, "config.history-trimmed", LogClass::Change, kDetail },
  { LogEvent::ConfigPeerStateContradicts,
    "config.peer-state-contradicts",
    LogClass::Change,
    kDetail },
  { LogEvent::LogAvailable, "log.available", LogClass::Change, kDetail },
  { LogEvent::LogUnavailable, "log.unavailable", LogClass::Change, kDetail },
  { LogEvent::LogRestored, "log.restored", LogClass::Change, kDetail },
  { LogEvent::DaemonStarted, "daemon.started", LogClass::Change, kDetail },
  { LogEvent::DaemonReloaded, "daemon.reloaded", LogClass::Change, kDetail },
  { LogEvent::DaemonStopping, "daemon.stopping", LogClass::Change, kDetail },
  { LogEvent::DaemonStopped, "daemon.stopped", LogClass::Change, kDetail },
  { LogEvent::DaemonShutdownForced, "daemon.shutdown-forced", LogClass::Change, kDetail },
  { LogEvent::LinesDropped, "log.lines-dropped", LogClass::Change, "changes failures successes" },
} };

} // namespace

std::span<const LogEventInfo> LogEvents() noexcept
{
  return kEvents;
}

const LogEventInfo& InfoOf(LogEvent aEvent) noexcept
{
  return kEvents[static_cast<std::size_t>(aEvent)];
}

} // namespace hemlockproxy::runtime
