#include "hemlockproxy/decisions/ClaimLedger.h"

#include <algorithm>

namespace hemlockproxy::decisions {

namespace {

using model::ClaimEntry;
using model::LogOffset;
using model::WallTime;

/// 2020-01-01 UTC; 30 bits of seconds reach the year 2054.
constexpr std::chrono::seconds kEpoch{ 1'577'836'800 };
constexpr std::int64_t kLastSecond = (std::int64_t{ 1 } << 30) - 1;
constexpr std::size_t kFirstBuckets = 64;

std::uint32_t ToSeconds(WallTime aTime) noexcept
{
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(aTime.time_since_epoch()) - kEpoch;
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(seconds.count(), 0, kLastSecond));
}

WallTime FromSeconds(std::uint32_t aSeconds) noexcept
{
  return WallTime(kEpoch + std::chrono::seconds(aSeconds));
}

} // namespace

ClaimLedger::ClaimLedger(ClaimLedgerLimits aLimits)
  : limits_(aLimits)
  , buckets_(kFirstBuckets, kNoSlot)
{
}

void ClaimLedger::Start(LogOffset aFirstRetained, LogOffset aNext)
{
  started_ = true;
  first_ = aFirstRetained;
  next_ = aFirstRetained;
  readyAt_ = aNext;
  firstTime_.reset();
  latest_ = {};
  forgottenUntil_ = {};
  slots_.clear();
  oldest_ = 0;
  buckets_.assign(kFirstBuckets, kNoSlot);
}

bool ClaimLedger::Apply(const model::LoggedClaims& aLogged)
{
  if (!started_ || aLogged.offset_ > next_) {
    return false;
  }
  if (aLogged.offset_ < next_) {
    return true;
  }
  if (!firstTime_) {
    firstTime_ = aLogged.appended_;
  }
  latest_ = std::max(latest_, aLogged.appended_);
  Expire();
  for (const ClaimEntry& entry : aLogged.record_.releases_) {
    Release(entry, aLogged.appended_);
  }
  for (const ClaimEntry& entry : aLogged.record_.claims_) {
    Claim(entry, aLogged);
  }
  next_ = next_.Next();
  return true;
}

std::optional<ClaimVerdict> ClaimLedger::Find(const ClaimEntry& aEntry) const noexcept
{
  const Slot* slot = At(FindNumber(aEntry));
  if (slot == nullptr) {
    return std::nullopt;
  }
  return static_cast<ClaimVerdict>(slot->verdict_);
}

std::optional<WallTime> ClaimLedger::AppendTime(const ClaimEntry& aEntry) const noexcept
{
  const Slot* slot = At(FindNumber(aEntry));
  if (slot == nullptr) {
    return std::nullopt;
  }
  return FromSeconds(slot->seconds_);
}

std::size_t ClaimLedger::MemoryBytes() const noexcept
{
  return slots_.size() * sizeof(Slot) + buckets_.size() * sizeof(std::uint32_t);
}

const ClaimLedger::Slot* ClaimLedger::At(std::uint32_t aNumber) const noexcept
{
  // Unsigned distance handles numbers that wrapped around; kNoSlot is never a valid number because
  // Insert skips it.
  const std::uint32_t index = aNumber - oldest_;
  if (aNumber == kNoSlot || index >= slots_.size()) {
    return nullptr;
  }
  return &slots_[index];
}

ClaimLedger::Slot* ClaimLedger::At(std::uint32_t aNumber) noexcept
{
  return const_cast<Slot*>(static_cast<const ClaimLedger*>(this)->At(aNumber));
}

std::uint32_t& ClaimLedger::Bucket(std::uint64_t aKey) noexcept
{
  return buckets_[aKey & (buckets_.size() - 1)];
}

std::uint32_t ClaimLedger::FindNumber(const ClaimEntry& aEntry) const noexcept
{
  std::uint32_t number = buckets_[aEntry.key_.Value() & (buckets_.size() - 1)];
  while (const Slot* slot = At(number)) {
    if (slot->key_ == aEntry.key_.Value() && slot->attempt_ == aEntry.attempt_.low_) {
      return number;
    }
    number = slot->older_;
  }
  return kNoSlot;
}

bool ClaimLedger::Blocks(const Slot& aSlot, WallTime aAt) const noexcept
{
  return static_cast<ClaimVerdict>(aSlot.verdict_) != ClaimVerdict::Released &&
         FromSeconds(aSlot.seconds_) + limits_.window_ > aAt;
}

bool ClaimLedger::IsBlocked(const ClaimEntry& aEntry, WallTime aAt) const noexcept
{
  std::uint32_t number = buckets_[aEntry.key_.Value() & (buckets_.size() - 1)];
  while (const Slot* slot = At(number)) {
    if (slot->key_ == aEntry.key_.Value() && slot->attempt_ != aEntry.attempt_.low_ &&
        Blocks(*slot, aAt)) {
      return true;
    }
    number = slot->older_;
  }
  return false;
}

bool ClaimLedger::Certain(LogOffset aOffset, WallTime aAt) const noexcept
{
  if (aAt < forgottenUntil_) {
    return false;
  }
  // Records that were missing at the start were older than the log's retention then, so they
  // cannot matter to a record appended afterwards.
  return first_ == LogOffset() || aOffset >= readyAt_ ||
         aAt >= *firstTime_ + limits_.window_ + limits_.clockSlack_ + limits_.releaseMemory_;
}

void ClaimLedger::Claim(const ClaimEntry& aEntry, const model::LoggedClaims& aLogged)
{
  const WallTime at = aLogged.appended_;
  if (const Slot* last = At(FindNumber(aEntry))) {
    const WallTime lastAt = FromSeconds(last->seconds_);
    const auto verdict = static_cast<ClaimVerdict>(last->verdict_);
    if (verdict == ClaimVerdict::Released && at <= lastAt + limits_.releaseMemory_) {
      return;
    }
    if (verdict != ClaimVerdict::Released && at < lastAt + limits_.window_) {
      // A repeated claim keeps its first verdict, which may have been acted upon.
      if (ToSeconds(at) > last->seconds_) {
        Insert(aEntry, at, verdict);
      }
      return;
    }
  }
  ClaimVerdict verdict = ClaimVerdict::Granted;
  if (!Certain(aLogged.offset_, at)) {
    verdict = ClaimVerdict::Uncertain;
  } else if (IsBlocked(aEntry, at)) {
    verdict = ClaimVerdict::Duplicate;
  }
  Insert(aEntry, at, verdict);
}

void ClaimLedger::Release(const ClaimEntry& aEntry, WallTime aAt)
{
  std::uint32_t number = Bucket(aEntry.key_.Value());
  while (Slot* slot = At(number)) {
    if (slot->key_ == aEntry.key_.Value() && slot->attempt_ == aEntry.attempt_.low_) {
      slot->verdict_ = static_cast<std::uint32_t>(ClaimVerdict::Released);
    }
    number = slot->older_;
  }
  // The claim may still arrive from a slower resolver; it must then not be granted.
  Insert(aEntry, aAt, ClaimVerdict::Released);
}

void ClaimLedger::Insert(const ClaimEntry& aEntry, WallTime aAt, ClaimVerdict aVerdict)
{
  while (slots_.size() >= limits_.maxClaims_) {
    const WallTime expires = FromSeconds(slots_.front().seconds_) + limits_.window_;
    forgottenUntil_ = std::max(forgottenUntil_, expires);
    RemoveOldest();
  }
  if (oldest_ + static_cast<std::uint32_t>(slots_.size()) == kNoSlot) {
    Rehash(buckets_.size());
  }
  if (slots_.size() >= buckets_.size()) {
    Rehash(buckets_.size() * 2);
  }
  std::uint32_t& head = Bucket(aEntry.key_.Value());
  Slot slot{};
  slot.key_ = aEntry.key_.Value();
  slot.attempt_ = aEntry.attempt_.low_;
  slot.older_ = head;
  slot.seconds_ = ToSeconds(aAt);
  slot.verdict_ = static_cast<std::uint32_t>(aVerdict);
  head = oldest_ + static_cast<std::uint32_t>(slots_.size());
  slots_.push_back(slot);
}

void ClaimLedger::RemoveOldest()
{
  // The oldest slot is the last one of its bucket's list, because new slots are put first.
  std::uint32_t& head = Bucket(slots_.front().key_);
  if (head == oldest_) {
    head = kNoSlot;
  } else {
    Slot* newer = At(head);
    while (newer->older_ != oldest_) {
      newer = At(newer->older_);
    }
    newer->older_ = kNoSlot;
  }
  slots_.pop_front();
  ++oldest_;
}

void ClaimLedger::Expire()
{
  while (!slots_.empty() &&
         FromSeconds(slots_.front().seconds_) + limits_.window_ + limits_.clockSlack_ <= latest_) {
    RemoveOldest();
  }
}

void ClaimLedger::Rehash(std::size_t aBuckets)
{
  buckets_.assign(aBuckets, kNoSlot);
  oldest_ = 0;
  std::uint32_t number = 0;
  for (Slot& slot : slots_) {
    std::uint32_t& head = Bucket(slot.key_);
    slot.older_ = head;
    head = number++;
  }
}

} // namespace hemlockproxy::decisions
