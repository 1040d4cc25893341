#pragma once

#include "hemlockproxy/daemon/Dialect.h"
#include "hemlockproxy/daemon/KeyedCoordinator.h"
#include "hemlockproxy/daemon/OwnerService.h"
#include "hemlockproxy/daemon/ResumingBody.h"
#include "hemlockproxy/daemon/TrafficView.h"
#include "hemlockproxy/daemon/Upstream.h"
#include "hemlockproxy/decisions/Allowances.h"
#include "hemlockproxy/decisions/AttemptTimeout.h"
#include "hemlockproxy/decisions/EndpointChooser.h"
#include "hemlockproxy/decisions/EntryGate.h"
#include "hemlockproxy/decisions/EqualShares.h"
#include "hemlockproxy/decisions/PeerReach.h"
#include "hemlockproxy/decisions/RetryPolicy.h"
#include "hemlockproxy/decisions/RetryTime.h"
#include "hemlockproxy/decisions/WeightedSplit.h"
#include "hemlockproxy/runtime/HttpClient.h"
#include "hemlockproxy/runtime/HttpServer.h"
#include "hemlockproxy/runtime/Metrics.h"
#include "hemlockproxy/runtime/StructuredLog.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace hemlockproxy::daemon {

namespace impl {
class PeerProber;
}

/// What the entry needs to know of its own daemon.
struct EntryOptions
{
  model::DaemonId self_;
  model::FailureDomain domain_;
  /// Connections to other daemons are made from this IP number.
  std::string localIp_;
  ExchangeOptions exchange_;
  DialectPtr dialect_;
  /// The service of the backend server on this instance.
  model::ServiceName callerService_;
  /// The time in which a new version of the configuration has to be in force.
  std::chrono::milliseconds applyWithin_{ 8000 };
  /// Whether callers mark requests with idempotency keys.
  bool keyed_ = true;
  /// Whether a broken response is resumed at another endpoint by a range request.
  bool resumes_ = true;
  /// The retries of all daemons to a service; a share of 0 leaves it to the service's own rule.
  decisions::SharedRetryLimit retryLimit_;
  /// Null writes no lines.
  runtime::StructuredLog* lines_ = nullptr;
  /// Sends an ask to a lender of allowances; null where each daemon has an equal share.
  std::function<void(model::DaemonId, decisions::AllowanceAsk)> askAllowances_;
};

/// Handles callers' requests: finds the route, chooses endpoints, retries and delivers the
/// response. Used on the traffic thread.
class EntryService
{
public:
  /// The references must outlive the service.
  EntryService(const runtime::IoContextPtr& aIo,
               EntryOptions aOptions,
               const TrafficViewSlot& aViews,
               OwnerService& aOwner,
               runtime::Metrics& aMetrics);
  ~EntryService();
  EntryService(const EntryService&) = delete;
  EntryService& operator=(const EntryService&) = delete;

  /// Handles one request of a caller.
  void Handle(runtime::HttpExchange& aExchange);
  /// Watches the other daemons; called often while requests are in progress.
  void Tick();
  /// Takes in what a lender of allowances has granted.
  void TakeGrant(const model::DaemonId& aLender, const decisions::AllowanceGrant& aGrant);
  /// After this call no running attempt gets a second one beside it; callable from any thread.
  void SetStopping() noexcept { stopping_ = true; }
  /// After this call requests whose bodies are still awaited are rejected as leaving; callable from
  /// any thread.
  void RejectLateBodies() noexcept { rejectsLateBodies_ = true; }
  /// Ends the background work; requests in progress must have ended.
  void Stop() noexcept { keyed_.Stop(); }

private:
  /// The state of one service as a target.
  struct Target
  {
    std::optional<decisions::EndpointChooser> chooser_;
    std::optional<decisions::RetryPolicy> retries_;
    model::RetryRule rule_;
    std::unordered_map<model::DaemonId, std::shared_ptr<const model::MemberRecord>> members_;
    /// By the path prefix of the route.
    std::map<std::string, std::shared_ptr<decisions::AttemptTimeout>> timeouts_;
  };
  struct Attempt;
  struct SecondAttempt;
  /// One request on its way through the entry.
  struct Call;

