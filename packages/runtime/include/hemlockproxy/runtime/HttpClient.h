#pragma once

#include "hemlockproxy/model/Address.h"
#include "hemlockproxy/runtime/FiberLoop.h"
#include "hemlockproxy/runtime/Http.h"

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace hemlockproxy::runtime {

/// A client connection that carries one exchange at a time. Used by one fiber at a time.
class HttpConnection : public BodySource
{
public:
  using Timeout = std::chrono::milliseconds;

  /// Connects, from a local IP number unless it is empty; fails with ConnectFailed or TimedOut.
  [[nodiscard]] static HttpResult<std::unique_ptr<HttpConnection>> Connect(
    IoContext& aIo,
    const model::Address& aAddress,
    Timeout aTimeout,
    const std::string& aLocalIp = {});
  ~HttpConnection() override = default;

  /// Sends a request header and the whole body in one write.
  virtual HttpResult<model::Unit> Send(RequestHeader aHeader,
                                       std::string_view aBody,
                                       Timeout aTimeout) = 0;
  /// Sends a request header; the body follows by SendBody and FinishBody.
  virtual HttpResult<model::Unit> SendHeader(RequestHeader aHeader, Timeout aTimeout) = 0;
  virtual HttpResult<model::Unit> SendBody(std::string_view aPart, Timeout aTimeout) = 0;
  virtual HttpResult<model::Unit> FinishBody(Timeout aTimeout) = 0;

  /// Reads the response header. A "100 Continue" is returned like any other response; call again
  /// for the final one.
  [[nodiscard]] virtual HttpResult<ResponseHeader> ReadHeader(Timeout aTimeout) = 0;
  /// Sets the longest time without progress for Read.
  virtual void SetStallTimeout(Timeout aTimeout) = 0;

  /// Sets how long the peer keeps the connection open without a request, where it says so.
  virtual void SetIdleLimit(std::optional<Timeout> aLimit) = 0;
  [[nodiscard]] virtual std::optional<Timeout> IdleLimit() const = 0;
  /// Returns whether the response was read to its end and the connection may carry another
  /// exchange.
  [[nodiscard]] virtual bool Reusable() const = 0;
  /// Frees the memory of the last exchange, before the connection is kept idle.
  virtual void Trim() = 0;
  /// Returns whether the peer has neither closed the connection nor sent unexpected bytes.
  [[nodiscard]] virtual bool Idle() = 0;
  /// Returns whether any byte of the current request may have been sent.
  [[nodiscard]] virtual bool AnySent() const noexcept = 0;
  /// Closes at once; operations in progress fail with Broken. Callable from another fiber of the
  /// same thread.
  virtual void Close() = 0;
  /// Returns bytes sent and received over the connection's life.
  [[nodiscard]] virtual std::uint64_t BytesTransferred() const noexcept = 0;
};

using HttpConnectionPtr = std::unique_ptr<HttpConnection>;

/// Why a pool opens a connection.
enum class OpenReason : std::uint8_t
{
  /// None was idle.
  NoneIdle,
  /// The idle ones had been idle for too long.
  Expired,
  /// The peer had closed the idle ones.
  ClosedByPeer,
};

/// Returns the reason as a metric label, such as "none-idle".
[[nodiscard]] const char* ToString(OpenReason aReason) noexcept;

/// Idle connections by address. Used on one thread.
class HttpConnectionPool
{
public:
  using OnOpen = std::function<void(OpenReason)>;

  /// Idle connections per address are bounded; an idle connection is dropped after the idle time,
  /// which must be shorter than the peers' idle timeout.
  /// Connections are made from the local IP number unless it is empty.
  HttpConnectionPool(IoContextPtr aIo,
                     std::size_t aIdlePerAddress,
                     std::chrono::milliseconds aIdleTime,
                     std::string aLocalIp = {});

  /// Returns an idle connection or a new one.
  [[nodiscard]] HttpResult<HttpConnectionPtr> Acquire(const model::Address& aAddress,
                                                      HttpConnection::Timeout aConnectTimeout);
  /// Calls the function for each connection that Acquire tries to make.
  void SetOnOpen(OnOpen aOnOpen) { onOpen_ = std::move(aOnOpen); }
  /// Takes back a connection; drops it unless it is reusable.
  void Release(const model::Address& aAddress, HttpConnectionPtr aConnection);
  /// Closes what has been idle for too long. To be called now and then: the newest idle connection
  /// is taken first, so that Acquire does not come to the others.
  void DropExpired();
  /// Returns the idle connections to all addresses.
  [[nodiscard]] std::size_t IdleCount() const noexcept;

private:
  struct IdleConnection
  {
    HttpConnectionPtr connection_;
    std::chrono::steady_clock::time_point until_;
  };

  IoContextPtr io_;
  std::size_t idlePerAddress_;
  std::chrono::milliseconds idleTime_;
  std::string localIp_;
  OnOpen onOpen_;
  std::map<model::Address, std::deque<IdleConnection>> idle_;
};

/// A response held in memory.
struct HttpResponse
{
  ResponseHeader header_;
  std::string body_;
};

/// Sends a request with a body held in memory and reads the whole response; the body is bounded by
/// aBodyLimit bytes, and the whole call by aTimeout: a faulty peer may send bytes without end.
[[nodiscard]] HttpResult<HttpResponse> Fetch(HttpConnectionPool& aPool,
                                             const model::Address& aAddress,
                                             RequestHeader aHeader,
                                             std::string_view aBody,
                                             std::chrono::milliseconds aTimeout,
                                             std::size_t aBodyLimit);

/// Returns a request header with Host set.
[[nodiscard]] RequestHeader MakeRequest(http::verb aMethod,
                                        std::string_view aTarget,
                                        const model::Address& aHost);

} // namespace hemlockproxy::runtime
