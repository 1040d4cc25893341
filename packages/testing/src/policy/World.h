#pragma once

#include "hemlockproxy/decisions/Decisions.h"
#include "hemlockproxy/model/Model.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace hemlockproxy::testing::policy {

using model::Duration;
using model::TimePoint;
using namespace std::chrono_literals;

/// The size of a deployment; endpoints are dealt to the failure domains in turn.
struct Deployment
{
  const char* name_;
  std::size_t endpoints_;
  std::uint32_t slots_;
  std::size_t domains_;
};

/// The decisions under comparison; each function makes the options of one object.
struct Policy
{
  std::string name_;
  std::function<decisions::AdmissionOptions(std::uint32_t)> admission_;
  std::function<decisions::EndpointChooserOptions()> chooser_;
  std::function<decisions::RetryPolicyOptions()> retry_;
  /// Whether a queued request is withdrawn when its entry stops waiting.
  bool withdraws_ = true;
  /// Send a second attempt of a repeatable request after this time, within the retry budget.
  std::optional<Duration> hedgeAfter_;
  std::optional<decisions::QuarantineOptions> quarantine_;
  std::optional<decisions::EntryGateOptions> gate_;
};

/// The decisions as shipped.
[[nodiscard]] Policy DefaultPolicy();

/// How an endpoint behaves.
struct Behaviour
{
  /// Factor on service times.
  double slowness_ = 1;
  bool failsFast_ = false;
  bool saysIdle_ = false;
  bool down_ = false;
  /// The daemon next to it is lost too, so that callers use another entry.
  bool daemonDown_ = false;
  std::optional<TimePoint> coldSince_;
};

struct Load
{
  double perSecond_ = 0;
  /// Callers in the first domain send this many times what others send.
  double firstDomainFactor_ = 1;
};

struct Totals
{
  std::uint64_t requests_ = 0;
  std::uint64_t served_ = 0;
  std::uint64_t rejectedAtOnce_ = 0;
  std::uint64_t usedUp_ = 0;
  std::uint64_t quarantined_ = 0;
  std::uint64_t retries_ = 0;
  std::uint64_t runs_ = 0;
  std::uint64_t retriedRuns_ = 0;
  std::uint64_t bytesAcross_ = 0;
  std::vector<double> latenciesMs_;

  [[nodiscard]] double Percentile(double aShare) const;
  [[nodiscard]] double FailedPercent() const;
};

struct Request
{
  std::size_t service_ = 0;
  std::size_t entry_ = 0;
  TimePoint arrived_;
  TimePoint deadline_;
  Duration serviceTime_{};
  decisions::Repeatable repeatable_ = decisions::Repeatable::Yes;
  decisions::Fingerprint fingerprint_;
  bool poison_ = false;
  bool done_ = false;
  std::uint32_t attempts_ = 0;
  std::uint32_t redirects_ = 0;
  std::uint32_t open_ = 0;
  std::vector<model::DaemonId> tried_;
  std::function<void(model::RefusalReason)> onEnd_;
};
using RequestPtr = std::shared_ptr<Request>;

/// A discrete-event driver: modelled callers, links and backend servers around the real decisions.
///
/// One daemon stands next to each endpoint of service 0 and is an entry for all services.
class World
{
public:
  static constexpr Duration kWarmUp = 2s;

  World(const Deployment& aDeployment, Policy aPolicy, std::uint64_t aSeed, std::size_t aServices);

  /// Starts Poisson arrivals of a service.
  void Offer(std::size_t aService, const Load& aLoad);
  void Run(Duration aLength);
  void After(Duration aDelay, std::function<void()> aAction);
  void Arrive(const RequestPtr& aRequest);
  /// Tells the entries which endpoints there are, except those that are down.
  void PublishMembers();
  /// Interrupts all work of an endpoint, which is down until told otherwise.
  void Crash(std::size_t aService, std::size_t aEndpoint);

  [[nodiscard]] Behaviour& At(std::size_t aService, std::size_t aEndpoint);
  [[nodiscard]] const Totals& Of(std::size_t aService) const { return totals_[aService]; }
  [[nodiscard]] TimePoint Now() const noexcept { return now_; }
  [[nodiscard]] std::size_t Crashes() const noexcept { return crashes_; }
  [[nodiscard]] std::size_t DomainOf(std::size_t aIndex) const noexcept
  {
    return aIndex % deployment_.domains_;
  }

