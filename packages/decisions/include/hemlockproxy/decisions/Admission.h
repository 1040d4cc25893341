#pragma once

#include "hemlockproxy/decisions/HostSlowdown.h"
#include "hemlockproxy/decisions/QueueOrder.h"
#include "hemlockproxy/decisions/RequestId.h"
#include "hemlockproxy/decisions/RunKind.h"
#include "hemlockproxy/decisions/ServiceTimeEstimate.h"
#include "hemlockproxy/decisions/TokenBucket.h"
#include "hemlockproxy/model/Clock.h"
#include "hemlockproxy/model/Config.h"
#include "hemlockproxy/model/RequestOutcome.h"
#include "hemlockproxy/model/Result.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace hemlockproxy::decisions {

/// Whether requests are rejected because their deadline cannot be met.
enum class DeadlineCheck : std::uint8_t
{
  /// Never; only useful as a baseline.
  None,
  /// By the estimated wait and service time.
  Estimated,
};

/// What an Admission needs to know of its endpoint.
struct AdmissionOptions
{
  /// Requests that the backend server runs at once.
  std::uint32_t slots_ = 1;
  model::LimitSet limits_;
  DeadlineCheck deadlineCheck_ = DeadlineCheck::Estimated;
  /// The service time that a request must have left when it starts, as mean plus so many mean
  /// deviations.
  double needDeviations_ = 1;
  /// The share of its time that the endpoint may be kept for requests that run alone, the wait for
  /// running requests included. Three poison requests at once make many suspects; a share of 0.2
  /// then failed 21% of the other requests in the model of temple-andino, and 0.05 failed 14%.
  double aloneShare_ = 0.05;
  /// The service time that a queued request must have left until its target, as mean plus so many
  /// mean deviations. A short queue keeps the slots as busy as a long one, and what starts from it
  /// then mostly ends in time.
  double targetDeviations_ = 2;
  /// A request may wait for this share of the time until its target in any case: a kind whose
  /// service time nearly fills the target would otherwise be rejected whenever a slot is not free
  /// at once.
  double leastWaitShare_ = 0.1;
  /// Of the requests that arrive, a less urgent kind starts at least this share of what the most
  /// urgent kind starts.
  double leastServedRatio_ = 0.2;
  /// How far beyond its target a queued request may be expected to end, as a share of the time from
  /// the target to the deadline. With 0 the endpoint is kept for work that is of full use.
  double lateShare_ = 0;
  /// Null means first come, first served, and newest first while the queue does not shrink.
  std::unique_ptr<QueueOrder> order_;
};

/// A request that asks for a slot.
struct AdmissionRequest
{
  RequestId id_;
  model::TimePoint deadline_;
  /// When a response is still of full use; nothing means the deadline.
  std::optional<model::TimePoint> target_;
  /// Requests with the same label take about the same time.
  std::string label_;
  /// 0 is the most urgent. More urgent requests start first, but less urgent ones keep a share of
  /// the starts (AdmissionOptions::leastServedRatio_).
  std::uint32_t priority_ = 1;
  RunKind kind_ = RunKind::Shared;
};

struct AdmissionError
{
  std::string message_;
};

/// The request starts now; Finish must follow.
struct RunRequest
{
  RequestId id_;
};

/// The request waits; a later call returns RunRequest or RejectRequest for it.
struct QueueRequest
{
  RequestId id_;
  /// The wait as estimated now.
  model::Duration estimatedWait_{};
};

/// The request is rejected; the backend server received no byte of it.
struct RejectRequest
{
  RequestId id_;
  model::RefusalReason reason_ = model::RefusalReason::None;
};

using AdmissionVerdict = std::variant<RunRequest, QueueRequest, RejectRequest>;
/// The verdict on a request that had been queued.
using AdmissionAction = std::variant<RunRequest, RejectRequest>;

/// How a running request ended.
enum class FinishKind : std::uint8_t
{
  Completed,
  /// Cancelled, timed out or failed: its time says little about the service time.
  Aborted,
};

/// Admits requests to the backend server of one endpoint.
///
/// Each request that arrives gets exactly one final verdict, run or reject: from Arrive, or after
/// QueueRequest from a later call. Never more requests run than the slots and the
/// concurrent_requests limit allow. The state belongs to one endpoint, so that a service at its
/// limit takes nothing from another service.
///
///     AdmissionVerdict verdict = admission.Arrive(now, id, deadline);
///     for (const AdmissionAction& action : admission.Finish(now, id)) { Execute(action); }
class Admission
{
public:
  /// Fails when the endpoint has no slots.
  [[nodiscard]] static model::Result<Admission, AdmissionError> Create(AdmissionOptions aOptions);

