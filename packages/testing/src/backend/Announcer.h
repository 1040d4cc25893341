#pragma once

#include "hemlockproxy/model/Address.h"

#include <chrono>
#include <string>

namespace hemlockproxy::testing {

/// What a backend server tells the daemon on its instance.
struct Announcement
{
  std::string service_;
  model::Address address_;
  std::size_t slots_ = 0;
  std::size_t connections_ = 0;
};

/// Makes SIGUSR1 change the announcement to draining.
void DrainOnSignal();

/// Starts a thread that posts the announcement to the daemon's admin address at each interval.
///
/// Draining is announced at once rather than at the next interval. A daemon that does not respond
/// is tried again at the next interval.
void StartAnnouncing(const model::Address& aAdmin,
                     Announcement aAnnouncement,
                     std::chrono::milliseconds aInterval);

} // namespace hemlockproxy::testing