  void Refresh(const TrafficViewPtr& aView);
  [[nodiscard]] const model::ServiceName& ServiceOf(const model::RouteRule& aRule);
  [[nodiscard]] Target& TargetOf(const TrafficView& aView, const model::ServiceName& aService);
  void RefreshRetries(const TrafficView& aView,
                      const model::ServiceName& aService,
                      Target& aTarget);
  [[nodiscard]] static std::shared_ptr<decisions::AttemptTimeout> TimeoutOf(
    Target& aTarget,
    const std::string& aPrefix);
  [[nodiscard]] UpstreamReply Admit(runtime::HttpExchange& aExchange,
                                    const TrafficView& aView,
                                    Call& aCall);
  /// Takes the configuration's customers and the membership into the allowances.
  void RefreshAllowances(const TrafficView& aView);
  /// Asks the lender if an ask is due.
  void AskAllowances(const TrafficView& aView);
  void RecordAllowances();
  /// Takes one request of the customer's allowance, waiting for the lender where this daemon holds
  /// none; returns false when the allowance is used up.
  [[nodiscard]] bool TakeAllowance(const TrafficView& aView, Call& aCall);
  /// Reads the body's first part and runs the attempts.
  [[nodiscard]] UpstreamReply Run(runtime::HttpExchange& aExchange, Call& aCall);
  [[nodiscard]] UpstreamReply RunAttempts(Call& aCall);
  [[nodiscard]] UpstreamReply RunKeyed(runtime::HttpExchange& aExchange, Call& aCall);
  /// Makes one attempt, with a second one beside it if need be, and decides whether another may
  /// follow; waits for the backoff before it returns.
  [[nodiscard]] ForwardResult TryOnce(Call& aCall);
  /// Returns whether a newer configuration than that of the request's arrival has withdrawn its
  /// key.
  [[nodiscard]] bool KeyWithdrawn(const Call& aCall) const;
  /// Takes in an attempt that was not answered.
  void NoteFailure(Call& aCall, const model::DaemonId& aEndpoint, const UpstreamReply& aReply);
  /// Returns whether another attempt follows one that was not answered; takes from the budget.
  [[nodiscard]] std::optional<decisions::RetryElsewhere> DecideRetry(Call& aCall,
                                                                     const UpstreamReply& aReply);
  /// Runs an attempt; one that may be repeated gets company when it takes long. Returns the attempt
  /// that counts.
  [[nodiscard]] Attempt RunTimedAttempt(Call& aCall, Attempt aAttempt);
  /// Starts a second attempt beside the current one if the retry policy grants it. Otherwise
  /// returns when to ask again, or nothing when the attempt has all the time left.
  [[nodiscard]] std::optional<model::Duration> AddAttempt(Call& aCall);
  void StartSecond(Call& aCall, const model::DaemonId& aEndpoint, model::Duration aWait);
  /// Waits for the second attempt unless the first one was answered, and returns that which counts.
  [[nodiscard]] Attempt SettleBoth(Call& aCall, Attempt aFirst);
  /// Reports the end of an attempt to the endpoint choice: at once, or when the response body ends.
  void ReportEnd(const model::ServiceName& aService, Attempt& aAttempt, bool aCancelled);
  [[nodiscard]] UpstreamReply RunAttempt(UpstreamRequest& aRequest,
                                         const model::DaemonId& aEndpoint);
  [[nodiscard]] UpstreamReply Forward(const UpstreamRequest& aRequest,
                                      const model::MemberRecord& aMember);
  /// Keeps a silent peer out of the choice, and tries what waits for it elsewhere, too.
  void PeerChanged(const decisions::PeerChange& aChange);
  /// Lets a response to a repeatable request be continued from another endpoint.
  void MakeResumable(Call& aCall, UpstreamReply& aReply);
  [[nodiscard]] UpstreamReply ResumeElsewhere(Call& aCall, const ResumeRequest& aRequest);
  void Conclude(runtime::HttpExchange& aExchange, Call& aCall, UpstreamReply aReply);

  runtime::IoContextPtr io_;
  EntryOptions options_;
  const TrafficViewSlot& views_;
  OwnerService& owner_;
  runtime::Metrics& metrics_;
  runtime::HttpConnectionPool pool_;
  KeyedCoordinator keyed_;
  model::RandomSource random_;
  TrafficViewPtr seen_;
  std::map<model::ServiceName, Target> targets_;
  /// The split of each route that several services share, by host and prefix.
  std::map<std::pair<std::string, std::string>, decisions::WeightedSplit> splits_;
  decisions::EntryGate gate_;
  /// Used where daemons lend each other shares.
  decisions::Allowances allowances_;
  /// Used where they do not.
  decisions::EqualShares shares_;
  std::unique_ptr<impl::PeerProber> prober_;
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> rejectsLateBodies_ = false;
  model::TimePoint nextFigures_{};
  /// Attempts that can be repeated elsewhere, by endpoint.
  std::multimap<model::DaemonId, Call*> repeatable_;
};

} // namespace hemlockproxy::daemon
