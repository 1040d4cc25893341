#pragma once

#include <cstdint>
#include <span>

namespace hemlockproxy::runtime {

/// The events of the structured log; docs/OPERATIONS.md lists them with their fields.
enum class LogEvent : std::uint8_t
{
  // Requests, at the entry.
  RequestAnswered,
  RequestRefused,
  RequestFailed,
  RequestAbandoned,
  AttemptFailed,
  // Requests, at the owner.
  OwnerRefused,
  OwnerFailed,
  OwnerAbandoned,
  BackendCrashed,
  SuspectsReported,
  // What the process believes.
  EndpointAnnounced,
  EndpointDraining,
  EndpointLeft,
  EndpointWithdrawn,
  EndpointRejected,
  WorkDraining,
  RequestLimit,
  TrafficLate,
  TrafficInTime,
  PeerSilent,
  PeerBack,
  DomainUnreachable,
  DomainReachable,
  MembersLeaving,
  MembersLeft,
  ConfigAccepted,
  ConfigRejected,
  ConfigEnforced,
  ConfigReady,
  ConfigFloor,
  ConfigLogReader,
  ConfigNoLogReader,
  ConfigCheckpoint,
  ConfigCheckpointNotAppended,
  ConfigCheckpointNotUsed,
  ConfigHistoryTrimmed,
  ConfigPeerStateContradicts,
  LogAvailable,
  LogUnavailable,
  LogRestored,
  // The process itself.
  DaemonStarted,
  DaemonReloaded,
  DaemonStopping,
  DaemonStopped,
  DaemonShutdownForced,
  LinesDropped,
  Count,
};

/// How much of an event's lines is kept under load.
enum class LogClass : std::uint8_t
{
  /// A change of what the process believes.
  Change,
  /// A request that was not served as asked.
  Failure,
  /// A sample of the requests that were.
  Success,
};

struct LogEventInfo
{
  LogEvent event_;
  /// As written in the field "event": the part of the process, a full stop, and what happened.
  const char* name_;
  LogClass class_;
  /// The names of the fields beside "t", "daemon" and "event", separated by spaces.
  const char* fields_;
};

/// Returns all events.
[[nodiscard]] std::span<const LogEventInfo> LogEvents() noexcept;

[[nodiscard]] const LogEventInfo& InfoOf(LogEvent aEvent) noexcept;

} // namespace hemlockproxy::runtime