  /// Decides on a new request. Ids must be unique among the requests in progress. With
  /// RunKind::Alone it starts once nothing else runs, ahead of the queue, and nothing else starts
  /// until it has finished; at most one such request waits or runs, and others are rejected as
  /// QueueFull, also for a time after it, so that AdmissionOptions::aloneShare_ holds.
  [[nodiscard]] AdmissionVerdict Arrive(model::TimePoint aNow, const AdmissionRequest& aRequest);
  [[nodiscard]] AdmissionVerdict Arrive(model::TimePoint aNow,
                                        RequestId aId,
                                        model::TimePoint aDeadline,
                                        RunKind aKind = RunKind::Shared)
  {
    return Arrive(aNow, { .id_ = aId, .deadline_ = aDeadline, .kind_ = aKind });
  }
  /// Frees the slot of a request, or withdraws it from the queue; unknown ids are ignored.
  [[nodiscard]] std::vector<AdmissionAction> Finish(model::TimePoint aNow,
                                                    RequestId aId,
                                                    FinishKind aKind = FinishKind::Completed);
  /// Rejects what can no longer meet its deadline.
  [[nodiscard]] std::vector<AdmissionAction> Tick(model::TimePoint aNow);
  /// Takes new slots and limits into use; requests that fit from now on start.
  [[nodiscard]] std::vector<AdmissionAction> Update(model::TimePoint aNow,
                                                    std::uint32_t aSlots,
                                                    const model::LimitSet& aLimits);
  /// Bounds the requests that start per second, for a backend server that takes no more at present;
  /// nothing ends the bound. Other than at the limits of the configuration, requests beyond it wait
  /// in the queue.
  [[nodiscard]] std::vector<AdmissionAction> SetPace(model::TimePoint aNow,
                                                     std::optional<double> aPerSecond);
  /// Takes in how long work takes on the backend server's host at present, as a multiple of the
  /// usual time; expected service times are scaled by it.
  void ObserveSlowdown(model::TimePoint aNow, double aFactor) noexcept
  {
    slowdown_.Observe(aNow, aFactor);
  }
  /// Rejects the queue and all later requests as Leaving; running requests go on.
  [[nodiscard]] std::vector<AdmissionAction> StartDraining();
  /// Accepts requests again, when a backend server withdraws its draining announcement.
  void StopDraining() noexcept { draining_ = false; }

  /// Returns when Tick has something to do next, if anything waits.
  [[nodiscard]] std::optional<model::TimePoint> NextTick(model::TimePoint aNow) const noexcept;
  [[nodiscard]] std::size_t Running() const noexcept { return running_.size(); }
  /// Returns how many requests wait, one that waits to run alone included.
  [[nodiscard]] std::size_t Queued() const noexcept
  {
    return queuedRank_.size() + (alone_ ? 1 : 0);
  }
  /// Returns how many requests may run at once.
  [[nodiscard]] std::size_t Capacity() const noexcept { return capacity_; }
  [[nodiscard]] bool Draining() const noexcept { return draining_; }
  /// Returns the mean of the service times seen, at the usual speed of the host, or 0 before the
  /// first.
  [[nodiscard]] model::Duration MeanServiceTime() const noexcept { return serviceTime_.Mean(); }
  /// Returns the mean service time of the requests with a label, or 0 before the first.
  [[nodiscard]] model::Duration EstimateOf(const std::string& aLabel) const noexcept;
  /// Returns after how long a running request with a label is taken for one that the backend server
  /// never answers: aFactor times the mean of its kind, and as many mean deviations above it if
  /// that is longer. Returns nothing while too few of its kind have been seen.
  [[nodiscard]] std::optional<model::Duration> HangTime(model::TimePoint aNow,
                                                        const std::string& aLabel,
                                                        double aFactor) const;
  /// Returns for how long a request with this priority would wait for a slot.
  [[nodiscard]] model::Duration ExpectedWait(model::TimePoint aNow,
                                             std::uint32_t aPriority) const noexcept;

private:
  explicit Admission(AdmissionOptions aOptions);

