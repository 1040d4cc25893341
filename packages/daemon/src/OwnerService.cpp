#include "hemlockproxy/daemon/OwnerService.h"

#include "hemlockproxy/wire/QuarantineCodec.h"

#include "impl/Delivery.h"
#include "impl/EntryBodies.h"
#include "impl/HeldBody.h"
#include "impl/LinkScheduler.h"
#include "impl/RequestLog.h"

#include <boost/fiber/future/promise.hpp>
#include <boost/fiber/operations.hpp>

namespace hemlockproxy::daemon {

using decisions::FinishKind;
using decisions::RequestId;
using model::RefusalReason;
using model::RequestOutcome;
using runtime::HttpResult;
namespace http = runtime::http;

namespace {

/// Idle connections to the backend server; shorter than usual keep-alive times of servers.
constexpr std::chrono::milliseconds kBackendIdleTime{ 4000 };
constexpr std::size_t kBackendIdleConnections = 64;
/// A longer response body is passed on as it comes.
constexpr std::size_t kMostHeldBody = 4UL * 1024 * 1024;
/// A part of the idle time, so that an idle connection lives little longer.
constexpr std::chrono::milliseconds kPoolCheckInterval{ 1000 };
constexpr std::chrono::milliseconds kAdmissionTick{ 5 };
constexpr std::chrono::milliseconds kCrashProbeTimeout{ 200 };
/// A process that ends closes its connections one by one, and its listener may be among the last.
constexpr std::chrono::milliseconds kCrashProbeDelay{ 20 };

model::LimitSet LimitsOf(const TrafficView& aView, const model::ServiceName& aService)
{
  if (!aView.routes_) {
    return {};
  }
  const auto& content = aView.routes_->Configuration().content_;
  const auto found = content.find(aService);
  return found == content.end() ? model::LimitSet{} : found->second->config_.limits_;
}

decisions::Fingerprint FingerprintOf(const UpstreamRequest& aRequest)
{
  const auto method = aRequest.header_.method_string();
  const auto path = aRequest.header_.target();
  const auto key = aRequest.header_[kKeyField];
  const std::string content =
    key.empty() ? ToString(model::HashBytes(aRequest.body_)) : std::string(key);
  return decisions::MakeFingerprint(
    { method.data(), method.size() }, { path.data(), path.size() }, content);
}

/// Returns the report of one request among those in progress at a crash.
std::string EvidenceFor(const decisions::Fingerprint& aFingerprint,
                        const std::vector<decisions::QuarantineRecord>& aRecords)
{
  for (const decisions::QuarantineRecord& record : aRecords) {
    if (record.fingerprint_ == aFingerprint) {
      return wire::EncodeQuarantineReport({ record });
    }
  }
  return {};
}

} // namespace

/// A request in the admission queue.
struct OwnerService::Waiter
{
  boost::fibers::promise<RefusalReason> verdict_;
};

/// Holds the slot of a request until its response is complete or given up.
class OwnerService::AdmittedBody final : public UpstreamBody
{
public:
  AdmittedBody(OwnerService& aOwner,
               RequestId aId,
               model::Address aBackend,
               std::unique_ptr<UpstreamBody> aBody)
    : owner_(aOwner)
    , id_(aId)
    , backend_(std::move(aBackend))
    , body_(std::move(aBody))
  {
  }

  ~AdmittedBody() override
  {
    body_.reset();
    owner_.Finish(id_, complete_ ? FinishKind::Completed : FinishKind::Aborted);
  }

  AdmittedBody(const AdmittedBody&) = delete;
  AdmittedBody& operator=(const AdmittedBody&) = delete;

  [[nodiscard]] HttpResult<std::size_t> Read(char* aBuffer, std::size_t aSize) override
  {
    auto read = body_->Read(aBuffer, aSize);
    complete_ = read && *read == 0;
    if (!read && read.Error().kind_ != runtime::HttpErrorKind::TimedOut) {
      (void)owner_.CheckForCrash(backend_);
    }
    return read;
  }

