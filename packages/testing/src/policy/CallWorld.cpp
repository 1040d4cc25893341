#include "policy/CallWorld.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>
#include <utility>

namespace hemlockproxy::testing::policy {

using namespace decisions;
using namespace std::chrono_literals;
using model::Duration;
using model::RefusalReason;
using model::RequestOutcome;
using model::TimePoint;

namespace {

constexpr double kServiceSigma = 0.4;
constexpr Duration kSameDomainDelay = 250us;
constexpr Duration kTickInterval = 5ms;
/// The slowest endpoint takes 2.5 times as long as the fastest; their mean speed is 1.
constexpr double kLeastSlowness = 0.6;
constexpr double kMostSlowness = 1.5;

double Milliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

Duration FromMs(double aMs)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(aMs));
}

} // namespace

struct CallWorld::Request
{
  CallKind kind_;
  /// 0 for the front service, 1 for the called one.
  std::size_t service_ = 0;
  std::size_t entry_ = 0;
  TimePoint arrived_;
  TimePoint deadline_;
  Duration work_{};
  bool calls_ = false;
  bool done_ = false;
  std::uint32_t attempts_ = 0;
  std::uint32_t redirects_ = 0;
  std::vector<model::DaemonId> tried_;
  /// Null for a request of an outside caller.
  std::function<void(bool)> onEnd_;
};

struct CallWorld::Attempt
{
  RequestId id_;
  RequestPtr request_;
  std::size_t owner_ = 0;
  TimePoint sent_;
  bool running_ = false;
};

double CallTotals::BusiestOfMean() const
{
  const auto sum = std::accumulate(starts_.begin(), starts_.end(), std::uint64_t{ 0 });
  const auto most = *std::max_element(starts_.begin(), starts_.end());
  return sum == 0 ? 0
                  : static_cast<double>(most) * static_cast<double>(starts_.size()) /
                      static_cast<double>(sum);
}

CallWorld::CallWorld(const CallDeployment& aDeployment, CallPolicy aPolicy, std::uint64_t aSeed)
  : deployment_(aDeployment)
  , policy_(std::move(aPolicy))
  , loadRandom_(aSeed)
  , random_(aSeed + 1)
{
  totals_.starts_.resize(deployment_.endpoints_[1]);
  AddInstances();
}

void CallWorld::AddInstances()
{
  std::array<std::vector<EndpointEntry>, 2> listed;
  for (std::size_t service = 0; service < 2; ++service) {
    for (std::size_t index = 0; index < deployment_.endpoints_[service]; ++index) {
      Instance& instance = instances_.emplace_back();
      instance.service_ = service;
      instance.domain_ = index % deployment_.domains_;
      instance.id_ = model::DaemonId(std::to_string(instances_.size() - 1));
      instance.slowness_ = kLeastSlowness + Uniform() * (kMostSlowness - kLeastSlowness);
      instance.admission_ = std::make_unique<Admission>(
        Admission::Create(AdmissionOptions{ .slots_ = deployment_.slots_ }).Value());
      listed[service].push_back(
        { instance.id_,
          model::FailureDomain("domain-" + std::to_string(instance.domain_)),
          deployment_.slots_,
          true });
    }
  }
  for (Instance& instance : instances_) {
    for (const auto& endpoints : listed) {
      EndpointChooserOptions options = policy_.chooser_();
      options.ownDomain_ = model::FailureDomain("domain-" + std::to_string(instance.domain_));
      options.defaultLink_.oneWayDelay_ =
        std::chrono::duration_cast<std::chrono::microseconds>(deployment_.oneWayDelay_);
      instance.choosers_.push_back(EndpointChooser::Create(std::move(options)).Value());
      instance.choosers_.back().SetEndpoints(now_, endpoints);
      instance.retries_.push_back(RetryPolicy::Create(policy_.retry_()).Value());
    }
  }
}

