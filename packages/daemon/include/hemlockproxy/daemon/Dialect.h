#pragma once

#include "hemlockproxy/daemon/BackendStatus.h"
#include "hemlockproxy/model/BackendReport.h"
#include "hemlockproxy/model/Clock.h"
#include "hemlockproxy/model/Config.h"
#include "hemlockproxy/model/RequestOutcome.h"
#include "hemlockproxy/model/Result.h"
#include "hemlockproxy/runtime/Http.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockproxy::daemon {

/// What a caller's request says of itself.
struct CallerRequest
{
  /// Identifies this attempt of the caller; empty where the caller sends no id.
  std::string id_;
  /// How long the caller waits; nothing when it does not say.
  std::optional<std::chrono::milliseconds> timeLeft_;
  /// The hash of the customer's key; nothing where the request carries none.
  std::optional<model::Digest> key_;
};

/// What a backend server is told with a request.
struct BackendRequest
{
  /// How much longer the caller waits.
  std::chrono::milliseconds timeLeft_{ 0 };
  /// The backend server that the request is meant for; empty where backend servers have no ids.
  model::BackendId expected_;
  /// The service that runs on the instance where the request began.
  model::ServiceName callerService_;
  /// The customer whose key the request carried; empty without one.
  model::CustomerName customer_;
};

/// What a response of a backend server means.
enum class ResponseMeaning : std::uint8_t
{
  /// The response to the request.
  Answer,
  /// The backend server did not run the request.
  NotRun,
  /// Another backend server has the address; it did not run the request.
  OtherBackend,
  /// The response belongs to another request, or its body is not what the backend server meant.
  Foreign,
};

/// A response of a backend server as its header describes it.
struct BackendResponse
{
  ResponseMeaning meaning_ = ResponseMeaning::Answer;
  /// The response carries the id of the request. A rejection that does not is only taken on a new
  /// connection, where it can belong to no earlier request.
  bool namesRequest_ = false;
  /// How long the connection stays open without a request; nothing when the server does not say.
  std::optional<std::chrono::milliseconds> keepAlive_;
  BackendStatus status_;
};

/// Says how requests look outside the mesh: the header fields that callers and backend servers
/// understand. Daemons among themselves always use the Hemlock-* fields.
class Dialect
{
public:
  virtual ~Dialect() = default;

  [[nodiscard]] virtual CallerRequest ReadCallerRequest(
    const runtime::RequestHeader& aHeader) const = 0;

  /// Sets the fields of a request to a backend server, whatever the caller sent in them.
  virtual void WriteBackendRequest(runtime::RequestHeader& aHeader,
                                   const BackendRequest& aRequest) const = 0;

  /// Removes a customer's key, and the name of a customer that the caller may have set.
  virtual void RemoveCustomerFields(runtime::RequestHeader& /*aHeader*/) const {}

  /// Interprets the header of a response to the request with the given id.
  [[nodiscard]] virtual BackendResponse ReadBackendResponse(const runtime::ResponseHeader& aHeader,
                                                            std::string_view aRequestId) const = 0;

  /// Returns the id of the backend server that answered a health check, if it says that it takes
  /// work; nothing otherwise, and where backend servers have no ids.
  [[nodiscard]] virtual std::optional<model::BackendId> ReadHealth(
    const runtime::ResponseHeader& /*aHeader*/) const
  {
    return std::nullopt;
  }

  /// Returns the time after which a caller of the rejected request may come back, as the text of
  /// the Retry-After field.
  [[nodiscard]] virtual std::string RetryAfter(std::chrono::milliseconds aTime) const = 0;
};

/// Returns the limit on requests per second in a field of a response; nothing without one. A text
/// that is no number is logged and ignored.
[[nodiscard]] std::optional<double> ReadRequestLimit(const runtime::ResponseHeader& aHeader,
                                                     const char* aField);

using DialectPtr = std::shared_ptr<const Dialect>;

/// Returns the dialect of callers and backend servers that know the product's own fields.
[[nodiscard]] DialectPtr MakeHemlockDialect();

} // namespace hemlockproxy::daemon
