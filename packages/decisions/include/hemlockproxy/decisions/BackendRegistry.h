#pragma once

#include "hemlockproxy/decisions/DepartureBook.h"
#include "hemlockproxy/model/BackendReport.h"
#include "hemlockproxy/model/Clock.h"
#include "hemlockproxy/model/Result.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace hemlockproxy::decisions {

struct BackendRegistryOptions
{
  /// How often a backend server reports.
  std::chrono::milliseconds interval_{ 1000 };
  /// Missed reports after which the backend server is taken as gone.
  std::uint32_t missedReports_ = 3;
  /// When the daemon started, by its wall clock; the epoch when that does not matter. What left
  /// before then is not remembered.
  model::WallTime daemonStart_{};
  /// The same moment by the clock of the calls.
  model::TimePoint start_{};
  /// For this long after the start, peers are awaited that may know what left before it.
  std::chrono::milliseconds peerWait_{ 0 };
};

struct BackendRegistryError
{
  std::string message_;
};

/// What became of a report.
enum class ReportUse : std::uint8_t
{
  /// The report renews what was known.
  Renewed,
  /// The state of the backend server follows the report.
  Changed,
  /// The report is older than what is known, or of a backend server that has left.
  Late,
};

/// Follows the reports of the backend server on this daemon's instance.
///
/// A backend server that drains or has left gets no new work again, whatever arrives late and
/// however long its reports stop. Only a later start of it, or another backend server at the same
/// address, takes its place.
///
/// A daemon that restarts beside a backend server does not know whether it has left meanwhile, and
/// its first report may be a late one. Such a backend server gets no work until it is confirmed: by
/// a health check, or by a report that follows at the pace of reports. Both count only after peers
/// have told what left, or could not be reached in time. Reports count only once a peer has
/// answered that would know of a departure behind a late report; without one, those count that were
/// sent after the start of the daemon.
class BackendRegistry
{
public:
  /// Fails on an interval of 0.
  [[nodiscard]] static model::Result<BackendRegistry, BackendRegistryError> Create(
    BackendRegistryOptions aOptions);

  /// Takes in a report.
  ReportUse Report(model::TimePoint aNow, const model::BackendReport& aReport);
  /// The backend server says that it leaves; returns whether it was known as present.
  bool Leave(model::TimePoint aNow, const model::BackendId& aId);
  /// A backend server said in a response that it leaves; binds like a report that it drains.
  /// Returns whether that is news of the present start.
  bool SaysItLeaves(const model::BackendId& aId, model::WallTime aStartedAt);
  /// A health check was answered by the start of the backend server that is current; returns
  /// whether that is news.
  bool Confirm(const model::BackendId& aId, model::WallTime aStartedAt);
  /// Returns whether the backend server is not confirmed yet.
  [[nodiscard]] bool AwaitsConfirmation() const noexcept { return current_ && !confirmed_; }
  /// Returns whether a confirmation counts at this time.
  [[nodiscard]] bool MayConfirm(model::TimePoint aNow) const noexcept
  {
    return peersHeard_ || aNow >= options_.start_ + options_.peerWait_;
  }
  /// Takes in what peers know of earlier departures; returns whether the current backend server is
  /// one of them and was dropped.
  bool Restore(model::TimePoint aNow, const std::vector<DepartureRecord>& aRecords);
  /// Peers have told all that they know of earlier departures; the one with the longest memory has
  /// kept departures for aMemory.
  void PeersHeard(std::chrono::milliseconds aMemory) noexcept
  {
    peersHeard_ = true;
    peersRemember_ = peersRemember_ || aMemory >= kLatestReport;
  }
  /// Forgets a backend server whose reports have stopped; returns whether it did.
  bool Tick(model::TimePoint aNow);

  /// Returns the last report that was taken in, until the backend server leaves or is forgotten.
  [[nodiscard]] const std::optional<model::BackendReport>& Current() const noexcept
  {
    return current_;
  }
  /// Returns whether new work may be sent to the backend server.
  [[nodiscard]] bool TakesWork() const noexcept
  {
    return current_ && confirmed_ && !current_->draining_;
  }

private:
  enum class Finality : std::uint8_t
  {
    /// Its reports have stopped; a later one brings it back.
    Silent,
    /// A later start, or another backend server, took its place; it may go on reporting.
    Displaced,
    /// It said so, and that was acknowledged.
    Left,
  };
  /// A start of a backend server that has left.
  struct Departed
  {
    model::BackendId id_;
    /// Nothing when the daemon did not know the backend server that left.
    std::optional<model::WallTime> startedAt_;
    model::TimePoint at_;
    Finality finality_ = Finality::Left;
    /// The last report that was taken in.
    std::uint64_t sequence_ = 0;
  };
  /// Another backend server that reported while the current one was there.
  struct Candidate
  {
    model::BackendId id_;
    model::WallTime startedAt_;
    model::TimePoint at_;
  };

  explicit BackendRegistry(BackendRegistryOptions aOptions)
    : options_(aOptions)
  {
  }

  /// Returns whether reports at the usual pace show that the backend server is there.
  [[nodiscard]] bool PaceConfirms(model::TimePoint aNow) const noexcept;
  [[nodiscard]] bool HasDeparted(model::TimePoint aNow, const model::BackendReport& aReport) const;
  void RememberDeparture(Departed aDeparted);
  /// The current backend server is no longer there. An acknowledged drain stays final.
  void ForgetCurrent(model::TimePoint aNow, Finality aFinality);
  /// Returns whether a report of another backend server takes the place of the current one.
  [[nodiscard]] bool MayDisplace(model::TimePoint aNow, const model::BackendReport& aReport);

  BackendRegistryOptions options_;
  std::optional<model::BackendReport> current_;
  bool confirmed_ = true;
  bool peersHeard_ = false;
  /// Whether a peer has answered that kept departures while the reports that come now were sent.
  bool peersRemember_ = false;
  /// When the first report of the current start came.
  model::TimePoint known_{};
  model::TimePoint renewed_{};
  std::deque<Departed> departed_;
  std::optional<Candidate> candidate_;
};

} // namespace hemlockproxy::decisions
