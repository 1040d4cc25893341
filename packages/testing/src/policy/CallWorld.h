#pragma once

#include "hemlockproxy/decisions/Decisions.h"
#include "hemlockproxy/model/Model.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace hemlockproxy::testing::policy {

/// A kind of request of the model with calls.
struct CallKind
{
  const char* label_;
  std::chrono::milliseconds work_;
  std::chrono::milliseconds target_;
  std::chrono::milliseconds deadline_;
  std::uint32_t priority_ = 1;
  bool repeatable_ = true;
  /// Requests per second on a usual day.
  double perSecond_ = 0;
  /// The share of the requests that make a call.
  double callShare_ = 0;
};

/// A deployment with a front service and a service that its requests call.
struct CallDeployment
{
  const char* name_;
  /// The number of endpoints of the front service and of the called one.
  std::array<std::size_t, 2> endpoints_;
  std::uint32_t slots_;
  std::size_t domains_;
  model::Duration oneWayDelay_;
  /// Each request that arrives or ends keeps its daemon busy for this time.
  model::Duration messageTime_;
  std::vector<CallKind> kinds_;
  CallKind call_;
};

/// The decisions under comparison; each function makes the options of one object.
struct CallPolicy
{
  std::string name_;
  std::function<decisions::EndpointChooserOptions()> chooser_;
  std::function<decisions::RetryPolicyOptions()> retry_;
};

struct CallTotals
{
  std::uint64_t requests_ = 0;
  /// Answered within the deadline, and within the target.
  std::uint64_t served_ = 0;
  std::uint64_t inTarget_ = 0;
  std::uint64_t runs_ = 0;
  /// Runs that ended with a failure because their call failed.
  std::uint64_t failedByCall_ = 0;
  std::uint64_t calls_ = 0;
  std::uint64_t failedCalls_ = 0;
  std::uint64_t attempts_ = 0;
  /// Attempts that an owner rejected.
  std::uint64_t refusals_ = 0;
  std::uint64_t acrossDomains_ = 0;
  std::vector<double> refusedAfterMs_;
  /// Starts at each endpoint of the called service.
  std::vector<std::uint64_t> starts_;

  [[nodiscard]] double BusiestOfMean() const;
};

/// A discrete-event driver of requests that make calls while they run: a parent holds its slot
/// until its call ends, and fails when its call is rejected or late.
class CallWorld
{
public:
  static constexpr model::Duration kWarmUp = std::chrono::seconds(4);

  CallWorld(const CallDeployment& aDeployment, CallPolicy aPolicy, std::uint64_t aSeed);

  /// Offers the usual mix of requests, at this many per second in total, for the time.
  void Run(double aPerSecond, model::Duration aLength);
  [[nodiscard]] const CallTotals& Totals() const noexcept { return totals_; }

private:
  struct Request;
  struct Attempt;
  using RequestPtr = std::shared_ptr<Request>;
  using AttemptPtr = std::shared_ptr<Attempt>;
  /// One instance: a daemon as entry and owner, and its backend server.
  struct Instance
  {
    std::size_t service_ = 0;
    std::size_t domain_ = 0;
    model::DaemonId id_;
    double slowness_ = 1;
    model::TimePoint busyUntil_{};
    std::unique_ptr<decisions::Admission> admission_;
    std::vector<decisions::EndpointChooser> choosers_;
    std::vector<decisions::RetryPolicy> retries_;
    std::unordered_map<std::uint64_t, AttemptPtr> attempts_;
    bool ticking_ = false;
  };
  struct Event
  {
    model::TimePoint at_;
    std::uint64_t order_;
    std::function<void()> action_;
    bool operator<(const Event& aOther) const
    {
      return at_ != aOther.at_ ? at_ > aOther.at_ : order_ > aOther.order_;
    }
  };

  void AddInstances();
  void After(model::Duration aDelay, std::function<void()> aAction);
  /// Runs an action once the daemon of the instance has time for it.
  void Handle(std::size_t aInstance, std::function<void()> aAction);
  void NextArrival(double aPerSecond);
  void Begin(const RequestPtr& aRequest);
  void Send(const RequestPtr& aRequest);
  void AtOwner(const AttemptPtr& aAttempt);
  void Start(const AttemptPtr& aAttempt);
  void Call(const AttemptPtr& aAttempt, model::Duration aRest);
  void FinishRun(const AttemptPtr& aAttempt, bool aFailed);
  void Abort(const AttemptPtr& aAttempt);
  void Execute(Instance& aInstance, const std::vector<decisions::AdmissionAction>& aActions);
  void Tick(std::size_t aInstance);
  void Reply(const AttemptPtr& aAttempt,
             model::RequestOutcome aOutcome,
             model::RefusalReason aWhy,
             bool aFailed = false);
  void Heard(const AttemptPtr& aAttempt,
             model::RequestOutcome aOutcome,
             model::RefusalReason aWhy,
             decisions::LoadReport aLoad,
             bool aFailed);
  void End(const RequestPtr& aRequest, bool aServed);
  [[nodiscard]] model::Duration Delay(std::size_t aFrom, std::size_t aTo) const;
  [[nodiscard]] bool Counts(const Request& aRequest) const;
  [[nodiscard]] double Uniform();

  CallDeployment deployment_;
  CallPolicy policy_;
  /// Arrivals and service times, the same for every policy.
  model::RandomSource loadRandom_;
  model::RandomSource random_;
  model::TimePoint now_{};
  std::uint64_t events_ = 0;
  std::uint64_t nextId_ = 0;
  std::priority_queue<Event> queue_;
  std::vector<Instance> instances_;
  CallTotals totals_;
};

} // namespace hemlockproxy::testing::policy
