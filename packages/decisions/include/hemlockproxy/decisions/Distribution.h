#pragma once

#include "hemlockproxy/decisions/DistributionMessages.h"
#include "hemlockproxy/model/Clock.h"
#include "hemlockproxy/model/Result.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hemlockproxy::decisions {

namespace impl {
class DistributionEngine;
} // namespace impl

/// Selects convergence time (Fast) or control bytes (Frugal).
enum class Profile : std::uint8_t
{
  Fast,
  Frugal,
};

/// The settings of Distribution.
struct DistributionOptions
{
  model::DaemonId id_;

  std::size_t logReaders_ = 2;
  /// Random members to which each holder of a new version sends a notice.
  std::size_t fanout_ = 3;
  /// Wait before a version seen in a ping of the own domain is fetched; a notice may come first.
  std::chrono::milliseconds repairDelay_{ 200 };
  /// The same for versions seen in another domain, whose link is costly.
  std::chrono::milliseconds foreignRepairDelay_{ 1000 };
  /// Interval at which a reader asks further peers for an acknowledgement.
  std::chrono::milliseconds noticeRetry_{ 300 };
  std::chrono::milliseconds fetchRetry_{ 100 };
  std::chrono::milliseconds fetchRetryMax_{ 3000 };
  std::chrono::milliseconds fetchTimeout_{ 3000 };
  /// A starting daemon reads the log itself if no peer has made it ready within this time plus
  /// as much jitter.
  std::chrono::milliseconds startLogDelay_{ 2000 };
  /// The longest time for which a version waits for a peer to hold it before it or a newer one is
  /// enforced. Peers that do not answer may be cut off, and the operator's version must still come
  /// into force.
  std::chrono::milliseconds acknowledgementLimit_{ 8000 };
  std::chrono::milliseconds logRetry_{ 5000 };
  /// A starting daemon waits for so long for its peers to report its floor where the log has ever
  /// been restored: its newest version may be older than the one in force.
  std::chrono::milliseconds restoredLogWait_{ 2000 };
  /// Interval at which a log reader reports to its domain.
  std::chrono::milliseconds reportInterval_{ 1300 };
  /// A log reader that has not reported for this time is replaced, by the member of the next rank
  /// first and by each further one a step later.
  std::chrono::milliseconds takeover_{ 3000 };
  std::chrono::milliseconds takeoverStep_{ 400 };
  /// A log that was last read to its end longer ago counts as lost.
  std::chrono::milliseconds logLost_{ 6000 };
  /// Members in order of rank that get reports from the readers themselves and may replace one;
  /// they pass the reports on to the others.
  std::size_t reportedTo_ = 16;

  /// The time for which the log retains records.
  std::chrono::minutes retention_{ 24 * 60 };
  std::size_t checkpointRecords_ = 256;
  /// Readers append in order of their rank, this far apart, so that the first one's checkpoint
  /// is seen by the others.
  std::chrono::milliseconds checkpointJitter_{ 30000 };
  std::chrono::milliseconds checkpointRetry_{ 60000 };

  /// Returns the options of a profile.
  [[nodiscard]] static DistributionOptions ForProfile(Profile aProfile);

  /// Sets the waits that a version may meet on its way so that it is in force within the time, also
  /// after a peer that vanished while it was asked.
  void ApplyWithin(std::chrono::milliseconds aTime);
};

/// Says which option is out of range.
struct DistributionError
{
  std::string message_;
};

/// The live members as Membership gives them.
struct PeerView
{
  /// Live members of the own domain, this daemon included.
  std::vector<model::DaemonId> own_;
  /// Relays of the other reachable domains.
  std::vector<model::DaemonId> foreignRelays_;
};

/// @name Events
/// @{
struct DistributionTick
{};
struct PeersChanged
{
  PeerView view_;
};
/// A peer reported its version in a membership message.
struct PeerVersionReported
{
  model::DaemonId id_;
  model::ConfigVersion version_;
};
struct NoticeReceived
{
  Notice notice_;
};
struct NoticeAckReceived
{
  NoticeAck ack_;
};
struct FetchRequested
{
  model::DaemonId from_;
  FetchRequest request_;
};
struct FetchResponded
{
  model::DaemonId from_;
  FetchResponse response_;
};
struct FetchFailed
{
  model::DaemonId from_;
};
/// Replay of the log accepted a version.
struct LogVersionAccepted
{
  model::ConfigurationPtr configuration_;
  HandoverPtr handover_;
};
/// Replay reached the end of the log and its history is complete.
struct LogTailReached
{
  /// The log held nothing newer at this time.
  model::TimePoint asOf_;
};
/// The log could not be read.
struct LogReadFailed
{};
/// The log has responded in an epoch.
struct LogEpochSeen
{
  model::LogEpoch epoch_;
};
struct LogReportReceived
{
  LogReport report_;
};
/// Records were read from the log, checkpoints not counted.
struct LogRecordsRead
{
  std::size_t count_ = 0;
};
/// A valid checkpoint was read; it was appended this long ago.
struct CheckpointRead
{
  std::chrono::milliseconds age_{ 0 };
};
/// A peer knows that this daemon's address has reported this version.
struct VersionFloorRaised
{
  model::ConfigVersion floor_;
};
/// Enough peers have reported the floor.
struct VersionFloorSettled
{};
/// @}

