#include "hemlockproxy/daemon/ControlTransport.h"

#include "impl/Delivery.h"

namespace hemlockproxy::daemon {

namespace {

namespace http = runtime::http;
using runtime::Counter;

constexpr std::size_t kIdleConnections = 1;
constexpr std::chrono::milliseconds kIdleTime{ 5000 };
/// Configurations and member tables are smaller; an address that is no daemon's may send any bytes.
constexpr std::size_t kCallBytes = 8ULL * 1024 * 1024;
/// Headers of IP and UDP.
constexpr std::uint64_t kDatagramHeaderBytes = 28;
/// Headers of an HTTP request and response between daemons, as the serving side counts them.
constexpr std::uint64_t kCallHeaderBytes = 110;

} // namespace

runtime::HttpResult<std::unique_ptr<ControlTransport>> ControlTransport::Create(
  const runtime::IoContextPtr& aIo,
  const model::Address& aAddress,
  runtime::Metrics& aMetrics,
  std::shared_ptr<decisions::ConnectionBounds> aBounds)
{
  std::unique_ptr<ControlTransport> transport(new ControlTransport(aIo, aAddress.ip_, aMetrics));
  auto udp = runtime::UdpSocket::Create(aIo, aAddress);
  if (!udp) {
    return udp.Error();
  }
  transport->udp_ = *std::move(udp);
  runtime::HttpServerOptions options;
  options.metrics_ = &aMetrics;
  options.bounds_ = std::move(aBounds);
  auto server = runtime::HttpServer::Create(
    aIo, aAddress, options, [raw = transport.get()](runtime::HttpExchange& aExchange) {
      raw->HandleCall(aExchange);
    });
  if (!server) {
    return server.Error();
  }
  transport->server_ = *std::move(server);
  return transport;
}

ControlTransport::ControlTransport(const runtime::IoContextPtr& aIo,
                                   const std::string& aLocalIp,
                                   runtime::Metrics& aMetrics)
  : metrics_(aMetrics)
  , pool_(aIo, kIdleConnections, kIdleTime, aLocalIp)
{
}

void ControlTransport::Start(DatagramHandler aHandler)
{
  server_->Start();
  udp_->Start(
    [this, handler = std::move(aHandler)](const model::Address& aFrom, std::string_view aBytes) {
      metrics_.Add(Counter::ControlMessagesReceived);
      Count(Counter::ControlBytesReceived, aFrom, aBytes.size() + kDatagramHeaderBytes);
      handler(aFrom, aBytes);
    });
}

void ControlTransport::Stop()
{
  server_->Stop();
  udp_->Close();
}

void ControlTransport::Count(Counter aCounter, const model::Address& aPeer, std::uint64_t aBytes)
{
  metrics_.Add(aCounter, aBytes);
  if (isForeign_ && isForeign_(aPeer)) {
    metrics_.Add(Counter::ControlBytesCrossDomain, aBytes);
  }
}

void ControlTransport::SendDatagram(const model::Address& aTo, std::string_view aBytes)
{
  metrics_.Add(Counter::ControlMessagesSent);
  Count(Counter::ControlBytesSent, aTo, aBytes.size() + kDatagramHeaderBytes);
  udp_->Send(aTo, aBytes);
}

std::optional<std::string> ControlTransport::Call(const model::Address& aTo,
                                                  const std::string& aPath,
                                                  std::string_view aBody,
                                                  std::chrono::milliseconds aTimeout)
{
  metrics_.Add(Counter::ControlMessagesSent);
  auto header = runtime::MakeRequest(http::verb::post, aPath, aTo);
  auto response = runtime::Fetch(pool_, aTo, std::move(header), aBody, aTimeout, kCallBytes);
  Count(Counter::ControlBytesSent, aTo, aBody.size() + kCallHeaderBytes);
  if (!response || response->header_.result() != http::status::ok) {
    return std::nullopt;
  }
  Count(Counter::ControlBytesReceived, aTo, response->body_.size() + kCallHeaderBytes);
  return std::move(response->body_);
}

void ControlTransport::HandleCall(runtime::HttpExchange& aExchange)
{
  metrics_.Add(Counter::ControlMessagesReceived);
  std::string body;
  if (!impl::ReadPrefix(aExchange, body, kCallBytes)) {
    aExchange.Abort();
    return;
  }
  metrics_.Add(Counter::ControlBytesReceived, body.size() + kCallHeaderBytes);
  const auto found = calls_.find(std::string(aExchange.Request().target()));
  if (found == calls_.end()) {
    (void)aExchange.SendResponse(http::status::not_found, "unknown control call\n");
    return;
  }
  const auto response = found->second(body);
  if (!response) {
    (void)aExchange.SendResponse(http::status::bad_request, "invalid control call\n");
    return;
  }
  metrics_.Add(Counter::ControlBytesSent, response->size() + kCallHeaderBytes);
  (void)aExchange.SendResponse(
    http::status::ok, *response, "application/vnd.apache.thrift.compact");
}

} // namespace hemlockproxy::daemon
