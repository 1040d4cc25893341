#pragma once

#include "hemlockproxy/daemon/Adapters.h"
#include "hemlockproxy/daemon/ClaimService.h"
#include "hemlockproxy/daemon/ConfigSource.h"
#include "hemlockproxy/daemon/ControlTransport.h"
#include "hemlockproxy/daemon/Mailbox.h"
#include "hemlockproxy/daemon/MemberStream.h"
#include "hemlockproxy/daemon/PlatformThread.h"
#include "hemlockproxy/daemon/Settings.h"
#include "hemlockproxy/daemon/StatusSlot.h"
#include "hemlockproxy/daemon/TrafficView.h"
#include "hemlockproxy/decisions/AllowanceLender.h"
#include "hemlockproxy/decisions/DepartureBook.h"
#include "hemlockproxy/decisions/Distribution.h"
#include "hemlockproxy/decisions/Membership.h"
#include "hemlockproxy/runtime/EventRing.h"
#include "hemlockproxy/runtime/Metrics.h"
#include "hemlockproxy/wire/QuarantineCodec.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>
#include <variant>

namespace hemlockproxy::daemon {

namespace impl {
class PeerMemory;
} // namespace impl

/// The endpoint of this instance has changed; nothing while there is none.
struct LocalEndpoint
{
  std::optional<model::Endpoint> endpoint_;
};

/// The daemon takes no new work from now on, but stays a member.
struct LeavingCommand
{};

/// The daemon leaves the membership and the thread ends.
struct StopCommand
{};

/// Suspected requests to tell the owners of the same service.
struct QuarantineNews
{
  wire::QuarantineRecords records_;
};

/// A backend server of this daemon has left, which peers are to remember.
struct DepartureNews
{
  decisions::DepartureRecord departure_;
  /// Called once peers have answered or could not be reached.
  std::function<void()> done_;
};

/// An ask of this daemon to a lender of allowances.
struct AllowanceRequest
{
  model::DaemonId lender_;
  decisions::AllowanceAsk ask_;
};

/// What other threads tell the control thread.
using ControlMessage = std::variant<LocalEndpoint,
                                    LogReadResult,
                                    LogAppendResult,
                                    QuarantineNews,
                                    DepartureNews,
                                    AllowanceRequest,
                                    LeavingCommand,
                                    StopCommand>;

/// Keeps membership and configuration on a thread of its own, and gives the traffic thread its view
/// of both.
class ControlThread
{
public:
  /// Opens the control address; fails when it is in use. The references must outlive the thread.
  [[nodiscard]] static runtime::HttpResult<std::unique_ptr<ControlThread>> Create(
    const Settings& aSettings,
    const Adapters& aAdapters,
    TrafficViewSlot& aViews,
    StatusSlot& aStatus,
    runtime::Metrics& aMetrics,
    runtime::EventRing& aEvents);
  ~ControlThread();
  ControlThread(const ControlThread&) = delete;
  ControlThread& operator=(const ControlThread&) = delete;

  /// Sets the receiver of suspected requests that other owners report; it returns false when it is
  /// busy and must not block.
  void OnQuarantine(std::function<bool(wire::QuarantineRecords)> aReceiver)
  {
    onQuarantine_ = std::move(aReceiver);
  }
  /// Receives all records of this daemon, on any thread.
  using QuarantineReader = std::function<void(wire::QuarantineRecords)>;
  /// Sets who reads this daemon's records; it returns false when it is busy and must not block.
  void SetReadQuarantine(std::function<bool(QuarantineReader)> aRead)
  {
    readQuarantine_ = std::move(aRead);
  }
  /// Receives what peers remember of departures from before the start. The second argument is set
  /// once they have told all: for how long one of them has been keeping departures.
  using DeparturesReceiver = std::function<bool(std::vector<decisions::DepartureRecord>,
                                                std::optional<std::chrono::milliseconds>)>;
  /// Sets who receives departures; it returns false when it is busy and must not block.
  void OnDepartures(DeparturesReceiver aReceiver) { onDepartures_ = std::move(aReceiver); }
  /// Sets the receiver of what lenders of allowances grant this daemon; it must not block.
  void OnAllowanceGrant(
    std::function<void(const model::DaemonId&, decisions::AllowanceGrant)> aReceiver)
  {
    onGrant_ = std::move(aReceiver);
  }
  void Start();
  /// Hands over a message; returns false when the ring buffer is full.
  [[nodiscard]] bool Tell(ControlMessage aMessage) { return inbox_.TryPush(std::move(aMessage)); }
  /// Leaves the membership and ends the thread.
  void Stop();

private:
  ControlThread(const Settings& aSettings,
                const Adapters& aAdapters,
                decisions::Membership aMembership,
                decisions::Distribution aDistribution,
                TrafficViewSlot& aViews,
                StatusSlot& aStatus,
                runtime::Metrics& aMetrics,
                runtime::EventRing& aEvents);

  void Main();
  void TickUntilStopped();
  void Tick();

  void On(LocalEndpoint& aLocal);
  void On(LogReadResult& aResult);
  void On(LogAppendResult& aResult);
  void On(QuarantineNews& aNews);
  void On(DepartureNews& aNews);
  void On(AllowanceRequest& aRequest);
  void On(LeavingCommand& aCommand);
  void On(StopCommand& aCommand);

