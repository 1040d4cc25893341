#pragma once

#include "hemlockproxy/decisions/RouteIndex.h"
#include "hemlockproxy/model/Clock.h"
#include "hemlockproxy/model/Member.h"

#include <atomic>
#include <memory>
#include <vector>

namespace hemlockproxy::daemon {

/// All that the traffic thread knows of the rest of the daemon: an immutable snapshot.
struct TrafficView
{
  /// Null until a version is enforced.
  decisions::RouteIndexPtr routes_;
  /// Members of all failure domains that have an endpoint, this daemon included.
  std::vector<std::shared_ptr<const model::MemberRecord>> endpoints_;
  /// Domains that cannot be reached at the moment.
  std::vector<model::FailureDomain> unreachable_;
  /// Live members of the own failure domain, in order of id.
  std::vector<std::shared_ptr<const model::MemberRecord>> domainMembers_;
  bool leaving_ = false;
  /// The daemon that lends shares of customers' allowances in the own failure domain.
  model::DaemonId allowanceLender_;
  /// Daemons known in all failure domains, this one included.
  std::size_t daemons_ = 0;
};

using TrafficViewPtr = std::shared_ptr<const TrafficView>;

/// The place where the control thread puts the newest snapshot.
class TrafficViewSlot
{
public:
  TrafficViewSlot()
    : view_(std::make_shared<const TrafficView>())
  {
  }

  [[nodiscard]] TrafficViewPtr Load() const noexcept { return view_.load(); }
  void Store(TrafficViewPtr aView) noexcept { view_.store(std::move(aView)); }

  /// Returns when the configuration of the view was last known to be the newest one; the clock's
  /// epoch when it never was. Kept beside the view, since it changes far more often.
  [[nodiscard]] model::TimePoint CurrentAsOf() const noexcept { return currentAsOf_.load(); }
  void SetCurrentAsOf(model::TimePoint aTime) noexcept { currentAsOf_.store(aTime); }

private:
  std::atomic<model::TimePoint> currentAsOf_{ model::TimePoint() };
  std::atomic<TrafficViewPtr> view_;
};

} // namespace hemlockproxy::daemon
