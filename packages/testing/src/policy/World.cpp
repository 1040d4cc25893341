#include "policy/World.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace hemlockproxy::testing::policy {

using namespace decisions;
using model::DaemonId;
using model::FailureDomain;
using model::RefusalReason;
using model::RequestOutcome;

namespace {

constexpr double kMeanServiceMs = 50;
constexpr double kServiceSigma = 0.5;
constexpr Duration kSameDomainDelay = 250us;
constexpr Duration kOtherDomainDelay = 4ms;
constexpr Duration kPeerDelay = 100ms;
constexpr std::uint64_t kAnswerBytes = 16384;
constexpr std::uint64_t kRefusalBytes = 2048;
constexpr std::uint64_t kPopularRequests = 20;
constexpr Duration kDeadlines[] = { 200ms, 500ms, 2000ms };

double Milliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

Duration FromMs(double aMs)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(aMs));
}

/// Returns whether a request arrived after the model had settled.
bool Counts(const Request& aRequest)
{
  return aRequest.arrived_ >= TimePoint{} + World::kWarmUp;
}

FailureDomain DomainName(std::size_t aNumber)
{
  return FailureDomain("domain-" + std::to_string(aNumber));
}

} // namespace

Policy DefaultPolicy()
{
  return { .name_ = "policy",
           .admission_ = [](std::uint32_t aSlots) { return AdmissionOptions{ .slots_ = aSlots }; },
           .chooser_ = [] { return EndpointChooserOptions{}; },
           .retry_ = [] { return RetryPolicyOptions{}; } };
}

double Totals::Percentile(double aShare) const
{
  if (latenciesMs_.empty()) {
    return 0;
  }
  std::vector<double> sorted = latenciesMs_;
  std::sort(sorted.begin(), sorted.end());
  return sorted[static_cast<std::size_t>(aShare * static_cast<double>(sorted.size() - 1))];
}

double Totals::FailedPercent() const
{
  return requests_ == 0
           ? 0
           : 100.0 * static_cast<double>(requests_ - served_) / static_cast<double>(requests_);
}

World::World(const Deployment& aDeployment,
             Policy aPolicy,
             std::uint64_t aSeed,
             std::size_t aServices)
  : deployment_(aDeployment)
  , policy_(std::move(aPolicy))
  , loadRandom_(aSeed)
  , random_(aSeed + 1)
  , endpoints_(aServices)
  , entries_(aDeployment.endpoints_)
  , totals_(aServices)
{
  for (std::size_t index = 0; index < deployment_.endpoints_; ++index) {
    for (auto& service : endpoints_) {
      EndpointState& state = service.emplace_back();
      state.id_ = DaemonId(std::to_string(index));
      state.admission_ = std::make_unique<Admission>(
        Admission::Create(policy_.admission_(deployment_.slots_)).Value());
      EndpointChooserOptions options = policy_.chooser_();
      options.ownDomain_ = DomainName(DomainOf(index));
      Entry& entry = entries_[index];
      entry.choosers_.push_back(EndpointChooser::Create(std::move(options)).Value());
      entry.retries_.push_back(RetryPolicy::Create(policy_.retry_()).Value());
      entry.hedges_.push_back(MakePercentBudget(10, 10));
    }
    if (policy_.gate_) {
      entries_[index].gate_.emplace(*policy_.gate_);
    }
    if (policy_.quarantine_) {
      entries_[index].quarantine_ = Quarantine::Create(*policy_.quarantine_).Value();
    }
  }
  PublishMembers();
}

void World::After(Duration aDelay, std::function<void()> aAction)
{
  queue_.push({ now_ + aDelay, ++events_, std::move(aAction) });
}

void World::Run(Duration aLength)
{
  const TimePoint end = now_ + aLength;
  while (!queue_.empty() && queue_.top().at_ <= end) {
    // The queue's elements are constant; the action is moved out since it is popped next.
    std::function<void()> action = std::move(const_cast<Event&>(queue_.top()).action_);
    now_ = queue_.top().at_;
    queue_.pop();
    action();
  }
  now_ = end;
}

double World::Uniform()
{
  return std::uniform_real_distribution<double>(0, 1)(loadRandom_);
}

Duration World::Delay(std::size_t aFrom, std::size_t aTo) const
{
  if (aFrom == aTo) {
    return {};
  }
  return DomainOf(aFrom) == DomainOf(aTo) ? kSameDomainDelay : kOtherDomainDelay;
}

