#pragma once

#include "hemlockproxy/runtime/MetricFamily.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace hemlockproxy::runtime {

/// Counters that only rise.
enum class Counter : std::uint8_t
{
  RequestsAnswered,
  RequestsNotRun,
  RequestsUnknown,
  RequestsForwarded,
  RequestsOwned,
  Retries,
  SecondAttempts,
  ResponsesResumed,
  ResponsesTruncated,
  ClaimsGranted,
  ClaimsDuplicate,
  ClaimsUnavailable,
  ControlBytesSent,
  ControlBytesReceived,
  ControlBytesCrossDomain,
  ControlMessagesSent,
  ControlMessagesReceived,
  LogReads,
  LogAppends,
  LogErrors,
  /// Records of the log that were passed over because they could not be read.
  LogRecordsSkipped,
  /// Requests and messages whose handling ended with an unexpected exception.
  HandlersFailed,
  VersionsEnforced,
  /// Load reports of the own backend server with an invalid figure.
  BackendLoadsInvalid,
  /// Requests that the backend server did not answer far beyond the time of their kind.
  RequestsHung,
  Count,
};

/// Values that rise and fall.
enum class Gauge : std::uint8_t
{
  ConfigVersion,
  MembersAlive,
  EndpointsKnown,
  RequestsInProgress,
  Ready,
  /// Unix time in seconds; the age of the version is the time since.
  ConfigEnforcedAt,
  /// The highest version that this daemon holds, enforced or not.
  ConfigHeld,
  LogReader,
  LogEpoch,
  ConfigUnconfirmed,
  PeersSilent,
  OwnerRunning,
  OwnerQueued,
  OwnerSlots,
  OwnerServiceMicros,
  OwnerRequestLimit,
  Count,
};

/// Values told apart by labels; Metrics.cpp lists the labels in their order.
enum class Family : std::uint8_t
{
  /// How callers' requests ended, by route, service, outcome and reason.
  EntryRequests,
  /// How attempts ended, by service, outcome and reason.
  EntryAttempts,
  /// How forwarded requests and those of the own entry ended, by priority, outcome and reason.
  OwnerRequests,
  /// Retries that the budget still allows, by service.
  RetriesLeft,
  /// Calls of the log, by call and result.
  LogCalls,
  /// By the kind of the peer and why no idle connection was used.
  ConnectionsOpened,
  /// Callers that left before their answer, by the part of the daemon and what was done by then.
  CallersLeft,
  /// Members of the own failure domain, by state.
  Members,
  /// Lines of the structured log that were dropped, by class.
  LinesDropped,
  /// Connections and requests that a bound of the process refused or dropped, by bound and what was
  /// refused.
  ConnectionsBounded,
  /// Requests per second of customers' allowances, by customer: all of it, and lent to this daemon.
  Allowances,
  /// Requests of customers with allowances at this daemon, by customer: used and refused.
  AllowanceRequests,
  Count,
};

/// Durations recorded in histograms.
enum class Timing : std::uint8_t
{
  /// From the request header until the response is delivered, at the entry.
  EntryRequest,
  /// From admission until the backend server's response header.
  BackendResponse,
  /// In the owner's queue.
  QueueWait,
  /// From the publish record's append until the version is enforced here.
  Convergence,
  /// A call of the log, with the time that a read waits for records.
  LogCall,
  /// How late the traffic thread runs its timer: what arrives waits about as long.
  TrafficDelay,
  Count,
};

/// The metrics of one process; all functions may be called from any thread.
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  void Add(Counter aCounter, std::uint64_t aAmount = 1) noexcept
  {
    counters_[static_cast<std::size_t>(aCounter)].fetch_add(aAmount, std::memory_order_relaxed);
  }
  void Set(Gauge aGauge, std::uint64_t aValue) noexcept
  {
    gauges_[static_cast<std::size_t>(aGauge)].store(aValue, std::memory_order_relaxed);
  }
  void Record(Timing aTiming, std::chrono::nanoseconds aDuration);
  void Add(Family aFamily, MetricFamily::Labels aLabels)
  {
    families_[static_cast<std::size_t>(aFamily)].Add(aLabels, 1);
  }
  void Set(Family aFamily, MetricFamily::Labels aLabels, double aValue)
  {
    families_[static_cast<std::size_t>(aFamily)].Set(aLabels, aValue);
  }

  [[nodiscard]] std::uint64_t Get(Counter aCounter) const noexcept
  {
    return counters_[static_cast<std::size_t>(aCounter)].load(std::memory_order_relaxed);
  }
  [[nodiscard]] std::uint64_t Get(Gauge aGauge) const noexcept
  {
    return gauges_[static_cast<std::size_t>(aGauge)].load(std::memory_order_relaxed);
  }
  [[nodiscard]] double Get(Family aFamily, MetricFamily::Labels aLabels) const
  {
    return families_[static_cast<std::size_t>(aFamily)].Get(aLabels);
  }

  /// Returns all metrics in the Prometheus text format; durations in seconds.
  [[nodiscard]] std::string PrometheusText() const;

private:
  struct Histograms;

  std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(Counter::Count)> counters_{};
  std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(Gauge::Count)> gauges_{};
  std::array<MetricFamily, static_cast<std::size_t>(Family::Count)> families_;
  std::unique_ptr<Histograms> histograms_;
};

} // namespace hemlockproxy::runtime
