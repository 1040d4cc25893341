#pragma once

#include "hemlockproxy/daemon/Adapters.h"
#include "hemlockproxy/daemon/Settings.h"
#include "hemlockproxy/model/Result.h"

#include <string>

namespace hemlockproxy::daemon {

/// Why the daemon did not start.
struct DaemonError
{
  std::string message_;
};

/// How the daemon ended.
enum class DaemonEnd : std::uint8_t
{
  /// All requests in progress ended.
  Graceful,
  /// A second signal or the drain limit ended it.
  Forced,
};

/// Runs the daemon until SIGTERM or SIGINT and a graceful shutdown. The adapters must fit the
/// interface that the settings name.
[[nodiscard]] model::Result<DaemonEnd, DaemonError> RunDaemon(const Settings& aSettings,
                                                              const Adapters& aAdapters);

} // namespace hemlockproxy::daemon