Behaviour& World::At(std::size_t aService, std::size_t aEndpoint)
{
  return endpoints_[aService][aEndpoint].behaviour_;
}

World::EndpointState& World::StateOf(const Attempt& aAttempt)
{
  return endpoints_[aAttempt.request_->service_][aAttempt.endpoint_];
}

void World::PublishMembers()
{
  for (std::size_t service = 0; service < endpoints_.size(); ++service) {
    std::vector<EndpointEntry> list;
    for (std::size_t index = 0; index < deployment_.endpoints_; ++index) {
      if (const auto& state = endpoints_[service][index]; !state.behaviour_.down_) {
        list.push_back({ state.id_, DomainName(DomainOf(index)), deployment_.slots_, true });
      }
    }
    for (Entry& entry : entries_) {
      entry.choosers_[service].SetEndpoints(now_, list);
    }
  }
}

void World::Offer(std::size_t aService, const Load& aLoad)
{
  NextArrival(aService, aLoad);
}

void World::NextArrival(std::size_t aService, Load aLoad)
{
  const double waitMs = -std::log(1 - Uniform()) * 1000 / aLoad.perSecond_;
  auto request = std::make_shared<Request>();
  request->service_ = aService;
  double weights = 0;
  for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
    weights += DomainOf(entry) == 0 ? aLoad.firstDomainFactor_ : 1;
  }
  double pick = Uniform() * weights;
  while (request->entry_ + 1 < entries_.size()) {
    pick -= DomainOf(request->entry_) == 0 ? aLoad.firstDomainFactor_ : 1;
    if (pick < 0) {
      break;
    }
    ++request->entry_;
  }
  const double normal = std::sqrt(-2 * std::log(1 - Uniform())) * std::cos(6.283185307 * Uniform());
  request->serviceTime_ =
    FromMs(kMeanServiceMs * std::exp(kServiceSigma * normal - kServiceSigma * kServiceSigma / 2));
  const Duration allowed = kDeadlines[static_cast<std::size_t>(Uniform() * 3)];
  request->repeatable_ = Uniform() < 0.8 ? Repeatable::Yes : Repeatable::No;
  const std::uint64_t number = ++nextId_;
  const bool popular = Uniform() < 0.3;
  request->fingerprint_ = { { 0, popular ? number % kPopularRequests : number + 1000 } };
  After(FromMs(waitMs), [this, aService, aLoad, request, allowed] {
    request->arrived_ = now_;
    request->deadline_ = now_ + allowed;
    // The callers of a daemon that is lost use the next one.
    while (endpoints_[0][request->entry_].behaviour_.daemonDown_) {
      request->entry_ = (request->entry_ + 1) % entries_.size();
    }
    Arrive(request);
    NextArrival(aService, aLoad);
  });
}

void World::Arrive(const RequestPtr& aRequest)
{
  Entry& entry = entries_[aRequest->entry_];
  const model::ServiceName service(std::to_string(aRequest->service_));
  if (entry.gate_ && !entry.gate_->Enter(service)) {
    aRequest->done_ = true;
    Totals& totals = totals_[aRequest->service_];
    totals.requests_ += Counts(*aRequest) ? 1 : 0;
    totals.rejectedAtOnce_ += Counts(*aRequest) ? 1 : 0;
    return;
  }
  entry.retries_[aRequest->service_].CountRequest(now_);
  entry.hedges_[aRequest->service_]->CountRequest(now_);
  After(aRequest->deadline_ - now_,
        [this, aRequest] { End(aRequest, false, RefusalReason::UpstreamTimeout); });
  if (policy_.hedgeAfter_ && aRequest->repeatable_ == Repeatable::Yes) {
    After(*policy_.hedgeAfter_, [this, aRequest] {
      if (!aRequest->done_ && aRequest->attempts_ == 1 &&
          entries_[aRequest->entry_].hedges_[aRequest->service_]->TakeRetry(now_)) {
        Send(aRequest);
      }
    });
  }
  Send(aRequest);
}

