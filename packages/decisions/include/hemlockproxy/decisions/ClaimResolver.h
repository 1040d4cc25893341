#pragma once

#include "hemlockproxy/decisions/ClaimLedger.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace hemlockproxy::decisions {

/// An entry asks for a key. A repeated request with the same attempt is answered once more.
struct ClaimRequested
{
  model::ClaimEntry entry_;
  /// When the entry stops waiting; the answer is Unavailable or NotClaimed from then on.
  model::TimePoint deadline_;
};

/// An entry gives up an attempt that has not run and never will.
struct ReleaseRequested
{
  model::ClaimEntry entry_;
  model::TimePoint deadline_;
};

/// The append in flight took effect at this offset.
struct AppendSucceeded
{
  model::LogOffset offset_;
};

/// The log refused the append (429 or 503): it had no effect.
struct AppendFailed
{};

/// No response: the append may have taken effect, or may still do so.
struct AppendUnknown
{};

/// The response to the read in flight.
struct RecordsRead
{
  model::LogOffset firstRetained_;
  model::LogOffset next_;
  std::vector<model::LoggedClaims> records_;
};

/// The read in flight asked for records that are no longer retained (410).
struct ReadTrimmed
{
  model::LogOffset firstRetained_;
  model::LogOffset next_;
};

struct ReadFailed
{};

/// Time has passed; see ClaimResolver::NextTick.
struct ResolverTick
{};

using ResolverEvent = std::variant<ClaimRequested,
                                   ReleaseRequested,
                                   AppendSucceeded,
                                   AppendFailed,
                                   AppendUnknown,
                                   RecordsRead,
                                   ReadTrimmed,
                                   ReadFailed,
                                   ResolverTick>;

/// Append this record to the shard's stream; one append is in flight at a time. The caller reports
/// exactly one of AppendSucceeded, AppendFailed and AppendUnknown.
struct AppendBatch
{
  model::ClaimRecord record_;
};

/// Read records from an offset, waiting up to wait_ when there are none; one read is in flight at
/// a time. The caller reports exactly one of RecordsRead, ReadTrimmed and ReadFailed. Records that
/// do not decode are reported as empty, so that offsets stay contiguous.
struct ReadRecords
{
  model::LogOffset offset_;
  std::chrono::milliseconds wait_{ 0 };
};

struct AnswerClaim
{
  model::ClaimEntry entry_;
  model::ClaimAnswer answer_ = model::ClaimAnswer::Unavailable;
  /// Set if and only if the answer is Granted.
  std::optional<model::ClaimGrant> grant_;
};

struct AnswerRelease
{
  model::ClaimEntry entry_;
  /// Whether the release was read back from the stream.
  bool recorded_ = false;
};

using ResolverAction = std::variant<AppendBatch, ReadRecords, AnswerClaim, AnswerRelease>;

struct ClaimResolverLimits
{
  /// Batches are limited by a token bucket: one token per interval and up to the burst. Any second
  /// holds at most 15 appends, and a busy resolver makes 10 per second. Without a burst a claim
  /// that follows another one within the interval has to wait even at low load.
  std::chrono::milliseconds appendInterval_{ 100 };
  int appendBurst_ = 5;
  /// Bounds the batch too: 4096 claims take about 98 KB.
  std::size_t maxWaiting_ = 4096;
  /// After a failure the next try waits this long, doubled up to the maximum.
  std::chrono::milliseconds firstBackoff_{ 100 };
  std::chrono::milliseconds maxBackoff_{ 2000 };
  /// Reads of an idle resolver, which keep its ledger near the end of the stream.
  std::chrono::milliseconds idleReadInterval_{ 10000 };
  /// How long a read waits for a record that the log has acknowledged.
  std::chrono::milliseconds readWait_{ 200 };
  /// How long after an own append the resolver trusts its estimate of the log's clock. Within that
  /// time a claim for a blocked key is answered after a read, without an append.
  std::chrono::seconds clockTrust_{ 60 };
  /// How long a resolver tries to append the release of a duplicate.
  std::chrono::seconds ownReleaseTime_{ 30 };
};

/// Resolves claims of one shard for the entries of a failure domain.
///
/// Every answer but Unavailable and NotClaimed follows from the stream: a claim is answered once
/// the resolver has read the attempt's record in stream order, whoever appended it. Any number of
/// resolvers may work on a shard, may pause or restart: their ledgers agree. A claim whose append
/// has an unknown outcome is appended again only after the stream has been read to its end; the
/// ledger ignores the repetition.
///
/// The resolver releases an attempt by itself only when the stream says that it is a duplicate.
/// After Unavailable the attempt may still be granted by the stream or by another resolver, and
/// only the entry knows whether it has been run, so the entry requests the release. A key whose
/// release is lost stays claimed for the window, which is safe.
///
/// A claim after a quiet time is appended at once; see appendInterval_ for the limit.
class ClaimResolver
{
public:
  explicit ClaimResolver(ClaimResolverLimits aLimits = {}, ClaimLedgerLimits aLedgerLimits = {});

  /// Takes an event and returns what to do, in order. Call it with ResolverTick once at the start.
  [[nodiscard]] std::vector<ResolverAction> Handle(const ResolverEvent& aEvent,
                                                   model::TimePoint aNow);

