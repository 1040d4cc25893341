#include "impl/MembershipEngine.h"

#include "hemlockproxy/decisions/RendezvousHash.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <utility>

namespace hemlockproxy::decisions::impl {

namespace {

/// Differences that do not fit into this many datagrams wait for the next exchange.
constexpr std::size_t kMaxDeltaDatagrams = 8;
/// Domains smaller than this are never worth a full sync over HTTP.
constexpr std::size_t kSyncMembers = 48;

bool Ahead(std::uint64_t aIncarnation, std::uint64_t aSequence, const MemberStamp& aOther) noexcept
{
  return aIncarnation != aOther.incarnation_ ? aIncarnation > aOther.incarnation_
                                             : aSequence > aOther.sequence_;
}

Update AsUpdate(const MemberRecordPtr& aRecord)
{
  if (IsLive(aRecord->state_)) {
    return WithoutSuspicion(aRecord);
  }
  return StateClaim{ aRecord->id_, aRecord->incarnation_, aRecord->state_ };
}

} // namespace

void MembershipEngine::TickRoles()
{
  if (changedDomains_.empty()) {
    return;
  }
  bool rolesChanged = changedDomains_.contains(options_.domain_);
  for (const model::FailureDomain& domain : std::exchange(changedDomains_, {})) {
    const auto& live = table_.Live(domain);
    auto relays = ChooseByRendezvous(
      "relay", std::vector<model::DaemonId>(live.begin(), live.end()), options_.relays_);
    rolesChanged = rolesChanged || relays != relays_[domain];
    relays_[domain] = std::move(relays);
  }
  if (!rolesChanged) {
    return;
  }
  const auto& own = relays_[options_.domain_];
  // A starting daemon knows only itself and would publish a view that all others pass on.
  const bool isRelay = joined_ && std::find(own.begin(), own.end(), options_.id_) != own.end();
  if (isRelay && !relay_) {
    // A new relay starts from what the others found, and gives each domain time to respond.
    for (const model::FailureDomain& domain : table_.Domains()) {
      if (Reachable(domain)) {
        lastHeard_[domain] = now_;
      }
    }
    PublishView({ unreachable_.begin(), unreachable_.end() });
  }
  relay_ = isRelay;
  RecomputeReachability();
  out_.emplace_back(RolesChanged{});
}

void MembershipEngine::TickDigest()
{
  if (now_ < nextDigest_) {
    return;
  }
  nextDigest_ = now_ + options_.digestInterval_ / 2 + Jitter(options_.digestInterval_);
  if (!relay_) {
    return;
  }
  for (const model::FailureDomain& domain : table_.Domains()) {
    if (domain != options_.domain_) {
      OfferTo(domain);
    }
  }
  UpdateOwnView();
}

void MembershipEngine::OfferTo(const model::FailureDomain& aDomain)
{
  const auto& live = table_.Live(aDomain);
  if (live.empty()) {
    return;
  }
  const auto [heard, isNew] = lastHeard_.try_emplace(aDomain, now_);
  // The known relays of a silent domain may have been replaced, so any member may respond.
  const bool silent = now_ - heard->second > 2 * options_.digestInterval_;
  if (silent) {
    OfferDigest(*std::next(live.begin(), static_cast<std::ptrdiff_t>((*random_)() % live.size())));
  } else {
    OfferDigest(PickFrom(relays_[aDomain]));
  }
}

void MembershipEngine::OfferDigest(const model::DaemonId& aTo)
{
  DigestOffer offer;
  for (const model::FailureDomain& domain : table_.Domains()) {
    offer.domains_.push_back(DomainDigest{ domain, table_.Digest(domain) });
  }
  SendWithViews(*AddressOf(aTo), aTo, std::move(offer));
}

void MembershipEngine::SendWithViews(const model::Address& aTo,
                                     const model::DaemonId& aToId,
                                     DatagramBody aBody)
{
  Datagram datagram{ options_.id_, version_, {}, std::move(aBody), {} };
  if (!IsForeign(aToId)) {
    // Digests do not cover the views, so lost ones are repaired by sending them along.
    for (const model::DaemonId& relay : Relays(options_.domain_)) {
      if (const auto view = views_.find(relay); view != views_.end()) {
        datagram.updates_.emplace_back(view->second);
      }
    }
  }
  out_.emplace_back(SendDatagram{ aTo, std::move(datagram) });
}

void MembershipEngine::TickRepair()
{
  if (now_ < nextRepair_) {
    return;
  }
  nextRepair_ = now_ + options_.repairInterval_ / 2 + Jitter(options_.repairInterval_);
  std::vector<model::DaemonId> peers(table_.Live(options_.domain_).begin(),
                                     table_.Live(options_.domain_).end());
  std::erase(peers, options_.id_);
  if (!peers.empty()) {
    OfferDigest(PickFrom(peers));
  }
}

void MembershipEngine::OnBody(const DatagramReceived& aEvent, const DigestOffer& aOffer)
{
  DigestReply reply;
  std::vector<model::FailureDomain> offered;
  for (const DomainDigest& domain : aOffer.domains_) {
    offered.push_back(domain.domain_);
    if (table_.Digest(domain.domain_) != domain.digest_) {
      reply.domains_.emplace_back(domain.domain_, table_.Buckets(domain.domain_));
    }
  }
  for (const model::FailureDomain& domain : table_.Domains()) {
    if (std::find(offered.begin(), offered.end(), domain) == offered.end()) {
      reply.domains_.emplace_back(domain, table_.Buckets(domain));
    }
  }
  SendWithViews(aEvent.from_, aEvent.datagram_.from_, std::move(reply));
}

void MembershipEngine::OnBody(const DatagramReceived& aEvent, const DigestReply& aReply)
{
  for (const auto& [domain, theirs] : aReply.domains_) {
    const BucketDigests ours = table_.Buckets(domain);
    std::uint16_t differing = 0;
    for (std::size_t i = 0; i < kDigestBuckets; ++i) {
      if (ours[i] != theirs[i]) {
        differing = static_cast<std::uint16_t>(differing | (1U << i));
      }
    }
    const auto count = static_cast<std::size_t>(std::popcount(differing));
    const bool large = table_.Live(domain).size() >= kSyncMembers || table_.Live(domain).empty();
    if (count > options_.syncBuckets_ && large) {
      out_.emplace_back(SendSync{ aEvent.from_, SyncRequest{ self_, version_, domain } });
    } else if (differing != 0) {
      SendEntries(aEvent.from_, domain, differing);
    }
  }
}

void MembershipEngine::SendEntries(const model::Address& aTo,
                                   const model::FailureDomain& aDomain,
                                   std::uint16_t aBuckets)
{
  std::array<std::vector<MemberStamp>, kDigestBuckets> buckets;
  for (const auto& [id, known] : table_.All()) {
    const model::MemberRecord& record = *known.record_;
    const std::size_t bucket = MemberTable::BucketOf(id);
    if (record.domain_ == aDomain && (aBuckets >> bucket & 1U) != 0) {
      const auto state = IsLive(record.state_) ? model::MemberState::Alive : record.state_;
      buckets[bucket].push_back(MemberStamp{ id, record.incarnation_, record.sequence_, state });
    }
  }
  const std::size_t room =
    (options_.datagramBytes_ - kDatagramHeaderBytes - aDomain.Value().size()) / kStampBytes;
  BucketEntries entries{ aDomain, 0, {} };
  std::size_t sent = 0;
  for (std::size_t i = 0; i < kDigestBuckets && sent < kMaxDeltaDatagrams; ++i) {
    if (buckets[i].size() > room) {
      out_.emplace_back(SendSync{ aTo, SyncRequest{ self_, version_, aDomain } });
      return;
    }
    if ((aBuckets >> i & 1U) == 0) {
      continue;
    }
    if (entries.entries_.size() + buckets[i].size() > room) {
      Send(aTo, std::exchange(entries, BucketEntries{ aDomain, 0, {} }));
      ++sent;
    }
    entries.buckets_ = static_cast<std::uint16_t>(entries.buckets_ | (1U << i));
    entries.entries_.insert(entries.entries_.end(), buckets[i].begin(), buckets[i].end());
  }
  if (entries.buckets_ != 0 && sent < kMaxDeltaDatagrams) {
    Send(aTo, std::move(entries));
  }
}

void MembershipEngine::OnBody(const DatagramReceived& aEvent, const BucketEntries& aEntries)
{
  std::vector<Update> records;
  std::vector<model::DaemonId> wanted;
  std::set<model::DaemonId> listed;
  for (const MemberStamp& stamp : aEntries.entries_) {
    listed.insert(stamp.id_);
    const KnownMember* known = table_.Find(stamp.id_);
    if (known == nullptr) {
      if (IsLive(stamp.state_)) {
        wanted.push_back(stamp.id_);
      }
      continue;
    }
    const model::MemberRecord& record = *known->record_;
    if (Ahead(record.incarnation_, record.sequence_, stamp) ||
        (record.incarnation_ == stamp.incarnation_ && !IsLive(record.state_) &&
         record.state_ > stamp.state_)) {
      records.push_back(AsUpdate(known->record_));
    } else if (!IsLive(stamp.state_)) {
      ApplyClaim(StateClaim{ stamp.id_, stamp.incarnation_, stamp.state_ }, true);
    } else if (stamp.incarnation_ > record.incarnation_ ||
               (stamp.incarnation_ == record.incarnation_ && stamp.sequence_ > record.sequence_)) {
      if (stamp.id_ == options_.id_) {
        Refute(stamp.incarnation_);
        records.emplace_back(self_);
      } else {
        wanted.push_back(stamp.id_);
      }
    }
  }
  for (const model::DaemonId& id : table_.Live(aEntries.domain_)) {
    if ((aEntries.buckets_ >> MemberTable::BucketOf(id) & 1U) != 0 && !listed.contains(id)) {
      records.push_back(AsUpdate(table_.Find(id)->record_));
    }
  }
  SendDelta(aEvent.from_, records, wanted);
}

void MembershipEngine::OnBody(const DatagramReceived& aEvent, const RecordDelta& aDelta)
{
  const bool foreign = IsForeign(aEvent.datagram_.from_);
  for (const Update& update : aDelta.records_) {
    const auto* record = std::get_if<MemberRecordPtr>(&update);
    // A member speaks for itself, even where its record is not known yet.
    const bool own = record != nullptr && (*record)->id_ == aEvent.datagram_.from_;
    Apply(update, foreign && !own, true);
  }
  std::vector<Update> records;
  for (const model::DaemonId& id : aDelta.wanted_) {
    if (const KnownMember* known = table_.Find(id)) {
      records.push_back(AsUpdate(known->record_));
    }
  }
  SendDelta(aEvent.from_, records, {});
}

void MembershipEngine::SendDelta(const model::Address& aTo,
                                 const std::vector<Update>& aRecords,
                                 const std::vector<model::DaemonId>& aWanted)
{
  const std::size_t room = options_.datagramBytes_ - kDatagramHeaderBytes;
  std::size_t used = 0;
  std::size_t sent = 0;
  RecordDelta delta;
  const auto reserve = [&](std::size_t aBytes) {
    if (used + aBytes > room) {
      Send(aTo, std::exchange(delta, RecordDelta{}));
      used = 0;
      ++sent;
    }
    used += aBytes;
    return sent < kMaxDeltaDatagrams;
  };
  for (const Update& update : aRecords) {
    if (!reserve(EncodedSizeBound(update))) {
      return;
    }
    delta.records_.push_back(update);
  }
  for (const model::DaemonId& id : aWanted) {
    if (!reserve(kStampBytes)) {
      return;
    }
    delta.wanted_.push_back(id);
  }
  if (used != 0) {
    Send(aTo, std::move(delta));
  }
}

void MembershipEngine::UpdateOwnView()
{
  std::vector<model::FailureDomain> unreachable;
  for (const model::FailureDomain& domain : table_.Domains()) {
    if (domain == options_.domain_ || table_.Live(domain).empty()) {
      continue;
    }
    if (now_ - lastHeard_[domain] > options_.domainTimeout_) {
      unreachable.push_back(domain);
    }
  }
  if (const auto found = views_.find(options_.id_);
      found == views_.end() || found->second.unreachable_ != unreachable ||
      // Peers may hold a view of an earlier process on this address, with a higher incarnation
      // than this one had when it first published.
      found->second.incarnation_ != self_->incarnation_) {
    PublishView(std::move(unreachable));
    RecomputeReachability();
  }
}

void MembershipEngine::PublishView(std::vector<model::FailureDomain> aUnreachable)
{
  DomainView& view = views_[options_.id_];
  const std::uint64_t next =
    view.incarnation_ == self_->incarnation_ ? view.sequence_ + 1 : std::uint64_t{ 1 };
  view = DomainView{ options_.id_, self_->incarnation_, next, std::move(aUnreachable) };
  gossip_.Add(view);
}

void MembershipEngine::ApplyView(const DomainView& aView, bool aSpread)
{
  const KnownMember* observer = table_.Find(aView.observer_);
  if (aView.observer_ == options_.id_ || observer == nullptr ||
      observer->record_->domain_ != options_.domain_) {
    return;
  }
  const auto [found, isNew] = views_.try_emplace(aView.observer_, aView);
  const bool newer = std::pair(aView.incarnation_, aView.sequence_) >
                     std::pair(found->second.incarnation_, found->second.sequence_);
  if (!isNew && !newer) {
    return;
  }
  found->second = aView;
  const auto relays = Relays(options_.domain_);
  if (aSpread && std::find(relays.begin(), relays.end(), aView.observer_) != relays.end()) {
    gossip_.Add(aView);
  }
  RecomputeReachability();
}

void MembershipEngine::RecomputeReachability()
{
  std::optional<std::set<model::FailureDomain>> agreed;
  for (const model::DaemonId& relay : Relays(options_.domain_)) {
    const auto view = views_.find(relay);
    if (view == views_.end()) {
      continue;
    }
    std::set<model::FailureDomain> seen(view->second.unreachable_.begin(),
                                        view->second.unreachable_.end());
    if (agreed) {
      std::erase_if(seen, [&](const auto& aDomain) { return !agreed->contains(aDomain); });
    }
    agreed = std::move(seen);
  }
  std::set<model::FailureDomain> now = agreed.value_or(std::set<model::FailureDomain>{});
  for (const model::FailureDomain& domain : unreachable_) {
    if (!now.contains(domain)) {
      out_.emplace_back(DomainReachabilityChanged{ domain, true });
    }
  }
  for (const model::FailureDomain& domain : now) {
    if (!unreachable_.contains(domain)) {
      out_.emplace_back(DomainReachabilityChanged{ domain, false });
    }
  }
  unreachable_ = std::move(now);
}

} // namespace hemlockproxy::decisions::impl