void World::Send(const RequestPtr& aRequest)
{
  if (aRequest->done_) {
    return;
  }
  Entry& entry = entries_[aRequest->entry_];
  RunKind kind = RunKind::Shared;
  if (entry.quarantine_) {
    const auto verdict = entry.quarantine_->Consider(now_, aRequest->fingerprint_);
    if (std::holds_alternative<RejectQuarantined>(verdict)) {
      End(aRequest, false, RefusalReason::Quarantined);
      return;
    }
    kind = std::holds_alternative<RunAlone>(verdict) ? RunKind::Alone : kind;
  }
  const auto choice = entry.choosers_[aRequest->service_].Choose(now_, random_, aRequest->tried_);
  if (!choice) {
    End(aRequest, false, choice.Error());
    return;
  }
  const bool retry = aRequest->attempts_ + aRequest->redirects_ > 0;
  totals_[aRequest->service_].retries_ += retry && Counts(*aRequest) ? 1 : 0;
  const Duration wait = entry.retries_[aRequest->service_].AttemptTime(
    now_, StateOf(*aRequest, RequestOutcome::Answered, RefusalReason::None));
  ++aRequest->attempts_;
  ++aRequest->open_;
  aRequest->tried_.push_back(choice->endpoint_);
  auto attempt = std::make_shared<Attempt>();
  attempt->id_ = RequestId(++nextId_);
  attempt->kind_ = kind;
  attempt->request_ = aRequest;
  attempt->endpoint_ = std::stoul(choice->endpoint_.Value());
  attempt->sent_ = now_;
  After(Delay(aRequest->entry_, attempt->endpoint_), [this, attempt] { AtOwner(attempt); });
  attempt->until_ = now_ + wait;
  After(wait, [this, attempt] { StopWaiting(attempt); });
}

void World::AtOwner(const AttemptPtr& aAttempt)
{
  EndpointState& state = StateOf(*aAttempt);
  if (state.behaviour_.down_) {
    Reply(aAttempt, RequestOutcome::NotRun, RefusalReason::ConnectFailed);
    return;
  }
  if (state.behaviour_.failsFast_) {
    After(1ms, [this, aAttempt] {
      Reply(aAttempt, RequestOutcome::Unknown, RefusalReason::UpstreamFailed);
    });
    return;
  }
  if (auto& quarantine = entries_[aAttempt->endpoint_].quarantine_) {
    const auto verdict = quarantine->Consider(now_, aAttempt->request_->fingerprint_);
    if (std::holds_alternative<RejectQuarantined>(verdict)) {
      Reply(aAttempt, RequestOutcome::NotRun, RefusalReason::Quarantined);
      return;
    }
    aAttempt->kind_ = std::holds_alternative<RunAlone>(verdict) ? RunKind::Alone : aAttempt->kind_;
  }
  aAttempt->atOwner_ = true;
  const auto verdict =
    state.admission_->Arrive(now_, aAttempt->id_, aAttempt->until_, aAttempt->kind_);
  if (const auto* reject = std::get_if<RejectRequest>(&verdict)) {
    Reply(aAttempt, RequestOutcome::NotRun, reject->reason_);
    return;
  }
  state.attempts_.emplace(aAttempt->id_.Value(), aAttempt);
  if (std::holds_alternative<RunRequest>(verdict)) {
    Start(aAttempt);
  }
  ScheduleTick(aAttempt->request_->service_, aAttempt->endpoint_);
}

void World::ScheduleTick(std::size_t aService, std::size_t aEndpoint)
{
  EndpointState& state = endpoints_[aService][aEndpoint];
  const auto tick = state.admission_->NextTick(now_);
  if (!tick || (state.tickAt_ && *state.tickAt_ > now_ && *state.tickAt_ <= *tick)) {
    return;
  }
  state.tickAt_ = std::max(*tick, now_ + 1us);
  After(*state.tickAt_ - now_, [this, aService, aEndpoint] {
    Execute(aService, aEndpoint, endpoints_[aService][aEndpoint].admission_->Tick(now_));
  });
}

void World::Start(const AttemptPtr& aAttempt)
{
  EndpointState& state = StateOf(*aAttempt);
  Totals& totals = totals_[aAttempt->request_->service_];
  const bool counts = Counts(*aAttempt->request_);
  totals.runs_ += counts ? 1 : 0;
  totals.retriedRuns_ += counts && aAttempt->request_->attempts_ > 1 ? 1 : 0;
  aAttempt->running_ = true;
  if (auto& quarantine = entries_[aAttempt->endpoint_].quarantine_) {
    quarantine->Started(
      aAttempt->id_, aAttempt->request_->fingerprint_, state.id_, aAttempt->kind_);
  }
  if (aAttempt->request_->poison_) {
    After(20ms, [this, aAttempt] {
      if (StateOf(*aAttempt).attempts_.contains(aAttempt->id_.Value())) {
        onPoison_(aAttempt->request_->service_, aAttempt->endpoint_);
      }
    });
    return;
  }
  double slowness = state.behaviour_.slowness_;
  if (state.behaviour_.coldSince_) {
    slowness *= 1 + 9 * std::exp(-Milliseconds(now_ - *state.behaviour_.coldSince_) / 3000);
  }
  After(FromMs(Milliseconds(aAttempt->request_->serviceTime_) * slowness),
        [this, aAttempt] { FinishRun(aAttempt); });
}

