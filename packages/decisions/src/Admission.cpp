#include "hemlockproxy/decisions/Admission.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <cmath>
#include <iterator>
#include <utility>

namespace hemlockproxy::decisions {

using model::Duration;
using model::EffectiveLimit;
using model::LimitKind;
using model::RefusalReason;
using model::TimePoint;

namespace {

// The share of a second's requests that may arrive at once; any window of one second then sees at
// most 1.25 times the limit.
constexpr double kBurstSeconds = 0.25;

// A backend server in need gets its requests evenly, and a slot that frees early is still used.
constexpr double kPaceBurstSeconds = 0.1;
// A server that states a limit of nothing must get a request at times, or its limit never ends.
constexpr double kLeastPace = 0.5;

// A wait below the target is normal variation; one above it for the interval, which is two mean
// service times of the deployments, means that the queue does not shrink.
constexpr std::chrono::milliseconds kQueueTarget{ 20 };
constexpr std::chrono::milliseconds kQueueInterval{ 100 };
// How long slots may stay empty while a request waits to run alone. A request that takes far longer
// than the mean may be running, and the server would be idle until it ends.
constexpr int kAloneWaitMeans = 4;
// The weight of arrivals and starts halves in this time: longer than a burst, and shorter than the
// time in which callers notice that a kind starves.
constexpr std::chrono::seconds kLaneHalfLife{ 2 };
// A deployment has a few kinds of requests for each service.
constexpr std::size_t kMostLabels = 256;
constexpr std::chrono::milliseconds kMinimumAloneWait{ 100 };
// Before that the mean and deviation of a kind say little of its longest requests.
constexpr std::uint64_t kLeastHangObservations = 20;
// A pause of the process or of the network is no hang.
constexpr std::chrono::milliseconds kLeastHangTime{ 150 };

} // namespace

model::Result<Admission, AdmissionError> Admission::Create(AdmissionOptions aOptions)
{
  if (aOptions.slots_ == 0) {
    return AdmissionError{ "slots: found 0, expected at least 1" };
  }
  if (aOptions.aloneShare_ <= 0 || aOptions.aloneShare_ > 1) {
    return AdmissionError{ "alone share: expected more than 0 and at most 1" };
  }
  if (!aOptions.order_) {
    aOptions.order_ = MakeAdaptiveOrder(kQueueTarget, kQueueInterval);
  }
  return Admission(std::move(aOptions));
}

Admission::Admission(AdmissionOptions aOptions)
  : deadlineCheck_(aOptions.deadlineCheck_)
  , needDeviations_(aOptions.needDeviations_)
  , aloneShare_(aOptions.aloneShare_)
  , targetDeviations_(aOptions.targetDeviations_)
  , leastWaitShare_(aOptions.leastWaitShare_)
  , leastServedRatio_(aOptions.leastServedRatio_)
  , lateShare_(aOptions.lateShare_)
  , order_(std::move(aOptions.order_))
{
  ApplyLimits(aOptions.slots_, aOptions.limits_);
}

void Admission::ApplyLimits(std::uint32_t aSlots, const model::LimitSet& aLimits)
{
  capacity_ = std::max<std::uint32_t>(1, aSlots);
  if (const auto limit = EffectiveLimit(aLimits, LimitKind::ConcurrentRequests); limit > 0) {
    capacity_ = std::min<std::size_t>(capacity_, limit);
  }
  queueLimit_ = EffectiveLimit(aLimits, LimitKind::QueuedRequests);
  const auto perSecond = EffectiveLimit(aLimits, LimitKind::RequestsPerSecond);
  const double rate = static_cast<double>(perSecond);
  const double burst = std::max(1.0, rate * kBurstSeconds);
  if (perSecond == 0) {
    rate_.reset();
  } else if (rate_) {
    rate_->Change(rate, burst);
  } else {
    rate_.emplace(rate, burst);
  }
}

AdmissionVerdict Admission::Arrive(TimePoint aNow, const AdmissionRequest& aRequest)
{
  assert(!running_.contains(aRequest.id_) && !queuedRank_.contains(aRequest.id_));
  const RequestId id = aRequest.id_;
  if (draining_) {
    return RejectRequest{ id, RefusalReason::Leaving };
  }
  const TimePoint target = std::min(aRequest.target_.value_or(aRequest.deadline_), //
                                    aRequest.deadline_);
  const QueuedRequest request{
    id, aNow, aRequest.deadline_, target, aRequest.label_, aRequest.priority_
  };
  if (aRequest.kind_ == RunKind::Alone) {
    return ArriveAlone(aNow, request);
  }
  ++arrivals_;
  DecayLanes(aNow);
  Lane& lane = lanes_[request.priority_];
  ++lane.arrivals_;
  const QueueRank rank{ order_->Rank(request, arrivals_), arrivals_ };
  const bool runNow = running_.size() < capacity_ && queuedRank_.empty() && !alone_ &&
                      !runningAlone_ && PaceAllowsStart(aNow);
  if (!runNow && queuedRank_.size() >= queueLimit_) {
    return RejectRequest{ id, RefusalReason::QueueFull };
  }
  const bool estimates = deadlineCheck_ != DeadlineCheck::None && !runNow;
  const Duration wait = estimates ? ExpectedWait(aNow, request.priority_) : Duration{};
  if (const RefusalReason reason = JudgeWait(aNow, request, wait); reason != RefusalReason::None) {
    return RejectRequest{ id, reason };
  }
  // Last, so that a request rejected for another reason uses no token.
  if (rate_ && !rate_->Take(aNow)) {
    return RejectRequest{ id, RefusalReason::RateLimited };
  }
  if (runNow && TakeStart(aNow)) {
    ++lane.starts_;
    running_.emplace(id, Run{ aNow, request.label_, slowdown_.Factor(aNow) });
    return RunRequest{ id };
  }
  lane.queue_.emplace(rank, request);
  queuedRank_.emplace(id, std::pair(request.priority_, rank));
  return QueueRequest{ id, wait };
}

AdmissionVerdict Admission::ArriveAlone(TimePoint aNow, const QueuedRequest& aRequest)
{
  if (alone_ || runningAlone_ || (nextAlone_ && aNow < *nextAlone_)) {
    return RejectRequest{ aRequest.id_, RefusalReason::QueueFull };
  }
  const Duration wait =
    std::max(PaceWait(aNow, 0), running_.empty() ? Duration{} : serviceTime_.Mean());
  if (!MeetsDeadline(aNow, wait, aRequest)) {
    return RejectRequest{ aRequest.id_, RefusalReason::DeadlineTooShort };
  }
  if (rate_ && !rate_->Take(aNow)) {
    return RejectRequest{ aRequest.id_, RefusalReason::RateLimited };
  }
  aloneSince_ = aNow;
  aloneUntil_ = aNow + std::max<Duration>(kMinimumAloneWait, kAloneWaitMeans * serviceTime_.Mean());
  if (!running_.empty() || !TakeStart(aNow)) {
    alone_ = aRequest;
    return QueueRequest{ aRequest.id_, wait };
  }
  running_.emplace(aRequest.id_, Run{ aNow, aRequest.label_, slowdown_.Factor(aNow) });
  runningAlone_ = aRequest.id_;
  return RunRequest{ aRequest.id_ };
}

std::vector<AdmissionAction> Admission::Finish(TimePoint aNow, RequestId aId, FinishKind aKind)
{
  std::vector<AdmissionAction> actions;
  if (const auto run = running_.find(aId); run != running_.end()) {
    ObserveEnd(aNow, run->second, aKind);
    running_.erase(run);
    if (runningAlone_ == aId) {
      EndAlone(aNow);
    }
  } else if (alone_ && alone_->id_ == aId) {
    EndAlone(aNow);
  } else if (const auto queued = queuedRank_.find(aId); queued != queuedRank_.end()) {
    const auto& [priority, rank] = queued->second;
    lanes_[priority].queue_.erase(rank);
    queuedRank_.erase(queued);
  }
  StartQueued(aNow, actions);
  return actions;
}

std::vector<AdmissionAction> Admission::Tick(TimePoint aNow)
{
  std::vector<AdmissionAction> actions;
  RejectLate(aNow, actions);
  // The end of a request that waited to run alone frees slots for others.
  StartQueued(aNow, actions);
  return actions;
}

std::vector<AdmissionAction> Admission::Update(TimePoint aNow,
                                               std::uint32_t aSlots,
                                               const model::LimitSet& aLimits)
{
  ApplyLimits(aSlots, aLimits);
  std::vector<AdmissionAction> actions;
  StartQueued(aNow, actions);
  return actions;
}

std::vector<AdmissionAction> Admission::SetPace(TimePoint aNow, std::optional<double> aPerSecond)
{
  if (!aPerSecond) {
    pace_.reset();
  } else {
    const double pace = std::max(kLeastPace, *aPerSecond);
    const double burst = std::max(1.0, pace * kPaceBurstSeconds);
    if (pace_) {
      pace_->Change(pace, burst);
    } else {
      pace_.emplace(pace, burst);
    }
  }
  std::vector<AdmissionAction> actions;
  StartQueued(aNow, actions);
  return actions;
}

Duration Admission::PaceWait(TimePoint aNow, std::size_t aAhead) const noexcept
{
  return pace_ ? pace_->TimeUntil(aNow, static_cast<double>(aAhead + 1)) : Duration{};
}

std::vector<AdmissionAction> Admission::StartDraining()
{
  draining_ = true;
  std::vector<AdmissionAction> actions;
  for (const auto& [id, place] : queuedRank_) {
    actions.emplace_back(RejectRequest{ id, RefusalReason::Leaving });
  }
  if (alone_) {
    actions.emplace_back(RejectRequest{ alone_->id_, RefusalReason::Leaving });
  }
  alone_.reset();
  for (auto& [priority, lane] : lanes_) {
    lane.queue_.clear();
  }
  queuedRank_.clear();
  return actions;
}

std::optional<TimePoint> Admission::NextTick(TimePoint aNow) const noexcept
{
  if (Queued() == 0 || deadlineCheck_ == DeadlineCheck::None) {
    return std::nullopt;
  }
  TimePoint earliest = TimePoint::max();
  if (alone_) {
    earliest = std::min(aloneUntil_, alone_->deadline_ - NeededTime(aNow, alone_->label_));
  }
  if (pace_) {
    earliest = std::min(earliest, aNow + PaceWait(aNow, 0));
  }
  for (const auto& [priority, lane] : lanes_) {
    for (const auto& [rank, request] : lane.queue_) {
      earliest = std::min(earliest, request.deadline_ - NeededTime(aNow, request.label_));
    }
  }
  return earliest;
}

void Admission::ObserveEnd(TimePoint aNow, const Run& aRun, FinishKind aKind)
{
  if (byLabel_.size() >= kMostLabels && !byLabel_.contains(aRun.label_)) {
    byLabel_.clear();
  }
  // The slowdown may have changed during the request; the mean of both ends is near its mean.
  const double slowdown = (aRun.slowdown_ + slowdown_.Factor(aNow)) / 2;
  const auto usual = std::chrono::duration_cast<Duration>((aNow - aRun.since_) / slowdown);
  for (ServiceTimeEstimate* estimate : { &serviceTime_, &byLabel_[aRun.label_] }) {
    if (aKind == FinishKind::Completed) {
      estimate->Observe(usual);
    } else {
      estimate->ObserveAtLeast(usual);
    }
    estimate->ObservedAt(aNow);
  }
}

RefusalReason Admission::JudgeWait(TimePoint aNow,
                                   const QueuedRequest& aRequest,
                                   Duration aWait) const
{
  if (!MeetsDeadline(aNow, aWait, aRequest)) {
    return RefusalReason::DeadlineTooShort;
  }
  if (deadlineCheck_ == DeadlineCheck::None || aWait == Duration{}) {
    return RefusalReason::None;
  }
  const auto share = [](Duration aTime, double aShare) {
    return std::chrono::duration_cast<Duration>(aTime * aShare);
  };
  const Duration late = share(aRequest.deadline_ - aRequest.target_, lateShare_);
  const auto label = byLabel_.find(aRequest.label_);
  const Duration service =
    label == byLabel_.end() ? Duration{}
                            : AtPresent(aNow, label->second.FreshMeanPlus(aNow, targetDeviations_));
  const Duration left = aRequest.target_ - aNow;
  const Duration mostWait = std::max(left + late - service, share(left, leastWaitShare_));
  return aWait < mostWait ? RefusalReason::None : RefusalReason::QueueFull;
}

Duration Admission::EstimateOf(const std::string& aLabel) const noexcept
{
  const auto label = byLabel_.find(aLabel);
  return label == byLabel_.end() ? Duration{} : label->second.Mean();
}

std::optional<Duration> Admission::HangTime(TimePoint aNow,
                                            const std::string& aLabel,
                                            double aFactor) const
{
  const auto label = byLabel_.find(aLabel);
  if (label == byLabel_.end() || label->second.Observations() < kLeastHangObservations) {
    return std::nullopt;
  }
  const ServiceTimeEstimate& estimate = label->second;
  const auto byMean = std::chrono::duration_cast<Duration>(estimate.Mean() * aFactor);
  const Duration usual = std::max(byMean, estimate.MeanPlus(aFactor));
  return std::max<Duration>(kLeastHangTime, AtPresent(aNow, usual));
}

Duration Admission::ExpectedWait(TimePoint aNow, std::uint32_t aPriority) const noexcept
{
  if (running_.size() < capacity_ && Queued() == 0 && !runningAlone_) {
    return PaceWait(aNow, 0);
  }
  std::size_t ahead = 0;
  std::size_t ownAhead = 0;
  double arrivals = 0;
  double ownArrivals = 0;
  for (const auto& [priority, lane] : lanes_) {
    ahead += priority <= aPriority ? lane.queue_.size() : 0;
    arrivals += lane.arrivals_;
    if (priority == aPriority) {
      ownAhead = lane.queue_.size();
      ownArrivals = lane.arrivals_;
    }
  }
  const Duration behindAll = WaitBehind(aNow, ahead);
  if (ownArrivals <= 0) {
    return behindAll;
  }
  // The lane's guaranteed share of the starts bounds the wait, however many urgent requests come.
  const double share = leastServedRatio_ * ownArrivals / arrivals;
  const auto byShare = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(WaitBehind(aNow, ownAhead)) / share);
  return std::min(behindAll, byShare);
}

