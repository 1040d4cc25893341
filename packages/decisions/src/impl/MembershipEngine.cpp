#include "impl/MembershipEngine.h"

#include "hemlockproxy/decisions/RendezvousHash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hemlockproxy::decisions::impl {

namespace {

/// The first sequence of an incarnation is random, so that two processes that used the same
/// incarnation on one address after each other are told apart.
constexpr std::uint64_t kFirstSequences = 4096;

} // namespace

MemberRecordPtr WithoutSuspicion(const MemberRecordPtr& aRecord)
{
  if (aRecord->state_ != model::MemberState::Suspect) {
    return aRecord;
  }
  auto copy = std::make_shared<model::MemberRecord>(*aRecord);
  copy->state_ = model::MemberState::Alive;
  return copy;
}

MembershipEngine::MembershipEngine(MembershipOptions aOptions)
  : options_(std::move(aOptions))
  , gossip_(options_.gossipBytesPerSecond_, options_.gossipBurstBytes_)
  , addresses_(options_.seeds_.begin(), options_.seeds_.end())
  , joinTokens_(static_cast<double>(options_.joinBurst_))
{
  addresses_.erase(options_.control_);
  model::MemberRecord self;
  self.id_ = options_.id_;
  self.region_ = options_.region_;
  self.domain_ = options_.domain_;
  self.control_ = options_.control_;
  self.forward_ = options_.forward_;
  self.incarnation_ = 1;
  self.sequence_ = 1;
  self_ = std::make_shared<const model::MemberRecord>(std::move(self));
}

MembershipActions MembershipEngine::Handle(const MembershipEvent& aEvent,
                                           model::TimePoint aNow,
                                           model::RandomSource& aRandom)
{
  now_ = aNow;
  random_ = &aRandom;
  out_.clear();
  if (!left_) {
    if (!started_) {
      Start();
    }
    std::visit([this](const auto& aOne) { On(aOne); }, aEvent);
    TickRoles();
  }
  return std::exchange(out_, {});
}

void MembershipEngine::Start()
{
  started_ = true;
  lastTick_ = now_;
  joinRefilled_ = now_;
  nextJoin_ = now_ + Jitter(options_.joinJitter_);
  nextProbe_ = now_ + Jitter(options_.probePeriod_);
  nextDigest_ = now_ + Jitter(options_.digestInterval_);
  nextRepair_ = now_ + Jitter(options_.repairInterval_);
  nextReconnect_ = now_ + Jitter(options_.startReconnectInterval_);
  startedAt_ = now_;
  nextForget_ = now_ + std::chrono::minutes(1);
  auto record = *self_;
  record.sequence_ = 1 + (*random_)() % kFirstSequences;
  self_ = std::make_shared<const model::MemberRecord>(std::move(record));
  (void)table_.Merge(self_, now_);
  changedDomains_.insert(options_.domain_);
}

void MembershipEngine::On(const DatagramReceived& aEvent)
{
  const Datagram& datagram = aEvent.datagram_;
  if (datagram.from_ == options_.id_) {
    return;
  }
  if (!joined_ || table_.All().size() == 1) {
    LearnSeed(aEvent);
  }
  const bool foreign = IsForeign(datagram.from_);
  for (const Update& update : datagram.updates_) {
    // What a joining daemon hears is known to the others already.
    Apply(update, foreign, joined_);
  }
  ObserveSender(datagram.from_, datagram.version_);
  std::visit([&](const auto& aBody) { OnBody(aEvent, aBody); }, datagram.body_);
}

void MembershipEngine::LearnSeed(const DatagramReceived& aEvent)
{
  // A peer that still lists this address is as good as a seed. Its id is the address that it
  // advertises, which a relayed datagram does not come from.
  const auto advertised = model::ParseAddress(aEvent.datagram_.from_.Value());
  const model::Address address = advertised ? *advertised : aEvent.from_;
  if (addresses_.insert(address).second) {
    joinQueue_.push_back(address);
    // A daemon whose only seed is itself counted as joined; it asks for the table after all.
    joined_ = false;
  }
}

void MembershipEngine::On(const MembershipTick&)
{
  const model::Duration gap = now_ - lastTick_;
  lastTick_ = now_;
  if (gap > 2 * options_.probePeriod_) {
    SkipPause(gap);
  }
  TickJoin();
  TickFloor();
  TickProbe();
  TickSuspicion();
  TickProof();
  TickRoles();
  TickDigest();
  TickRepair();
  TickReconnect();
  TickGreet();
  TickForget();
}

void MembershipEngine::On(const LocalEndpointChanged& aEvent)
{
  if (self_->endpoint_ == aEvent.endpoint_) {
    return;
  }
  auto record = *self_;
  record.endpoint_ = aEvent.endpoint_;
  ++record.sequence_;
  ReplaceSelf(std::move(record));
  PushSelf();
}