  void SendAsk(const model::DaemonId& aLender, const decisions::AllowanceAsk& aAsk);
  void OnAsk(const model::DaemonId& aFrom, const decisions::AllowanceAsk& aAsk);
  void OnGrant(const model::DaemonId& aFrom, decisions::AllowanceGrant aGrant);
  /// Chooses the lenders by the membership, and asks the root lender if an ask is due.
  void TickAllowances();

  void OnDatagram(const model::Address& aFrom, std::string_view aBytes);
  [[nodiscard]] std::optional<std::string> OnSync(const std::string& aBody);
  [[nodiscard]] std::optional<std::string> OnFetch(const std::string& aBody);
  [[nodiscard]] std::optional<std::string> OnQuarantineReport(const std::string& aBody);

  /// Returns the other owners of a service.
  [[nodiscard]] std::vector<model::Address> OwnersOf(const model::ServiceName& aService) const;
  /// Asks other owners for suspected requests, before the endpoint is published for the first time
  /// and after this daemon was away.
  void TickQuarantine();
  void AskQuarantine(const model::Address& aOwner);
  void PublishHeldEndpoint();
  /// Makes the endpoint of this daemon known to the membership.
  void Apply(std::optional<model::Endpoint> aEndpoint);

  /// Handles an event and executes its actions; returns the reply among them, if any. An exception
  /// would leave the state between two events, so that it ends the process.
  std::optional<decisions::SyncResponse> Membership(
    const decisions::MembershipEvent& aEvent) noexcept;
  std::optional<decisions::FetchResponse> Distribution(
    const decisions::DistributionEvent& aEvent) noexcept;

  void Do(const decisions::SendDatagram& aAction);
  void Do(const decisions::SendSync& aAction);
  void Do(const decisions::MemberChanged& aAction);
  void Do(const decisions::MemberForgotten& aAction);
  void Do(const decisions::DomainReachabilityChanged& aAction);
  void Do(const decisions::RolesChanged& aAction);
  void Do(const decisions::PeerVersionSeen& aAction);
  void Do(const decisions::FloorRaised& aAction);
  void Do(const decisions::FloorSettled& aAction);
  void Do(const decisions::SendNotice& aAction);
  void Do(const decisions::SendNoticeAck& aAction);
  void Do(const decisions::SendLogReport& aAction);
  void Do(const decisions::SendFetch& aAction);
  void Do(const decisions::EnforceVersion& aAction);
  void Do(const decisions::VersionHeld& aAction);
  void Do(const decisions::BecomeReady& aAction);
  void Do(const decisions::StartReading& aAction);
  void Do(const decisions::StopReading& aAction);
  void Do(const decisions::ReadLogTail& aAction);
  void Do(const decisions::AppendCheckpoint& aAction);
  void Do(const decisions::LogEpochRaised& aAction);

  void ReadLogIfDue();
  /// Takes in the epoch of a response of the log; nothing without a response.
  void NoteLogEpoch(std::optional<model::LogEpoch> aEpoch);
  void Publish();
  [[nodiscard]] model::ConfigVersion EnforcedVersion() const noexcept;

  Settings settings_;
  TrafficViewSlot& views_;
  StatusSlot& status_;
  runtime::Metrics& metrics_;
  runtime::EventRing& events_;
  runtime::IoContextPtr io_;
  Mailbox<ControlMessage> inbox_;
  std::unique_ptr<ControlTransport> transport_;
  decisions::Membership membership_;
  decisions::Distribution distribution_;
  std::unique_ptr<ConfigSource> source_;
  MemberStream memberStream_;
  PlatformThread platform_;
  /// Null where no request carries an idempotency key.
  std::unique_ptr<ClaimService> claims_;
  std::function<bool(wire::QuarantineRecords)> onQuarantine_;
  std::function<bool(QuarantineReader)> readQuarantine_;
  DeparturesReceiver onDepartures_;
  std::unique_ptr<impl::PeerMemory> peerMemory_;
  std::function<void(const model::DaemonId&, decisions::AllowanceGrant)> onGrant_;
  model::RandomSource random_;
  decisions::AllowanceLender domainLender_;
  decisions::AllowanceLender rootLender_;
  /// Of all failure domains that can be reached.
  model::DaemonId rootLenderId_;
  std::unordered_map<model::DaemonId, model::FailureDomain> domains_;
  std::vector<model::FailureDomain> unreachable_;
  std::optional<model::Endpoint> local_;
  /// The endpoint while other owners are asked for suspected requests.
  std::optional<model::Endpoint> heldLocal_;
  /// Whether an endpoint of the present service has been published.
  bool published_ = false;
  bool quarantineHeard_ = false;
  bool askingQuarantine_ = false;
  model::TimePoint nextQuarantineAsk_{};
  /// The service of the endpoint that is published or held; empty without one.
  model::ServiceName quarantineService_;
  /// When the held endpoint is published without an answer.
  model::TimePoint publishBy_{};
  model::TimePoint lastTick_{};
  model::ConfigVersion floor_;
  decisions::RouteIndexPtr routes_;
  bool ready_ = false;
  bool leaving_ = false;
  bool stopping_ = false;
  bool dirty_ = true;
  std::thread thread_;
};

} // namespace hemlockproxy::daemon