void CallWorld::After(Duration aDelay, std::function<void()> aAction)
{
  queue_.push({ now_ + aDelay, ++events_, std::move(aAction) });
}

void CallWorld::Handle(std::size_t aInstance, std::function<void()> aAction)
{
  TimePoint& busyUntil = instances_[aInstance].busyUntil_;
  busyUntil = std::max(busyUntil, now_) + deployment_.messageTime_;
  After(busyUntil - now_, std::move(aAction));
}

void CallWorld::Run(double aPerSecond, Duration aLength)
{
  NextArrival(aPerSecond);
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

double CallWorld::Uniform()
{
  return std::uniform_real_distribution<double>(0, 1)(loadRandom_);
}

Duration CallWorld::Delay(std::size_t aFrom, std::size_t aTo) const
{
  if (aFrom == aTo) {
    return {};
  }
  return instances_[aFrom].domain_ == instances_[aTo].domain_ ? kSameDomainDelay
                                                              : deployment_.oneWayDelay_;
}

bool CallWorld::Counts(const Request& aRequest) const
{
  return aRequest.arrived_ >= TimePoint{} + kWarmUp;
}

void CallWorld::NextArrival(double aPerSecond)
{
  const double waitMs = -std::log(1 - Uniform()) * 1000 / aPerSecond;
  auto request = std::make_shared<Request>();
  double sum = 0;
  for (const CallKind& kind : deployment_.kinds_) {
    sum += kind.perSecond_;
  }
  double pick = Uniform() * sum;
  std::size_t index = 0;
  while (index + 1 < deployment_.kinds_.size() && pick >= deployment_.kinds_[index].perSecond_) {
    pick -= deployment_.kinds_[index++].perSecond_;
  }
  request->kind_ = deployment_.kinds_[index];
  request->entry_ = static_cast<std::size_t>(Uniform() * static_cast<double>(instances_.size()));
  request->calls_ = Uniform() < request->kind_.callShare_;
  After(FromMs(waitMs), [this, aPerSecond, request] {
    Begin(request);
    NextArrival(aPerSecond);
  });
}

void CallWorld::Begin(const RequestPtr& aRequest)
{
  aRequest->arrived_ = now_;
  aRequest->deadline_ = now_ + aRequest->kind_.deadline_;
  const double normal = std::sqrt(-2 * std::log(1 - Uniform())) * std::cos(6.283185307 * Uniform());
  aRequest->work_ = FromMs(Milliseconds(aRequest->kind_.work_) *
                           std::exp(kServiceSigma * normal - kServiceSigma * kServiceSigma / 2));
  instances_[aRequest->entry_].retries_[aRequest->service_].CountRequest(now_);
  After(aRequest->deadline_ - now_, [this, aRequest] { End(aRequest, false); });
  Handle(aRequest->entry_, [this, aRequest] { Send(aRequest); });
}

void CallWorld::Send(const RequestPtr& aRequest)
{
  if (aRequest->done_) {
    return;
  }
  Instance& entry = instances_[aRequest->entry_];
  const auto choice = entry.choosers_[aRequest->service_].Choose(now_, random_, aRequest->tried_);
  if (!choice) {
    End(aRequest, false);
    return;
  }
  ++aRequest->attempts_;
  aRequest->tried_.push_back(choice->endpoint_);
  auto attempt = std::make_shared<Attempt>();
  attempt->id_ = RequestId(++nextId_);
  attempt->request_ = aRequest;
  attempt->owner_ = std::stoul(choice->endpoint_.Value());
  attempt->sent_ = now_;
  if (Counts(*aRequest)) {
    ++totals_.attempts_;
    totals_.acrossDomains_ += choice->otherDomain_ ? 1 : 0;
  }
  After(Delay(aRequest->entry_, attempt->owner_),
        [this, attempt] { Handle(attempt->owner_, [this, attempt] { AtOwner(attempt); }); });
}

void CallWorld::AtOwner(const AttemptPtr& aAttempt)
{
  Instance& owner = instances_[aAttempt->owner_];
  const Request& request = *aAttempt->request_;
  const auto verdict =
    owner.admission_->Arrive(now_,
                             { .id_ = aAttempt->id_,
                               .deadline_ = request.deadline_,
                               .target_ = request.arrived_ + request.kind_.target_,
                               .label_ = request.kind_.label_,
                               .priority_ = request.kind_.priority_ });
  if (const auto* reject = std::get_if<RejectRequest>(&verdict)) {
    Reply(aAttempt, RequestOutcome::NotRun, reject->reason_);
    return;
  }
  owner.attempts_.emplace(aAttempt->id_.Value(), aAttempt);
  After(request.deadline_ - now_, [this, aAttempt] { Abort(aAttempt); });
  if (std::holds_alternative<RunRequest>(verdict)) {
    Start(aAttempt);
    return;
  }
  if (!std::exchange(owner.ticking_, true)) {
    After(kTickInterval, [this, index = aAttempt->owner_] { Tick(index); });
  }
}

void CallWorld::Tick(std::size_t aInstance)
{
  Instance& instance = instances_[aInstance];
  Execute(instance, instance.admission_->Tick(now_));
  instance.ticking_ = instance.admission_->Queued() > 0;
  if (instance.ticking_) {
    After(kTickInterval, [this, aInstance] { Tick(aInstance); });
  }
}

void CallWorld::Start(const AttemptPtr& aAttempt)
{
  const Instance& owner = instances_[aAttempt->owner_];
  const Request& request = *aAttempt->request_;
  aAttempt->running_ = true;
  const bool counts = Counts(request);
  totals_.runs_ += counts && request.service_ == 0 ? 1 : 0;
  if (request.service_ == 1 && counts) {
    ++totals_.starts_[aAttempt->owner_ - deployment_.endpoints_[0]];
  }
  const Duration work = FromMs(Milliseconds(request.work_) * owner.slowness_);
  if (request.calls_) {
    After(work / 2, [this, aAttempt, work] { Call(aAttempt, work - work / 2); });
  } else {
    After(work, [this, aAttempt] { FinishRun(aAttempt, false); });
  }
}

void CallWorld::Call(const AttemptPtr& aAttempt, Duration aRest)
{
  if (!instances_[aAttempt->owner_].attempts_.contains(aAttempt->id_.Value())) {
    return;
  }
  auto call = std::make_shared<Request>();
  call->kind_ = deployment_.call_;
  call->service_ = 1;
  call->entry_ = aAttempt->owner_;
  const bool counts = Counts(*aAttempt->request_);
  totals_.calls_ += counts ? 1 : 0;
  call->onEnd_ = [this, aAttempt, aRest, counts](bool aServed) {
    totals_.failedCalls_ += counts && !aServed ? 1 : 0;
    if (aServed) {
      After(aRest, [this, aAttempt] { FinishRun(aAttempt, false); });
    } else {
      FinishRun(aAttempt, true);
    }
  };
  Begin(call);
}

void CallWorld::FinishRun(const AttemptPtr& aAttempt, bool aFailed)
{
  Instance& owner = instances_[aAttempt->owner_];
  if (owner.attempts_.erase(aAttempt->id_.Value()) == 0) {
    return;
  }
  totals_.failedByCall_ += aFailed && Counts(*aAttempt->request_) ? 1 : 0;
  const auto actions = owner.admission_->Finish(now_, aAttempt->id_);
  Reply(aAttempt, RequestOutcome::Answered, RefusalReason::None, aFailed);
  Execute(owner, actions);
}

void CallWorld::Abort(const AttemptPtr& aAttempt)
{
  Instance& owner = instances_[aAttempt->owner_];
  if (owner.attempts_.erase(aAttempt->id_.Value()) == 0) {
    return;
  }
  const auto actions = owner.admission_->Finish(now_, aAttempt->id_, FinishKind::Aborted);
  Reply(aAttempt, RequestOutcome::Unknown, RefusalReason::UpstreamTimeout);
  Execute(owner, actions);
}

void CallWorld::Execute(Instance& aInstance, const std::vector<AdmissionAction>& aActions)
{
  for (const AdmissionAction& action : aActions) {
    const auto id = std::visit([](const auto& aKind) { return aKind.id_; }, action).Value();
    const AttemptPtr attempt = aInstance.attempts_.at(id);
    if (const auto* reject = std::get_if<RejectRequest>(&action)) {
      aInstance.attempts_.erase(id);
      Reply(attempt, RequestOutcome::NotRun, reject->reason_);
    } else {
      Start(attempt);
    }
  }
}

void CallWorld::Reply(const AttemptPtr& aAttempt,
                      RequestOutcome aOutcome,
                      RefusalReason aWhy,
                      bool aFailed)
{
  const Admission& admission = *instances_[aAttempt->owner_].admission_;
  const LoadReport load{ static_cast<std::uint32_t>(admission.Running() + admission.Queued()), {} };
  totals_.refusals_ += aOutcome == RequestOutcome::NotRun && Counts(*aAttempt->request_) ? 1 : 0;
  Handle(aAttempt->owner_, [=, this] {
    const std::size_t entry = aAttempt->request_->entry_;
    After(Delay(aAttempt->owner_, entry), [=, this] {
      Handle(entry, [=, this] { Heard(aAttempt, aOutcome, aWhy, load, aFailed); });
    });
  });
}

void CallWorld::Heard(const AttemptPtr& aAttempt,
                      RequestOutcome aOutcome,
                      RefusalReason aWhy,
                      LoadReport aLoad,
                      bool aFailed)
{
  const RequestPtr& request = aAttempt->request_;
  Instance& entry = instances_[request->entry_];
  EndpointChooser& chooser = entry.choosers_[request->service_];
  const auto kind = aFailed ? ResponseKind::ServerError : ResponseKind::Normal;
  chooser.Finish(now_,
                 { instances_[aAttempt->owner_].id_,
                   JudgeAttempt(aOutcome, aWhy, kind),
                   now_ - aAttempt->sent_,
                   aLoad });
  if (request->done_) {
    return;
  }
  const AttemptState state{ .outcome_ = aOutcome,
                            .reason_ = aWhy,
                            .repeatable_ =
                              request->kind_.repeatable_ ? Repeatable::Yes : Repeatable::No,
                            .attempts_ = request->attempts_,
                            .redirects_ = request->redirects_,
                            .deadline_ = request->deadline_,
                            .expectedLatency_ = chooser.MeanLatency() };
  const auto decision = entry.retries_[request->service_].Decide(now_, state, random_);
  const auto* retry = std::get_if<RetryElsewhere>(&decision);
  if (retry == nullptr) {
    End(request, aOutcome == RequestOutcome::Answered && !aFailed);
    return;
  }
  if (retry->redirect_) {
    ++request->redirects_;
    --request->attempts_;
  }
  After(retry->wait_, [this, request] { Send(request); });
}

void CallWorld::End(const RequestPtr& aRequest, bool aServed)
{
  if (std::exchange(aRequest->done_, true)) {
    return;
  }
  if (aRequest->onEnd_) {
    aRequest->onEnd_(aServed);
    return;
  }
  if (!Counts(*aRequest)) {
    return;
  }
  ++totals_.requests_;
  const Duration elapsed = now_ - aRequest->arrived_;
  totals_.served_ += aServed ? 1 : 0;
  totals_.inTarget_ += aServed && elapsed <= aRequest->kind_.target_ ? 1 : 0;
  if (!aServed) {
    totals_.refusedAfterMs_.push_back(Milliseconds(elapsed));
  }
}

} // namespace hemlockproxy::testing::policy