  /// How old the load reports on responses are.
  Duration reportLag_{};
  bool statesAge_ = true;
  std::function<void(std::size_t, std::size_t)> onPoison_;

private:
  struct Attempt
  {
    decisions::RequestId id_;
    RequestPtr request_;
    std::size_t endpoint_ = 0;
    TimePoint sent_;
    bool running_ = false;
    bool atOwner_ = false;
    bool heard_ = false;
    /// The end of the entry's wait, which the owner is told as the deadline.
    TimePoint until_;
    std::vector<decisions::QuarantineRecord> records_;
    decisions::RunKind kind_ = decisions::RunKind::Shared;
  };
  using AttemptPtr = std::shared_ptr<Attempt>;
  struct EndpointState
  {
    model::DaemonId id_;
    Behaviour behaviour_;
    std::unique_ptr<decisions::Admission> admission_;
    std::unordered_map<std::uint64_t, AttemptPtr> attempts_;
    std::optional<TimePoint> tickAt_;
    std::deque<std::pair<TimePoint, std::uint32_t>> loads_;
  };
  struct Entry
  {
    std::vector<decisions::EndpointChooser> choosers_;
    std::vector<decisions::RetryPolicy> retries_;
    std::vector<std::unique_ptr<decisions::RetryBudget>> hedges_;
    std::optional<decisions::EntryGate> gate_;
    std::optional<decisions::Quarantine> quarantine_;
  };
  struct Event
  {
    TimePoint at_;
    std::uint64_t order_;
    std::function<void()> action_;
    bool operator<(const Event& aOther) const
    {
      return at_ != aOther.at_ ? at_ > aOther.at_ : order_ > aOther.order_;
    }
  };

  void NextArrival(std::size_t aService, Load aLoad);
  void Send(const RequestPtr& aRequest);
  void AtOwner(const AttemptPtr& aAttempt);
  void Start(const AttemptPtr& aAttempt);
  void FinishRun(const AttemptPtr& aAttempt);
  void Execute(std::size_t aService,
               std::size_t aEndpoint,
               const std::vector<decisions::AdmissionAction>& aActions);
  void Reply(const AttemptPtr& aAttempt, model::RequestOutcome aOutcome, model::RefusalReason aWhy);
  void Heard(const AttemptPtr& aAttempt,
             model::RequestOutcome aOutcome,
             model::RefusalReason aWhy,
             std::optional<decisions::LoadReport> aLoad);
  void Decide(const RequestPtr& aRequest,
              model::RequestOutcome aOutcome,
              model::RefusalReason aWhy);
  void StopWaiting(const AttemptPtr& aAttempt);
  void End(const RequestPtr& aRequest, bool aServed, model::RefusalReason aWhy);
  void Tell(std::size_t aFrom, const std::vector<decisions::QuarantineRecord>& aRecords);
  void ScheduleTick(std::size_t aService, std::size_t aEndpoint);
  [[nodiscard]] EndpointState& StateOf(const Attempt& aAttempt);
  [[nodiscard]] decisions::AttemptState StateOf(const Request& aRequest,
                                                model::RequestOutcome aOutcome,
                                                model::RefusalReason aWhy) const;
  [[nodiscard]] decisions::LoadReport Report(EndpointState& aState) const;
  [[nodiscard]] Duration Delay(std::size_t aFrom, std::size_t aTo) const;
  [[nodiscard]] double Uniform();

  Deployment deployment_;
  Policy policy_;
  /// Arrivals and service times, the same for every policy.
  model::RandomSource loadRandom_;
  model::RandomSource random_;
  TimePoint now_{};
  std::uint64_t events_ = 0;
  std::uint64_t nextId_ = 0;
  std::size_t crashes_ = 0;
  std::priority_queue<Event> queue_;
  std::vector<std::vector<EndpointState>> endpoints_;
  std::vector<Entry> entries_;
  std::vector<Totals> totals_;
};

} // namespace hemlockproxy::testing::policy
