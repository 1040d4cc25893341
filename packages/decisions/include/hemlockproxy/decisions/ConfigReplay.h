#pragma once

#include "hemlockproxy/decisions/ConfigRules.h"
#include "hemlockproxy/model/ConfigRecord.h"
#include "hemlockproxy/model/Result.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hemlockproxy::decisions {

/// The record's bytes are not a config record.
struct Undecodable
{
  std::string message_;
};

/// The base version is not the current one.
struct StaleBase
{
  model::ConfigVersion base_;
  model::ConfigVersion current_;
  /// The publication that was accepted on this base; empty when it is no longer remembered, or when
  /// the base is above the current version.
  model::PublicationId winner_;
};

/// The publication was accepted before.
struct RepeatedId
{
  /// The version that it got.
  model::ConfigVersion version_;
};

struct InvalidContent
{
  ContentError error_;
};

struct LoweredLimits
{
  std::vector<LoweredLimit> limits_;
};

using RejectReason =
  std::variant<Undecodable, RepeatedId, StaleBase, InvalidContent, LoweredLimits>;

/// Returns the reason as one line for operators and logs.
[[nodiscard]] std::string ToString(const RejectReason& aReason);

struct Accepted
{
  model::PublicationId id_;
  model::ConfigVersion version_;
};

struct Rejected
{
  /// Empty for an undecodable record.
  model::PublicationId id_;
  RejectReason reason_;
};

/// What a checkpoint record meant to the reader.
enum class CheckpointUse : std::uint8_t
{
  /// The reader had no complete history and starts from it; it must read on from NextOffset().
  Adopted,
  /// It agrees with the state that the reader holds.
  Confirmed,
  /// It is older than the state that the reader holds and cannot be compared.
  Ignored,
  /// Records between the offset that it covers and the first retained one are missing.
  Untrusted,
  /// Its content does not validate, or it covers its own offset.
  Invalid,
  /// It disagrees with the state that the reader holds, which is kept. A fault in some daemon.
  Contradicting,
};

struct CheckpointOutcome
{
  model::ConfigVersion version_;
  CheckpointUse use_ = CheckpointUse::Ignored;
};

/// Why a record changed nothing and was not judged.
enum class SkipReason : std::uint8_t
{
  /// The record is part of the state already.
  AlreadyApplied,
  /// The record is not the one at NextOffset(), from which the reader must read on.
  OutOfOrder,
  /// Records before it are missing and no trusted checkpoint was found yet.
  HistoryMissing,
};

struct Skipped
{
  SkipReason reason_ = SkipReason::AlreadyApplied;
};

using ReplayOutcome = std::variant<Accepted, Rejected, CheckpointOutcome, Skipped>;

/// What became of a state offered by a peer.
enum class PeerStateUse : std::uint8_t
{
  Adopted,
  /// The reader's own state covers the same records or more.
  NotNewer,
  Invalid,
  /// It covers more records, yet has a lower version or other content at the same version.
  Contradicting,
};

/// The two conditions that keep an old configuration from returning. Tests replace them to show
/// what goes wrong without them.
struct ReplayRules
{
  /// Returns whether a publish record may follow the current version.
  bool (*mayFollow_)(model::ConfigVersion aBase, model::ConfigVersion aCurrent);
  /// Returns whether no record is missing between a checkpoint and the first retained record.
  bool (*trustsCheckpoint_)(model::LogOffset aCovered, model::LogOffset aFirstRetained);
};

/// Returns the rules of every daemon and command: base version equal to the current one, and
/// checkpoints that reach the record before the first retained one.
[[nodiscard]] ReplayRules StandardRules() noexcept;

/// Replays the config stream: decides for each record whether it is accepted, in the same way for
/// every reader.
///
///     ConfigReplay replay;
///     // Read from replay.NextOffset(); on 410 call replay.HistoryTrimmed(firstRetained).
///     ReplayOutcome outcome = replay.Apply(frame.offset_, decoded);
///
/// The caller reads from NextOffset() after each outcome, since adopting a checkpoint moves it
/// back to the first record that the checkpoint does not cover.
class ConfigReplay
{
public:
  /// A decoded record, or why its bytes could not be decoded.
  using Input = model::Result<model::ConfigRecord, Undecodable>;

