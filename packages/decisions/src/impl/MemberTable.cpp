#include "impl/MemberTable.h"

#include "hemlockproxy/model/Digest.h"

#include <algorithm>
#include <utility>

namespace hemlockproxy::decisions::impl {

namespace {

/// Hashes what the member itself decides. Suspicion is left out, since it is often refuted.
std::uint64_t RecordHash(const model::MemberRecord& aRecord) noexcept
{
  constexpr std::uint64_t kSpread = 0x9e3779b97f4a7c15ULL;
  const std::uint64_t position = aRecord.incarnation_ * kSpread + aRecord.sequence_;
  return model::Hash64(aRecord.id_.Value(), position);
}

} // namespace

MemberRecordPtr MemberTable::Merge(const MemberRecordPtr& aRecord, model::TimePoint aNow)
{
  const auto found = members_.find(aRecord->id_);
  if (found == members_.end()) {
    return Store(aRecord, aNow);
  }
  const model::MemberRecord& known = *found->second.record_;
  if (aRecord->incarnation_ < known.incarnation_) {
    return nullptr;
  }
  if (aRecord->incarnation_ > known.incarnation_) {
    return Store(aRecord, aNow);
  }
  model::MemberRecord merged = aRecord->sequence_ > known.sequence_ ? *aRecord : known;
  merged.state_ = std::max(aRecord->state_, known.state_);
  if (merged.state_ == known.state_ && merged.sequence_ == known.sequence_) {
    return nullptr;
  }
  return Store(std::make_shared<const model::MemberRecord>(std::move(merged)), aNow);
}

MemberRecordPtr MemberTable::Merge(const StateClaim& aClaim, model::TimePoint aNow)
{
  const auto found = members_.find(aClaim.id_);
  if (found == members_.end()) {
    return nullptr;
  }
  const model::MemberRecord& known = *found->second.record_;
  // A claim of a higher incarnation holds for the unknown newer record as well.
  const bool newer = aClaim.incarnation_ > known.incarnation_ ||
                     (aClaim.incarnation_ == known.incarnation_ && aClaim.state_ > known.state_);
  if (!newer) {
    return nullptr;
  }
  model::MemberRecord changed = known;
  if (aClaim.incarnation_ > known.incarnation_) {
    // The content of that incarnation is unknown; sequence 0 lets any record of it replace this.
    changed.sequence_ = 0;
  }
  changed.incarnation_ = aClaim.incarnation_;
  changed.state_ = aClaim.state_;
  return Store(std::make_shared<const model::MemberRecord>(std::move(changed)), aNow);
}

void MemberTable::Erase(const model::DaemonId& aId)
{
  if (const auto found = members_.find(aId); found != members_.end()) {
    const MemberRecordPtr record = found->second.record_;
    Count(*record, false);
    members_.erase(found);
    if (domains_[record->domain_].records_ == 0) {
      domains_.erase(record->domain_);
    }
  }
}

const KnownMember* MemberTable::Find(const model::DaemonId& aId) const
{
  const auto found = members_.find(aId);
  return found == members_.end() ? nullptr : &found->second;
}

const std::set<model::DaemonId>& MemberTable::Live(const model::FailureDomain& aDomain) const
{
  static const std::set<model::DaemonId> kNone;
  const auto found = domains_.find(aDomain);
  return found == domains_.end() ? kNone : found->second.live_;
}

std::vector<model::FailureDomain> MemberTable::Domains() const
{
  std::vector<model::FailureDomain> names;
  for (const auto& [name, domain] : domains_) {
    names.push_back(name);
  }
  return names;
}

std::uint64_t MemberTable::Digest(const model::FailureDomain& aDomain) const
{
  const auto found = domains_.find(aDomain);
  if (found == domains_.end()) {
    return 0;
  }
  std::uint64_t sum = 0;
  for (const std::uint64_t bucket : found->second.sums_) {
    sum += bucket;
  }
  return sum;
}

BucketDigests MemberTable::Buckets(const model::FailureDomain& aDomain) const
{
  BucketDigests digests{};
  if (const auto found = domains_.find(aDomain); found != domains_.end()) {
    constexpr unsigned kHalf = 32;
    for (std::size_t i = 0; i < kDigestBuckets; ++i) {
      digests[i] = static_cast<std::uint32_t>(found->second.sums_[i] >> kHalf);
    }
  }
  return digests;
}

std::size_t MemberTable::BucketOf(const model::DaemonId& aId) noexcept
{
  return model::Hash64(aId.Value()) % kDigestBuckets;
}

MemberRecordPtr MemberTable::Store(const MemberRecordPtr& aRecord, model::TimePoint aNow)
{
  KnownMember& known = members_[aRecord->id_];
  const bool stateChanged = !known.record_ || known.record_->state_ != aRecord->state_ ||
                            known.record_->incarnation_ != aRecord->incarnation_;
  if (known.record_) {
    Count(*known.record_, false);
  }
  known.record_ = aRecord;
  if (stateChanged) {
    known.since_ = aNow;
  }
  Count(*aRecord, true);
  return aRecord;
}

void MemberTable::Count(const model::MemberRecord& aRecord, bool aAdd)
{
  Domain& domain = domains_[aRecord.domain_];
  aAdd ? ++domain.records_ : --domain.records_;
  if (!IsLive(aRecord.state_)) {
    return;
  }
  std::uint64_t& sum = domain.sums_[BucketOf(aRecord.id_)];
  if (aAdd) {
    domain.live_.insert(aRecord.id_);
    sum += RecordHash(aRecord);
  } else {
    domain.live_.erase(aRecord.id_);
    sum -= RecordHash(aRecord);
  }
}

} // namespace hemlockproxy::decisions::impl
