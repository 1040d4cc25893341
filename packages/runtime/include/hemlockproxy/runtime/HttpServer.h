#pragma once

#include "hemlockproxy/decisions/ConnectionBounds.h"
#include "hemlockproxy/model/Address.h"
#include "hemlockproxy/runtime/FiberLoop.h"
#include "hemlockproxy/runtime/Http.h"
#include "hemlockproxy/runtime/Metrics.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockproxy::runtime {

/// Bounds of a server connection.
struct HttpServerOptions
{
  std::uint32_t headerBytes_ = 16 * 1024;
  /// From the first byte of a request until its header is complete.
  std::chrono::milliseconds headerTimeout_{ 10000 };
  /// Without a request on a kept-alive connection.
  std::chrono::milliseconds idleTimeout_{ 60000 };
  /// Without progress while a body is read or a response is written.
  std::chrono::milliseconds stallTimeout_{ 30000 };
  /// Bounds that the servers of one thread share; a server without them has its own, with the
  /// defaults of ConnectionBoundsOptions.
  std::shared_ptr<decisions::ConnectionBounds> bounds_;
  decisions::ConnectionParty party_ = decisions::ConnectionParty::Caller;
  /// Called before each request is read, and may set limits; null where they do not change.
  std::function<void()> beforeRequest_;
  /// Counts the handlers that ended with an exception, and what the bounds refuse; null where
  /// nobody counts them.
  Metrics* metrics_ = nullptr;
};

/// One request on a server connection and the response to it. Used by the connection's fiber only.
class HttpExchange : public BodySource
{
public:
  [[nodiscard]] virtual const RequestHeader& Request() const noexcept = 0;

  /// Returns the length of the request body, or nothing when it is chunked.
  [[nodiscard]] virtual std::optional<std::uint64_t> BodyLength() const = 0;
  [[nodiscard]] virtual bool BodyDone() const noexcept = 0;
  /// Sets until when the request body is awaited, however its parts come; Read fails with TimedOut
  /// then.
  virtual void SetBodyDeadline(std::chrono::steady_clock::time_point aDeadline) = 0;

  /// Sends "100 Continue" if the caller expects it and it was not sent yet. Read sends it by
  /// itself.
  virtual HttpResult<model::Unit> SendContinue() = 0;

  /// Starts the response. The bytes are sent with the first part of the body, or by Finish.
  virtual HttpResult<model::Unit> SendHeader(ResponseHeader aHeader) = 0;
  /// Sends a part of the response body.
  virtual HttpResult<model::Unit> SendBody(std::string_view aPart) = 0;
  /// Completes the response.
  virtual HttpResult<model::Unit> Finish() = 0;
  /// Closes the connection without completing the response, so that the caller sees it as
  /// truncated.
  virtual void Abort() = 0;
  [[nodiscard]] virtual bool Started() const noexcept = 0;
  /// Closes the connection after the response, which says so; call it before SendHeader.
  virtual void CloseAfterResponse() noexcept = 0;

  /// Calls the function once when the caller closes its connection before the response is complete.
  /// The function runs on the loop's thread outside of the exchange's fiber and must not block.
  virtual void OnCallerClosed(std::function<void()> aFunction) = 0;
  /// Returns whether the caller has closed its connection. Asks the system, so that a close that is
  /// still unread counts, too; bytes of a body or of a next request hide it until they are read.
  [[nodiscard]] virtual bool CallerClosed() = 0;

  /// Sends a complete response with a body held in memory.
  HttpResult<model::Unit> SendResponse(http::status aStatus,
                                       std::string_view aBody,
                                       std::string_view aContentType = "text/plain; charset=utf-8");
};

/// Accepts connections on an address and calls the handler in a fiber for each request. A handler
/// that throws ends its request and its connection, not the process.
class HttpServer
{
public:
  using Handler = std::function<void(HttpExchange&)>;

  /// Opens the listener; fails when the address is in use or is not local. Port 0 takes a free
  /// port.
  [[nodiscard]] static HttpResult<std::unique_ptr<HttpServer>> Create(
    const IoContextPtr& aIo,
    const model::Address& aAddress,
    HttpServerOptions aOptions,
    Handler aHandler);
  virtual ~HttpServer() = default;

  /// Starts to accept; called on the loop's thread.
  virtual void Start() = 0;
  /// Sets bounds of HttpServerOptions for the requests that follow; called on the loop's thread.
  virtual void SetLimits(std::uint32_t aHeaderBytes,
                         std::chrono::milliseconds aHeaderTimeout,
                         std::chrono::milliseconds aIdleTimeout) = 0;
  /// Stops accepting and closes connections that hold no request; exchanges in progress go on, and
  /// their connections are closed after the response.
  virtual void Stop() = 0;
  /// Returns the number of exchanges in progress.
  [[nodiscard]] virtual std::size_t InProgress() const noexcept = 0;
  [[nodiscard]] virtual model::Address LocalAddress() const = 0;
};

} // namespace hemlockproxy::runtime
