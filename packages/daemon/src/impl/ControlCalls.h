#pragma once

#include "hemlockproxy/daemon/PlatformThread.h"

#include <chrono>

namespace hemlockproxy::daemon::impl {

/// Paths of calls on the control address.
inline constexpr const char* kSyncPath = "/control/sync";
inline constexpr const char* kQuarantinePath = "/control/quarantine";
inline constexpr const char* kDeparturesPath = "/control/departures";
inline constexpr const char* kFetchPath = "/control/fetch";
inline constexpr std::chrono::milliseconds kCallTimeout{ 3000 };

inline constexpr LogTicket kCheckpointTicket = 2;

} // namespace hemlockproxy::daemon::impl
