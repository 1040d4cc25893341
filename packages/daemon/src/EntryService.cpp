#include "hemlockproxy/daemon/EntryService.h"

#include "impl/AttemptTimer.h"
#include "impl/Delivery.h"
#include "impl/EntryBodies.h"
#include "impl/HeldBody.h"
#include "impl/PeerProber.h"
#include "impl/RequestLog.h"

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace hemlockproxy::daemon {

using decisions::AttemptResult;
using model::RefusalReason;
using model::RequestOutcome;
namespace http = runtime::http;
using impl::ObservedBody;
using impl::TrackedBody;

namespace {

/// Shorter than the idle timeout of the daemons' servers, so that a reused connection is seldom
/// closed meanwhile.
constexpr std::chrono::milliseconds kForwardIdleTime{ 30000 };
constexpr std::size_t kForwardIdleConnections = 32;
/// Many round trips between failure domains. The system repeats a lost SYN after 1 s only; another
/// endpoint has taken the request by then.
constexpr std::chrono::milliseconds kForwardConnectTimeout{ 250 };
/// A response that can be resumed elsewhere is given up sooner than the stall timeout, since the
/// caller waits.
constexpr std::chrono::milliseconds kResumeStall{ 2000 };
constexpr std::chrono::milliseconds kResumeDeadline{ 5000 };
constexpr std::uint32_t kMostResumes = 8;
/// Bounds the memory for routes that are no longer in the configuration.
constexpr std::size_t kMostTimeouts = 1024;
/// The part of the shared retry limit that this daemon's own retries may use. The rest is left for
/// the calls of repeated requests, which count as repeats at the services that they call.
constexpr double kOwnRetryPart = 0.5;
/// Metrics are fetched every few seconds.
constexpr std::chrono::milliseconds kFiguresInterval{ 1000 };

decisions::ResponseKind KindOf(const UpstreamReply& aReply)
{
  const bool serverError =
    aReply.outcome_ == RequestOutcome::Answered && aReply.header_.result_int() >= 500;
  return serverError ? decisions::ResponseKind::ServerError : decisions::ResponseKind::Normal;
}

WorkClass WorkOf(const model::RouteRule& aRule,
                 model::TimePoint aStarted,
                 model::TimePoint aDeadline)
{
  WorkClass work;
  work.label_ = aRule.name_.empty() ? aRule.prefix_ : aRule.name_;
  work.priority_ = aRule.priority_;
  work.target_ = aRule.latencyTarget_.count() > 0
                   ? std::min(aDeadline, aStarted + aRule.latencyTarget_)
                   : aDeadline;
  return work;
}

/// Returns what the end of an exchange with another daemon says about the path to it.
decisions::PeerSign SignOf(const UpstreamReply& aReply) noexcept
{
  using decisions::PeerSign;
  if (aReply.outcome_ == RequestOutcome::Answered) {
    return PeerSign::Heard;
  }
  switch (aReply.reason_) {
    case RefusalReason::ConnectFailed:
      return PeerSign::ConnectFailed;
    case RefusalReason::UpstreamFailed:
    case RefusalReason::UpstreamTimeout:
      return PeerSign::NotHeard;
    default:
      return PeerSign::Nothing;
  }
}

bool IsOpen(decisions::PeerPath aPath) noexcept
{
  return aPath == decisions::PeerPath::Open;
}

/// Returns the number at the start of a field that another daemon wrote.
std::optional<std::uint32_t> CountIn(const runtime::ResponseHeader& aHeader, const char* aField)
{
  const auto text = aHeader[aField];
  std::uint32_t count = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
  return error == std::errc() ? std::optional(count) : std::nullopt;
}

std::size_t LiveEntries(const TrafficView& aView)
{
  return static_cast<std::size_t>(
    std::count_if(aView.endpoints_.begin(), aView.endpoints_.end(), [](const auto& aMember) {
      return aMember->state_ == model::MemberState::Alive;
    }));
}

} // namespace

struct EntryService::Call
{
  UpstreamRequest request_;
  /// The body after prefix_; nothing when the body is held whole.
  std::optional<TrackedBody> rest_;
  std::optional<impl::LimitedBody> limited_;
  /// The longest request body, in bytes.
  std::uint64_t bodyLimit_ = 0;
  std::string prefix_;
  CancelSource cancel_;
  decisions::Repeatable repeatable_ = decisions::Repeatable::No;
  Target* target_ = nullptr;
  std::vector<model::DaemonId> tried_;
  /// The endpoint of the last attempt.
  std::optional<model::DaemonId> endpoint_;
  std::uint32_t resumes_ = 0;
  decisions::AttemptState state_;
  /// Learns from all attempts on the route of this request.
  std::shared_ptr<decisions::AttemptTimeout> timeout_;
  /// The retry that was granted when the current attempt was interrupted.
  std::optional<decisions::RetryElsewhere> granted_;
  /// The shortest wait that an owner told when it rejected the request.
  std::optional<model::Duration> expectedWait_;
  /// Whether an attempt of this request was interrupted.
  bool interrupted_ = false;
  model::TimePoint started_;

  /// The configuration version by which the request is handled.
  model::ConfigVersion version_;

  [[nodiscard]] impl::RequestFacts Facts(model::TimePoint aNow) const
  {
    impl::RequestFacts facts;
    facts.id_ = request_.id_;
    facts.route_ = request_.work_.label_;
    facts.service_ = request_.service_.Value();
    facts.endpoint_ = endpoint_ ? std::string_view(endpoint_->Value()) : std::string_view();
    facts.attempts_ = state_.attempts_;
    facts.redirects_ = state_.redirects_;
    facts.elapsed_ = aNow - started_;
    facts.version_ = version_;
    return facts;
  }

  /// Returns whether a part of the body was taken that cannot be sent again.
  [[nodiscard]] bool BodyUsed() const noexcept { return rest_ && rest_->Used(); }
};

EntryService::EntryService(const runtime::IoContextPtr& aIo,
                           EntryOptions aOptions,
                           const TrafficViewSlot& aViews,
                           OwnerService& aOwner,
                           runtime::Metrics& aMetrics)
  : io_(aIo)
  , options_(std::move(aOptions))
  , views_(aViews)
  , owner_(aOwner)
  , metrics_(aMetrics)
  , pool_(aIo, kForwardIdleConnections, kForwardIdleTime, options_.localIp_)
  , keyed_(aIo, options_.localIp_, aViews, aMetrics)
  , random_(std::random_device()())
  , gate_(decisions::EntryGateOptions{})
  , prober_(std::make_unique<impl::PeerProber>(
      aIo,
      pool_,
      options_.localIp_,
      [this](const decisions::PeerChange& aChange) { PeerChanged(aChange); }))
{
  pool_.SetOnOpen([this](runtime::OpenReason aReason) {
    metrics_.Add(runtime::Family::ConnectionsOpened, { "daemon", ToString(aReason) });
  });
}

EntryService::~EntryService() = default;

void EntryService::Tick()
{
  prober_->Tick();
  const auto now = std::chrono::steady_clock::now();
  if (now < nextFigures_) {
    return;
  }
  nextFigures_ = now + kFiguresInterval;
  for (const auto& [service, target] : targets_) {
    if (target.retries_) {
      metrics_.Set(
        runtime::Family::RetriesLeft, { service.Value() }, target.retries_->RetriesLeft(now));
    }
  }
}

void EntryService::Refresh(const TrafficViewPtr& aView)
{
  if (aView == seen_) {
    return;
  }
  seen_ = aView;
  const auto now = std::chrono::steady_clock::now();
  std::map<model::ServiceName, std::vector<decisions::EndpointEntry>> entries;
  for (auto& [service, target] : targets_) {
    entries[service];
    target.members_.clear();
  }
  for (const auto& member : aView->endpoints_) {
    const model::Endpoint& endpoint = *member->endpoint_;
    const auto& away = aView->unreachable_;
    const bool reachable = std::find(away.begin(), away.end(), member->domain_) == away.end();
    const bool takesWork =
      member->state_ == model::MemberState::Alive && !member->leaving_ && !endpoint.draining_;
    entries[endpoint.service_].push_back(
      { member->id_, member->domain_, endpoint.slots_, takesWork && reachable });
    targets_[endpoint.service_].members_[member->id_] = member;
  }
  std::map<model::DaemonId, model::Address> peers;
  for (const auto& member : aView->endpoints_) {
    if (member->id_ != options_.self_ && member->state_ == model::MemberState::Alive) {
      peers.emplace(member->id_, member->forward_);
    }
  }
  prober_->SetPeers(std::move(peers));
  for (auto& [service, list] : entries) {
    Target& target = TargetOf(*aView, service);
    target.chooser_->SetEndpoints(now, list);
    for (const auto& entry : list) {
      target.chooser_->SetReachable(entry.id_, IsOpen(prober_->PathTo(entry.id_)));
    }
    RefreshRetries(*aView, service, target);
    // Each daemon with a backend server is an entry.
    target.retries_->SetExtra(kOwnRetryPart * options_.retryLimit_.extra_ /
                              static_cast<double>(std::max<std::size_t>(1, LiveEntries(*aView))));
  }
}

const model::ServiceName& EntryService::ServiceOf(const model::RouteRule& aRule)
{
  if (aRule.split_.empty()) {
    return aRule.target_;
  }
  return splits_[{ aRule.host_, aRule.prefix_ }].Next(aRule.split_);
}

EntryService::Target& EntryService::TargetOf(const TrafficView& aView,
                                             const model::ServiceName& aService)
{
  Target& target = targets_[aService];
  if (!target.chooser_) {
    decisions::EndpointChooserOptions options;
    options.ownDomain_ = options_.domain_;
    target.chooser_.emplace(*decisions::EndpointChooser::Create(std::move(options)));
    RefreshRetries(aView, aService, target);
  }
  return target;
}

void EntryService::RefreshRetries(const TrafficView& aView,
                                  const model::ServiceName& aService,
                                  Target& aTarget)
{
  model::RetryRule rule;
  if (aView.routes_) {
    const auto& content = aView.routes_->Configuration().content_;
    if (const auto found = content.find(aService); found != content.end()) {
      rule = found->second->config_.retries_;
    }
  }
  if (aTarget.retries_ && aTarget.rule_ == rule) {
    return;
  }
  decisions::RetryPolicyOptions options;
  options.rule_ = rule;
  if (options_.retryLimit_.share_ > 0) {
    options.budget_ = decisions::MakeWindowBudget(kOwnRetryPart * options_.retryLimit_.share_,
                                                  options_.retryLimit_.window_);
  }
  if (auto created = decisions::RetryPolicy::Create(std::move(options)); created) {
    aTarget.retries_.emplace(*std::move(created));
    aTarget.rule_ = rule;
  }
}

std::shared_ptr<decisions::AttemptTimeout> EntryService::TimeoutOf(Target& aTarget,
                                                                   const std::string& aPrefix)
{
  if (const auto found = aTarget.timeouts_.find(aPrefix); found != aTarget.timeouts_.end()) {
    return found->second;
  }
  if (aTarget.timeouts_.size() >= kMostTimeouts) {
    aTarget.timeouts_.clear();
  }
  auto timeout =
    std::make_shared<decisions::AttemptTimeout>(*decisions::AttemptTimeout::Create({}));
  aTarget.timeouts_.emplace(aPrefix, timeout);
  return timeout;
}

UpstreamReply EntryService::Admit(runtime::HttpExchange& aExchange,
                                  const TrafficView& aView,
                                  Call& aCall)
{
  const runtime::RequestHeader& received = aExchange.Request();
  if (!aView.routes_) {
    return Refused(RequestOutcome::NotRun, RefusalReason::NoConfiguration);
  }
  const auto method = received.method_string();
  const auto path = received.target();
  const auto host = received[http::field::host];
  const model::RouteRule* found = aView.routes_->Find(
    { host.data(), host.size() }, { method.data(), method.size() }, { path.data(), path.size() });
  if (found == nullptr) {
    return Refused(RequestOutcome::NotRun, RefusalReason::NoRoute);
  }
  const model::RouteRule& rule = *found;
  aCall.version_ = aView.routes_->Configuration().version_;
  const model::ServiceName& target = ServiceOf(rule);
  const auto& content = aView.routes_->Configuration().content_;
  const auto resource = content.find(target);
  const model::LimitSet limits =
    resource == content.end() ? model::LimitSet{} : resource->second->config_.limits_;
  aCall.bodyLimit_ = model::EffectiveLimit(limits, model::LimitKind::BodyBytes);
  if (const auto most = aView.routes_->Configuration().callerLimits_.bodyBytes_; most > 0) {
    aCall.bodyLimit_ = std::min(aCall.bodyLimit_, most);
  }
  if (const auto length = aExchange.BodyLength(); length && *length > aCall.bodyLimit_) {
    return Refused(RequestOutcome::NotRun, RefusalReason::BodyTooLarge);
  }
  if (rule.keyRequired_ && received[kKeyField].empty()) {
    return Refused(RequestOutcome::NotRun, RefusalReason::KeyRequired);
  }
  const CallerRequest caller = options_.dialect_->ReadCallerRequest(received);
  aCall.request_.service_ = target;
  aCall.request_.callerService_ = options_.callerService_;
  aCall.request_.id_ = caller.id_;
  aCall.request_.deadline_ =
    aCall.started_ + std::min(caller.timeLeft_.value_or(rule.timeout_), rule.timeout_);
  aCall.request_.work_ = WorkOf(rule, aCall.started_, aCall.request_.deadline_);
  aCall.repeatable_ = model::IsRepeatable(rule, { method.data(), method.size() })
                        ? decisions::Repeatable::Yes
                        : decisions::Repeatable::No;
  aCall.target_ = &TargetOf(aView, target);
  aCall.state_.mostAttempts_ = rule.attempts_;
  aCall.timeout_ = TimeoutOf(*aCall.target_, rule.prefix_);
  aCall.request_.header_ = received;
  runtime::RemoveHopByHopFields(aCall.request_.header_);
  RemoveHemlockFields(aCall.request_.header_);
  aCall.request_.header_.erase(http::field::expect);
  return Refused(RequestOutcome::NotRun, RefusalReason::None);
}

void EntryService::Handle(runtime::HttpExchange& aExchange)
{
  const TrafficViewPtr view = views_.Load();
  Refresh(view);
  Call call;
  call.started_ = std::chrono::steady_clock::now();
  if (UpstreamReply refusal = Admit(aExchange, *view, call);
      refusal.reason_ != RefusalReason::None) {
    Conclude(aExchange, call, std::move(refusal));
    return;
  }
  const model::ServiceName service = call.request_.service_;
  if (!gate_.Enter(service)) {
    Conclude(aExchange, call, Refused(RequestOutcome::NotRun, RefusalReason::QueueFull));
    return;
  }
  Conclude(aExchange, call, Run(aExchange, call));
  gate_.Leave(service);
}

UpstreamReply EntryService::Run(runtime::HttpExchange& aExchange, Call& aCall)
{
  if (auto read = impl::ReadPrefix(aExchange, aCall.prefix_, kReplayBytes); !read) {
    return Refused(RequestOutcome::NotRun, impl::ReasonOfBody(read.Error()));
  }
  if (aCall.prefix_.size() > aCall.bodyLimit_) {
    return Refused(RequestOutcome::NotRun, RefusalReason::BodyTooLarge);
  }
  if (!aExchange.BodyDone()) {
    aCall.limited_.emplace(aExchange, aCall.bodyLimit_ - aCall.prefix_.size());
    aCall.rest_.emplace(*aCall.limited_);
  }
  aExchange.OnCallerClosed([&aCall] { aCall.cancel_.Cancel(); });
  aCall.request_.cancel_ = &aCall.cancel_;
  aCall.target_->retries_->CountRequest(aCall.started_);
  aCall.state_.repeatable_ = aCall.repeatable_;
  aCall.state_.deadline_ = aCall.request_.deadline_;
  aCall.state_.attempts_ = 0;
  const bool keyed = options_.keyed_ && aCall.repeatable_ == decisions::Repeatable::No &&
                     !aExchange.Request()[kKeyField].empty();
  return keyed ? RunKeyed(aExchange, aCall) : RunAttempts(aCall);
}

UpstreamReply EntryService::RunAttempts(Call& aCall)
{
  while (true) {
    ForwardResult result = TryOnce(aCall);
    if (!result.canTryElsewhere_) {
      if (aCall.interrupted_ && result.reply_.outcome_ != RequestOutcome::Answered &&
          !aCall.cancel_.Cancelled()) {
        aCall.timeout_->ObserveLoss();
      }
      result.reply_.outcome_ = decisions::OutcomeOfAll(aCall.state_, result.reply_.outcome_);
      return std::move(result.reply_);
    }
  }
}

UpstreamReply EntryService::RunKeyed(runtime::HttpExchange& aExchange, Call& aCall)
{
  const runtime::RequestHeader& received = aExchange.Request();
  const auto method = received.method_string();
  const auto path = received.target();
  KeyedCall keyed;
  keyed.key_ = model::MakeRequestKey(aCall.request_.service_,
                                     model::IdempotencyKey(std::string(received[kKeyField])));
  keyed.fingerprint_ = model::MakeFingerprint({ method.data(), method.size() },
                                              { path.data(), path.size() },
                                              model::HashBytes(aCall.prefix_));
  keyed.deadline_ = aCall.request_.deadline_;
  keyed.cancel_ = &aCall.cancel_;
  keyed.forward_ = [this, &aCall](model::TimePoint aStartBefore) {
    aCall.request_.deadline_ = std::min(aCall.request_.deadline_, aStartBefore);
    return TryOnce(aCall);
  };
  return keyed_.Run(std::move(keyed));
}

ForwardResult EntryService::TryOnce(Call& aCall)
{
  Target& target = *aCall.target_;
  const auto started = std::chrono::steady_clock::now();
  if (started >= aCall.request_.deadline_) {
    return { Refused(RequestOutcome::NotRun, RefusalReason::DeadlineTooShort), false };
  }
  auto choice = target.chooser_->Choose(started, random_, aCall.tried_);
  if (!choice) {
    return { Refused(RequestOutcome::NotRun, choice.Error()), false };
  }
  aCall.endpoint_ = choice->endpoint_;
  UpstreamReply reply = RunTimedAttempt(aCall, choice->endpoint_);
  const auto ended = std::chrono::steady_clock::now();
  metrics_.Add(
    runtime::Family::EntryAttempts,
    { aCall.request_.service_.Value(), ToString(reply.outcome_), ToString(reply.reason_) });
  AttemptResult result{ choice->endpoint_,
                        decisions::JudgeAttempt(reply.outcome_, reply.reason_, KindOf(reply)),
                        ended - started,
                        std::nullopt };
  if (aCall.cancel_.Cancelled()) {
    result.verdict_ = decisions::AttemptVerdict::Cancelled;
  }
  if (reply.load_) {
    result.load_ = decisions::LoadReport{ *reply.load_ };
  }
  ReportEnd(aCall, result, reply);
  if (reply.outcome_ == RequestOutcome::Answered) {
    // Fills the budget of retries.
    (void)target.retries_->Decide(ended, decisions::AttemptState{}, random_);
    // A server that fails at once says nothing of how long a response takes.
    if (KindOf(reply) == decisions::ResponseKind::Normal) {
      aCall.timeout_->Observe(ended - started);
    }
    return { std::move(reply), false };
  }
  aCall.tried_.push_back(choice->endpoint_);
  const bool mayHaveRun = reply.outcome_ == RequestOutcome::Unknown;
  if (reply.expectedWait_) {
    aCall.expectedWait_ =
      std::min(aCall.expectedWait_.value_or(*reply.expectedWait_), *reply.expectedWait_);
  }
  if (!reply.evidence_.empty()) {
    aCall.request_.evidence_ = reply.evidence_;
  }
  const auto retry = DecideRetry(aCall, reply);
  const char* next = !retry ? "none" : retry->redirect_ ? "redirect" : "retry";
  impl::LogAttemptFailed(
    options_.lines_, aCall.Facts(ended), reply, aCall.request_.deadline_ - ended, next);
  aCall.state_.mayHaveRun_ = aCall.state_.mayHaveRun_ || mayHaveRun;
  if (!retry) {
    return { std::move(reply), false };
  }
  aCall.state_.redirects_ += retry->redirect_ ? 1 : 0;
  metrics_.Add(runtime::Counter::Retries);
  boost::this_fiber::sleep_for(retry->wait_);
  return { std::move(reply), true };
}

std::optional<decisions::RetryElsewhere> EntryService::DecideRetry(Call& aCall,
                                                                   const UpstreamReply& aReply)
{
  const auto granted = std::exchange(aCall.granted_, std::nullopt);
  if (aCall.cancel_.Cancelled() || aCall.BodyUsed()) {
    return std::nullopt;
  }
  decisions::AttemptState& state = aCall.state_;
  state.outcome_ = aReply.outcome_;
  state.reason_ = aReply.reason_;
  state.expectedLatency_ = aCall.target_->chooser_->MeanLatency();
  state.attempts_ += decisions::RetryPolicy::IsRedirect(aReply.outcome_, aReply.reason_) ? 0 : 1;
  if (granted) {
    return granted;
  }
  const auto decision =
    aCall.target_->retries_->Decide(std::chrono::steady_clock::now(), state, random_);
  const auto* retry = std::get_if<decisions::RetryElsewhere>(&decision);
  return retry == nullptr ? std::nullopt : std::optional(*retry);
}

UpstreamReply EntryService::RunTimedAttempt(Call& aCall, const model::DaemonId& aEndpoint)
{
  aCall.cancel_.StartAttempt();
  aCall.granted_.reset();
  if (aCall.repeatable_ == decisions::Repeatable::No) {
    return RunAttempt(aCall, aEndpoint);
  }
  const auto left = aCall.request_.deadline_ - std::chrono::steady_clock::now();
  const impl::AttemptTimer timer(
    *io_, aCall.timeout_->AttemptTime(left), [this, &aCall] { return GiveUpAttempt(aCall); });
  const auto listed = repeatable_.emplace(aEndpoint, &aCall);
  UpstreamReply reply = RunAttempt(aCall, aEndpoint);
  repeatable_.erase(listed);
  if (aCall.granted_ && reply.outcome_ == RequestOutcome::Unknown) {
    reply.reason_ = RefusalReason::UpstreamTimeout;
  }
  return reply;
}

std::optional<model::Duration> EntryService::GiveUpAttempt(Call& aCall)
{
  if (stopping_) {
    // The daemon waits for what runs, and has little time left for another attempt.
    return std::nullopt;
  }
  const auto now = std::chrono::steady_clock::now();
  Target& target = *aCall.target_;
  auto tried = aCall.tried_;
  tried.push_back(*aCall.endpoint_);
  if (aCall.cancel_.HasAction() && !aCall.BodyUsed() && target.chooser_->CanChoose(now, tried)) {
    decisions::AttemptState state = aCall.state_;
    state.outcome_ = RequestOutcome::Unknown;
    state.reason_ = RefusalReason::UpstreamTimeout;
    state.expectedLatency_ = target.chooser_->MeanLatency();
    ++state.attempts_;
    const auto decision = target.retries_->Decide(now, state, random_);
    if (const auto* retry = std::get_if<decisions::RetryElsewhere>(&decision)) {
      metrics_.Add(runtime::Counter::AttemptsGivenUp);
      aCall.granted_ = *retry;
      aCall.interrupted_ = true;
      aCall.cancel_.Interrupt();
      return std::nullopt;
    }
  }
  const auto left = aCall.request_.deadline_ - now;
  const auto next = aCall.timeout_->AttemptTime(left);
  return next < left ? std::optional(next) : std::nullopt;
}

void EntryService::ReportEnd(Call& aCall, AttemptResult aResult, UpstreamReply& aReply)
{
  if (aReply.outcome_ != RequestOutcome::Answered) {
    aCall.target_->chooser_->Finish(std::chrono::steady_clock::now(), aResult);
    return;
  }
  // Targets are never removed, so that the pointer stays valid.
  Target* target = aCall.target_;
  const auto verdict = aResult.verdict_;
  aReply.body_ = std::make_unique<ObservedBody>(
    std::move(aReply.body_),
    verdict,
    [target, result = std::move(aResult)](decisions::AttemptVerdict aVerdict) mutable {
      result.verdict_ = aVerdict;
      target->chooser_->Finish(std::chrono::steady_clock::now(), result);
    });
}

UpstreamReply EntryService::RunAttempt(Call& aCall, const model::DaemonId& aEndpoint)
{
  aCall.request_.body_ = aCall.prefix_;
  aCall.request_.rest_ = aCall.rest_ ? &*aCall.rest_ : nullptr;
  if (aEndpoint == options_.self_) {
    return owner_.Execute(aCall.request_);
  }
  const auto found = aCall.target_->members_.find(aEndpoint);
  if (found == aCall.target_->members_.end()) {
    return Refused(RequestOutcome::NotRun, RefusalReason::NoEndpoint);
  }
  const std::shared_ptr<const model::MemberRecord> member = found->second;
  return Forward(aCall, *member);
}

void EntryService::PeerChanged(const decisions::PeerChange& aChange)
{
  if (options_.lines_ != nullptr) {
    const auto event =
      IsOpen(aChange.path_) ? runtime::LogEvent::PeerBack : runtime::LogEvent::PeerSilent;
    constexpr std::array<const char*, 3> kDetails = { "",
                                                      ", a connection failed",
                                                      ", probes lost" };
    options_.lines_->Write(options_.lines_->Line(event).Add(
      "detail", aChange.id_.Value() + kDetails[static_cast<std::size_t>(aChange.path_)]));
  }
  metrics_.Set(runtime::Gauge::PeersSilent, prober_->ClosedCount());
  for (auto& [service, target] : targets_) {
    if (target.chooser_) {
      target.chooser_->SetReachable(aChange.id_, IsOpen(aChange.path_));
    }
  }
  if (aChange.path_ != decisions::PeerPath::Silent) {
    return;
  }
  const auto [first, last] = repeatable_.equal_range(aChange.id_);
  std::vector<Call*> waiting;
  std::transform(
    first, last, std::back_inserter(waiting), [](const auto& aEntry) { return aEntry.second; });
  for (Call* call : waiting) {
    (void)GiveUpAttempt(*call);
  }
}

UpstreamReply EntryService::Forward(Call& aCall, const model::MemberRecord& aMember)
{
  metrics_.Add(runtime::Counter::RequestsForwarded);
  UpstreamRequest request = aCall.request_;
  request.header_.set(kServiceField, request.service_.Value());
  if (!request.callerService_.Empty()) {
    request.header_.set(kCallerField, request.callerService_.Value());
  }
  if (!request.evidence_.empty()) {
    request.header_.set(kQuarantineField, ToHex(request.evidence_));
  }
  request.header_.set(kDeadlineField, std::to_string(TimeLeft(request.deadline_).count()));
  request.header_.set(kClassField, ToField(request.work_, std::chrono::steady_clock::now()));
  ExchangeOptions options = options_.exchange_;
  options.offer_ = BodyOffer::AfterContinue;
  options.connectTimeout_ = kForwardConnectTimeout;
  prober_->Started(aMember.id_);
  UpstreamReply reply = RunExchange(pool_, aMember.forward_, request, options);
  prober_->Ended(aMember.id_,
                 aCall.cancel_.Stopped() ? decisions::PeerSign::Nothing : SignOf(reply));
  if (reply.outcome_ != RequestOutcome::Answered) {
    return reply;
  }
  const auto outcome = reply.header_[kOutcomeField];
  reply.load_ = CountIn(reply.header_, kLoadField);
  if (outcome != ToString(RequestOutcome::Answered)) {
    const auto reason = reply.header_[kReasonField];
    const bool notRun = outcome == ToString(RequestOutcome::NotRun);
    UpstreamReply refusal = Refused(notRun ? RequestOutcome::NotRun : RequestOutcome::Unknown,
                                    ParseReason({ reason.data(), reason.size() }));
    refusal.load_ = reply.load_;
    if (const auto wait = CountIn(reply.header_, kWaitField)) {
      refusal.expectedWait_ = std::chrono::milliseconds(*wait);
    }
    const auto evidence = reply.header_[kQuarantineField];
    refusal.evidence_ = FromHex({ evidence.data(), evidence.size() });
    impl::DropRest(*reply.body_);
    return refusal;
  }
  RemoveHemlockFields(reply.header_);
  return reply;
}

void EntryService::MakeResumable(Call& aCall, UpstreamReply& aReply)
{
  if (!options_.resumes_ || aCall.repeatable_ != decisions::Repeatable::Yes ||
      aCall.request_.header_.method() != http::verb::get) {
    return;
  }
  auto point = FindResumePoint(aReply.header_);
  if (!point) {
    return;
  }
  aReply.body_ = std::make_unique<ResumingBody>(
    std::move(aReply.body_), *std::move(point), [this, &aCall](const ResumeRequest& aRequest) {
      return ResumeElsewhere(aCall, aRequest);
    });
  aReply.body_->SetStallTimeout(std::min(kResumeStall, options_.exchange_.stallTimeout_));
}

UpstreamReply EntryService::ResumeElsewhere(Call& aCall, const ResumeRequest& aRequest)
{
  const UpstreamReply failed = Refused(RequestOutcome::Unknown, RefusalReason::UpstreamFailed);
  if (aCall.cancel_.Cancelled() || ++aCall.resumes_ > kMostResumes) {
    return Refused(failed.outcome_, failed.reason_);
  }
  const auto now = std::chrono::steady_clock::now();
  if (aCall.endpoint_) {
    aCall.tried_.push_back(*aCall.endpoint_);
  }
  aCall.request_.header_.set(http::field::range, aRequest.range_);
  aCall.request_.header_.set(http::field::if_range, aRequest.validator_);
  aCall.request_.deadline_ = now + kResumeDeadline;
  decisions::AttemptState& state = aCall.state_;
  state.outcome_ = failed.outcome_;
  state.reason_ = failed.reason_;
  state.deadline_ = aCall.request_.deadline_;
  // A resumed response repeats no work of the backend servers, so that only a try without progress
  // takes from the retry budget.
  if (!aRequest.progressed_) {
    ++state.attempts_;
    const auto decision = aCall.target_->retries_->Decide(now, state, random_);
    if (!std::holds_alternative<decisions::RetryElsewhere>(decision)) {
      return Refused(failed.outcome_, failed.reason_);
    }
    metrics_.Add(runtime::Counter::Retries);
  }
  UpstreamReply reply = RunAttempts(aCall);
  if (reply.outcome_ == RequestOutcome::Answered) {
    metrics_.Add(runtime::Counter::ResponsesResumed);
  }
  return reply;
}

void EntryService::Conclude(runtime::HttpExchange& aExchange, Call& aCall, UpstreamReply aReply)
{
  using impl::RequestEnd;
  using runtime::Counter;
  metrics_.Add(runtime::Family::EntryRequests,
               { aCall.request_.work_.label_,
                 aCall.request_.service_.Value(),
                 ToString(aReply.outcome_),
                 ToString(aReply.reason_) });
  std::optional<std::chrono::milliseconds> retryAfter;
  if (aReply.outcome_ != RequestOutcome::Answered && impl::MayComeBack(aReply)) {
    retryAfter = decisions::RetryTime({}, aCall.expectedWait_, random_);
  }
  const auto log = [&](RequestEnd aEnd) {
    const auto facts = aCall.Facts(std::chrono::steady_clock::now());
    impl::LogRequestEnd(options_.lines_, aEnd, facts, aReply, retryAfter);
  };
  if (aReply.outcome_ != RequestOutcome::Answered) {
    const bool notRun = aReply.outcome_ == RequestOutcome::NotRun;
    metrics_.Add(notRun ? Counter::RequestsNotRun : Counter::RequestsUnknown);
    log(aCall.cancel_.Cancelled() ? RequestEnd::Abandoned
        : notRun                  ? RequestEnd::Refused
                                  : RequestEnd::Failed);
    impl::SendRefusal(
      aExchange, aReply, retryAfter ? options_.dialect_->RetryAfter(*retryAfter) : std::string());
    return;
  }
  MakeResumable(aCall, aReply);
  log(RequestEnd::Answered);
  const impl::DeliveryResult result = impl::Deliver(aExchange, aReply);
  if (result == impl::DeliveryResult::Complete) {
    metrics_.Add(Counter::RequestsAnswered);
    metrics_.Record(runtime::Timing::EntryRequest,
                    std::chrono::steady_clock::now() - aCall.started_);
  } else if (result == impl::DeliveryResult::UpstreamBroken) {
    metrics_.Add(Counter::ResponsesTruncated);
  }
}

} // namespace hemlockproxy::daemon
