#pragma once

#include "hemlockproxy/decisions/MembershipMessages.h"
#include "hemlockproxy/model/Clock.h"

#include <array>
#include <map>
#include <set>
#include <vector>

namespace hemlockproxy::decisions::impl {

/// One known member.
struct KnownMember
{
  MemberRecordPtr record_;
  /// When the state became what it is now.
  model::TimePoint since_;
};

/// Returns whether the member takes part in the protocol.
[[nodiscard]] inline bool IsLive(model::MemberState aState) noexcept
{
  return aState == model::MemberState::Alive || aState == model::MemberState::Suspect;
}

/// All known members with the digests of each domain's live members.
///
/// Records merge in any order to the same result: a higher incarnation replaces the record; at
/// equal incarnation the higher sequence gives the content and the higher state wins.
class MemberTable
{
public:
  /// Merges a record; returns the changed record, or null when it brings nothing new.
  MemberRecordPtr Merge(const MemberRecordPtr& aRecord, model::TimePoint aNow);
  /// Merges a state claim; returns the changed record, or null.
  MemberRecordPtr Merge(const StateClaim& aClaim, model::TimePoint aNow);
  void Erase(const model::DaemonId& aId);

  [[nodiscard]] const KnownMember* Find(const model::DaemonId& aId) const;
  [[nodiscard]] const std::map<model::DaemonId, KnownMember>& All() const noexcept
  {
    return members_;
  }
  /// Returns the ids of live members of the domain.
  [[nodiscard]] const std::set<model::DaemonId>& Live(const model::FailureDomain& aDomain) const;
  [[nodiscard]] std::vector<model::FailureDomain> Domains() const;
  [[nodiscard]] std::uint64_t Digest(const model::FailureDomain& aDomain) const;
  [[nodiscard]] BucketDigests Buckets(const model::FailureDomain& aDomain) const;
  [[nodiscard]] static std::size_t BucketOf(const model::DaemonId& aId) noexcept;

private:
  struct Domain
  {
    std::set<model::DaemonId> live_;
    /// Sums of the hashes of live records, so that members are added and removed in any order.
    std::array<std::uint64_t, kDigestBuckets> sums_{};
    std::size_t records_ = 0;
  };

  MemberRecordPtr Store(const MemberRecordPtr& aRecord, model::TimePoint aNow);
  void Count(const model::MemberRecord& aRecord, bool aAdd);

  std::map<model::DaemonId, KnownMember> members_;
  std::map<model::FailureDomain, Domain> domains_;
};

} // namespace hemlockproxy::decisions::impl
