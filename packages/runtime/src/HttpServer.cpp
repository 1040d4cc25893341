#include "hemlockproxy/runtime/HttpServer.h"

#include "impl/ServerConnection.h"

namespace hemlockproxy::runtime {

using impl::ServerConnection;
using impl::ServerShared;
using impl::asio::ip::tcp;
using model::Unit;

HttpResult<Unit> HttpExchange::SendResponse(http::status aStatus,
                                            std::string_view aBody,
                                            std::string_view aContentType)
{
  ResponseHeader header;
  header.version(11);
  header.result(aStatus);
  header.set(http::field::content_type,
             boost::string_view(aContentType.data(), aContentType.size()));
  header.set(http::field::content_length, std::to_string(aBody.size()));
  if (auto sent = SendHeader(std::move(header)); !sent) {
    return sent;
  }
  if (auto sent = SendBody(aBody); !sent) {
    return sent;
  }
  return Finish();
}

namespace {

class Listener final : public HttpServer
{
public:
  Listener(IoContextPtr aIo, HttpServerOptions aOptions, Handler aHandler)
    : io_(std::move(aIo))
    , acceptor_(std::make_shared<tcp::acceptor>(*io_))
    , shared_(std::make_shared<ServerShared>())
  {
    shared_->options_ = std::move(aOptions);
    if (!shared_->options_.bounds_) {
      shared_->options_.bounds_ =
        std::make_shared<decisions::ConnectionBounds>(decisions::ConnectionBoundsOptions{});
    }
    shared_->handler_ = std::move(aHandler);
  }

  ~Listener() override { Close(&ServerConnection::CloseIfIdle); }

  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  HttpResult<Unit> Open(const model::Address& aAddress)
  {
    boost::system::error_code error;
    const tcp::endpoint endpoint(impl::asio::ip::make_address(aAddress.ip_, error), aAddress.port_);
    if (!error) {
      acceptor_->open(endpoint.protocol(), error);
    }
    if (!error) {
      acceptor_->set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
      acceptor_->bind(endpoint, error);
    }
    if (!error) {
      acceptor_->listen(impl::asio::socket_base::max_listen_connections, error);
    }
    if (error) {
      return HttpError{ HttpErrorKind::ConnectFailed,
                        "cannot listen on " + ToString(aAddress) + ": " + error.message() };
    }
    return Unit{};
  }

  void Start() override
  {
    SpawnFiber([acceptor = acceptor_, shared = shared_, io = io_] {
      AcceptUntilClosed(*acceptor, shared, *io);
    });
  }

  void SetLimits(std::uint32_t aHeaderBytes,
                 std::chrono::milliseconds aHeaderTimeout,
                 std::chrono::milliseconds aIdleTimeout) override
  {
    shared_->options_.headerBytes_ = aHeaderBytes;
    shared_->options_.headerTimeout_ = aHeaderTimeout;
    shared_->options_.idleTimeout_ = aIdleTimeout;
  }

  void Stop() override
  {
    AcceptPending();
    Close(&ServerConnection::CloseWhenIdle);
  }

  [[nodiscard]] std::size_t InProgress() const noexcept override
  {
    std::size_t awaited = 0;
    if (shared_->stopping_) {
      for (const ServerConnection* connection : shared_->connections_) {
        awaited += connection->AwaitsFirstRequest() ? 1 : 0;
      }
    }
    return shared_->inProgress_ + awaited;
  }

  [[nodiscard]] model::Address LocalAddress() const override
  {
    boost::system::error_code ignored;
    const tcp::endpoint local = acceptor_->local_endpoint(ignored);
    return model::Address{ local.address().to_string(), local.port() };
  }

private:
  /// Takes the connections that the system holds for the listener, which closing it would reset.
  void AcceptPending()
  {
    boost::system::error_code error;
    acceptor_->non_blocking(true, error);
    while (!error) {
      impl::TcpStream::socket_type socket(*io_);
      acceptor_->accept(socket, error);
      if (!error) {
        Serve(std::move(socket), shared_, *io_);
      }
    }
  }

  void Close(void (ServerConnection::*aCloseOne)())
  {
    shared_->stopping_ = true;
    boost::system::error_code ignored;
    acceptor_->close(ignored);
    const std::set<ServerConnection*> connections = shared_->connections_;
    for (ServerConnection* connection : connections) {
      (connection->*aCloseOne)();
    }
  }

  static void Serve(impl::TcpStream::socket_type aSocket,
                    const std::shared_ptr<ServerShared>& aShared,
                    IoContext& aIo)
  {
    const auto connection = std::make_shared<ServerConnection>(std::move(aSocket), aIo, aShared);
    if (connection->Enter()) {
      connection->Start();
    }
  }

  static void AcceptUntilClosed(tcp::acceptor& aAcceptor,
                                const std::shared_ptr<ServerShared>& aShared,
                                IoContext& aIo)
  {
    constexpr std::chrono::milliseconds kPauseAfterError{ 20 };
    while (!aShared->stopping_) {
      impl::TcpStream::socket_type socket(aIo);
      const auto done =
        impl::Await([&](auto aHandler) { aAcceptor.async_accept(socket, std::move(aHandler)); });
      if (done.error_) {
        if (!aAcceptor.is_open()) {
          return;
        }
        // The process may be out of file descriptors for a moment.
        boost::this_fiber::sleep_for(kPauseAfterError);
        continue;
      }
      Serve(std::move(socket), aShared, aIo);
    }
  }

  IoContextPtr io_;
  std::shared_ptr<tcp::acceptor> acceptor_;
  std::shared_ptr<ServerShared> shared_;
};

} // namespace

HttpResult<std::unique_ptr<HttpServer>> HttpServer::Create(const IoContextPtr& aIo,
                                                           const model::Address& aAddress,
                                                           HttpServerOptions aOptions,
                                                           Handler aHandler)
{
  auto listener = std::make_unique<Listener>(aIo, std::move(aOptions), std::move(aHandler));
  if (auto opened = listener->Open(aAddress); !opened) {
    return opened.Error();
  }
  return std::unique_ptr<HttpServer>(std::move(listener));
}

} // namespace hemlockproxy::runtime
