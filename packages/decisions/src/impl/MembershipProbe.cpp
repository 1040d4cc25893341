#include "impl/MembershipEngine.h"

#include <algorithm>
#include <utility>

namespace hemlockproxy::decisions::impl {

namespace {

/// Probe periods for which a member that was heard from is not taken for dead.
constexpr int kHeardLately = 3;

} // namespace

void MembershipEngine::OnBody(const DatagramReceived& aEvent, const Ping& aPing)
{
  Ack ack{ aPing.number_, options_.id_, std::nullopt };
  // A restarted daemon that did not ask this one must still learn of its floor.
  const model::ConfigVersion floor = FloorFor(aEvent.datagram_.from_);
  if (aPing.floorWanted_ || floor > aEvent.datagram_.version_) {
    ack.floor_ = floor;
  }
  SendWithUpdates(aEvent.from_, aEvent.datagram_.from_, std::move(ack));
}

void MembershipEngine::OnBody(const DatagramReceived& aEvent, const Ack& aAck)
{
  if (aAck.floor_) {
    floorHeard_.insert(aEvent.datagram_.from_);
    out_.emplace_back(FloorRaised{ *aAck.floor_ });
  }
  if (probe_ && probe_->number_ == aAck.number_ && probe_->target_ == aAck.subject_) {
    probe_.reset();
  }
  if (const auto found = forwarded_.find(aAck.number_); found != forwarded_.end()) {
    Send(found->second.requester_,
         Ack{ found->second.requesterNumber_, aAck.subject_, std::nullopt });
    forwarded_.erase(found);
  }
}

void MembershipEngine::OnBody(const DatagramReceived& aEvent, const PingRequest& aRequest)
{
  const model::Address* target = AddressOf(aRequest.target_);
  if (target == nullptr) {
    return;
  }
  const std::uint32_t number = ++lastNumber_;
  forwarded_[number] =
    ForwardedPing{ aEvent.from_, aRequest.number_, now_ + options_.probePeriod_ };
  SendWithUpdates(*target, aRequest.target_, Ping{ number, false });
}

void MembershipEngine::TickProbe()
{
  std::erase_if(forwarded_, [this](const auto& aEntry) { return aEntry.second.expires_ <= now_; });
  if (probe_ && !probe_->indirect_ && now_ >= probe_->sentAt_ + options_.ackTimeout_) {
    SendIndirectProbes();
  }
  if (now_ < nextProbe_) {
    return;
  }
  if (probe_) {
    const Probe failed = *std::exchange(probe_, std::nullopt);
    const KnownMember* known = table_.Find(failed.target_);
    if (known != nullptr && known->record_->state_ == model::MemberState::Alive) {
      ApplyClaim(
        StateClaim{ failed.target_, known->record_->incarnation_, model::MemberState::Suspect },
        true);
    }
  }
  // A late tick must not cause a burst of probes.
  nextProbe_ = std::max(nextProbe_ + options_.probePeriod_, now_ + options_.probePeriod_ / 2);
  TellSuspects();
  StartProbe();
}

void MembershipEngine::TellSuspects()
{
  // About this many members tell each suspect per period, whatever the size of the domain. With
  // gossip alone, 10% loss kept a live member from refuting in time.
  constexpr std::size_t kTellers = 3;
  const std::size_t live = table_.Live(options_.domain_).size();
  for (const auto& [id, deadline] : suspects_) {
    if ((*random_)() % live < kTellers) {
      SendWithUpdates(*AddressOf(id), id, Ping{ ++lastNumber_, false });
    }
  }
}

void MembershipEngine::StartProbe()
{
  if (const auto target = NextProbeTarget()) {
    probe_ = Probe{ ++lastNumber_, *target, now_, false };
    SendWithUpdates(*AddressOf(*target), *target, Ping{ probe_->number_, false });
  }
}

std::optional<model::DaemonId> MembershipEngine::NextProbeTarget()
{
  const auto& live = table_.Live(options_.domain_);
  for (int round = 0; round < 2; ++round) {
    while (!probeOrder_.empty()) {
      model::DaemonId id = std::move(probeOrder_.back());
      probeOrder_.pop_back();
      if (id != options_.id_ && live.contains(id)) {
        return id;
      }
    }
    // Each member is probed once per round, so that a failure is found within a bounded time.
    probeOrder_.assign(live.begin(), live.end());
    std::shuffle(probeOrder_.begin(), probeOrder_.end(), *random_);
  }
  return std::nullopt;
}

void MembershipEngine::SendIndirectProbes()
{
  probe_->indirect_ = true;
  std::vector<model::DaemonId> helpers;
  for (const model::DaemonId& id : table_.Live(options_.domain_)) {
    if (id != options_.id_ && id != probe_->target_) {
      helpers.push_back(id);
    }
  }
  std::shuffle(helpers.begin(), helpers.end(), *random_);
  helpers.resize(std::min(helpers.size(), options_.indirectProbes_));
  for (const model::DaemonId& id : helpers) {
    SendWithUpdates(*AddressOf(id), id, PingRequest{ probe_->number_, probe_->target_ });
  }
}

void MembershipEngine::TickSuspicion()
{
  std::vector<model::DaemonId> expired;
  for (auto& [id, deadline] : suspects_) {
    if (deadline > now_) {
      continue;
    }
    // A suspect that answers this daemon lives, even if its refutation was lost on the way.
    const auto heard = heardFrom_.find(id);
    if (heard != heardFrom_.end() && now_ - heard->second < kHeardLately * options_.probePeriod_) {
      deadline = now_ + options_.probePeriod_;
      SendWithUpdates(*AddressOf(id), id, Ping{ ++lastNumber_, false });
    } else {
      expired.push_back(id);
    }
  }
  for (const model::DaemonId& id : expired) {
    const std::uint64_t incarnation = table_.Find(id)->record_->incarnation_;
    ApplyClaim(StateClaim{ id, incarnation, model::MemberState::Dead }, true);
  }
}

void MembershipEngine::TickProof()
{
  for (auto entry = unproven_.begin(); entry != unproven_.end();) {
    const auto& [record, deadline] = entry->second;
    const bool proven = table_.Find(entry->first) != nullptr;
    if (!proven && deadline > now_) {
      ++entry;
      continue;
    }
    if (!proven) {
      // The dead record tells the other domains, which would offer the member for ever.
      auto dead = std::make_shared<model::MemberRecord>(*record);
      dead->state_ = model::MemberState::Dead;
      AfterChange(table_.Merge(dead, now_), false);
    }
    entry = unproven_.erase(entry);
  }
}

void MembershipEngine::SkipPause(model::Duration aGap)
{
  // Responses that arrived during the pause are still queued, so nothing may time out yet.
  probe_.reset();
  for (auto& [id, deadline] : suspects_) {
    deadline += aGap;
  }
  for (auto& [domain, heard] : lastHeard_) {
    heard += aGap;
  }
}

} // namespace hemlockproxy::decisions::impl