void World::FinishRun(const AttemptPtr& aAttempt)
{
  EndpointState& state = StateOf(*aAttempt);
  if (state.attempts_.erase(aAttempt->id_.Value()) == 0) {
    return;
  }
  if (auto& quarantine = entries_[aAttempt->endpoint_].quarantine_) {
    if (const auto record = quarantine->Finished(now_, aAttempt->id_, RunEnd::Completed)) {
      Tell(aAttempt->endpoint_, { *record });
    }
  }
  const auto actions = state.admission_->Finish(now_, aAttempt->id_);
  Reply(aAttempt, RequestOutcome::Answered, RefusalReason::None);
  Execute(aAttempt->request_->service_, aAttempt->endpoint_, actions);
}

void World::Execute(std::size_t aService,
                    std::size_t aEndpoint,
                    const std::vector<AdmissionAction>& aActions)
{
  EndpointState& state = endpoints_[aService][aEndpoint];
  for (const AdmissionAction& action : aActions) {
    const auto id = std::visit([](const auto& aKind) { return aKind.id_; }, action).Value();
    const AttemptPtr attempt = state.attempts_.at(id);
    if (const auto* reject = std::get_if<RejectRequest>(&action)) {
      state.attempts_.erase(id);
      Reply(attempt, RequestOutcome::NotRun, reject->reason_);
    } else {
      Start(attempt);
    }
  }
  ScheduleTick(aService, aEndpoint);
}

void World::Crash(std::size_t aService, std::size_t aEndpoint)
{
  EndpointState& state = endpoints_[aService][aEndpoint];
  ++crashes_;
  state.behaviour_.down_ = true;
  std::vector<QuarantineRecord> records;
  if (auto& quarantine = entries_[aEndpoint].quarantine_) {
    records = quarantine->Crashed(now_, state.id_);
    Tell(aEndpoint, records);
  }
  state.admission_ =
    std::make_unique<Admission>(Admission::Create(policy_.admission_(deployment_.slots_)).Value());
  for (const auto& [id, attempt] : std::exchange(state.attempts_, {})) {
    // The response to the entry carries the record of the request, so that its retry is judged
    // without waiting for the peers' exchange.
    for (const QuarantineRecord& record : records) {
      if (record.fingerprint_ == attempt->request_->fingerprint_) {
        attempt->records_.push_back(record);
      }
    }
    Reply(attempt, RequestOutcome::Unknown, RefusalReason::UpstreamFailed);
  }
}

void World::Tell(std::size_t aFrom, const std::vector<QuarantineRecord>& aRecords)
{
  After(kPeerDelay, [this, aFrom, aRecords] {
    for (std::size_t peer = 0; peer < entries_.size(); ++peer) {
      if (peer != aFrom) {
        entries_[peer].quarantine_->Merge(now_, aRecords);
      }
    }
  });
}

LoadReport World::Report(EndpointState& aState) const
{
  const auto load =
    static_cast<std::uint32_t>(aState.admission_->Running() + aState.admission_->Queued());
  aState.loads_.emplace_back(now_, load);
  while (aState.loads_.size() > 1 && aState.loads_[1].first <= now_ - reportLag_) {
    aState.loads_.pop_front();
  }
  const bool known = aState.loads_.front().first <= now_ - reportLag_;
  const auto age = statesAge_ ? reportLag_ : Duration{};
  return { aState.behaviour_.saysIdle_ || !known ? 0 : aState.loads_.front().second,
           std::chrono::duration_cast<std::chrono::milliseconds>(age) };
}

void World::Reply(const AttemptPtr& aAttempt, RequestOutcome aOutcome, RefusalReason aWhy)
{
  const auto load = Report(StateOf(*aAttempt));
  if (DomainOf(aAttempt->request_->entry_) != DomainOf(aAttempt->endpoint_)) {
    totals_[aAttempt->request_->service_].bytesAcross_ +=
      aOutcome == RequestOutcome::Answered ? kAnswerBytes : kRefusalBytes;
  }
  After(Delay(aAttempt->endpoint_, aAttempt->request_->entry_),
        [this, aAttempt, aOutcome, aWhy, load] { Heard(aAttempt, aOutcome, aWhy, load); });
}

