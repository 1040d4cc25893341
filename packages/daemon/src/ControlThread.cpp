#include "hemlockproxy/daemon/ControlThread.h"

#include "impl/ProcessBounds.h"

#include "impl/ControlCalls.h"
#include "impl/PeerMemory.h"

#include "hemlockproxy/daemon/OperatorConfigSource.h"
#include "hemlockproxy/daemon/PublishedConfigSource.h"
#include "hemlockproxy/decisions/RendezvousHash.h"
#include "hemlockproxy/wire/ConfigCodec.h"
#include "hemlockproxy/wire/DistributionCodec.h"
#include "hemlockproxy/wire/MembershipCodec.h"

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <random>

namespace hemlockproxy::daemon {

namespace {

using runtime::Gauge;

constexpr std::size_t kInboxMessages = 1024;
constexpr std::chrono::milliseconds kTick{ 100 };
/// An endpoint whose daemon finds no members within this time is published all the same.
constexpr std::chrono::milliseconds kPublishWithin{ 2000 };
/// Calls of peers end unanswered when the process stands still for longer.
constexpr std::chrono::milliseconds kLongGap{ 2000 };

/// With the profile fast, news of other domains and the return of a lost member take about a second
/// rather than several.
constexpr std::chrono::milliseconds kFastJoinJitter{ 100 };
constexpr std::chrono::milliseconds kFastDigestInterval{ 1000 };
constexpr std::chrono::milliseconds kFastReconnectInterval{ 1000 };
/// The log is read again after this share of the time in which a version is to be in force: a
/// connection may go silent without a reset.
constexpr double kReadShare = 0.6;

constexpr LogTicket kConfigTicket = 1;
constexpr LogTicket kMembersReadTicket = 3;
constexpr LogTicket kMembersPutTicket = 4;
constexpr LogTicket kFirstClaimsTicket = 100;

model::TimePoint Now()
{
  return std::chrono::steady_clock::now();
}

/// Names this process to borrowers of allowances.
std::uint64_t DrawEpoch(model::RandomSource& aRandom)
{
  return std::uniform_int_distribution<std::uint64_t>(1)(aRandom);
}

decisions::MembershipOptions MakeMembershipOptions(const Settings& aSettings)
{
  decisions::MembershipOptions options;
  options.id_ = IdOf(aSettings);
  options.region_ = aSettings.region_;
  options.domain_ = aSettings.domain_;
  options.control_ = aSettings.advertiseControl_;
  options.forward_ = aSettings.advertiseForward_;
  options.seeds_ = aSettings.seeds_;
  if (aSettings.profile_ == Profile::Fast) {
    options.joinJitter_ = kFastJoinJitter;
    options.digestInterval_ = kFastDigestInterval;
    options.reconnectInterval_ = kFastReconnectInterval;
  }
  return options;
}

decisions::DistributionOptions MakeDistributionOptions(const Settings& aSettings)
{
  auto options = decisions::DistributionOptions::ForProfile(
    aSettings.profile_ == Profile::Fast ? decisions::Profile::Fast : decisions::Profile::Frugal);
  options.id_ = IdOf(aSettings);
  options.retention_ =
    std::max(std::chrono::duration_cast<std::chrono::minutes>(aSettings.logRetention_),
             std::chrono::minutes(1));
  options.ApplyWithin(aSettings.applyWithin_);
  if (aSettings.interface_ == Interface::Platform) {
    // The log holds the newest configuration as one record, so that reading it first is cheap.
    options.startLogDelay_ = std::chrono::milliseconds(0);
    options.logRetry_ = aSettings.applyWithin_ / 2;
  }
  return options;
}

/// Returns the epoch of the log's response; nothing without a response.
template <typename T>
std::optional<model::LogEpoch> EpochOf(const model::Result<T, runtime::LogError>& aResult)
{
  return aResult ? std::optional(aResult->epoch_) : aResult.Error().epoch_;
}

std::unique_ptr<ConfigSource> MakeSource(const Settings& aSettings,
                                         const Adapters& aAdapters,
                                         runtime::EventRing& aEvents)
{
  const auto wait =
    std::chrono::duration_cast<std::chrono::milliseconds>(aSettings.applyWithin_ * kReadShare);
  if (!aAdapters.decodeConfiguration_) {
    return std::make_unique<PublishedConfigSource>(kConfigTicket, wait, aEvents);
  }
  const OperatorConfigOptions options{ kConfigTicket, wait };
  return std::make_unique<OperatorConfigSource>(options, aAdapters.decodeConfiguration_, aEvents);
}

} // namespace

runtime::HttpResult<std::unique_ptr<ControlThread>> ControlThread::Create(
  const Settings& aSettings,
  const Adapters& aAdapters,
  TrafficViewSlot& aViews,
  StatusSlot& aStatus,
  runtime::Metrics& aMetrics,
  runtime::EventRing& aEvents)
{
  using runtime::HttpError;
  using runtime::HttpErrorKind;
  auto membership = decisions::Membership::Create(MakeMembershipOptions(aSettings));
  if (!membership) {
    return HttpError{ HttpErrorKind::Malformed, membership.Error().message_ };
  }
  auto distribution = decisions::Distribution::Create(MakeDistributionOptions(aSettings));
  if (!distribution) {
    return HttpError{ HttpErrorKind::Malformed, distribution.Error().message_ };
  }
  std::unique_ptr<ControlThread> thread(new ControlThread(aSettings,
                                                          aAdapters,
                                                          *std::move(membership),
                                                          *std::move(distribution),
                                                          aViews,
                                                          aStatus,
                                                          aMetrics,
                                                          aEvents));
  auto transport = ControlTransport::Create(
    thread->io_, aSettings.control_, aMetrics, impl::MakeControlBounds(aSettings));
  if (!transport) {
    return transport.Error();
  }
  thread->transport_ = *std::move(transport);
  return thread;
}

ControlThread::ControlThread(const Settings& aSettings,
                             const Adapters& aAdapters,
                             decisions::Membership aMembership,
                             decisions::Distribution aDistribution,
                             TrafficViewSlot& aViews,
                             StatusSlot& aStatus,
                             runtime::Metrics& aMetrics,
                             runtime::EventRing& aEvents)
  : settings_(aSettings)
  , views_(aViews)
  , status_(aStatus)
  , metrics_(aMetrics)
  , events_(aEvents)
  , io_(std::make_shared<runtime::IoContext>(1))
  , inbox_(kInboxMessages)
  , membership_(std::move(aMembership))
  , distribution_(std::move(aDistribution))
  , source_(MakeSource(aSettings, aAdapters, aEvents))
  , memberStream_(kMembersReadTicket, kMembersPutTicket, aSettings.advertiseControl_)
  , platform_(aAdapters.makeLog_,
              aSettings.log_,
              aSettings.control_.ip_,
              aSettings.logTimeout_,
              aMetrics,
              [this](LogCompletion aCompletion) {
                std::visit([this](auto& aOne) { (void)inbox_.Push(std::move(aOne)); }, aCompletion);
              })
  , random_(std::random_device()())
  , domainLender_(decisions::AllowanceLevel::Domain, DrawEpoch(random_), Now())
  , rootLender_(decisions::AllowanceLevel::Root, DrawEpoch(random_), Now())
{
  if (aSettings.interface_ == Interface::Hemlock) {
    claims_ = std::make_unique<ClaimService>(kFirstClaimsTicket, [this](LogCommand aCommand) {
      return platform_.Submit(std::move(aCommand));
    });
  }
}

ControlThread::~ControlThread()
{
  Stop();
}

void ControlThread::Start()
{
  platform_.Start();
  lastTick_ = Now();
  thread_ = std::thread([this] { runtime::RunFiberLoop(io_, [this] { Main(); }); });
}

void ControlThread::Stop()
{
  if (thread_.joinable()) {
    inbox_.Push(StopCommand{});
    thread_.join();
  }
}

void ControlThread::Main()
{
  transport_->OnCall(impl::kSyncPath, [this](const std::string& aBody) { return OnSync(aBody); });
  transport_->OnCall(impl::kFetchPath, [this](const std::string& aBody) { return OnFetch(aBody); });
  transport_->OnCall(impl::kQuarantinePath,
                     [this](const std::string& aBody) { return OnQuarantineReport(aBody); });
  peerMemory_ = std::make_unique<impl::PeerMemory>(
    *transport_,
    IdOf(settings_),
    settings_.domain_,
    Now(),
    [this] { return membership_.Members(); },
    [this](std::vector<decisions::DepartureRecord> aRecords,
           std::optional<std::chrono::milliseconds> aLongestMemory) {
      return onDepartures_(std::move(aRecords), aLongestMemory);
    });
  transport_->OnCall(impl::kDeparturesPath,
                     [this](const std::string& aBody) { return peerMemory_->HandleCall(aBody); });
  if (claims_) {
    transport_->OnCall(kClaimsPath,
                       [this](const std::string& aBody) { return claims_->HandleCall(aBody); });
  }
  transport_->SetForeign([this](const model::Address& aAddress) {
    const auto found = domains_.find(model::DaemonId(ToString(aAddress)));
    return found != domains_.end() && found->second != settings_.domain_;
  });
  transport_->Start(
    [this](const model::Address& aFrom, std::string_view aBytes) { OnDatagram(aFrom, aBytes); });
  runtime::SpawnFiber([this] { TickUntilStopped(); });
  ControlMessage message;
  while (!stopping_ && inbox_.Pop(message)) {
    std::visit([this](auto& aOne) { On(aOne); }, message);
    Publish();
  }
  transport_->Stop();
}

void ControlThread::TickUntilStopped()
{
  while (!stopping_) {
    Tick();
    Publish();
    boost::this_fiber::sleep_for(kTick);
  }
}

void ControlThread::Tick()
{
  Membership(decisions::MembershipTick{});
  Distribution(decisions::DistributionTick{});
  if (const auto current = distribution_.CurrentAsOf()) {
    const auto age = std::chrono::floor<std::chrono::milliseconds>(Now() - *current);
    metrics_.Set(Gauge::ConfigUnconfirmed, static_cast<std::uint64_t>(age.count()));
  }
  if (claims_) {
    claims_->Tick(Now());
  }
  if (settings_.allowanceLending_) {
    TickAllowances();
  }
  ReadLogIfDue();
  peerMemory_->Tick(Now());
  if (Now() - lastTick_ > kLongGap) {
    // What other owners found out while this process stood still was not delivered.
    quarantineHeard_ = false;
  }
  lastTick_ = Now();
  TickQuarantine();
  if (membership_.Live(settings_.domain_).size() <= 1) {
    memberStream_.Refresh();
  } else {
    memberStream_.PeerKnown();
  }
  if (auto command = memberStream_.Next(Now()); command && !platform_.Submit(*std::move(command))) {
    memberStream_.NotSubmitted();
  }
}

void ControlThread::On(LocalEndpoint& aLocal)
{
  const auto service = aLocal.endpoint_ ? aLocal.endpoint_->service_ : model::ServiceName();
  if (service != quarantineService_) {
    // Owners are told of suspects only while they have an endpoint of the service.
    quarantineService_ = service;
    quarantineHeard_ = published_ = false;
    publishBy_ = Now() + kPublishWithin;
  }
  if (!aLocal.endpoint_ || published_ || quarantineHeard_) {
    heldLocal_.reset();
    Apply(std::move(aLocal.endpoint_));
    return;
  }
  // Nobody sends work before the endpoint is known.
  heldLocal_ = std::move(aLocal.endpoint_);
  TickQuarantine();
}

void ControlThread::Apply(std::optional<model::Endpoint> aEndpoint)
{
  if (local_ == aEndpoint) {
    return;
  }
  local_ = std::move(aEndpoint);
  dirty_ = true;
  Membership(decisions::LocalEndpointChanged{ local_ });
}

void ControlThread::NoteLogEpoch(std::optional<model::LogEpoch> aEpoch)
{
  if (aEpoch) {
    Distribution(decisions::LogEpochSeen{ *aEpoch });
  }
}

void ControlThread::On(LogReadResult& aResult)
{
  NoteLogEpoch(EpochOf(aResult.result_));
  if (claims_ && claims_->Finish(aResult)) {
    return;
  }
  if (aResult.ticket_ == kMembersReadTicket) {
    auto addresses = memberStream_.Finish(aResult.result_, Now(), random_);
    if (!addresses.empty()) {
      Membership(decisions::AddressesLearned{ std::move(addresses) });
    }
    return;
  }
  for (const auto& event : source_->Finish(aResult.result_, Now(), model::WallNow(), random_)) {
    Distribution(event);
  }
  dirty_ = true;
  ReadLogIfDue();
}

void ControlThread::On(LogAppendResult& aResult)
{
  NoteLogEpoch(EpochOf(aResult.result_));
  if (claims_ && claims_->Finish(aResult)) {
    return;
  }
  if (aResult.ticket_ == kMembersPutTicket) {
    memberStream_.Finish(aResult.result_, Now(), random_);
  } else if (!aResult.result_) {
    events_.Add(runtime::LogEvent::ConfigCheckpointNotAppended, aResult.result_.Error().message_);
  }
}

void ControlThread::On(DepartureNews& aNews)
{
  peerMemory_->Tell(std::move(aNews.departure_), std::move(aNews.done_));
}

void ControlThread::On(LeavingCommand& /*aCommand*/)
{
  leaving_ = true;
  dirty_ = true;
  events_.Add(runtime::LogEvent::MembersLeaving, "no new work is taken");
  Membership(decisions::BeginLeaving{});
}

void ControlThread::On(StopCommand& /*aCommand*/)
{
  Membership(decisions::Leave{});
  events_.Add(runtime::LogEvent::MembersLeft, "");
  stopping_ = true;
}

void ControlThread::OnDatagram(const model::Address& aFrom, std::string_view aBytes)
{
  if (stopping_) {
    return;
  }
  auto decoded = wire::DecodeDatagram(aBytes);
  if (!decoded) {
    runtime::Log(runtime::LogLevel::Warn,
                 "members",
                 "datagram from " + ToString(aFrom) + " dropped: " + decoded.Error().message_);
    return;
  }
  events_.Observe(decoded->stamp_);
  if (auto* datagram = std::get_if<decisions::Datagram>(&decoded->message_)) {
    Membership(decisions::DatagramReceived{ aFrom, std::move(*datagram) });
  } else if (auto* notice = std::get_if<decisions::Notice>(&decoded->message_)) {
    Distribution(decisions::NoticeReceived{ *notice });
  } else if (auto* ack = std::get_if<decisions::NoticeAck>(&decoded->message_)) {
    Distribution(decisions::NoticeAckReceived{ *ack });
  } else if (auto* report = std::get_if<decisions::LogReport>(&decoded->message_)) {
    Distribution(decisions::LogReportReceived{ *report });
  } else if (const auto* ask = std::get_if<decisions::AllowanceAsk>(&decoded->message_)) {
    OnAsk(decoded->from_, *ask);
  } else if (auto* grant = std::get_if<decisions::AllowanceGrant>(&decoded->message_)) {
    OnGrant(decoded->from_, std::move(*grant));
  }
  Publish();
}

std::optional<std::string> ControlThread::OnSync(const std::string& aBody)
{
  auto request = wire::DecodeSyncRequest(aBody);
  if (!request) {
    return std::nullopt;
  }
  const model::Address from = request->self_ ? request->self_->control_ : model::Address{};
  auto response = Membership(decisions::SyncRequested{ from, *std::move(request) });
  Publish();
  if (!response) {
    return std::nullopt;
  }
  return wire::EncodeSyncResponse(*response);
}

std::optional<std::string> ControlThread::OnFetch(const std::string& aBody)
{
  auto request = wire::DecodeFetchRequest(aBody);
  if (!request) {
    return std::nullopt;
  }
  auto response = Distribution(decisions::FetchRequested{ {}, *std::move(request) });
  if (!response) {
    return std::nullopt;
  }
  return wire::EncodeFetchResponse(*response);
}

std::optional<decisions::SyncResponse> ControlThread::Membership(
  const decisions::MembershipEvent& aEvent) noexcept
{
  std::optional<decisions::SyncResponse> reply;
  for (auto& action : membership_.Handle(aEvent, Now(), random_)) {
    if (auto* own = std::get_if<decisions::ReplySync>(&action)) {
      reply = std::move(own->response_);
      continue;
    }
    std::visit(
      [this](const auto& aOne) {
        if constexpr (!std::is_same_v<std::decay_t<decltype(aOne)>, decisions::ReplySync>) {
          Do(aOne);
        }
      },
      action);
  }
  return reply;
}

std::optional<decisions::FetchResponse> ControlThread::Distribution(
  const decisions::DistributionEvent& aEvent) noexcept
{
  std::optional<decisions::FetchResponse> reply;
  for (auto& action : distribution_.Handle(aEvent, Now(), random_)) {
    if (auto* own = std::get_if<decisions::ReplyFetch>(&action)) {
      reply = std::move(own->response_);
      continue;
    }
    std::visit(
      [this](const auto& aOne) {
        if constexpr (!std::is_same_v<std::decay_t<decltype(aOne)>, decisions::ReplyFetch>) {
          Do(aOne);
        }
      },
      action);
  }
  if (const auto current = distribution_.CurrentAsOf()) {
    views_.SetCurrentAsOf(*current);
  }
  return reply;
}

void ControlThread::ReadLogIfDue()
{
  if (auto command = source_->NextRead(Now()); command && !platform_.Submit(*std::move(command))) {
    source_->ReadNotSubmitted();
  }
}

model::ConfigVersion ControlThread::EnforcedVersion() const noexcept
{
  return routes_ ? routes_->Configuration().version_ : model::ConfigVersion();
}

void ControlThread::Publish()
{
  if (!dirty_) {
    return;
  }
  dirty_ = false;
  auto view = std::make_shared<TrafficView>();
  auto status = std::make_shared<Status>();
  // Requests are served only once the start-up rule is met.
  view->routes_ = ready_ ? routes_ : nullptr;
  view->leaving_ = leaving_;
  view->unreachable_ = unreachable_;
  std::map<model::MemberState, double> states = { { model::MemberState::Alive, 0 },
                                                  { model::MemberState::Suspect, 0 },
                                                  { model::MemberState::Dead, 0 },
                                                  { model::MemberState::Left, 0 } };
  std::vector<model::DaemonId> reachable;
  for (const auto& member : membership_.Members()) {
    states[member->state_] += member->domain_ == settings_.domain_ ? 1 : 0;
    const bool live =
      member->state_ == model::MemberState::Alive || member->state_ == model::MemberState::Suspect;
    view->daemons_ += live ? 1 : 0;
    if (live && membership_.Reachable(member->domain_)) {
      reachable.push_back(member->id_);
    }
    if (live && member->endpoint_) {
      view->endpoints_.push_back(member);
    }
    if (live && member->domain_ == settings_.domain_) {
      view->domainMembers_.push_back(member);
    }
    status->members_.push_back(member);
  }
  for (const auto& [state, count] : states) {
    metrics_.Set(runtime::Family::Members, { ToString(state) }, count);
  }
  metrics_.Set(Gauge::MembersAlive, view->domainMembers_.size());
  metrics_.Set(Gauge::EndpointsKnown, view->endpoints_.size());
  metrics_.Set(Gauge::ConfigVersion, EnforcedVersion().Value());
  metrics_.Set(Gauge::ConfigHeld, distribution_.HeldVersion().Value());
  metrics_.Set(Gauge::LogReader, distribution_.IsLogReader() ? 1 : 0);
  metrics_.Set(Gauge::LogEpoch, distribution_.LogEpoch().value_or(model::LogEpoch()).Value());
  metrics_.Set(Gauge::Ready, ready_ ? 1 : 0);
  status->ready_ = ready_ && routes_ != nullptr;
  status->leaving_ = leaving_;
  status->version_ = EnforcedVersion();
  status->floor_ = floor_;
  status->logReader_ = distribution_.IsLogReader();
  const auto relays = membership_.Relays(settings_.domain_);
  status->relay_ = std::find(relays.begin(), relays.end(), membership_.Self()->id_) != relays.end();
  status->nextOffset_ = source_->NextOffset();
  status->logAvailable_ = source_->LogAvailable();
  status->unreachable_ = unreachable_;
  const auto lenders =
    decisions::ChooseByRendezvous("allowances", membership_.Live(settings_.domain_), 1);
  view->allowanceLender_ = lenders.empty() ? model::DaemonId() : lenders.front();
  const auto roots = decisions::ChooseByRendezvous("allowances-root", reachable, 1);
  rootLenderId_ = roots.empty() ? model::DaemonId() : roots.front();
  views_.Store(std::move(view));
  status_.Store(std::move(status));
}

} // namespace hemlockproxy::daemon
