#include "hemlockproxy/daemon/EntryService.h"

#include "impl/Delivery.h"
#include "impl/EntryCall.h"
#include "impl/PeerProber.h"

#include <algorithm>
#include <random>

namespace hemlockproxy::daemon {

using model::RefusalReason;
using model::RequestOutcome;
namespace http = runtime::http;

namespace {

/// Shorter than the idle timeout of the daemons' servers, so that a reused connection is seldom
/// closed meanwhile.
constexpr std::chrono::milliseconds kForwardIdleTime{ 10000 };
/// For each other daemon; with 1,000 of them idle connections would take most of a small instance's
/// memory otherwise.
constexpr std::size_t kForwardIdleConnections = 8;
/// Bounds the memory for routes that are no longer in the configuration.
constexpr std::size_t kMostTimeouts = 1024;
/// The part of the shared retry limit that this daemon's own retries may use. The rest is left for
/// the calls of repeated requests, which count as repeats at the services that they call.
constexpr double kOwnRetryPart = 0.5;
/// How many round trips to another failure domain a request rather waits for in its own: bytes
/// between domains are paid for, and load another instance's link. 10 made callers wait too long
/// for full owners (docs/decisions/endpoint-choice.md).
constexpr double kDomainCrossingFactor = 4;
/// Bounds what a caller may state, so that the sum with a point in time does not overflow.
constexpr std::chrono::milliseconds kMostBodyTime = std::chrono::hours(24);
/// Metrics are fetched every few seconds.
constexpr std::chrono::milliseconds kFiguresInterval{ 1000 };

/// The next request of a small allowance may be a long time away.
constexpr std::chrono::milliseconds kMostAllowanceWait{ 60000 };

/// Names this process to lenders of allowances.
std::uint64_t DrawEpoch(model::RandomSource& aRandom)
{
  return std::uniform_int_distribution<std::uint64_t>(1)(aRandom);
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

/// The customer of a request, and whether it needs one that is not known.
struct CustomerLookup
{
  const model::Customer* customer_ = nullptr;
  bool unknown_ = false;
};

CustomerLookup FindCustomer(const decisions::RouteIndex& aRoutes,
                            const model::RouteRule& aRule,
                            const CallerRequest& aCaller)
{
  if (!aRoutes.Customers().NeedsKeys()) {
    return {};
  }
  const auto* customer = aCaller.key_ ? aRoutes.Customers().Find(*aCaller.key_) : nullptr;
  return { customer, customer == nullptr && !aRule.public_ };
}

/// The customer's priority goes first, and the route's orders the requests of equal customers.
std::uint32_t PriorityOf(const model::Customer& aCustomer, const model::RouteRule& aRule)
{
  constexpr std::uint32_t kRoutePriorities = 16;
  constexpr std::uint32_t kMostPriority = 1024;
  if (!aCustomer.priority_) {
    return aRule.priority_;
  }
  return std::min(*aCustomer.priority_, kMostPriority) * kRoutePriorities +
         std::min(aRule.priority_, kRoutePriorities - 1);
}

} // namespace

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
  , allowances_(DrawEpoch(random_), std::chrono::steady_clock::now())
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
  const TrafficViewPtr view = views_.Load();
  RefreshAllowances(*view);
  AskAllowances(*view);
  const auto now = std::chrono::steady_clock::now();
  if (now < nextFigures_) {
    return;
  }
  nextFigures_ = now + kFiguresInterval;
  pool_.DropExpired();
  RecordAllowances();
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
  std::map<model::DaemonId, model::Address> peers;
  std::size_t liveEntries = 0;
  for (const auto& member : aView->endpoints_) {
    const model::Endpoint& endpoint = *member->endpoint_;
    const auto& away = aView->unreachable_;
    const bool reachable = std::find(away.begin(), away.end(), member->domain_) == away.end();
    const bool takesWork =
      member->state_ == model::MemberState::Alive && !member->leaving_ && !endpoint.draining_;
    entries[endpoint.service_].push_back(
      { member->id_, member->domain_, endpoint.slots_, takesWork && reachable });
    targets_[endpoint.service_].members_[member->id_] = member;
    if (member->state_ == model::MemberState::Alive) {
      // Each daemon with a backend server is an entry.
      ++liveEntries;
      if (member->id_ != options_.self_) {
        peers.emplace(member->id_, member->forward_);
      }
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
    target.retries_->SetExtra(kOwnRetryPart * options_.retryLimit_.extra_ /
                              static_cast<double>(std::max<std::size_t>(1, liveEntries)));
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
    options.defaultLink_.factor_ = kDomainCrossingFactor;
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
  const bool outdated = aCall.started_ - views_.CurrentAsOf() >= options_.applyWithin_;
  if (found == nullptr) {
    // A newer version, which this daemon should have by now, may have the route.
    return Refused(RequestOutcome::NotRun,
                   outdated ? RefusalReason::ConfigurationOutdated : RefusalReason::NoRoute);
  }
  const model::RouteRule& rule = *found;
  aCall.version_ = aView.routes_->Configuration().version_;
  const model::ServiceName& target = ServiceOf(rule);
  const auto& content = aView.routes_->Configuration().content_;
  const auto resource = content.find(target);
  const model::LimitSet limits =
    resource == content.end() ? model::LimitSet{} : resource->second->config_.limits_;
  aCall.bodyLimit_ = model::BodyLimit(limits, aView.routes_->Configuration().callerLimits_);
  if (const auto length = aExchange.BodyLength(); length && *length > aCall.bodyLimit_) {
    return Refused(RequestOutcome::NotRun, RefusalReason::BodyTooLarge);
  }
  const CallerRequest caller = options_.dialect_->ReadCallerRequest(received);
  const auto [customer, unknown] = FindCustomer(*aView.routes_, rule, caller);
  if (unknown) {
    // A newer version, which this daemon should have by now, may list the key.
    return Refused(RequestOutcome::NotRun,
                   outdated ? RefusalReason::ConfigurationOutdated : RefusalReason::UnknownKey);
  }
  if (rule.keyRequired_ && received[kKeyField].empty()) {
    return Refused(RequestOutcome::NotRun, RefusalReason::KeyRequired);
  }
  aCall.request_.service_ = target;
  aCall.request_.callerService_ = options_.callerService_;
  aCall.request_.id_ = caller.id_;
  aCall.request_.deadline_ =
    aCall.started_ + std::min(caller.timeLeft_.value_or(rule.timeout_), rule.timeout_);
  if (caller.timeLeft_) {
    aCall.request_.bodyDeadline_ = aCall.started_ + std::min(*caller.timeLeft_, kMostBodyTime);
  }
  aCall.request_.work_ = WorkOf(rule, aCall.started_, aCall.request_.deadline_);
  if (customer != nullptr) {
    aCall.request_.customer_ = customer->name_;
    aCall.neededKey_ = rule.public_ ? std::nullopt : caller.key_;
    aCall.request_.work_.priority_ = PriorityOf(*customer, rule);
  }
  aCall.repeatable_ = model::IsRepeatable(rule, { method.data(), method.size() })
                        ? decisions::Repeatable::Yes
                        : decisions::Repeatable::No;
  aCall.target_ = &TargetOf(aView, target);
  aCall.state_.mostAttempts_ = rule.attempts_;
  aCall.timeout_ = TimeoutOf(*aCall.target_, rule.prefix_);
  aCall.request_.header_ = received;
  runtime::RemoveHopByHopFields(aCall.request_.header_);
  RemoveHemlockFields(aCall.request_.header_);
  if (aView.routes_->Customers().NeedsKeys()) {
    options_.dialect_->RemoveCustomerFields(aCall.request_.header_);
  }
  aCall.request_.header_.erase(http::field::expect);
  if (customer != nullptr && !TakeAllowance(aView, aCall)) {
    return Refused(RequestOutcome::NotRun, RefusalReason::AllowanceUsed);
  }
  return Refused(RequestOutcome::NotRun, RefusalReason::None);
}

void EntryService::Handle(runtime::HttpExchange& aExchange)
{
  const TrafficViewPtr view = views_.Load();
  Refresh(view);
  Call call;
  call.started_ = std::chrono::steady_clock::now();
  call.cancel_.Follow(aExchange);
  call.unread_ = call.cancel_.CheckStopped();
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
  aExchange.SetBodyDeadline(aCall.request_.deadline_);
  if (auto read = impl::ReadPrefix(aExchange, aCall.prefix_, kReplayBytes); !read) {
    return Refused(RequestOutcome::NotRun, impl::ReasonOfBody(read.Error()));
  }
  if (rejectsLateBodies_) {
    // What is sent on now might be cut at the end of the process.
    return Refused(RequestOutcome::NotRun, RefusalReason::Leaving);
  }
  if (aCall.prefix_.size() > aCall.bodyLimit_) {
    return Refused(RequestOutcome::NotRun, RefusalReason::BodyTooLarge);
  }
  if (!aExchange.BodyDone()) {
    aCall.limited_.emplace(aExchange, aCall.bodyLimit_ - aCall.prefix_.size());
    aCall.rest_.emplace(*aCall.limited_);
  }
  if (aCall.cancel_.Cancelled()) {
    return Refused(RequestOutcome::NotRun, RefusalReason::CallerLeft);
  }
  aCall.request_.cancel_ = &aCall.cancel_;
  aCall.target_->retries_->CountRequest(aCall.started_);
  aCall.state_.repeatable_ = aCall.repeatable_;
  aCall.state_.deadline_ = aCall.request_.deadline_;
  aCall.state_.attempts_ = 0;
  const bool keyed = options_.keyed_ && aCall.repeatable_ == decisions::Repeatable::No &&
                     !aExchange.Request()[kKeyField].empty();
  return keyed ? RunKeyed(aExchange, aCall) : RunAttempts(aCall);
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
    decisions::RetryTimeOptions options;
    if (aReply.reason_ == RefusalReason::AllowanceUsed) {
      options.most_ = kMostAllowanceWait;
    }
    retryAfter = decisions::RetryTime(options, aCall.expectedWait_, random_);
  }
  const auto stage = aCall.unread_ ? impl::LeftStage::Unread : impl::StageOf(aReply.outcome_);
  if (aCall.cancel_.Cancelled()) {
    metrics_.Add(runtime::Family::CallersLeft, { "entry", ToString(stage) });
  }
  const auto log = [&](RequestEnd aEnd) {
    const auto facts = aCall.Facts(std::chrono::steady_clock::now());
    impl::LogRequestEnd(options_.lines_, aEnd, stage, facts, aReply, retryAfter);
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