  void SetStallTimeout(std::chrono::milliseconds aTimeout) override
  {
    body_->SetStallTimeout(aTimeout);
  }

private:
  OwnerService& owner_;
  RequestId id_;
  model::Address backend_;
  std::unique_ptr<UpstreamBody> body_;
  bool complete_ = false;
};

OwnerService::OwnerService(runtime::IoContextPtr aIo,
                           OwnerOptions aOptions,
                           const TrafficViewSlot& aViews,
                           runtime::Metrics& aMetrics,
                           runtime::EventRing& aEvents,
                           TellPeers aTellPeers,
                           OnEndpoint aOnEndpoint)
  : io_(std::move(aIo))
  , options_(std::move(aOptions))
  , views_(aViews)
  , metrics_(aMetrics)
  , events_(aEvents)
  , pool_(io_, kBackendIdleConnections, kBackendIdleTime)
  , tellPeers_(std::move(aTellPeers))
  , onEndpoint_(std::move(aOnEndpoint))
  , registry_(*decisions::BackendRegistry::Create({ .interval_ = options_.reportInterval_,
                                                    .daemonStart_ = options_.daemonStart_,
                                                    .start_ = std::chrono::steady_clock::now(),
                                                    .peerWait_ = options_.peerWait_ }))
  , quarantine_(*decisions::Quarantine::Create({}))
  , link_(std::make_unique<impl::LinkScheduler>(*decisions::TransferQueue::Create(options_.link_)))
{
  pool_.SetOnOpen([this](runtime::OpenReason aReason) {
    metrics_.Add(runtime::Family::ConnectionsOpened, { "backend", ToString(aReason) });
  });
  options_.exchange_.dialect_ = options_.dialect_.get();
}

OwnerService::~OwnerService() = default;

std::uint32_t OwnerService::Load() const noexcept
{
  return admission_ ? static_cast<std::uint32_t>(admission_->Running() + admission_->Queued()) : 0;
}

void OwnerService::Tick()
{
  if (const auto now = std::chrono::steady_clock::now(); now >= nextPoolCheck_) {
    nextPoolCheck_ = now + kPoolCheckInterval;
    pool_.DropExpired();
  }
  link_->Tick();
  if (registry_.Tick(std::chrono::steady_clock::now())) {
    BackendChanged(runtime::LogEvent::EndpointWithdrawn);
  }
  Refresh(views_.Load());
  ConfirmIfDue();
  using runtime::Gauge;
  metrics_.Set(Gauge::OwnerRunning, admission_ ? admission_->Running() : 0);
  metrics_.Set(Gauge::OwnerQueued, admission_ ? admission_->Queued() : 0);
  metrics_.Set(Gauge::OwnerSlots, admission_ ? admission_->Capacity() : 0);
  const auto mean = admission_ ? admission_->MeanServiceTime() : model::Duration{};
  metrics_.Set(Gauge::OwnerServiceMicros,
               static_cast<std::uint64_t>(
                 std::chrono::duration_cast<std::chrono::microseconds>(mean).count()));
}

void OwnerService::Refresh(const TrafficViewPtr& aView)
{
  if (aView == seen_) {
    return;
  }
  seen_ = aView;
  ApplyState();
}

void OwnerService::ApplyState()
{
  const auto& backend = registry_.Current();
  if (!backend) {
    if (admission_ && !admission_->Draining()) {
      Dispatch(admission_->StartDraining());
    }
    return;
  }
  model::LimitSet limits = seen_ ? LimitsOf(*seen_, backend->service_) : model::LimitSet{};
  const auto now = std::chrono::steady_clock::now();
  if (!admission_ || service_ != backend->service_) {
    if (admission_ && Load() > 0) {
      return;
    }
    decisions::AdmissionOptions options;
    options.slots_ = backend->slots_;
    options.limits_ = std::move(limits);
    auto created = decisions::Admission::Create(std::move(options));
    if (!created) {
      return;
    }
    admission_.emplace(*std::move(created));
    (void)admission_->SetPace(now, limit_.PerSecond());
    service_ = backend->service_;
  } else {
    Dispatch(admission_->Update(now, backend->slots_, limits));
  }
  const bool draining = !registry_.TakesWork() || (seen_ && seen_->leaving_);
  if (draining && !admission_->Draining()) {
    events_.Add(runtime::LogEvent::WorkDraining,
                "new work is rejected, " + std::to_string(admission_->Running()) + " requests run");
    Dispatch(admission_->StartDraining());
  } else if (!draining && admission_->Draining()) {
    admission_->StopDraining();
  }
}

decisions::TransferDemand OwnerService::DemandOf(model::TimePoint aNow,
                                                 const UpstreamRequest& aRequest) const
{
  const WorkClass& work = aRequest.work_;
  return { work.label_,
           aNow + admission_->ExpectedWait(aNow, work.priority_) +
             admission_->EstimateOf(work.label_),
           work.target_ };
}

model::Duration OwnerService::ExpectedWait(const UpstreamRequest& aRequest) const
{
  const auto slot =
    admission_->ExpectedWait(std::chrono::steady_clock::now(), aRequest.work_.priority_);
  return aRequest.link_ == nullptr
           ? slot
           : std::max(slot, aRequest.link_->ExpectedWait(aRequest.work_.label_));
}

RefusalReason OwnerService::Admit(RequestId aId,
                                  const UpstreamRequest& aRequest,
                                  decisions::RunKind aKind)
{
  const auto arrived = std::chrono::steady_clock::now();
  if (aRequest.link_ != nullptr && !aRequest.link_->Fits(DemandOf(arrived, aRequest))) {
    return RefusalReason::QueueFull;
  }
  const auto verdict = admission_->Arrive(arrived,
                                          { .id_ = aId,
                                            .deadline_ = aRequest.deadline_,
                                            .target_ = aRequest.work_.target_,
                                            .label_ = aRequest.work_.label_,
                                            .priority_ = aRequest.work_.priority_,
                                            .kind_ = aKind });
  if (const auto* rejected = std::get_if<decisions::RejectRequest>(&verdict)) {
    return rejected->reason_;
  }
  if (aRequest.link_ != nullptr) {
    aRequest.link_->Reserve(aRequest.work_.label_);
  }
  if (std::holds_alternative<decisions::RunRequest>(verdict)) {
    return RefusalReason::None;
  }
  Waiter waiter;
  auto future = waiter.verdict_.get_future();
  waiting_[aId] = &waiter;
  StartTicker();
  aRequest.cancel_->SetAction([this, aId] { Withdraw(aId); });
  const RefusalReason reason = future.get();
  aRequest.cancel_->SetAction({});
  metrics_.Record(runtime::Timing::QueueWait, std::chrono::steady_clock::now() - arrived);
  return reason;
}

void OwnerService::Withdraw(RequestId aId)
{
  // A request that was admitted meanwhile ends in RunExchange.
  if (!waiting_.contains(aId)) {
    return;
  }
  const auto now = std::chrono::steady_clock::now();
  const auto started = admission_->Finish(now, aId, FinishKind::Aborted);
  Dispatch({ decisions::RejectRequest{ aId, RefusalReason::CallerLeft } });
  Dispatch(started);
}

void OwnerService::Finish(RequestId aId, FinishKind aKind)
{
  const auto now = std::chrono::steady_clock::now();
  const auto end =
    aKind == FinishKind::Completed ? decisions::RunEnd::Completed : decisions::RunEnd::Other;
  if (auto cleared = quarantine_.Finished(now, aId, end)) {
    tellPeers_({ *std::move(cleared) });
  }
  Dispatch(admission_->Finish(now, aId, aKind));
}

void OwnerService::Dispatch(const std::vector<decisions::AdmissionAction>& aActions)
{
  for (const decisions::AdmissionAction& action : aActions) {
    const auto [id, reason] = std::visit(
      [](const auto& aOne) {
        if constexpr (std::is_same_v<std::decay_t<decltype(aOne)>, decisions::RejectRequest>) {
          return std::pair(aOne.id_, aOne.reason_);
        } else {
          return std::pair(aOne.id_, RefusalReason::None);
        }
      },
      action);
    if (const auto found = waiting_.find(id); found != waiting_.end()) {
      Waiter* waiter = found->second;
      waiting_.erase(found);
      waiter->verdict_.set_value(reason);
    }
  }
}

void OwnerService::StartTicker()
{
  if (ticking_) {
    return;
  }
  ticking_ = true;
  runtime::SpawnFiber([this] {
    while (!waiting_.empty()) {
      boost::this_fiber::sleep_for(kAdmissionTick);
      Dispatch(admission_->Tick(std::chrono::steady_clock::now()));
    }
    ticking_ = false;
  });
}

UpstreamReply OwnerService::ExchangeWith(const model::BackendReport& aBackend,
                                         UpstreamRequest& aRequest)
{
  const auto started = std::chrono::steady_clock::now();
  // An upload takes as long as its caller sends, which says nothing of the backend server.
  const auto hangTime =
    options_.hangFactor_ > 0 && aRequest.rest_ == nullptr
      ? admission_->HangTime(started, aRequest.work_.label_, options_.hangFactor_)
      : std::nullopt;
  if (!hangTime || started + *hangTime >= aRequest.deadline_) {
    return RunExchange(pool_, aBackend.address_, aRequest, options_.exchange_);
  }
  const auto deadline = std::exchange(aRequest.deadline_, started + *hangTime);
  // A connection whose exchange ends without a response is closed.
  UpstreamReply reply = RunExchange(pool_, aBackend.address_, aRequest, options_.exchange_);
  aRequest.deadline_ = deadline;
  if (reply.reason_ == RefusalReason::UpstreamTimeout) {
    metrics_.Add(runtime::Counter::RequestsHung);
  }
  return reply;
}

UpstreamReply OwnerService::RunAdmitted(RequestId aId,
                                        const model::BackendReport& aBackend,
                                        UpstreamRequest& aRequest)
{
  metrics_.Add(runtime::Counter::RequestsOwned);
  const auto started = std::chrono::steady_clock::now();
  options_.dialect_->WriteBackendRequest(
    aRequest.header_,
    { TimeLeft(aRequest.deadline_), aBackend.id_, aRequest.callerService_, aRequest.customer_ });
  UpstreamReply reply = ExchangeWith(aBackend, aRequest);
  if (reply.status_) {
    NoteStatus(aBackend, *reply.status_, started);
  }
  if (reply.outcome_ != RequestOutcome::Answered) {
    if (reply.reason_ == RefusalReason::UpstreamFailed && !aRequest.cancel_->Stopped()) {
      reply.evidence_ = EvidenceFor(FingerprintOf(aRequest), CheckForCrash(aBackend.address_));
    }
    Finish(aId, FinishKind::Aborted);
    return reply;
  }
  metrics_.Record(runtime::Timing::BackendResponse, std::chrono::steady_clock::now() - started);
  RemoveHemlockFields(reply.header_);
  return HoldBody(aId, aBackend, aRequest, std::move(reply));
}

UpstreamReply OwnerService::HoldBody(RequestId aId,
                                     const model::BackendReport& aBackend,
                                     UpstreamRequest& aRequest,
                                     UpstreamReply aReply)
{
  const auto length = impl::BodyLengthOf(aReply.header_);
  if (!length || *length > kMostHeldBody || heldBytes_ + *length > options_.mostHeldBytes_) {
    aReply.body_ =
      std::make_unique<AdmittedBody>(*this, aId, aBackend.address_, std::move(aReply.body_));
    return aReply;
  }
  impl::HeldBytes held(heldBytes_, *length);
  aReply.body_->SetStallTimeout(TimeLeft(aRequest.deadline_));
  auto body = impl::ReadWhole(*aReply.body_, *length);
  aReply.body_.reset();
  if (body) {
    Finish(aId, FinishKind::Completed);
    aReply.body_ = std::make_unique<impl::HeldBody>(*std::move(body), std::move(held));
    return aReply;
  }
  UpstreamReply failed =
    Refused(RequestOutcome::Unknown,
            body.Error().kind_ == runtime::HttpErrorKind::TimedOut ? RefusalReason::UpstreamTimeout
                                                                   : RefusalReason::UpstreamFailed);
  if (failed.reason_ == RefusalReason::UpstreamFailed && !aRequest.cancel_->Stopped()) {
    failed.evidence_ = EvidenceFor(FingerprintOf(aRequest), CheckForCrash(aBackend.address_));
  }
  Finish(aId, FinishKind::Aborted);
  return failed;
}

UpstreamReply OwnerService::Execute(UpstreamRequest& aRequest)
{
  UpstreamReply reply = Run(aRequest);
  metrics_.Add(runtime::Family::OwnerRequests,
               { std::to_string(aRequest.work_.priority_),
                 ToString(reply.outcome_),
                 ToString(reply.reason_) });
  return reply;
}

UpstreamReply OwnerService::Run(UpstreamRequest& aRequest)
{
  if (aRequest.cancel_->Cancelled()) {
    return Refused(RequestOutcome::NotRun, RefusalReason::CallerLeft);
  }
  const TrafficViewPtr view = views_.Load();
  Refresh(view);
  const std::optional<model::BackendReport> backend = registry_.Current();
  if (!backend || !admission_ || backend->service_ != aRequest.service_ ||
      service_ != aRequest.service_) {
    return Refused(RequestOutcome::NotRun, RefusalReason::NoEndpoint);
  }
  const std::uint64_t bodyLimit = model::BodyLimit(
    LimitsOf(*view, aRequest.service_),
    view->routes_ ? view->routes_->Configuration().callerLimits_ : model::CallerLimits{});
  if (aRequest.body_.size() > bodyLimit) {
    return Refused(RequestOutcome::NotRun, RefusalReason::BodyTooLarge);
  }
  if (!aRequest.evidence_.empty()) {
    if (const auto records = wire::DecodeQuarantineReport(aRequest.evidence_)) {
      MergeQuarantine(*records);
    }
  }
  const auto fingerprint = FingerprintOf(aRequest);
  const auto verdict = quarantine_.Consider(std::chrono::steady_clock::now(), fingerprint);
  if (std::holds_alternative<decisions::RejectQuarantined>(verdict)) {
    return Refused(RequestOutcome::NotRun, RefusalReason::Quarantined);
  }
  const auto kind = std::holds_alternative<decisions::RunAlone>(verdict)
                      ? decisions::RunKind::Alone
                      : decisions::RunKind::Shared;
  lastId_ = lastId_.Next();
  const RequestId id = lastId_;
  if (const RefusalReason reason = Admit(id, aRequest, kind); reason != RefusalReason::None) {
    impl::LogOwnerRefused(
      options_.lines_, aRequest, reason, *admission_, std::chrono::steady_clock::now());
    UpstreamReply reply = Refused(RequestOutcome::NotRun, reason);
    reply.load_ = Load();
    reply.expectedWait_ = ExpectedWait(aRequest);
    return reply;
  }
  // Peers may have told of a crash while the request waited.
  if (std::holds_alternative<decisions::RejectQuarantined>(
        quarantine_.Consider(std::chrono::steady_clock::now(), fingerprint))) {
    Finish(id, FinishKind::Aborted);
    return Refused(RequestOutcome::NotRun, RefusalReason::Quarantined);
  }
  std::optional<impl::LimitedBody> limited;
  if (aRequest.rest_ != nullptr) {
    limited.emplace(*aRequest.rest_, bodyLimit - aRequest.body_.size());
    aRequest.rest_ = &*limited;
  }
  quarantine_.Started(id, fingerprint, options_.self_, kind);
  const auto started = std::chrono::steady_clock::now();
  UpstreamReply reply = RunAdmitted(id, *backend, aRequest);
  if (reply.outcome_ != RequestOutcome::Answered) {
    impl::LogOwnerFailed(options_.lines_,
                         aRequest,
                         backend->id_,
                         reply,
                         std::chrono::steady_clock::now() - started,
                         admission_->Running());
  }
  reply.load_ = Load();
  return reply;
}

std::vector<decisions::QuarantineRecord> OwnerService::CheckForCrash(const model::Address& aBackend)
{
  boost::this_fiber::sleep_for(kCrashProbeDelay);
  // A backend server that closed one connection still accepts others.
  if (runtime::HttpConnection::Connect(*io_, aBackend, kCrashProbeTimeout)) {
    return {};
  }
  auto records = quarantine_.Crashed(std::chrono::steady_clock::now(), options_.self_);
  if (!records.empty()) {
    events_.Add(runtime::LogEvent::BackendCrashed,
                std::to_string(records.size()) + " requests in progress are suspects");
    tellPeers_(records);
  }
  return records;
}

void OwnerService::MergeQuarantine(const std::vector<decisions::QuarantineRecord>& aRecords)
{
  quarantine_.Merge(std::chrono::steady_clock::now(), aRecords);
}

void OwnerService::HandleForwarded(runtime::HttpExchange& aExchange)
{
  const auto started = std::chrono::steady_clock::now();
  const runtime::RequestHeader& received = aExchange.Request();
  UpstreamRequest request;
  request.id_ = options_.dialect_->ReadCallerRequest(received).id_;
  CancelSource cancel;
  cancel.Follow(aExchange);
  request.cancel_ = &cancel;
  if (cancel.CheckStopped()) {
    NoteCallerLeft(request.id_, impl::LeftStage::Unread, started);
    aExchange.Abort();
    return;
  }
  request.header_ = received;
  request.service_ = model::ServiceName(std::string(received[kServiceField]));
  request.deadline_ = started + impl::DeadlineOf(received, impl::kDefaultDeadline);
  request.callerService_ = model::ServiceName(std::string(received[kCallerField]));
  request.customer_ = model::CustomerName(std::string(received[kCustomerField]));
  const auto work = received[kClassField];
  request.work_ = WorkClassOf({ work.data(), work.size() }, started, request.deadline_);
  request.evidence_ = FromHex(std::string(received[kQuarantineField]));
  runtime::RemoveHopByHopFields(request.header_);
  RemoveHemlockFields(request.header_);
  request.header_.erase(http::field::expect);

  aExchange.SetBodyDeadline(request.deadline_);
  std::string prefix;
  const bool waitsForContinue = received.find(http::field::expect) != received.end();
  if (!waitsForContinue) {
    if (auto read = impl::ReadPrefix(aExchange, prefix, kReplayBytes); !read) {
      impl::SendRefusal(aExchange,
                        Refused(RequestOutcome::NotRun, impl::ReasonOfBody(read.Error())));
      return;
    }
  }
  if (rejectsLateBodies_) {
    impl::SendRefusal(aExchange, Refused(RequestOutcome::NotRun, RefusalReason::Leaving));
    return;
  }
  request.body_ = prefix;
  request.rest_ = aExchange.BodyDone() ? nullptr : &aExchange;
  impl::LinkTicket link(*link_);
  request.link_ = &link;
  UpstreamReply reply = Execute(request);
  if (cancel.Cancelled()) {
    NoteCallerLeft(request.id_, impl::StageOf(reply.outcome_), started);
  }
  if (reply.outcome_ != RequestOutcome::Answered) {
    impl::SendRefusal(aExchange, reply);
    return;
  }
  reply.header_.set(kOutcomeField, ToString(RequestOutcome::Answered));
  if (reply.load_) {
    reply.header_.set(kLoadField, std::to_string(*reply.load_));
  }
  link.WaitForTurn(request.work_.label_, impl::BodyLengthOf(reply.header_), cancel);
  (void)impl::Deliver(aExchange, reply, link.Pace());
}

void OwnerService::NoteCallerLeft(std::string_view aId,
                                  impl::LeftStage aStage,
                                  model::TimePoint aStarted)
{
  metrics_.Add(runtime::Family::CallersLeft, { "owner", ToString(aStage) });
  impl::LogOwnerAbandoned(
    options_.lines_, aId, aStage, std::chrono::steady_clock::now() - aStarted, admission_);
}

} // namespace hemlockproxy::daemon