  explicit ConfigReplay(ReplayRules aRules = StandardRules()) noexcept
    : rules_(aRules)
  {
  }

  /// Judges the record at an offset and updates the state.
  [[nodiscard]] ReplayOutcome Apply(model::LogOffset aOffset, const Input& aInput);

  /// Tells that the log no longer holds NextOffset() and begins at aFirstRetained. The state is
  /// kept and a trusted checkpoint is looked for from there.
  void HistoryTrimmed(model::LogOffset aFirstRetained);

  /// Tells the next offset of the log as of the last read.
  void ObserveTail(model::LogOffset aLogNext);

  /// Takes the state of a peer (what MakeCheckpoint returned there) where it covers more records.
  /// Replay goes on behind the records that it covers; where the log no longer holds those, the
  /// reader looks for a trusted checkpoint and keeps this state in the meantime.
  PeerStateUse TakePeerState(const model::CheckpointRecord& aState);

  /// Sets the version that peers remember for this daemon's address; floors only rise.
  void RaiseVersionFloor(model::ConfigVersion aFloor) noexcept;

  /// Returns the state with the last record that it covers, to append as a checkpoint or to hand to
  /// a peer; nothing before the first record.
  [[nodiscard]] std::optional<model::CheckpointRecord> MakeCheckpoint() const;

  /// Returns the configuration that this reader may enforce: one that is complete up to the log's
  /// tail as last seen or was taken from a peer, and not below the version floor; else null.
  [[nodiscard]] model::ConfigurationPtr Enforceable() const;

  [[nodiscard]] model::ConfigVersion Version() const noexcept { return state_.version_; }
  [[nodiscard]] const model::ConfigContent& Content() const noexcept { return state_.content_; }
  [[nodiscard]] const model::LimitFloors& Floors() const noexcept { return state_.floors_; }
  /// Returns the accepted publications that are remembered, oldest first.
  [[nodiscard]] const std::vector<std::pair<model::PublicationId, model::ConfigVersion>>& Recent()
    const noexcept
  {
    return state_.recent_;
  }
  [[nodiscard]] model::LogOffset NextOffset() const noexcept { return next_; }
  /// Returns whether records between the state and NextOffset() are missing.
  [[nodiscard]] bool IsHistoryMissing() const noexcept { return historyMissing_; }
  /// Returns the publication that got a version, or an empty id when it is not remembered.
  [[nodiscard]] model::PublicationId PublicationOf(model::ConfigVersion aVersion) const;

private:
  [[nodiscard]] ReplayOutcome ApplyPublish(const model::PublishRecord& aRecord);
  [[nodiscard]] std::optional<RejectReason> FindRejectReason(
    const model::PublishRecord& aRecord) const;
  [[nodiscard]] CheckpointUse JudgeCheckpoint(model::LogOffset aOffset,
                                              const model::CheckpointRecord& aRecord) const;
  [[nodiscard]] bool Contradicts(const model::CheckpointRecord& aState) const;
  void AcceptContent(const model::PublishRecord& aRecord);
  void SetState(const model::CheckpointRecord& aState);

  ReplayRules rules_;
  /// covered_ is not used here; stateNext_ also expresses that no record is covered.
  model::CheckpointRecord state_;
  model::ConfigurationPtr configuration_;
  /// The first record that the state does not cover.
  model::LogOffset stateNext_;
  model::LogOffset next_;
  bool historyMissing_ = false;
  /// Where the search for a trusted checkpoint began.
  model::LogOffset firstRetained_;
  /// Whether the state has been complete up to the log's tail, or came from a peer.
  bool wasCurrent_ = false;
  model::ConfigVersion versionFloor_;
};

} // namespace hemlockproxy::decisions
