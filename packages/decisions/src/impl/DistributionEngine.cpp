#include "impl/DistributionEngine.h"

#include <algorithm>
#include <utility>

namespace hemlockproxy::decisions::impl {

DistributionEngine::DistributionEngine(DistributionOptions aOptions)
  : options_(std::move(aOptions))
  , roster_(options_)
{
}

DistributionActions DistributionEngine::Handle(const DistributionEvent& aEvent,
                                               model::TimePoint aNow,
                                               model::RandomSource& aRandom)
{
  now_ = aNow;
  random_ = &aRandom;
  out_.clear();
  if (!started_) {
    started_ = true;
    logAllowed_ = now_ + options_.startLogDelay_ + Jitter(options_.startLogDelay_);
    nextTailRead_ = logAllowed_;
    restoredLogTrusted_ = now_ + options_.restoredLogWait_;
    lastCheckpoint_ = now_;
  }
  std::visit([this](const auto& aOne) { On(aOne); }, aEvent);
  TickFetch();
  return std::exchange(out_, {});
}

model::ConfigVersion DistributionEngine::HeldVersion() const noexcept
{
  return held_ ? held_->version_ : model::ConfigVersion();
}

void DistributionEngine::On(const DistributionTick&)
{
  UpdateRole();
  TickLog();
  TickReport();
  TickCheckpoint();
  if (NeedsAcknowledgement() && now_ >= nextNotice_) {
    SendNotices(true, nullptr);
  }
  TryEnforce();
}

void DistributionEngine::On(const PeersChanged& aEvent)
{
  peers_ = aEvent.view_;
  roster_.SetMembers(now_, peers_.own_);
  UpdateRole();
  // The last peer may have gone, after which nobody can acknowledge.
  TryEnforce();
}

void DistributionEngine::On(const PeerVersionReported& aEvent)
{
  NoteHolder(aEvent.id_, aEvent.version_);
  Want(aEvent.id_,
       aEvent.version_,
       IsOwnPeer(aEvent.id_) ? options_.repairDelay_ : options_.foreignRepairDelay_);
  TryEnforce();
}

void DistributionEngine::On(const NoticeReceived& aEvent)
{
  const Notice& notice = aEvent.notice_;
  NoteHolder(notice.from_, notice.version_);
  if (notice.ackWanted_) {
    if (HeldVersion() >= notice.version_) {
      out_.emplace_back(SendNoticeAck{ notice.from_, NoticeAck{ options_.id_, HeldVersion() } });
    } else {
      ackTo_[notice.from_] = notice.version_;
    }
  }
  Want(notice.from_, notice.version_, std::chrono::milliseconds(0));
  TryEnforce();
}

void DistributionEngine::On(const NoticeAckReceived& aEvent)
{
  NoteHolder(aEvent.ack_.from_, aEvent.ack_.version_);
  TryEnforce();
}

void DistributionEngine::On(const VersionFloorRaised& aEvent)
{
  floor_ = std::max(floor_, aEvent.floor_);
}

void DistributionEngine::On(const VersionFloorSettled&)
{
  floorSettled_ = true;
  TryEnforce();
}

void DistributionEngine::Hold(model::ConfigurationPtr aConfiguration, HandoverPtr aHandover)
{
  // Once peers hold all that is held here, the wait of the next version begins anew, also where the
  // start rule has kept this daemon from enforcing anything.
  if (held_ == enforced_ || HeldVersion() <= peerHolds_) {
    unacknowledgedSince_ = now_;
  }
  held_ = std::move(aConfiguration);
  handover_ = std::move(aHandover);
  // Before any acknowledgement, so that a peer that relies on it and restarts finds the floor.
  out_.emplace_back(VersionHeld{ held_->version_ });
  std::erase_if(sources_,
                [this](const auto& aSource) { return aSource.second <= held_->version_; });
  failed_.clear();
  fetchBackoff_ = std::chrono::milliseconds(0);
  for (auto peer = ackTo_.begin(); peer != ackTo_.end();) {
    if (peer->second <= held_->version_) {
      out_.emplace_back(SendNoticeAck{ peer->first, NoticeAck{ options_.id_, held_->version_ } });
      peer = ackTo_.erase(peer);
    } else {
      ++peer;
    }
  }
}

bool DistributionEngine::StartRuleMet() const
{
  const bool fromLog = tailReached_ && IsTailTrusted();
  return (fromLog || (floorSettled_ && heldFromPeer_)) && HeldVersion() >= floor_;
}

bool DistributionEngine::IsOwnPeer(const model::DaemonId& aId) const
{
  return std::find(peers_.own_.begin(), peers_.own_.end(), aId) != peers_.own_.end();
}

void DistributionEngine::NoteHolder(const model::DaemonId& aId, model::ConfigVersion aVersion)
{
  // A restarted daemon asks its own domain for the floor, so a holder elsewhere does not count.
  if (IsOwnPeer(aId) || NoticePeers() == peers_.foreignRelays_) {
    peerHolds_ = std::max(peerHolds_, aVersion);
  }
}

bool DistributionEngine::NeedsAcknowledgement() const
{
  return held_ && held_->version_ > peerHolds_ && !NoticePeers().empty() &&
         now_ - unacknowledgedSince_ < options_.acknowledgementLimit_;
}

void DistributionEngine::TryEnforce()
{
  if ((!ready_ && !StartRuleMet()) || NeedsAcknowledgement()) {
    return;
  }
  if (HeldVersion() > (enforced_ ? enforced_->version_ : model::ConfigVersion())) {
    enforced_ = held_;
    out_.emplace_back(EnforceVersion{ held_, handover_ });
    UpdateCurrentAsOf();
  }
  if (!ready_) {
    ready_ = true;
    out_.emplace_back(BecomeReady{});
    // A domain whose members have all just become ready would have no log reader until they tick.
    UpdateRole();
  }
}

std::vector<model::DaemonId> DistributionEngine::NoticePeers() const
{
  std::vector<model::DaemonId> peers = peers_.own_;
  std::erase(peers, options_.id_);
  return peers.empty() ? peers_.foreignRelays_ : peers;
}

void DistributionEngine::SendNotices(bool aAckWanted, const model::DaemonId* aExcept)
{
  std::vector<model::DaemonId> peers = NoticePeers();
  if (aExcept != nullptr) {
    std::erase(peers, *aExcept);
  }
  std::shuffle(peers.begin(), peers.end(), *random_);
  peers.resize(std::min(peers.size(), options_.fanout_));
  for (const model::DaemonId& id : peers) {
    out_.emplace_back(SendNotice{ id, Notice{ options_.id_, held_->version_, aAckWanted } });
  }
  nextNotice_ = now_ + options_.noticeRetry_;
}

std::chrono::milliseconds DistributionEngine::Jitter(std::chrono::milliseconds aBound)
{
  return std::chrono::milliseconds(
    static_cast<std::int64_t>((*random_)() % static_cast<std::uint64_t>(aBound.count() + 1)));
}

} // namespace hemlockproxy::decisions::impl
