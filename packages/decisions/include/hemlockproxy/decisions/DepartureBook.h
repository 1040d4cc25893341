#pragma once

#include "hemlockproxy/model/Clock.h"
#include "hemlockproxy/model/Ids.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace hemlockproxy::decisions {

/// A backend server that left, or that said it leaves.
struct DepartureRecord
{
  model::BackendId id_;
  /// Nothing when its daemon did not know the start that left.
  std::optional<model::WallTime> startedAt_;
  /// How long ago, when the record was made, so that daemons need no common clock.
  std::chrono::milliseconds age_{ 0 };

  friend bool operator==(const DepartureRecord&, const DepartureRecord&) = default;
};

/// A report is on its way for no longer than this.
inline constexpr std::chrono::seconds kLatestReport{ 10 };

/// The departures of one daemon's backend servers.
struct DepartureReport
{
  model::DaemonId owner_;
  std::vector<DepartureRecord> records_;
  /// How long the sender has been keeping departures. What left before that it can't know.
  std::chrono::milliseconds memory_{ 0 };

  friend bool operator==(const DepartureReport&, const DepartureReport&) = default;
};

/// Keeps for other daemons which of their backend servers have left, and tells them after a
/// restart. Responds to the departures of the fleet: bounded in owners, records and time.
class DepartureBook
{
public:
  /// Records are kept for this long; reports arrive late by seconds.
  static constexpr std::chrono::minutes kMemory{ 10 };
  /// The largest fleet has fewer daemons.
  static constexpr std::size_t kMostOwners = 4096;
  static constexpr std::size_t kMostRecords = 16;

  /// Takes in a report; taking the same one again changes nothing.
  void Take(model::TimePoint aNow, const DepartureReport& aReport);
  /// Returns what is known of an owner.
  [[nodiscard]] DepartureReport Of(model::TimePoint aNow, const model::DaemonId& aOwner) const;
  [[nodiscard]] std::size_t Owners() const noexcept { return owners_.size(); }

private:
  struct Departure
  {
    model::BackendId id_;
    std::optional<model::WallTime> startedAt_;
    model::TimePoint at_;
  };

  void Forget(model::TimePoint aNow);

  std::map<model::DaemonId, std::deque<Departure>> owners_;
  model::TimePoint nextForget_{};
};

} // namespace hemlockproxy::decisions
