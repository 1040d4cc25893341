// The actions of Membership and Distribution as ControlThread executes them.

#include "hemlockproxy/daemon/ControlThread.h"

#include "hemlockproxy/wire/ConfigCodec.h"
#include "hemlockproxy/wire/DistributionCodec.h"
#include "hemlockproxy/wire/MembershipCodec.h"

#include "impl/ControlCalls.h"

#include <algorithm>

namespace hemlockproxy::daemon {

using impl::kCallTimeout;
using impl::kCheckpointTicket;
using impl::kFetchPath;
using impl::kSyncPath;
using runtime::Counter;

namespace {

/// An id is the text of a control address that was parsed before.
model::Address AddressOf(const model::DaemonId& aId)
{
  auto address = model::ParseAddress(aId.Value());
  return address ? *address : model::Address{};
}

} // namespace

void ControlThread::Do(const decisions::SendDatagram& aAction)
{
  decisions::Datagram datagram = aAction.datagram_;
  datagram.stamp_ = events_.Stamp();
  transport_->SendDatagram(aAction.to_, wire::EncodeDatagram(datagram));
}

void ControlThread::Do(const decisions::SendSync& aAction)
{
  runtime::SpawnFiber([this, to = aAction.to_, body = wire::EncodeSyncRequest(aAction.request_)] {
    const auto answer = transport_->Call(to, kSyncPath, body, kCallTimeout);
    auto response =
      answer ? wire::DecodeSyncResponse(*answer)
             : model::Result<decisions::SyncResponse, wire::DecodeError>(wire::DecodeError{});
    if (stopping_) {
      return;
    }
    if (response) {
      Membership(decisions::SyncResponded{ to, *std::move(response) });
    } else {
      Membership(decisions::SyncFailed{ to });
    }
    Publish();
  });
}

void ControlThread::Do(const decisions::MemberChanged& aAction)
{
  domains_[aAction.member_->id_] = aAction.member_->domain_;
  dirty_ = true;
}

void ControlThread::Do(const decisions::MemberForgotten& aAction)
{
  domains_.erase(aAction.id_);
  dirty_ = true;
}

void ControlThread::Do(const decisions::DomainReachabilityChanged& aAction)
{
  events_.Add(aAction.reachable_ ? runtime::LogEvent::DomainReachable
                                 : runtime::LogEvent::DomainUnreachable,
              aAction.domain_.Value());
  std::erase(unreachable_, aAction.domain_);
  if (!aAction.reachable_) {
    unreachable_.push_back(aAction.domain_);
  } else {
    // Owners beyond the cut have found out what this one has not been told.
    quarantineHeard_ = false;
  }
  Do(decisions::RolesChanged{});
}

void ControlThread::Do(const decisions::RolesChanged& /*aAction*/)
{
  decisions::PeerView view;
  view.own_ = membership_.Live(settings_.domain_);
  for (const model::FailureDomain& domain : membership_.Domains()) {
    if (domain != settings_.domain_ && membership_.Reachable(domain)) {
      const auto relays = membership_.Relays(domain);
      view.foreignRelays_.insert(view.foreignRelays_.end(), relays.begin(), relays.end());
    }
  }
  if (claims_) {
    claims_->AssignShards(membership_.Self()->id_, view.own_);
  }
  Distribution(decisions::PeersChanged{ std::move(view) });
  dirty_ = true;
}

void ControlThread::Do(const decisions::PeerVersionSeen& aAction)
{
  Distribution(decisions::PeerVersionReported{ aAction.id_, aAction.version_ });
}

void ControlThread::Do(const decisions::FloorRaised& aAction)
{
  floor_ = std::max(floor_, aAction.floor_);
  source_->RaiseFloor(aAction.floor_);
  events_.Add(runtime::LogEvent::ConfigFloor, "version " + std::to_string(aAction.floor_.Value()));
  Distribution(decisions::VersionFloorRaised{ aAction.floor_ });
}

void ControlThread::Do(const decisions::FloorSettled& /*aAction*/)
{
  Distribution(decisions::VersionFloorSettled{});
}

void ControlThread::Do(const decisions::SendNotice& aAction)
{
  transport_->SendDatagram(AddressOf(aAction.to_),
                           wire::EncodeNotice(aAction.notice_, EnforcedVersion(), events_.Stamp()));
}

void ControlThread::Do(const decisions::SendNoticeAck& aAction)
{
  transport_->SendDatagram(AddressOf(aAction.to_),
                           wire::EncodeNoticeAck(aAction.ack_, EnforcedVersion(), events_.Stamp()));
}

void ControlThread::Do(const decisions::SendLogReport& aAction)
{
  transport_->SendDatagram(
    AddressOf(aAction.to_),
    wire::EncodeLogReport(aAction.report_, EnforcedVersion(), events_.Stamp()));
}

void ControlThread::Do(const decisions::SendFetch& aAction)
{
  runtime::SpawnFiber([this, to = aAction.to_, body = wire::EncodeFetchRequest(aAction.request_)] {
    const auto answer = transport_->Call(AddressOf(to), kFetchPath, body, kCallTimeout);
    auto response =
      answer ? wire::DecodeFetchResponse(*answer)
             : model::Result<decisions::FetchResponse, wire::DecodeError>(wire::DecodeError{});
    if (stopping_) {
      return;
    }
    if (response) {
      Distribution(decisions::FetchResponded{ to, *std::move(response) });
    } else {
      Distribution(decisions::FetchFailed{ to });
    }
    Publish();
  });
}

void ControlThread::Do(const decisions::EnforceVersion& aAction)
{
  const model::Configuration& configuration = *aAction.configuration_;
  routes_ = std::make_shared<const decisions::RouteIndex>(aAction.configuration_);
  source_->TakePeerState(aAction.handover_);
  dirty_ = true;
  Publish();
  metrics_.Add(Counter::VersionsEnforced);
  const auto now = std::chrono::floor<std::chrono::seconds>(model::WallNow());
  metrics_.Set(runtime::Gauge::ConfigEnforcedAt,
               static_cast<std::uint64_t>(now.time_since_epoch().count()));
  events_.Add(runtime::LogEvent::ConfigEnforced,
              "version " + std::to_string(configuration.version_.Value()) + ", " +
                std::to_string(configuration.content_.size()) + " services");
  Membership(decisions::LocalVersionChanged{ configuration.version_ });
}

void ControlThread::Do(const decisions::VersionHeld& aAction)
{
  Membership(decisions::LocalVersionHeld{ aAction.version_ });
}

void ControlThread::Do(const decisions::BecomeReady& /*aAction*/)
{
  ready_ = true;
  dirty_ = true;
  events_.Add(runtime::LogEvent::ConfigReady,
              "version " + std::to_string(EnforcedVersion().Value()));
}

void ControlThread::Do(const decisions::StartReading& aAction)
{
  events_.Add(runtime::LogEvent::ConfigLogReader, "reads the log for " + settings_.domain_.Value());
  source_->Start(aAction.handover_);
  dirty_ = true;
  ReadLogIfDue();
}

void ControlThread::Do(const decisions::StopReading& /*aAction*/)
{
  events_.Add(runtime::LogEvent::ConfigNoLogReader, "other members read the log");
  source_->Stop();
  dirty_ = true;
}

void ControlThread::Do(const decisions::ReadLogTail& /*aAction*/)
{
  source_->ReadTail();
  ReadLogIfDue();
}

void ControlThread::Do(const decisions::LogEpochRaised& aAction)
{
  if (aAction.previous_) {
    events_.Add(runtime::LogEvent::LogRestored,
                "epoch " + std::to_string(aAction.epoch_.Value()) + ", was " +
                  std::to_string(aAction.previous_->Value()));
  }
  memberStream_.RaiseEpoch(aAction.epoch_, std::chrono::steady_clock::now(), random_);
  dirty_ = true;
}

void ControlThread::Do(const decisions::AppendCheckpoint& /*aAction*/)
{
  if (auto checkpoint = source_->MakeCheckpoint()) {
    events_.Add(runtime::LogEvent::ConfigCheckpoint,
                "version " + std::to_string(checkpoint->version_.Value()));
    const auto bytes = wire::EncodeConfigRecord(model::ConfigRecord(*std::move(checkpoint)));
    (void)platform_.Submit(LogAppendCommand{ kCheckpointTicket, "config", bytes });
  }
}

} // namespace hemlockproxy::daemon
