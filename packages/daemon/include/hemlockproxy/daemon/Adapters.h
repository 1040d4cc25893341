#pragma once

#include "hemlockproxy/daemon/Dialect.h"
#include "hemlockproxy/daemon/StatusSlot.h"
#include "hemlockproxy/model/Config.h"
#include "hemlockproxy/runtime/HttpServer.h"
#include "hemlockproxy/runtime/Log.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockproxy::daemon {

/// What a status endpoint outside the admin port asks for and tells.
class BackendDesk
{
public:
  virtual ~BackendDesk() = default;

  /// Takes in a report; when it returns true, its effect on new work is in force. Returns false and
  /// changes nothing when the report is not one of a service that the configuration lists.
  [[nodiscard]] virtual bool Report(const model::BackendReport& aReport) = 0;
  /// The backend server leaves; when it returns, it gets no new work.
  virtual void Leave(const model::BackendId& aId) = 0;
  /// Returns whether callers may be sent to this daemon.
  [[nodiscard]] virtual bool Ready() const = 0;
};

/// Says why a configuration record cannot be used.
struct ConfigurationError
{
  std::string message_;
};

/// Everything that connects the daemon to a platform. The platform's own names stay behind these.
struct Adapters
{
  runtime::LogFactory makeLog_;
  /// The names of header fields on requests to and from the outside.
  DialectPtr dialect_;
  /// Decodes the operator's configuration from a record of the log's stream of them; returns
  /// nothing for records with another meaning. Empty when configurations are published with
  /// hemlockctl instead.
  std::function<model::Result<std::optional<model::Configuration>, ConfigurationError>(
    const runtime::LogRecord&)>
    decodeConfiguration_;
  /// Handles a request to the address where backend servers report, or that asks for readiness.
  std::function<void(BackendDesk&, runtime::HttpExchange&)> handleDesk_;
};

} // namespace hemlockproxy::daemon
