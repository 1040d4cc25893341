#pragma once

#include "hemlockproxy/daemon/Announcement.h"
#include "hemlockproxy/daemon/StatusSlot.h"
#include "hemlockproxy/runtime/EventRing.h"
#include "hemlockproxy/runtime/HttpServer.h"
#include "hemlockproxy/runtime/Metrics.h"
#include "hemlockproxy/runtime/StructuredLog.h"

#include <functional>
#include <string>

namespace hemlockproxy::daemon {

/// What the admin server shows, and where announcements go.
struct AdminPorts
{
  std::string name_;
  const StatusSlot* status_ = nullptr;
  runtime::Metrics* metrics_ = nullptr;
  runtime::EventRing* events_ = nullptr;
  const runtime::StructuredLog* lines_ = nullptr;
  /// Takes in a backend server's report; returns false when it cannot be taken at the moment.
  std::function<bool(model::BackendReport)> announce_;
};

/// Handles a request on the admin port: GET /ready, /status, /metrics, /events and POST /announce.
void HandleAdmin(const AdminPorts& aPorts, runtime::HttpExchange& aExchange);

/// Handles a request on the metrics port, which is open to other machines: GET /metrics.
void HandleMetricsPort(const AdminPorts& aPorts, runtime::HttpExchange& aExchange);

/// Returns the events as lines "wall_ms<TAB>counter<TAB>part<TAB>kind<TAB>detail".
[[nodiscard]] std::string EventLines(const std::vector<model::Event>& aEvents);

} // namespace hemlockproxy::daemon
