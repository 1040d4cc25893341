#pragma once

#include "hemlockproxy/daemon/EntryService.h"
#include "hemlockproxy/daemon/OwnerService.h"
#include "hemlockproxy/runtime/HttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/fiber/operations.hpp>

#include "TestLoop.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace hemlockproxy::daemon::test {

inline constexpr std::chrono::milliseconds kExchangeTimeout{ 2000 };
/// Long enough for an exchange between servers of one loop.
inline constexpr std::chrono::milliseconds kSettle{ 50 };

inline constexpr std::chrono::milliseconds kPoll{ 1 };

/// A server on a free port of loopback; it listens at once and accepts from Start on.
class Server
{
public:
  Server(const runtime::IoContextPtr& aIo, runtime::HttpServer::Handler aHandler)
    : server_(*runtime::HttpServer::Create(aIo, { "127.0.0.1", 0 }, {}, std::move(aHandler)))
  {
  }
  /// Waits for exchanges in progress, whose handler may use what ends after the server.
  ~Server()
  {
    server_->Stop();
    while (server_->InProgress() > 0) {
      boost::this_fiber::sleep_for(kPoll);
    }
  }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  void Start() { server_->Start(); }
  [[nodiscard]] model::Address Address() const { return server_->LocalAddress(); }

private:
  std::unique_ptr<runtime::HttpServer> server_;
};

/// A server that counts the requests that reach it, and answers them after a time.
class CountingServer
{
public:
  explicit CountingServer(const runtime::IoContextPtr& aIo,
                          std::chrono::milliseconds aWork = std::chrono::milliseconds(0),
                          model::RequestOutcome aOutcome = model::RequestOutcome::Answered)
    : work_(aWork)
    , outcome_(aOutcome)
    , server_(aIo, [this](runtime::HttpExchange& aExchange) { Handle(aExchange); })
  {
    server_.Start();
  }

  /// Adds a field to the answers from now on.
  void SetField(std::string aName, std::string aValue)
  {
    fields_[std::move(aName)] = std::move(aValue);
  }
  [[nodiscard]] int Requests() const noexcept { return requests_; }
  /// Returns the requests whose caller left before the answer.
  [[nodiscard]] int Abandoned() const noexcept { return abandoned_; }
  [[nodiscard]] model::Address Address() const { return server_.Address(); }

private:
  void Handle(runtime::HttpExchange& aExchange)
  {
    // Probes are not answered while there is work, as by a process that stands still.
    const bool probe = aExchange.Request().method() == runtime::http::verb::options;
    requests_ += probe ? 0 : 1;
    bool left = false;
    aExchange.OnCallerClosed([&left] { left = true; });
    const auto end = std::chrono::steady_clock::now() + work_;
    while (!left && std::chrono::steady_clock::now() < end) {
      boost::this_fiber::sleep_for(kPoll);
    }
    abandoned_ += left && !probe ? 1 : 0;
    runtime::ResponseHeader header;
    header.result(runtime::http::status::ok);
    header.set(kOutcomeField, ToString(outcome_));
    header.set(kReasonField, ToString(model::RefusalReason::QueueFull));
    header.set(runtime::http::field::content_length, "2");
    for (const auto& [name, value] : fields_) {
      header.set(name, value);
    }
    (void)aExchange.SendHeader(std::move(header));
    (void)aExchange.SendBody("ok");
    (void)aExchange.Finish();
  }

  std::chrono::milliseconds work_;
  model::RequestOutcome outcome_;
  std::map<std::string, std::string> fields_;
  int requests_ = 0;
  int abandoned_ = 0;
  Server server_;
};

/// The surroundings of the services of one daemon.
struct Surroundings
{
  TrafficViewSlot views_;
  runtime::Metrics metrics_;
  runtime::EventRing events_{ 16 };
};

/// An owner whose backend server has reported.
inline std::unique_ptr<OwnerService> MakeOwner(const runtime::IoContextPtr& aIo,
                                               Surroundings& aSurroundings,
                                               const model::Address& aBackend,
                                               std::uint32_t aSlots = 4,
                                               std::uint64_t aLinkBytesPerSecond = 0,
                                               DialectPtr aDialect = MakeHemlockDialect())
{
  OwnerOptions options;
  options.link_.bytesPerSecond_ = aLinkBytesPerSecond;
  options.self_ = model::DaemonId("owner");
  options.dialect_ = std::move(aDialect);
  auto owner = std::make_unique<OwnerService>(
    aIo,
    std::move(options),
    aSurroundings.views_,
    aSurroundings.metrics_,
    aSurroundings.events_,
    [](const auto&) {},
    [](const auto&) {});
  model::BackendReport report;
  report.service_ = model::ServiceName("service");
  report.address_ = aBackend;
  report.slots_ = aSlots;
  owner->Report(report);
  return owner;
}

