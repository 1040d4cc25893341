#pragma once

#include "hemlockproxy/model/Claim.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace hemlockproxy::decisions {

/// What the stream says of one attempt.
enum class ClaimVerdict : std::uint8_t
{
  /// The attempt holds its key.
  Granted = 0,
  /// Another unreleased claim preceded it.
  Duplicate = 1,
  /// A release names the attempt; it can never be granted again.
  Released = 2,
  /// Earlier records that could matter are missing; the claim blocks others but is not granted.
  Uncertain = 3,
};

struct ClaimLedgerLimits
{
  /// How long an unreleased claim blocks its key, by append times. The log must retain records for
  /// at least window_ + clockSlack_ + releaseMemory_.
  std::chrono::seconds window_{ std::chrono::hours(24) };
  /// How far the log's clock may step back without effect on the verdicts.
  std::chrono::seconds clockSlack_{ std::chrono::minutes(10) };
  /// The most claims held. 4 million take about 128 MB, half of the daemon's control memory; they
  /// are reached at 46 claims per second and shard over 24 hours.
  std::size_t maxClaims_ = 4'000'000;
  /// How long after a release a late claim record of the same attempt is ignored. Later ones block
  /// the key without use.
  std::chrono::seconds releaseMemory_{ std::chrono::minutes(10) };
};

/// The state of one claims shard, a pure function of the stream's records in offset order.
///
/// A claim is granted if and only if no other unreleased claim for its key was appended within the
/// window before it. Refused claims block their key too until they are released, and a repeated
/// claim record blocks for a window of its own. The verdict therefore depends on the records of one
/// window (plus releaseMemory_) only, and ledgers that began at different first retained offsets
/// agree. (If only granted claims blocked, two such ledgers could disagree for ever on a key that
/// is claimed every half window.)
///
/// Memory: 24 bytes per claim or release and 4 to 8 bytes of hash table. Keys and attempts are
/// compared by 64 bits. At maxClaims_ the oldest entry is forgotten, and nothing is granted until
/// it would have expired.
///
///     ledger.Start(firstRetained, next);
///     ledger.Apply({ offset, appended, record });
///     if (ledger.Find(entry) == ClaimVerdict::Granted) { ... }
class ClaimLedger
{
public:
  explicit ClaimLedger(ClaimLedgerLimits aLimits = {});

  /// Forgets everything and expects the record at aFirstRetained. Both offsets come from one
  /// response of the log. Until all records below aNext are applied, Ready() is false.
  void Start(model::LogOffset aFirstRetained, model::LogOffset aNext);

  /// Applies the next record. Returns false and does nothing when records are missing before it;
  /// a record that was applied before is skipped.
  [[nodiscard]] bool Apply(const model::LoggedClaims& aLogged);

  /// Returns whether all records that were retained at the start have been applied.
  [[nodiscard]] bool Ready() const noexcept { return started_ && next_ >= readyAt_; }

  /// Returns the offset of the next record to apply.
  [[nodiscard]] model::LogOffset Next() const noexcept { return next_; }

  /// Returns the verdict on an attempt, or nothing when the stream has not named it.
  [[nodiscard]] std::optional<ClaimVerdict> Find(const model::ClaimEntry& aEntry) const noexcept;

  /// Returns the append time of an attempt's claim, rounded up to a second.
  [[nodiscard]] std::optional<model::WallTime> AppendTime(
    const model::ClaimEntry& aEntry) const noexcept;

  /// Returns whether another attempt blocks the key for a claim that is appended at aAt.
  [[nodiscard]] bool IsBlocked(const model::ClaimEntry& aEntry, model::WallTime aAt) const noexcept;

  /// Returns how many claims and releases are held.
  [[nodiscard]] std::size_t Size() const noexcept { return slots_.size(); }

  /// Returns the bytes held for claims.
  [[nodiscard]] std::size_t MemoryBytes() const noexcept;

private:
  static constexpr std::uint32_t kNoSlot = 0xffffffff;

  struct Slot
  {
    std::uint64_t key_;
    std::uint64_t attempt_;
    /// The number of the next older slot in the same bucket.
    std::uint32_t older_;
    /// Seconds since kEpoch and the verdict.
    std::uint32_t seconds_ : 30;
    std::uint32_t verdict_ : 2;
  };
  static_assert(sizeof(Slot) == 24);

  [[nodiscard]] const Slot* At(std::uint32_t aNumber) const noexcept;
  [[nodiscard]] Slot* At(std::uint32_t aNumber) noexcept;
  [[nodiscard]] std::uint32_t FindNumber(const model::ClaimEntry& aEntry) const noexcept;
  [[nodiscard]] bool Blocks(const Slot& aSlot, model::WallTime aAt) const noexcept;
  [[nodiscard]] bool Certain(model::LogOffset aOffset, model::WallTime aAt) const noexcept;
  [[nodiscard]] std::uint32_t& Bucket(std::uint64_t aKey) noexcept;
  void Claim(const model::ClaimEntry& aEntry, const model::LoggedClaims& aLogged);
  void Release(const model::ClaimEntry& aEntry, model::WallTime aAt);
  void Insert(const model::ClaimEntry& aEntry, model::WallTime aAt, ClaimVerdict aVerdict);
  void RemoveOldest();
  void Expire();
  void Rehash(std::size_t aBuckets);

  ClaimLedgerLimits limits_;
  bool started_ = false;
  model::LogOffset first_;
  model::LogOffset next_;
  model::LogOffset readyAt_;
  std::optional<model::WallTime> firstTime_;
  model::WallTime latest_{};
  /// Claims up to one window before this time were forgotten for lack of memory.
  model::WallTime forgottenUntil_{};
  std::deque<Slot> slots_;
  /// The number of slots_.front(); numbers wrap around.
  std::uint32_t oldest_ = 0;
  /// The newest slot of each bucket; the size is a power of two.
  std::vector<std::uint32_t> buckets_;
};

} // namespace hemlockproxy::decisions