Duration Admission::WaitBehind(TimePoint aNow, std::size_t aAhead) const noexcept
{
  const Duration alone = serviceTime_.Mean() * (alone_ ? 2 : runningAlone_ ? 1 : 0);
  const Duration slots = TimePerRequest(aNow) * static_cast<Duration::rep>(aAhead + 1) /
                         static_cast<Duration::rep>(capacity_);
  return alone + std::max(slots, PaceWait(aNow, aAhead));
}

Duration Admission::AtPresent(TimePoint aNow, Duration aUsual) const noexcept
{
  return std::chrono::duration_cast<Duration>(aUsual * slowdown_.Factor(aNow));
}

Duration Admission::TimePerRequest(TimePoint aNow) const noexcept
{
  const Duration mean = AtPresent(aNow, serviceTime_.Mean());
  if (running_.empty()) {
    return mean;
  }
  // Requests that have already run for longer than the mean say that the server has become slower,
  // before the first of them ends.
  Duration elapsed{};
  for (const auto& [id, run] : running_) {
    elapsed += aNow - run.since_;
  }
  return std::max(mean, elapsed / static_cast<Duration::rep>(running_.size()));
}

Duration Admission::NeededTime(TimePoint aNow, const std::string& aLabel) const noexcept
{
  // While nothing runs there are no new observations, and an estimate from a slow period would
  // reject all requests for ever.
  const auto label = byLabel_.find(aLabel);
  if (running_.empty() || label == byLabel_.end()) {
    return {};
  }
  return AtPresent(aNow, label->second.FreshMeanPlus(aNow, needDeviations_));
}

