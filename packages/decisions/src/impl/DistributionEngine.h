#pragma once

#include "hemlockproxy/decisions/Distribution.h"
#include "impl/ReaderRoster.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace hemlockproxy::decisions::impl {

/// The state behind Distribution. Its parts live in DistributionEngine.cpp (events, enforcement,
/// roles), DistributionFetch.cpp and DistributionLog.cpp.
class DistributionEngine
{
public:
  explicit DistributionEngine(DistributionOptions aOptions);

  DistributionActions Handle(const DistributionEvent& aEvent,
                             model::TimePoint aNow,
                             model::RandomSource& aRandom);

  [[nodiscard]] const model::ConfigurationPtr& Enforced() const noexcept { return enforced_; }
  [[nodiscard]] model::ConfigVersion HeldVersion() const noexcept;
  [[nodiscard]] bool Ready() const noexcept { return ready_; }
  [[nodiscard]] bool IsLogReader() const noexcept { return reading_; }
  [[nodiscard]] std::optional<model::LogEpoch> LogEpoch() const noexcept { return logEpoch_; }
  [[nodiscard]] std::optional<model::TimePoint> CurrentAsOf() const noexcept
  {
    return currentAsOf_;
  }

private:
  /// A version, and when it was the newest one of the log.
  struct Newest
  {
    model::ConfigVersion version_;
    model::TimePoint asOf_;
  };
  struct Fetch
  {
    model::DaemonId from_;
    model::TimePoint deadline_;
  };

  void On(const DistributionTick& aEvent);
  void On(const PeersChanged& aEvent);
  void On(const PeerVersionReported& aEvent);
  void On(const NoticeReceived& aEvent);
  void On(const NoticeAckReceived& aEvent);
  void On(const FetchRequested& aEvent);
  void On(const FetchResponded& aEvent);
  void On(const FetchFailed& aEvent);
  void On(const LogVersionAccepted& aEvent);
  void On(const LogTailReached& aEvent);
  void On(const LogReadFailed& aEvent);
  void On(const LogEpochSeen& aEvent);
  void On(const LogReportReceived& aEvent);
  void On(const LogRecordsRead& aEvent);
  void On(const CheckpointRead& aEvent);
  void On(const VersionFloorRaised& aEvent);
  void On(const VersionFloorSettled& aEvent);

  // Versions and enforcement.
  void Hold(model::ConfigurationPtr aConfiguration, HandoverPtr aHandover);
  void TryEnforce();
  [[nodiscard]] bool StartRuleMet() const;
  [[nodiscard]] bool NeedsAcknowledgement() const;
  [[nodiscard]] bool IsOwnPeer(const model::DaemonId& aId) const;
  void NoteHolder(const model::DaemonId& aId, model::ConfigVersion aVersion);
  void SendNotices(bool aAckWanted, const model::DaemonId* aExcept);
  [[nodiscard]] std::vector<model::DaemonId> NoticePeers() const;
  [[nodiscard]] std::chrono::milliseconds Jitter(std::chrono::milliseconds aBound);

  // Fetching.
  void Want(const model::DaemonId& aSource,
            model::ConfigVersion aVersion,
            std::chrono::milliseconds aDelay);
  void TickFetch();
  void FailFetch(const model::DaemonId& aFrom);
  [[nodiscard]] std::optional<model::DaemonId> ChooseSource();
  [[nodiscard]] model::ConfigurationPtr Assemble(const FetchResponse& aResponse) const;

  // Log.
  void UpdateRole();
  void TickReport();
  void NoteLogEpoch(model::LogEpoch aEpoch);
  /// Returns whether the end of the log proves what the newest version is.
  [[nodiscard]] bool IsTailTrusted() const;
  /// Reports the age of the last read of the log's end; nothing means that the log cannot be read.
  void SendReports(std::optional<model::Duration> aAge);
  /// Sends a report to the members that get none from the readers themselves.
  void PassOn(const LogReport& aReport);
  /// Takes in that the log held nothing newer than a version at a time.
  void NoteNewest(const Newest& aNewest);
  /// Takes the time of the newest version over if that version or a higher one is in force.
  void UpdateCurrentAsOf();
  void TickLog();
  void TickCheckpoint();
  [[nodiscard]] bool CheckpointDue() const;

  DistributionOptions options_;
  PeerView peers_;
  model::ConfigurationPtr held_;
  HandoverPtr handover_;
  model::ConfigurationPtr enforced_;
  bool ready_ = false;
  /// The highest version that another daemon of the own domain is known to hold; of any domain
  /// where this daemon is alone in its own.
  model::ConfigVersion peerHolds_;
  /// When the oldest version was taken in that waits for a peer to hold it or a newer one.
  model::TimePoint unacknowledgedSince_;
  bool heldFromPeer_ = false;
  model::ConfigVersion floor_;
  bool floorSettled_ = false;
  bool tailReached_ = false;

  // Valid while Handle runs.
  model::TimePoint now_;
  model::RandomSource* random_ = nullptr;
  DistributionActions out_;
  bool started_ = false;

  /// Peers to acknowledge to, with the version that they announced.
  std::map<model::DaemonId, model::ConfigVersion> ackTo_;
  model::TimePoint nextNotice_;

  std::map<model::DaemonId, model::ConfigVersion> sources_;
  std::set<model::DaemonId> failed_;
  std::optional<Fetch> fetch_;
  model::TimePoint nextFetch_;
  std::chrono::milliseconds fetchBackoff_{ 0 };

  ReaderRoster roster_;
  bool reading_ = false;
  /// When the log was last read to its end; nothing while it cannot be read.
  std::optional<model::TimePoint> tailAsOf_;
  model::TimePoint nextReport_;
  model::TimePoint nextPassOn_;
  /// The newest version of the log as far as known.
  Newest newest_;
  std::optional<model::TimePoint> currentAsOf_;
  std::optional<model::LogEpoch> logEpoch_;
  /// From then on a starting daemon no longer waits for its floor.
  model::TimePoint restoredLogTrusted_;
  model::TimePoint logAllowed_;
  model::TimePoint nextTailRead_;
  std::size_t recordsSince_ = 0;
  model::TimePoint lastCheckpoint_;
  std::optional<model::TimePoint> checkpointAt_;
};

} // namespace hemlockproxy::decisions::impl