void MembershipEngine::On(const LocalVersionChanged& aEvent)
{
  version_ = std::max(version_, aEvent.version_);
}

void MembershipEngine::On(const LocalVersionHeld& aEvent)
{
  held_ = std::max(held_, aEvent.version_);
}

void MembershipEngine::On(const BeginLeaving&)
{
  auto record = *self_;
  record.leaving_ = true;
  ++record.sequence_;
  ReplaceSelf(std::move(record));
  PushSelf();
}

void MembershipEngine::On(const Leave&)
{
  auto record = *self_;
  record.leaving_ = true;
  record.state_ = model::MemberState::Left;
  ++record.sequence_;
  ReplaceSelf(std::move(record));
  std::vector<model::DaemonId> peers(table_.Live(options_.domain_).begin(),
                                     table_.Live(options_.domain_).end());
  std::shuffle(peers.begin(), peers.end(), *random_);
  constexpr std::size_t kToldPeers = 5;
  peers.resize(std::min(peers.size(), kToldPeers));
  for (const model::DaemonId& id : peers) {
    Send(*AddressOf(id), RecordDelta{ { self_ }, {} });
  }
  PushSelf();
  left_ = true;
}

void MembershipEngine::ObserveSender(const model::DaemonId& aId, model::ConfigVersion aVersion)
{
  auto& floor = floors_[aId];
  floor = std::max(floor, aVersion);
  if (aVersion > version_) {
    out_.emplace_back(PeerVersionSeen{ aId, aVersion });
  }
  heardFrom_[aId] = now_;
  if (const KnownMember* known = table_.Find(aId)) {
    lastHeard_[known->record_->domain_] = now_;
  }
}

void MembershipEngine::Apply(const Update& aUpdate, bool aForeignSource, bool aSpread)
{
  if (const auto* record = std::get_if<MemberRecordPtr>(&aUpdate)) {
    ApplyRecord(*record, aForeignSource, aSpread);
  } else if (const auto* claim = std::get_if<StateClaim>(&aUpdate)) {
    ApplyClaim(*claim, aSpread);
  } else {
    ApplyView(std::get<DomainView>(aUpdate), aSpread);
  }
}

void MembershipEngine::ApplyRecord(const MemberRecordPtr& aRecord,
                                   bool aForeignSource,
                                   bool aSpread)
{
  if (aRecord->id_ == options_.id_) {
    const bool ahead =
      aRecord->incarnation_ > self_->incarnation_ ||
      (aRecord->incarnation_ == self_->incarnation_ &&
       (aRecord->sequence_ > self_->sequence_ || aRecord->state_ != model::MemberState::Alive));
    if (ahead) {
      Refute(aRecord->incarnation_);
    }
    return;
  }
  const bool ownDomain = aRecord->domain_ == options_.domain_;
  MemberRecordPtr record = ownDomain ? aRecord : WithoutSuspicion(aRecord);
  if (aForeignSource && ownDomain && joined_ && record->state_ == model::MemberState::Alive &&
      table_.Find(record->id_) == nullptr) {
    AskForProof(record);
    return;
  }
  if (const MemberRecordPtr changed = table_.Merge(record, now_)) {
    AfterChange(changed, aSpread);
  }
}

void MembershipEngine::AskForProof(const MemberRecordPtr& aRecord)
{
  // Another domain may hold a record that this one has already forgotten, so the member itself has
  // to send it. Taking it as suspect instead costs a refutation for each member of a domain that
  // restarts.
  constexpr int kPeriods = 10;
  unproven_.try_emplace(aRecord->id_, aRecord, now_ + kPeriods * options_.probePeriod_);
  Send(aRecord->control_, RecordDelta{ {}, { aRecord->id_ } });
}

void MembershipEngine::ApplyClaim(const StateClaim& aClaim, bool aSpread)
{
  if (aClaim.id_ == options_.id_) {
    if (aClaim.incarnation_ >= self_->incarnation_) {
      Refute(aClaim.incarnation_);
    }
    return;
  }
  if (aClaim.state_ == model::MemberState::Suspect && IsForeign(aClaim.id_)) {
    // Only the member's own domain probes it and learns how the suspicion ends.
    return;
  }
  if (const MemberRecordPtr changed = table_.Merge(aClaim, now_)) {
    AfterChange(changed, aSpread);
  }
}