bool Admission::MeetsDeadline(TimePoint aNow, Duration aWait, const QueuedRequest& aRequest) const
{
  return deadlineCheck_ == DeadlineCheck::None ||
         aNow + aWait + NeededTime(aNow, aRequest.label_) < aRequest.deadline_;
}

void Admission::RejectLate(TimePoint aNow, std::vector<AdmissionAction>& aActions)
{
  const bool aloneLate = alone_ && !MeetsDeadline(aNow, {}, *alone_);
  if (alone_ && (aNow >= aloneUntil_ || aloneLate)) {
    const RefusalReason reason =
      aloneLate ? RefusalReason::DeadlineTooShort : RefusalReason::QueueFull;
    aActions.emplace_back(RejectRequest{ alone_->id_, reason });
    EndAlone(aNow);
  }
  for (auto& [priority, lane] : lanes_) {
    for (auto entry = lane.queue_.begin(); entry != lane.queue_.end();) {
      if (MeetsDeadline(aNow, {}, entry->second)) {
        ++entry;
        continue;
      }
      aActions.emplace_back(RejectRequest{ entry->second.id_, RefusalReason::DeadlineTooShort });
      queuedRank_.erase(entry->second.id_);
      entry = lane.queue_.erase(entry);
    }
  }
}

void Admission::EndAlone(TimePoint aNow)
{
  alone_.reset();
  runningAlone_.reset();
  const std::chrono::duration<double> kept = aNow - aloneSince_;
  nextAlone_ = aNow + std::chrono::duration_cast<Duration>(kept * (1 / aloneShare_ - 1));
}