void World::Heard(const AttemptPtr& aAttempt,
                  RequestOutcome aOutcome,
                  RefusalReason aWhy,
                  std::optional<LoadReport> aLoad)
{
  if (std::exchange(aAttempt->heard_, true)) {
    return;
  }
  const RequestPtr& request = aAttempt->request_;
  if (auto& quarantine = entries_[request->entry_].quarantine_) {
    quarantine->Merge(now_, aAttempt->records_);
  }
  const AttemptVerdict verdict = JudgeAttempt(aOutcome, aWhy, ResponseKind::Normal);
  entries_[request->entry_].choosers_[request->service_].Finish(
    now_, { StateOf(*aAttempt).id_, verdict, now_ - aAttempt->sent_, aLoad });
  --request->open_;
  if (aOutcome == RequestOutcome::Answered || request->open_ == 0) {
    Decide(request, aOutcome, aWhy);
  }
}

void World::StopWaiting(const AttemptPtr& aAttempt)
{
  if (aAttempt->heard_) {
    return;
  }
  EndpointState& state = StateOf(*aAttempt);
  if (policy_.withdraws_ && aAttempt->atOwner_ && !aAttempt->running_ &&
      state.attempts_.erase(aAttempt->id_.Value()) > 0) {
    Execute(aAttempt->request_->service_,
            aAttempt->endpoint_,
            state.admission_->Finish(now_, aAttempt->id_, FinishKind::Aborted));
  }
  Heard(aAttempt, RequestOutcome::Unknown, RefusalReason::UpstreamTimeout, {});
}

AttemptState World::StateOf(const Request& aRequest,
                            RequestOutcome aOutcome,
                            RefusalReason aWhy) const
{
  const Entry& entry = entries_[aRequest.entry_];
  return { .outcome_ = aOutcome,
           .reason_ = aWhy,
           .repeatable_ = aRequest.repeatable_,
           .attempts_ = aRequest.attempts_,
           .redirects_ = aRequest.redirects_,
           .deadline_ = aRequest.deadline_,
           .expectedLatency_ = entry.choosers_[aRequest.service_].MeanLatency() };
}

void World::Decide(const RequestPtr& aRequest, RequestOutcome aOutcome, RefusalReason aWhy)
{
  if (aRequest->done_) {
    return;
  }
  Entry& entry = entries_[aRequest->entry_];
  const auto decision =
    entry.retries_[aRequest->service_].Decide(now_, StateOf(*aRequest, aOutcome, aWhy), random_);
  const auto* retry = std::get_if<RetryElsewhere>(&decision);
  if (retry == nullptr) {
    End(aRequest, aOutcome == RequestOutcome::Answered, aWhy);
    return;
  }
  if (retry->redirect_) {
    ++aRequest->redirects_;
    --aRequest->attempts_;
  }
  After(retry->wait_, [this, aRequest] { Send(aRequest); });
}

void World::End(const RequestPtr& aRequest, bool aServed, RefusalReason aWhy)
{
  if (std::exchange(aRequest->done_, true)) {
    return;
  }
  if (auto& gate = entries_[aRequest->entry_].gate_) {
    gate->Leave(model::ServiceName(std::to_string(aRequest->service_)));
  }
  if (aRequest->onEnd_) {
    aRequest->onEnd_(aServed ? RefusalReason::None : aWhy);
    return;
  }
  if (!Counts(*aRequest)) {
    return;
  }
  Totals& totals = totals_[aRequest->service_];
  const Duration elapsed = now_ - aRequest->arrived_;
  const Duration allowed = aRequest->deadline_ - aRequest->arrived_;
  ++totals.requests_;
  if (aServed) {
    ++totals.served_;
    totals.latenciesMs_.push_back(Milliseconds(elapsed));
    return;
  }
  totals.rejectedAtOnce_ += elapsed <= allowed / 10 ? 1 : 0;
  totals.usedUp_ += elapsed >= allowed * 9 / 10 ? 1 : 0;
  totals.quarantined_ += aWhy == RefusalReason::Quarantined ? 1 : 0;
}

} // namespace hemlockproxy::testing::policy