void MembershipEngine::AfterChange(const MemberRecordPtr& aChanged, bool aSpread)
{
  changedDomains_.insert(aChanged->domain_);
  out_.emplace_back(MemberChanged{ aChanged });
  if (aChanged->state_ == model::MemberState::Suspect && !IsForeign(aChanged->id_)) {
    const auto timeout = std::chrono::duration_cast<model::Duration>(
      options_.probePeriod_ * static_cast<double>(options_.suspicionPeriods_) * SizeScale());
    suspects_.try_emplace(aChanged->id_, now_ + timeout);
  } else {
    suspects_.erase(aChanged->id_);
  }
  if (!aSpread) {
    return;
  }
  if (aChanged->state_ == model::MemberState::Alive) {
    gossip_.Add(aChanged);
    return;
  }
  gossip_.Add(StateClaim{ aChanged->id_, aChanged->incarnation_, aChanged->state_ });
}

void MembershipEngine::Refute(std::uint64_t aIncarnation)
{
  auto record = *self_;
  record.incarnation_ = std::max(aIncarnation, record.incarnation_) + 1;
  ReplaceSelf(std::move(record));
}

void MembershipEngine::ReplaceSelf(model::MemberRecord aRecord)
{
  self_ = std::make_shared<const model::MemberRecord>(std::move(aRecord));
  (void)table_.Merge(self_, now_);
  gossip_.Add(self_);
  changedDomains_.insert(options_.domain_);
  out_.emplace_back(MemberChanged{ self_ });
}

void MembershipEngine::PushSelf()
{
  if (table_.All().size() <= options_.directMembers_) {
    for (const auto& [id, known] : table_.All()) {
      if (id != options_.id_ && IsLive(known.record_->state_)) {
        Send(known.record_->control_, RecordDelta{ { self_ }, {} });
      }
    }
    return;
  }
  for (const model::FailureDomain& domain : table_.Domains()) {
    if (domain == options_.domain_) {
      continue;
    }
    if (const auto relays = Relays(domain); !relays.empty()) {
      Send(*AddressOf(PickFrom(relays)), RecordDelta{ { self_ }, {} });
    }
  }
}

bool MembershipEngine::IsForeign(const model::DaemonId& aId) const
{
  const KnownMember* known = table_.Find(aId);
  return known != nullptr && known->record_->domain_ != options_.domain_;
}

void MembershipEngine::Send(const model::Address& aTo, DatagramBody aBody)
{
  out_.emplace_back(
    SendDatagram{ aTo, Datagram{ options_.id_, version_, {}, std::move(aBody), {} } });
}

void MembershipEngine::SendWithUpdates(const model::Address& aTo,
                                       const model::DaemonId& aToId,
                                       DatagramBody aBody)
{
  Datagram datagram{ options_.id_, version_, {}, std::move(aBody), {} };
  std::size_t room = options_.datagramBytes_ - kDatagramHeaderBytes;
  if (const KnownMember* known = table_.Find(aToId)) {
    const model::MemberRecord& record = *known->record_;
    if (record.state_ != model::MemberState::Alive) {
      // The receiver has to learn of the claim in order to refute it.
      datagram.updates_.emplace_back(StateClaim{ aToId, record.incarnation_, record.state_ });
      room -= EncodedSizeBound(datagram.updates_.back());
    }
  }
  gossip_.Take(room, TransmitLimit(), now_, datagram.updates_);
  out_.emplace_back(SendDatagram{ aTo, std::move(datagram) });
}

const model::Address* MembershipEngine::AddressOf(const model::DaemonId& aId) const
{
  const KnownMember* known = table_.Find(aId);
  return known == nullptr ? nullptr : &known->record_->control_;
}

double MembershipEngine::SizeScale() const
{
  return std::max(1.0, std::log10(static_cast<double>(table_.Live(options_.domain_).size()) + 1.0));
}

std::size_t MembershipEngine::TransmitLimit() const
{
  return static_cast<std::size_t>(
    std::ceil(static_cast<double>(options_.retransmitFactor_) * SizeScale()));
}

std::chrono::milliseconds MembershipEngine::Jitter(std::chrono::milliseconds aBound)
{
  return std::chrono::milliseconds(
    static_cast<std::int64_t>((*random_)() % static_cast<std::uint64_t>(aBound.count() + 1)));
}

std::vector<model::DaemonId> MembershipEngine::Relays(const model::FailureDomain& aDomain) const
{
  const auto found = relays_.find(aDomain);
  return found == relays_.end() ? std::vector<model::DaemonId>{} : found->second;
}

bool MembershipEngine::Reachable(const model::FailureDomain& aDomain) const
{
  return !unreachable_.contains(aDomain);
}

std::optional<model::ConfigVersion> MembershipEngine::Floor(const model::DaemonId& aId) const
{
  const auto found = floors_.find(aId);
  if (found == floors_.end()) {
    return std::nullopt;
  }
  return found->second;
}

} // namespace hemlockproxy::decisions::impl
