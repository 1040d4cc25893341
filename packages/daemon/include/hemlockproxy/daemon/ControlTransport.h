#pragma once

#include "hemlockproxy/model/Address.h"
#include "hemlockproxy/runtime/HttpClient.h"
#include "hemlockproxy/runtime/HttpServer.h"
#include "hemlockproxy/runtime/Metrics.h"
#include "hemlockproxy/runtime/UdpSocket.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockproxy::daemon {

/// Carries control messages: datagrams over UDP and calls over HTTP, both on the control address.
/// Counts their bytes: 28 for the headers of a datagram, and all bytes of a call's connection at
/// the side that made it.
class ControlTransport
{
public:
  /// Returns the response to a call, or nothing when the request is invalid.
  using CallHandler = std::function<std::optional<std::string>(const std::string& aBody)>;
  using DatagramHandler = std::function<void(const model::Address& aFrom, std::string_view aBytes)>;

  /// Opens both sockets; fails when the address is in use.
  [[nodiscard]] static runtime::HttpResult<std::unique_ptr<ControlTransport>> Create(
    const runtime::IoContextPtr& aIo,
    const model::Address& aAddress,
    runtime::Metrics& aMetrics,
    std::shared_ptr<decisions::ConnectionBounds> aBounds);
  ControlTransport(const ControlTransport&) = delete;
  ControlTransport& operator=(const ControlTransport&) = delete;

  /// Sets the handler of calls to a path such as "/control/sync".
  void OnCall(std::string aPath, CallHandler aHandler)
  {
    calls_[std::move(aPath)] = std::move(aHandler);
  }
  /// Sets the test for addresses in other failure domains.
  void SetForeign(std::function<bool(const model::Address&)> aIsForeign)
  {
    isForeign_ = std::move(aIsForeign);
  }
  void Start(DatagramHandler aHandler);
  void Stop();

  void SendDatagram(const model::Address& aTo, std::string_view aBytes);
  /// Calls another daemon and waits for the response; nothing when there is no valid one in time.
  [[nodiscard]] std::optional<std::string> Call(const model::Address& aTo,
                                                const std::string& aPath,
                                                std::string_view aBody,
                                                std::chrono::milliseconds aTimeout);

private:
  ControlTransport(const runtime::IoContextPtr& aIo,
                   const std::string& aLocalIp,
                   runtime::Metrics& aMetrics);
  void HandleCall(runtime::HttpExchange& aExchange);
  void Count(runtime::Counter aCounter, const model::Address& aPeer, std::uint64_t aBytes);

  runtime::Metrics& metrics_;
  runtime::HttpConnectionPool pool_;
  std::unique_ptr<runtime::UdpSocket> udp_;
  std::unique_ptr<runtime::HttpServer> server_;
  std::map<std::string, CallHandler> calls_;
  std::function<bool(const model::Address&)> isForeign_;
};

} // namespace hemlockproxy::daemon
