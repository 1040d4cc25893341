#pragma once

#include "hemlockproxy/daemon/Dialect.h"
#include "hemlockproxy/daemon/HttpUpstream.h"
#include "hemlockproxy/daemon/TrafficView.h"
#include "hemlockproxy/daemon/Upstream.h"
#include "hemlockproxy/decisions/Admission.h"
#include "hemlockproxy/decisions/BackendRegistry.h"
#include "hemlockproxy/decisions/Quarantine.h"
#include "hemlockproxy/decisions/StatedLimit.h"
#include "hemlockproxy/decisions/TransferQueue.h"
#include "hemlockproxy/runtime/EventRing.h"
#include "hemlockproxy/runtime/HttpClient.h"
#include "hemlockproxy/runtime/HttpServer.h"
#include "hemlockproxy/runtime/Metrics.h"
#include "hemlockproxy/runtime/StructuredLog.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

namespace hemlockproxy::daemon {

namespace impl {
enum class LeftStage : std::uint8_t;
class LinkScheduler;
} // namespace impl

/// What the owner needs to know of its own daemon.
struct OwnerOptions
{
  model::DaemonId self_;
  ExchangeOptions exchange_;
  /// How often the backend server of this instance reports.
  std::chrono::milliseconds reportInterval_{ 1000 };
  /// Bounds the memory for response bodies that are being read.
  std::size_t mostHeldBytes_ = 16UL * 1024 * 1024;
  /// When the daemon started; with the epoch, the first report of a backend server is trusted.
  model::WallTime daemonStart_{};
  /// For this long after the start, peers are awaited that may know what left before it.
  std::chrono::milliseconds peerWait_{ 0 };
  DialectPtr dialect_;
  decisions::TransferQueueOptions link_;
  /// A request is given up after this many times the mean service time of its kind; 0 waits until
  /// its deadline.
  double hangFactor_ = 0;
  /// Null writes no lines.
  runtime::StructuredLog* lines_ = nullptr;
};

/// Runs requests on the backend server of this instance, under its slots and limits. Used on the
/// traffic thread.
class OwnerService
{
public:
  /// Tells the owners of the same service about suspected requests; must not block.
  using TellPeers = std::function<void(std::vector<decisions::QuarantineRecord>)>;
  /// Learns of each change of the endpoint; must not block.
  using OnEndpoint = std::function<void(std::optional<model::Endpoint>)>;
  /// Has peers remember that a backend server left and calls the function, on any thread, once they
  /// have answered or could not be reached; must not block.
  using KeepDeparture = std::function<void(decisions::DepartureRecord, std::function<void()>)>;

  /// The references must outlive the service.
  OwnerService(runtime::IoContextPtr aIo,
               OwnerOptions aOptions,
               const TrafficViewSlot& aViews,
               runtime::Metrics& aMetrics,
               runtime::EventRing& aEvents,
               TellPeers aTellPeers,
               OnEndpoint aOnEndpoint);
  ~OwnerService();
  OwnerService(const OwnerService&) = delete;
  OwnerService& operator=(const OwnerService&) = delete;

  /// Runs a request, or rejects it as not run; waits in the admission queue if need be.
  [[nodiscard]] UpstreamReply Execute(UpstreamRequest& aRequest);

  /// Handles a request that another daemon forwarded.
  void HandleForwarded(runtime::HttpExchange& aExchange);

  /// After this call forwarded requests whose bodies are still awaited are rejected as leaving;
  /// callable from any thread.
  void RejectLateBodies() noexcept { rejectsLateBodies_ = true; }

  /// Takes in what another owner found out about suspected requests.
  void MergeQuarantine(const std::vector<decisions::QuarantineRecord>& aRecords);

  /// Returns what is known of suspected requests, for owners that join.
  [[nodiscard]] std::vector<decisions::QuarantineRecord> QuarantineRecords() const
  {
    return quarantine_.Records(std::chrono::steady_clock::now());
  }

  /// Sets who remembers departures; without it they end with the process.
  void SetKeepDeparture(KeepDeparture aKeep) { keepDeparture_ = std::move(aKeep); }
  /// Takes in what peers remember of departures from before the start. aLongestMemory is set once
  /// they have told all: for how long one of them has been keeping departures.
  void RestoreDepartures(const std::vector<decisions::DepartureRecord>& aRecords,
                         std::optional<std::chrono::milliseconds> aLongestMemory);

  /// Takes in a report of the backend server of this instance; its effect on new work is in force
  /// when it returns, and peers remember a departure that it tells. Returns false and changes
  /// nothing when the report would put a backend server of a service that the configuration does
  /// not list in the place of the current one.
  bool Report(const model::BackendReport& aReport);
  /// The backend server leaves and gets no new work; when it returns, peers remember it as far as
  /// they could be reached in time.
  void BackendLeaves(const model::BackendId& aId);

