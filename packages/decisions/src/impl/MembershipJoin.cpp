#include "impl/MembershipEngine.h"

#include <algorithm>
#include <utility>

namespace hemlockproxy::decisions::impl {

namespace {

constexpr std::chrono::milliseconds kFloorRound{ 500 };
/// Bounds the memory for floors; the largest region has fewer daemons.
constexpr std::size_t kMaxFloors = 8192;

} // namespace

void MembershipEngine::On(const AddressesLearned& aEvent)
{
  for (const model::Address& address : aEvent.addresses_) {
    if (address != options_.control_ && addresses_.insert(address).second && !joined_) {
      joinQueue_.push_back(address);
    }
  }
  if (now_ - startedAt_ < options_.startPhase_) {
    Introduce(aEvent.addresses_);
  }
}

void MembershipEngine::Introduce(std::vector<model::Address> aAddresses)
{
  // A fleet that starts at once would otherwise join in groups that find each other one by one.
  std::erase(aAddresses, options_.control_);
  std::shuffle(aAddresses.begin(), aAddresses.end(), *random_);
  aAddresses.resize(std::min(aAddresses.size(), options_.introductions_));
  for (const model::Address& address : aAddresses) {
    Send(address, RecordDelta{ { self_ }, { model::DaemonId(model::ToString(address)) } });
  }
}

void MembershipEngine::TickJoin()
{
  if (joined_ || joinPending_ || now_ < nextJoin_) {
    return;
  }
  if (addresses_.empty()) {
    // Nobody to join: others join this daemon.
    joined_ = true;
    changedDomains_.insert(options_.domain_);
    return;
  }
  if (joinQueue_.empty()) {
    joinQueue_.assign(addresses_.begin(), addresses_.end());
    std::shuffle(joinQueue_.begin(), joinQueue_.end(), *random_);
  }
  joinPending_ = joinQueue_.back();
  joinQueue_.pop_back();
  out_.emplace_back(SendSync{ *joinPending_, SyncRequest{ self_, version_, std::nullopt } });
}

void MembershipEngine::On(const SyncFailed& aEvent)
{
  if (joinPending_ != aEvent.to_) {
    return;
  }
  joinPending_.reset();
  joinBackoff_ = std::clamp(joinBackoff_ * 2, options_.joinRetry_, options_.joinRetryMax_);
  RetryJoinAfter(joinBackoff_);
}

void MembershipEngine::RetryJoinAfter(std::chrono::milliseconds aDelay)
{
  nextJoin_ = now_ + aDelay / 2 + Jitter(aDelay);
}

void MembershipEngine::On(const SyncRequested& aEvent)
{
  const SyncRequest& request = aEvent.request_;
  if (!request.domain_ && !AdmitJoin()) {
    // The spread keeps the waiting daemons from coming back at the same moment.
    const auto delay = std::chrono::milliseconds(500) + Jitter(options_.joinRetryMax_ / 2);
    Reply(SyncLater{ delay });
    return;
  }
  SyncTable table = MakeTable(request);
  const bool foreign = request.self_->domain_ != options_.domain_;
  Apply(request.self_, foreign, true);
  ObserveSender(request.self_->id_, request.version_);
  Reply(std::move(table));
}

model::ConfigVersion MembershipEngine::FloorFor(const model::DaemonId& aId) const
{
  // The requester may have enforced what this daemon acknowledged, without ever reporting it.
  return std::max(held_, Floor(aId).value_or(model::ConfigVersion()));
}

void MembershipEngine::Reply(SyncResponse aResponse)
{
  ReplySync reply;
  reply.response_ = std::move(aResponse);
  out_.emplace_back(std::move(reply));
}

bool MembershipEngine::AdmitJoin()
{
  const std::chrono::duration<double> passed = now_ - joinRefilled_;
  joinRefilled_ = now_;
  joinTokens_ = std::min(static_cast<double>(options_.joinBurst_),
                         joinTokens_ + passed.count() * options_.joinsPerSecond_);
  if (joinTokens_ < 1.0) {
    return false;
  }
  joinTokens_ -= 1.0;
  return true;
}

SyncTable MembershipEngine::MakeTable(const SyncRequest& aRequest) const
{
  SyncTable table{ options_.id_, version_, {}, {}, std::nullopt, std::nullopt };
  const model::DaemonId& requester = aRequest.self_->id_;
  const bool foreign = aRequest.self_->domain_ != options_.domain_;
  for (const auto& [id, known] : table_.All()) {
    if (id != requester && (!aRequest.domain_ || *aRequest.domain_ == known.record_->domain_)) {
      table.members_.push_back(foreign ? WithoutSuspicion(known.record_) : known.record_);
    }
  }
  if (aRequest.domain_) {
    return table;
  }
  if (!foreign) {
    for (const auto& [observer, view] : views_) {
      table.views_.push_back(view);
    }
  }
  if (const KnownMember* known = table_.Find(requester)) {
    table.previousIncarnation_ = known->record_->incarnation_;
  }
  table.floor_ = FloorFor(requester);
  return table;
}

void MembershipEngine::On(const SyncResponded& aEvent)
{
  const bool joining = joinPending_ == aEvent.from_;
  if (joining) {
    joinPending_.reset();
  }
  if (const auto* later = std::get_if<SyncLater>(&aEvent.response_)) {
    if (joining) {
      RetryJoinAfter(later->delay_);
    }
    return;
  }
  const SyncTable& table = std::get<SyncTable>(aEvent.response_);
  if (table.from_.Value() != model::ToString(aEvent.from_)) {
    // The member is listed under the address that it advertises; this one would be tried for ever.
    addresses_.erase(aEvent.from_);
  }
  MergeTable(table);
}

void MembershipEngine::MergeTable(const SyncTable& aTable)
{
  // Before it joins, an incarnation that is equal belongs to an earlier process on this address.
  const bool outdated =
    aTable.previousIncarnation_ && (joined_ ? *aTable.previousIncarnation_ > self_->incarnation_
                                            : *aTable.previousIncarnation_ >= self_->incarnation_);
  if (outdated) {
    Refute(*aTable.previousIncarnation_);
  } else {
    gossip_.Add(self_);
  }
  // The first table comes from a group that knows it already; later ones bring news to the own
  // group.
  const bool spread = joined_;
  bool foreign = IsForeign(aTable.from_);
  for (const MemberRecordPtr& member : aTable.members_) {
    foreign = foreign || (member->id_ == aTable.from_ && member->domain_ != options_.domain_);
  }
  for (const MemberRecordPtr& member : aTable.members_) {
    ApplyRecord(member, foreign, spread);
  }
  for (const DomainView& view : aTable.views_) {
    ApplyView(view, spread);
  }
  if (!joined_) {
    joined_ = true;
    changedDomains_.insert(options_.domain_);
    nextFloorRound_ = now_;
  }
  if (aTable.floor_) {
    out_.emplace_back(FloorRaised{ *aTable.floor_ });
  }
  ObserveSender(aTable.from_, aTable.version_);
}

std::vector<model::DaemonId> MembershipEngine::FloorCandidates() const
{
  const auto others = [this](const model::FailureDomain& aDomain) {
    std::vector<model::DaemonId> ids;
    for (const model::DaemonId& id : table_.Live(aDomain)) {
      if (id != options_.id_) {
        ids.push_back(id);
      }
    }
    return ids;
  };
  std::vector<model::DaemonId> candidates = others(options_.domain_);
  if (candidates.empty()) {
    for (const model::FailureDomain& domain : table_.Domains()) {
      const auto more = others(domain);
      candidates.insert(candidates.end(), more.begin(), more.end());
    }
  }
  return candidates;
}

void MembershipEngine::TickFloor()
{
  if (floorSettled_ || !joined_ || now_ < nextFloorRound_) {
    return;
  }
  nextFloorRound_ = now_ + kFloorRound;
  std::vector<model::DaemonId> silent = FloorCandidates();
  const std::size_t candidates = silent.size();
  const std::size_t needed = std::min(options_.floorPeers_, candidates);
  std::erase_if(silent, [this](const model::DaemonId& aId) { return floorHeard_.contains(aId); });
  // With no peer to ask, the floor stays open until one joins.
  if (needed > 0 && silent.size() + needed <= candidates) {
    floorSettled_ = true;
    out_.emplace_back(FloorSettled{});
    return;
  }
  std::shuffle(silent.begin(), silent.end(), *random_);
  silent.resize(std::min(silent.size(), options_.floorPeers_));
  for (const model::DaemonId& id : silent) {
    SendWithUpdates(*AddressOf(id), id, Ping{ ++lastNumber_, true });
  }
}

void MembershipEngine::TickReconnect()
{
  if (now_ < nextReconnect_) {
    return;
  }
  const bool starting = now_ - startedAt_ < options_.startPhase_;
  const auto interval = starting ? options_.startReconnectInterval_ : options_.reconnectInterval_;
  nextReconnect_ = now_ + interval / 2 + Jitter(interval);
  if (!joined_) {
    return;
  }
  std::vector<model::DaemonId> dead;
  for (const auto& [id, known] : table_.All()) {
    if (!starting && known.record_->state_ == model::MemberState::Dead &&
        known.record_->domain_ == options_.domain_) {
      dead.push_back(id);
    }
  }
  std::vector<model::Address> unknown;
  for (const model::Address& address : addresses_) {
    if (table_.Find(model::DaemonId(model::ToString(address))) == nullptr) {
      unknown.push_back(address);
    }
  }
  const std::size_t choices = dead.size() + unknown.size();
  if (choices == 0) {
    return;
  }
  const std::size_t choice = (*random_)() % choices;
  if (choice < dead.size()) {
    SendWithUpdates(*AddressOf(dead[choice]), dead[choice], Ping{ ++lastNumber_, false });
  } else {
    out_.emplace_back(
      SendSync{ unknown[choice - dead.size()], SyncRequest{ self_, version_, std::nullopt } });
  }
}

void MembershipEngine::TickGreet()
{
  if (now_ < nextGreet_) {
    return;
  }
  nextGreet_ = now_ + options_.greetInterval_ / 2 + Jitter(options_.greetInterval_);
  std::vector<model::DaemonId> lost;
  for (const auto& [id, known] : table_.All()) {
    if (id != options_.id_ && !IsLive(known.record_->state_) &&
        now_ - known.since_ < options_.greetFor_) {
      lost.push_back(id);
    }
  }
  if (!lost.empty()) {
    const model::DaemonId& id = PickFrom(lost);
    SendWithUpdates(*AddressOf(id), id, Ping{ ++lastNumber_, false });
  }
}

void MembershipEngine::TickForget()
{
  if (now_ < nextForget_) {
    return;
  }
  nextForget_ = now_ + std::chrono::minutes(1);
  std::vector<model::DaemonId> old;
  for (const auto& [id, known] : table_.All()) {
    if (!IsLive(known.record_->state_) && now_ - known.since_ > options_.forgetAfter_) {
      old.push_back(id);
    }
  }
  for (const model::DaemonId& id : old) {
    table_.Erase(id);
    views_.erase(id);
    heardFrom_.erase(id);
    gossip_.Drop(id);
    out_.emplace_back(MemberForgotten{ id });
  }
  while (floors_.size() > kMaxFloors) {
    floors_.erase(floors_.begin());
  }
}

} // namespace hemlockproxy::decisions::impl