/// A view with a route of the given prefix to the service, which the daemons with the given
/// addresses own. The first of them is in the failure domain of the entry and so is asked first.
inline TrafficViewPtr MakeView(const std::vector<model::Address>& aOwners,
                               const std::string& aPrefix = "/")
{
  model::ServiceConfig service;
  service.name_ = model::ServiceName("service");
  model::RouteRule rule;
  rule.prefix_ = aPrefix;
  rule.target_ = service.name_;
  service.routes_.push_back(std::move(rule));
  auto configuration = std::make_shared<model::Configuration>();
  configuration->version_ = model::ConfigVersion(1);
  configuration->content_[service.name_] = model::MakeResource(service);
  auto view = std::make_shared<TrafficView>();
  view->routes_ = std::make_shared<const decisions::RouteIndex>(std::move(configuration));
  for (const model::Address& address : aOwners) {
    auto member = std::make_shared<model::MemberRecord>();
    member->id_ = model::DaemonId(ToString(address));
    member->forward_ = address;
    member->domain_ = model::FailureDomain(view->endpoints_.empty() ? "" : "elsewhere");
    member->endpoint_ = model::Endpoint{ .service_ = model::ServiceName("service"), .slots_ = 4 };
    view->endpoints_.push_back(std::move(member));
  }
  return view;
}

inline std::unique_ptr<EntryService> MakeEntry(const runtime::IoContextPtr& aIo,
                                               Surroundings& aSurroundings,
                                               OwnerService& aOwner,
                                               DialectPtr aDialect = MakeHemlockDialect())
{
  EntryOptions options;
  options.self_ = model::DaemonId("entry");
  options.dialect_ = std::move(aDialect);
  return std::make_unique<EntryService>(
    aIo, std::move(options), aSurroundings.views_, aOwner, aSurroundings.metrics_);
}

/// Returns a request that a daemon forwards to the owner of the service.
inline runtime::RequestHeader ForwardedRequest(const model::Address& aOwner)
{
  auto header = runtime::MakeRequest(runtime::http::verb::get, "/", aOwner);
  header.set(kServiceField, "service");
  return header;
}

/// Sends a request on a new connection.
inline runtime::HttpConnectionPtr SendRequest(runtime::IoContext& aIo,
                                              const model::Address& aAddress,
                                              runtime::RequestHeader aHeader)
{
  auto connection = *runtime::HttpConnection::Connect(aIo, aAddress, kExchangeTimeout);
  (void)connection->Send(std::move(aHeader), {}, kExchangeTimeout);
  return connection;
}

/// Sends a request on a new connection and waits for the response; returns its status, 0 when there
/// is none.
inline unsigned StatusOf(runtime::IoContext& aIo,
                         const model::Address& aAddress,
                         runtime::RequestHeader aHeader)
{
  const auto connection = SendRequest(aIo, aAddress, std::move(aHeader));
  const auto header = connection->ReadHeader(kExchangeTimeout);
  return header ? header->result_int() : 0;
}

/// Sends the head of a request whose body is to follow.
inline runtime::HttpConnectionPtr SendHead(runtime::IoContext& aIo,
                                           const model::Address& aAddress,
                                           runtime::RequestHeader aHeader)
{
  auto connection = *runtime::HttpConnection::Connect(aIo, aAddress, kExchangeTimeout);
  aHeader.method(runtime::http::verb::post);
  aHeader.set(runtime::http::field::transfer_encoding, "chunked");
  (void)connection->SendHeader(std::move(aHeader), kExchangeTimeout);
  return connection;
}

/// Sends the body of a request and returns the status of its response.
inline unsigned FinishRequest(runtime::HttpConnection& aConnection)
{
  (void)aConnection.SendBody("body", kExchangeTimeout);
  (void)aConnection.FinishBody(kExchangeTimeout);
  const auto header = aConnection.ReadHeader(kExchangeTimeout);
  return header ? header->result_int() : 0;
}

/// Sends a request whose caller leaves before the server reads it: the loop stands still meanwhile.
inline void SendAndLeave(const model::Address& aAddress, const runtime::RequestHeader& aHeader)
{
  namespace asio = boost::asio;
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  socket.connect({ asio::ip::make_address(aAddress.ip_), aAddress.port_ });
  runtime::http::request<runtime::http::empty_body> request(aHeader);
  runtime::http::write(socket, request);
}

} // namespace hemlockproxy::daemon::test
