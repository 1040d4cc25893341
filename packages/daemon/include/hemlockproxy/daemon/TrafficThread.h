#pragma once

#include "hemlockproxy/daemon/Adapters.h"
#include "hemlockproxy/daemon/EntryService.h"
#include "hemlockproxy/daemon/Mailbox.h"
#include "hemlockproxy/daemon/OwnerService.h"
#include "hemlockproxy/daemon/Settings.h"
#include "hemlockproxy/daemon/TrafficView.h"
#include "hemlockproxy/decisions/Drain.h"
#include "hemlockproxy/runtime/EventRing.h"
#include "hemlockproxy/runtime/HttpServer.h"
#include "hemlockproxy/runtime/Metrics.h"

#include <atomic>
#include <memory>
#include <thread>
#include <variant>
#include <vector>

namespace hemlockproxy::daemon {

/// What peers remember of departures from before the start.
struct DeparturesKnown
{
  std::vector<decisions::DepartureRecord> records_;
  /// Set once they have told all: for how long one of them has been keeping departures.
  std::optional<std::chrono::milliseconds> longestMemory_;
};

/// Asks for all that is known of suspected requests.
struct QuarantineQuestion
{
  std::function<void(std::vector<decisions::QuarantineRecord>)> reader_;
};

/// What a lender of allowances has granted.
struct AllowanceAnswer
{
  model::DaemonId lender_;
  decisions::AllowanceGrant grant_;
};

/// Serves callers, other daemons and the backend server of this instance on a thread of its own.
class TrafficThread : private BackendDesk
{
public:
  /// Sends an ask to a lender of allowances; must not block.
  using AskAllowances = std::function<void(model::DaemonId, decisions::AllowanceAsk)>;

  /// Opens both listeners; fails when an address is in use. The references must outlive the thread.
  [[nodiscard]] static runtime::HttpResult<std::unique_ptr<TrafficThread>> Create(
    const Settings& aSettings,
    const Adapters& aAdapters,
    const TrafficViewSlot& aViews,
    runtime::Metrics& aMetrics,
    runtime::EventRing& aEvents,
    runtime::StructuredLog& aLines,
    OwnerService::TellPeers aTellPeers,
    OwnerService::OnEndpoint aOnEndpoint,
    AskAllowances aAskAllowances);
  ~TrafficThread() override;
  TrafficThread(const TrafficThread&) = delete;
  TrafficThread& operator=(const TrafficThread&) = delete;

  void Start();
  /// Returns the requests in progress at both listeners; callable from any thread.
  [[nodiscard]] std::size_t InProgress() const noexcept { return inProgress_.load(); }
  /// Hands over what another owner found out about suspected requests; returns false when the ring
  /// buffer is full.
  [[nodiscard]] bool Tell(std::vector<decisions::QuarantineRecord> aRecords)
  {
    return inbox_.TryPush(std::move(aRecords));
  }
  /// Hands over what peers remember of departures; returns false when the ring buffer is full.
  [[nodiscard]] bool Tell(DeparturesKnown aKnown) { return inbox_.TryPush(std::move(aKnown)); }
  /// Asks for suspected requests; returns false when the ring buffer is full.
  [[nodiscard]] bool Tell(QuarantineQuestion aQuestion)
  {
    return inbox_.TryPush(std::move(aQuestion));
  }
  /// Sets who remembers departures; to be called before Start.
  void SetKeepDeparture(OwnerService::KeepDeparture aKeep)
  {
    owner_.SetKeepDeparture(std::move(aKeep));
  }
  /// Hands over a grant of a lender of allowances; returns false when the ring buffer is full.
  [[nodiscard]] bool Tell(AllowanceAnswer aAnswer) { return inbox_.TryPush(std::move(aAnswer)); }
  /// Hands over a report of the backend server; returns false when the ring buffer is full.
  [[nodiscard]] bool Announce(model::BackendReport aReport)
  {
    return inbox_.TryPush(std::move(aReport));
  }
  /// Sets which new requests are rejected as leaving; callable from any thread.
  void SetDrainState(decisions::DrainState aState) noexcept
  {
    drainState_ = aState;
    if (aState != decisions::DrainState::Serving) {
      entry_.SetStopping();
    }
    if (!decisions::AcceptsForwards(aState)) {
      owner_.RejectLateBodies();
    }
    if (!decisions::AcceptsCallers(aState)) {
      entry_.RejectLateBodies();
    }
  }
  /// Stops both listeners, waits for exchanges in progress up to the limit, and ends the thread.
  void Stop(std::chrono::milliseconds aLimit);

private:
  /// What other threads tell the traffic thread.
  using Message = std::variant<std::vector<decisions::QuarantineRecord>,
                               model::BackendReport,
                               DeparturesKnown,
                               QuarantineQuestion,
                               AllowanceAnswer>;

  TrafficThread(const Settings& aSettings,
                const Adapters& aAdapters,
                const TrafficViewSlot& aViews,
                runtime::Metrics& aMetrics,
                runtime::EventRing& aEvents,
                runtime::StructuredLog& aLines,
                OwnerService::TellPeers aTellPeers,
                OwnerService::OnEndpoint aOnEndpoint,
                AskAllowances aAskAllowances);

  bool Report(const model::BackendReport& aReport) override { return owner_.Report(aReport); }
  void Leave(const model::BackendId& aId) override { owner_.BackendLeaves(aId); }
  [[nodiscard]] bool Ready() const override;

  [[nodiscard]] runtime::HttpResult<model::Unit> OpenListeners(const Settings& aSettings);
  [[nodiscard]] runtime::HttpResult<model::Unit> OpenDesk(const model::Address& aAddress);

  void HandleCaller(runtime::HttpExchange& aExchange);
  void HandleForwarded(runtime::HttpExchange& aExchange);
  void RejectLeaving(runtime::HttpExchange& aExchange);
  /// Bounds the callers' requests as the configuration in force says.
  void ApplyCallerLimits();
  /// Takes in how late the thread's timer ran.
  void NoteDelay(model::Duration aDelay);
  void Main();

  runtime::IoContextPtr io_;
  const Adapters& adapters_;
  const TrafficViewSlot& views_;
  runtime::Metrics& metrics_;
  runtime::EventRing& events_;
  Mailbox<Message> inbox_;
  OwnerService owner_;
  EntryService entry_;
  std::unique_ptr<runtime::HttpServer> callerServer_;
  std::unique_ptr<runtime::HttpServer> forwardServer_;
  /// Where backend servers report and the platform asks for readiness.
  std::vector<std::unique_ptr<runtime::HttpServer>> desks_;
  bool spin_ = true;
  std::atomic<std::size_t> inProgress_{ 0 };
  /// The limits that are set on callerServer_.
  /// Shared by the listeners of this thread.
  std::shared_ptr<decisions::ConnectionBounds> bounds_;
  model::CallerLimits callerLimits_;
  /// Whether the thread is reported as late.
  bool late_ = false;
  std::atomic<decisions::DrainState> drainState_{ decisions::DrainState::Serving };
  std::atomic<bool> stopping_{ false };
  std::chrono::milliseconds stopLimit_{ 0 };
  std::thread thread_;
};

} // namespace hemlockproxy::daemon