  /// Takes a new view into use, so that draining starts without waiting for a request, and notices
  /// when the reports of the backend server stop.
  void Tick();

  /// Returns the requests that run or wait.
  [[nodiscard]] std::uint32_t Load() const noexcept;

private:
  class AdmittedBody;
  struct Waiter;

  void Refresh(const TrafficViewPtr& aView);
  /// Takes new slots, limits and draining states into use.
  void ApplyState();
  [[nodiscard]] std::optional<model::Endpoint> CurrentEndpoint() const;
  /// Checks the health of a backend server that awaits confirmation, once for each start.
  void ConfirmIfDue();
  /// The backend server or its state has changed.
  void BackendChanged(runtime::LogEvent aEvent);
  /// Has peers remember a departure and waits for them, within the time in which a backend server
  /// expects its answer.
  void RememberDeparture(const model::BackendId& aId, std::optional<model::WallTime> aStartedAt);
  /// Returns what a request asks of the link.
  [[nodiscard]] decisions::TransferDemand DemandOf(model::TimePoint aNow,
                                                   const UpstreamRequest& aRequest) const;
  /// Returns for how long a request would wait for a slot or for the link.
  [[nodiscard]] model::Duration ExpectedWait(const UpstreamRequest& aRequest) const;
  /// Returns None when the request may run, else the reason for its rejection.
  [[nodiscard]] model::RefusalReason Admit(decisions::RequestId aId,
                                           const UpstreamRequest& aRequest,
                                           decisions::RunKind aKind);
  /// Takes a request whose caller has gone out of the queue.
  void Withdraw(decisions::RequestId aId);
  void Finish(decisions::RequestId aId, decisions::FinishKind aKind);
  /// Finds out whether the backend server crashed when an exchange with it broke off; returns what
  /// is then known of the requests in progress.
  std::vector<decisions::QuarantineRecord> CheckForCrash(const model::Address& aBackend);
  void Dispatch(const std::vector<decisions::AdmissionAction>& aActions);
  /// Reads a response body into memory and frees the slot, so that a slow caller or link does not
  /// keep the backend server's place. Leaves bodies alone that are long or of unknown length.
  [[nodiscard]] UpstreamReply HoldBody(decisions::RequestId aId,
                                       const model::BackendReport& aBackend,
                                       UpstreamRequest& aRequest,
                                       UpstreamReply aReply);
  /// Takes in what the backend server said with its response to a request sent at aSent.
  void NoteStatus(const model::BackendReport& aBackend,
                  const BackendStatus& aStatus,
                  model::TimePoint aSent);
  /// Takes the limit that the backend server states into use.
  void ApplyRequestLimit(model::TimePoint aNow);
  /// Returns whether a report is of the present start of the backend server.
  [[nodiscard]] bool IsCurrent(const model::BackendReport& aBackend) const;
  /// Counts and logs a request whose caller has left.
  void NoteCallerLeft(std::string_view aId, impl::LeftStage aStage, model::TimePoint aStarted);
  /// Runs the exchange of a request; gives up a request that hangs.
  [[nodiscard]] UpstreamReply ExchangeWith(const model::BackendReport& aBackend,
                                           UpstreamRequest& aRequest);
  void StartTicker();
  [[nodiscard]] UpstreamReply Run(UpstreamRequest& aRequest);
  [[nodiscard]] UpstreamReply RunAdmitted(decisions::RequestId aId,
                                          const model::BackendReport& aBackend,
                                          UpstreamRequest& aRequest);

  runtime::IoContextPtr io_;
  OwnerOptions options_;
  const TrafficViewSlot& views_;
  runtime::Metrics& metrics_;
  runtime::EventRing& events_;
  runtime::HttpConnectionPool pool_;
  TellPeers tellPeers_;
  OnEndpoint onEndpoint_;
  KeepDeparture keepDeparture_;
  decisions::BackendRegistry registry_;
  decisions::StatedLimit limit_;
  decisions::Quarantine quarantine_;
  std::unique_ptr<impl::LinkScheduler> link_;
  TrafficViewPtr seen_;
  std::optional<decisions::Admission> admission_;
  model::ServiceName service_;
  decisions::RequestId lastId_;
  std::unordered_map<decisions::RequestId, Waiter*> waiting_;
  bool ticking_ = false;
  /// The start of the backend server that the last health check was for.
  std::optional<std::pair<model::BackendId, model::WallTime>> checked_;
  /// When the health check of a backend server that is not confirmed is repeated.
  model::TimePoint nextCheck_{};
  std::atomic<bool> rejectsLateBodies_ = false;
  model::TimePoint nextPoolCheck_{};
  /// Bytes of response bodies being read into memory.
  std::size_t heldBytes_ = 0;
};

} // namespace hemlockproxy::daemon