  /// The queued requests of one priority.
  struct Lane
  {
    std::map<QueueRank, QueuedRequest> queue_;
    /// Recent arrivals and starts; old ones lose their weight.
    double arrivals_ = 0;
    double starts_ = 0;

    [[nodiscard]] double ServedShare() const noexcept
    {
      return arrivals_ > 0 ? starts_ / arrivals_ : 1;
    }
  };
  struct Run
  {
    model::TimePoint since_;
    std::string label_;
    /// The slowdown of the host when the request started.
    double slowdown_ = 1;
  };

  [[nodiscard]] AdmissionVerdict ArriveAlone(model::TimePoint aNow, const QueuedRequest& aRequest);
  /// Takes what a request needs to start now; returns false when it has to wait for the pace.
  [[nodiscard]] bool TakeStart(model::TimePoint aNow) noexcept
  {
    return !pace_ || pace_->Take(aNow);
  }
  [[nodiscard]] bool PaceAllowsStart(model::TimePoint aNow) const noexcept
  {
    return PaceWait(aNow, 0) == model::Duration{};
  }
  /// Returns for how long the pace keeps a request waiting that has others ahead.
  [[nodiscard]] model::Duration PaceWait(model::TimePoint aNow, std::size_t aAhead) const noexcept;
  void EndAlone(model::TimePoint aNow);
  void StartAlone(model::TimePoint aNow, std::vector<AdmissionAction>& aActions);
  void ApplyLimits(std::uint32_t aSlots, const model::LimitSet& aLimits);
  /// Returns why the request cannot wait that long, or None.
  [[nodiscard]] model::RefusalReason JudgeWait(model::TimePoint aNow,
                                               const QueuedRequest& aRequest,
                                               model::Duration aWait) const;
  [[nodiscard]] model::Duration WaitBehind(model::TimePoint aNow,
                                           std::size_t aAhead) const noexcept;
  /// Returns what a service time at the usual speed is expected to be at present.
  [[nodiscard]] model::Duration AtPresent(model::TimePoint aNow,
                                          model::Duration aUsual) const noexcept;
  [[nodiscard]] model::Duration TimePerRequest(model::TimePoint aNow) const noexcept;
  [[nodiscard]] model::Duration NeededTime(model::TimePoint aNow,
                                           const std::string& aLabel) const noexcept;
  [[nodiscard]] bool MeetsDeadline(model::TimePoint aNow,
                                   model::Duration aWait,
                                   const QueuedRequest& aRequest) const;
  void ObserveEnd(model::TimePoint aNow, const Run& aRun, FinishKind aKind);
  /// Returns the lane to start from; null when nothing waits.
  [[nodiscard]] Lane* NextLane();
  void DecayLanes(model::TimePoint aNow);
  void RejectLate(model::TimePoint aNow, std::vector<AdmissionAction>& aActions);
  void StartQueued(model::TimePoint aNow, std::vector<AdmissionAction>& aActions);

  DeadlineCheck deadlineCheck_;
  double needDeviations_;
  double aloneShare_;
  double targetDeviations_;
  double leastWaitShare_;
  double leastServedRatio_;
  double lateShare_;
  std::unique_ptr<QueueOrder> order_;
  std::size_t capacity_ = 1;
  std::size_t queueLimit_ = 0;
  std::optional<TokenBucket> rate_;
  std::optional<TokenBucket> pace_;
  bool draining_ = false;
  std::uint64_t arrivals_ = 0;
  std::map<std::uint32_t, Lane> lanes_;
  model::TimePoint lanesDecayed_{};
  /// The priority and rank of each queued request.
  std::unordered_map<RequestId, std::pair<std::uint32_t, QueueRank>> queuedRank_;
  std::unordered_map<RequestId, Run> running_;
  std::optional<QueuedRequest> alone_;
  std::optional<RequestId> runningAlone_;
  model::TimePoint aloneSince_{};
  model::TimePoint aloneUntil_{};
  std::optional<model::TimePoint> nextAlone_;
  HostSlowdown slowdown_;
  /// Service times at the usual speed of the host.
  ServiceTimeEstimate serviceTime_;
  /// By label; at most kMostLabels of Admission.cpp.
  std::unordered_map<std::string, ServiceTimeEstimate> byLabel_;
};

} // namespace hemlockproxy::decisions
