#pragma once

#include "hemlockproxy/daemon/ClaimService.h"
#include "hemlockproxy/daemon/TrafficView.h"
#include "hemlockproxy/daemon/Upstream.h"
#include "hemlockproxy/decisions/KeyedRequests.h"
#include "hemlockproxy/runtime/HttpClient.h"
#include "hemlockproxy/runtime/Metrics.h"

#include <functional>
#include <map>
#include <memory>

namespace hemlockproxy::daemon {

/// One forward of a keyed request.
struct ForwardResult
{
  UpstreamReply reply_;
  /// Whether another endpoint may be tried after NotRun.
  bool canTryElsewhere_ = false;
};

/// A request that must run at most once.
struct KeyedCall
{
  model::Digest key_;
  model::Digest fingerprint_;
  model::TimePoint deadline_;
  CancelSource* cancel_ = nullptr;
  /// Sends the request to one endpoint; no byte may be sent after the given time.
  std::function<ForwardResult(model::TimePoint aStartBefore)> forward_;
};

/// Runs keyed requests at most once: claims the key, forwards, keeps or releases the claim. Used on
/// the traffic thread.
class KeyedCoordinator
{
public:
  KeyedCoordinator(runtime::IoContextPtr aIo,
                   std::string aLocalIp,
                   const TrafficViewSlot& aViews,
                   runtime::Metrics& aMetrics);
  ~KeyedCoordinator();
  KeyedCoordinator(const KeyedCoordinator&) = delete;
  KeyedCoordinator& operator=(const KeyedCoordinator&) = delete;

  /// Runs the request; suspends the fiber until there is an outcome.
  [[nodiscard]] UpstreamReply Run(KeyedCall aCall);
  /// Ends the background work; requests in progress must have ended.
  void Stop() noexcept { stopping_ = true; }

private:
  struct StoredResponse;
  struct Pending;

  void Feed(const decisions::KeyedEvent& aEvent);
  void Execute(const decisions::KeyedAction& aAction);
  void CallResolver(wire::ClaimAction aAction,
                    const model::ClaimEntry& aEntry,
                    model::TimePoint aDeadline,
                    std::uint32_t aTry);
  [[nodiscard]] UpstreamReply ForwardOnce(KeyedCall& aCall,
                                          const model::AttemptId& aAttempt,
                                          model::TimePoint aStartBefore);
  [[nodiscard]] UpstreamReply Replay(const model::Digest& aKey) const;
  void StartTicker();

  const TrafficViewSlot& views_;
  runtime::Metrics& metrics_;
  runtime::HttpConnectionPool pool_;
  decisions::KeyedRequests requests_;
  model::RandomSource random_;
  std::map<model::AttemptId, Pending*> pending_;
  std::map<model::Digest, std::shared_ptr<const StoredResponse>> stored_;
  bool ticking_ = false;
  bool stopping_ = false;
};

} // namespace hemlockproxy::daemon