  /// Returns when Handle(ResolverTick) is due next, if nothing else happens before.
  [[nodiscard]] model::TimePoint NextTick(model::TimePoint aNow) const noexcept;

  /// Returns whether the stream has been read up to the end that it had at the start.
  [[nodiscard]] bool Ready() const noexcept { return ledger_.Ready(); }

  [[nodiscard]] const ClaimLedger& Ledger() const noexcept { return ledger_; }

  /// Returns the claims that wait for an answer.
  [[nodiscard]] std::size_t Waiting() const noexcept { return claims_.size(); }

private:
  using Actions = std::vector<ResolverAction>;

  enum class Stage : std::uint8_t
  {
    /// Goes into the next batch.
    Queued,
    /// The key is blocked; a read decides whether it still is.
    Checking,
    /// In the append in flight.
    Appending,
    /// Appended and not yet read back.
    Appended,
  };

  struct PendingClaim
  {
    model::ClaimEntry entry_;
    model::TimePoint deadline_;
    std::uint64_t arrival_ = 0;
    Stage stage_ = Stage::Queued;
    /// Checking ends when a read with at least this number has reached the end of the stream.
    std::uint64_t checkedBy_ = 0;
    /// Whether the claim was part of an append that was not certainly refused.
    bool maybeRecorded_ = false;
  };

  struct PendingRelease
  {
    model::ClaimEntry entry_;
    model::TimePoint deadline_;
    Stage stage_ = Stage::Queued;
    /// Whether an entry waits for AnswerRelease.
    bool answer_ = false;
  };

  struct LastAppend
  {
    model::TimePoint started_;
    std::optional<model::LogOffset> offset_;
  };

  void On(const ClaimRequested& aEvent, model::TimePoint aNow, Actions& aOut);
  void On(const ReleaseRequested& aEvent, model::TimePoint aNow, Actions& aOut);
  void On(const AppendSucceeded& aEvent, model::TimePoint aNow, Actions& aOut);
  void On(const AppendFailed& aEvent, model::TimePoint aNow, Actions& aOut);
  void On(const AppendUnknown& aEvent, model::TimePoint aNow, Actions& aOut);
  void On(const RecordsRead& aEvent, model::TimePoint aNow, Actions& aOut);
  void On(const ReadTrimmed& aEvent, model::TimePoint aNow, Actions& aOut);
  void On(const ReadFailed& aEvent, model::TimePoint aNow, Actions& aOut);
  void On(const ResolverTick& aEvent, model::TimePoint aNow, Actions& aOut);

  void ExpireDeadlines(model::TimePoint aNow, Actions& aOut);
  void StartAppend(model::TimePoint aNow, Actions& aOut);
  void StartRead(model::TimePoint aNow, Actions& aOut);
  void Restart(model::LogOffset aFirstRetained, model::LogOffset aNext);
  void MoveStage(Stage aOld, Stage aNew);
  void EndFailedAppend(model::TimePoint aNow, bool aMaybeRecorded);
  void FinishChecks(model::TimePoint aNow, Actions& aOut);
  void AnswerFromLedger(const model::ClaimEntry& aEntry, ClaimVerdict aVerdict, Actions& aOut);
  void AnswerRecord(const model::LoggedClaims& aLogged, model::TimePoint aNow, Actions& aOut);
  void NoteDeadline(model::TimePoint aDeadline) noexcept;
  [[nodiscard]] bool HasQueued() const noexcept;
  [[nodiscard]] model::TimePoint AppendAllowedAt() const noexcept;
  [[nodiscard]] bool IsBlocked(const model::ClaimEntry& aEntry,
                               model::TimePoint aNow) const noexcept;
  [[nodiscard]] bool ReadWanted(model::TimePoint aNow) const noexcept;
  [[nodiscard]] std::chrono::milliseconds NextBackoff(std::chrono::milliseconds aLast) const;

  ClaimResolverLimits limits_;
  ClaimLedger ledger_;
  bool started_ = false;
  std::map<model::AttemptId, PendingClaim> claims_;
  std::map<model::AttemptId, PendingRelease> releases_;
  std::uint64_t arrivals_ = 0;
  model::TimePoint nextDeadline_ = model::TimePoint::max();

  /// The log's clock at the append of an own record, and the local time when that append began.
  struct ClockReading
  {
    model::WallTime log_;
    model::TimePoint local_;
  };
  std::optional<ClockReading> clock_;
  LastAppend lastAppend_;

  bool appendInFlight_ = false;
  /// No append before this time because of a failure.
  model::TimePoint appendNotBefore_ = model::TimePoint::min();
  /// When the token bucket is full again.
  model::TimePoint bucketFullAt_ = model::TimePoint::min();
  std::chrono::milliseconds appendBackoff_{ 0 };
  /// Appends wait until the stream has been read to its end by this read.
  std::uint64_t appendAfterRead_ = 0;

  bool readInFlight_ = false;
  std::uint64_t reads_ = 0;
  /// The number of the last read that reached the end of the stream.
  std::uint64_t endReachedBy_ = 0;
  model::TimePoint readNotBefore_ = model::TimePoint::min();
  std::chrono::milliseconds readBackoff_{ 0 };
  model::TimePoint idleReadAt_ = model::TimePoint::min();
  /// Records below this offset are known to exist.
  model::LogOffset known_;
};

} // namespace hemlockproxy::decisions