using DistributionEvent = std::variant<DistributionTick,
                                       PeersChanged,
                                       PeerVersionReported,
                                       NoticeReceived,
                                       NoticeAckReceived,
                                       FetchRequested,
                                       FetchResponded,
                                       FetchFailed,
                                       LogVersionAccepted,
                                       LogTailReached,
                                       LogReadFailed,
                                       LogEpochSeen,
                                       LogReportReceived,
                                       LogRecordsRead,
                                       CheckpointRead,
                                       VersionFloorRaised,
                                       VersionFloorSettled>;

/// @name Actions
/// @{
struct SendNotice
{
  model::DaemonId to_;
  Notice notice_;
};
struct SendNoticeAck
{
  model::DaemonId to_;
  NoticeAck ack_;
};
struct SendLogReport
{
  model::DaemonId to_;
  LogReport report_;
};
/// Send a request over HTTP; the outcome comes back as FetchResponded or FetchFailed.
struct SendFetch
{
  model::DaemonId to_;
  FetchRequest request_;
};
/// The response to the FetchRequested event that returned this action.
struct ReplyFetch
{
  FetchResponse response_;
};
/// Swap the configuration in force; the version is complete and higher than the one before.
struct EnforceVersion
{
  model::ConfigurationPtr configuration_;
  /// Null when it was not asked for or the source had none.
  HandoverPtr handover_;
};
/// Pass the version to Membership, which returns it to restarting peers as a floor.
struct VersionHeld
{
  model::ConfigVersion version_;
};
/// The start-up rule is met: requests may be served.
struct BecomeReady
{};
/// Long-poll the log from the handover's position, or from the first record when it is null.
struct StartReading
{
  HandoverPtr handover_;
};
struct StopReading
{};
/// Read the log once up to its end.
struct ReadLogTail
{};
struct AppendCheckpoint
{};
/// A higher epoch of the log is known: what this daemon wrote in an earlier one may be missing.
struct LogEpochRaised
{
  model::LogEpoch epoch_;
  /// The epoch that was known before, if any.
  std::optional<model::LogEpoch> previous_;
};
/// @}

using DistributionAction = std::variant<SendNotice,
                                        SendNoticeAck,
                                        SendLogReport,
                                        SendFetch,
                                        ReplyFetch,
                                        EnforceVersion,
                                        VersionHeld,
                                        BecomeReady,
                                        StartReading,
                                        StopReading,
                                        ReadLogTail,
                                        AppendCheckpoint,
                                        LogEpochRaised>;
using DistributionActions = std::vector<DistributionAction>;

/// Brings every daemon to the newest version of the configuration and never back.
/// Deterministic; performs no I/O.
///
///     auto distribution = Distribution::Create(options);
///     for (auto& action : distribution->Handle(NoticeReceived{ notice }, now, random)) { ... }
class Distribution
{
public:
  /// Fails when an option is missing or out of range.
  [[nodiscard]] static model::Result<Distribution, DistributionError> Create(
    DistributionOptions aOptions);

  Distribution(Distribution&&) noexcept;
  Distribution& operator=(Distribution&&) noexcept;
  ~Distribution();

  /// Handles one event and returns the actions in the order in which to execute them. Ticks are
  /// due about every 100 ms.
  [[nodiscard]] DistributionActions Handle(const DistributionEvent& aEvent,
                                           model::TimePoint aNow,
                                           model::RandomSource& aRandom);

  /// Returns the configuration in force; null before the first one.
  [[nodiscard]] const model::ConfigurationPtr& Enforced() const noexcept;
  /// Returns the highest complete version, which a reader may hold before it enforces it.
  [[nodiscard]] model::ConfigVersion HeldVersion() const noexcept;
  [[nodiscard]] bool Ready() const noexcept;
  /// Returns when the version in force was last known to be the newest one of the log.
  [[nodiscard]] std::optional<model::TimePoint> CurrentAsOf() const noexcept;
  /// Returns the highest epoch of the log that is known; nothing before the first response.
  [[nodiscard]] std::optional<model::LogEpoch> LogEpoch() const noexcept;
  /// Returns whether this daemon reads the log for its domain.
  [[nodiscard]] bool IsLogReader() const noexcept;

private:
  explicit Distribution(std::unique_ptr<impl::DistributionEngine> aEngine) noexcept;

  std::unique_ptr<impl::DistributionEngine> engine_;
};

} // namespace hemlockproxy::decisions