void Admission::StartAlone(TimePoint aNow, std::vector<AdmissionAction>& aActions)
{
  if (!alone_ || !running_.empty() || !TakeStart(aNow)) {
    return;
  }
  running_.emplace(alone_->id_, Run{ aNow, alone_->label_, slowdown_.Factor(aNow) });
  runningAlone_ = alone_->id_;
  aActions.emplace_back(RunRequest{ alone_->id_ });
  alone_.reset();
}

void Admission::DecayLanes(TimePoint aNow)
{
  const std::chrono::duration<double> passed = aNow - lanesDecayed_;
  lanesDecayed_ = aNow;
  const double weight = std::exp2(-passed / std::chrono::duration<double>(kLaneHalfLife));
  for (auto& [priority, lane] : lanes_) {
    lane.arrivals_ *= weight;
    lane.starts_ *= weight;
  }
}

Admission::Lane* Admission::NextLane()
{
  // The lanes are in order of priority, so that the first one with requests is the most urgent.
  Lane* next = nullptr;
  for (auto& [priority, lane] : lanes_) {
    if (lane.queue_.empty()) {
      continue;
    }
    if (next == nullptr || lane.ServedShare() < leastServedRatio_ * next->ServedShare()) {
      next = &lane;
    }
  }
  return next;
}

void Admission::StartQueued(TimePoint aNow, std::vector<AdmissionAction>& aActions)
{
  while (running_.size() < capacity_ && Queued() > 0) {
    RejectLate(aNow, aActions);
    StartAlone(aNow, aActions);
    if (queuedRank_.empty() || alone_ || runningAlone_ || !TakeStart(aNow)) {
      return;
    }
    Lane& lane = *NextLane();
    ++lane.starts_;
    auto& queue = lane.queue_;
    const Duration frontWait = aNow - queue.begin()->second.arrived_;
    const bool front = order_->NextEnd(aNow, frontWait) == QueueEnd::Front;
    const auto next = front ? queue.begin() : std::prev(queue.end());
    const RequestId id = next->second.id_;
    running_.emplace(id, Run{ aNow, next->second.label_, slowdown_.Factor(aNow) });
    queuedRank_.erase(id);
    queue.erase(next);
    aActions.emplace_back(RunRequest{ id });
  }
}

} // namespace hemlockproxy::decisions
