#include "hemlockproxy/runtime/UdpSocket.h"

#include "impl/Await.h"

#include <boost/asio/ip/udp.hpp>

#include <array>

namespace hemlockproxy::runtime {

namespace {

namespace asio = boost::asio;
using asio::ip::udp;

constexpr std::size_t kMaxDatagramBytes = 64UL * 1024;

class AsioUdpSocket final : public UdpSocket
{
public:
  explicit AsioUdpSocket(IoContextPtr aIo)
    : io_(std::move(aIo))
    , socket_(std::make_shared<udp::socket>(*io_))
  {
  }

  ~AsioUdpSocket() override { AsioUdpSocket::Close(); }

  AsioUdpSocket(const AsioUdpSocket&) = delete;
  AsioUdpSocket& operator=(const AsioUdpSocket&) = delete;

  HttpResult<model::Unit> Open(const model::Address& aAddress)
  {
    boost::system::error_code error;
    const udp::endpoint endpoint(asio::ip::make_address(aAddress.ip_, error), aAddress.port_);
    if (!error) {
      socket_->open(endpoint.protocol(), error);
    }
    if (!error) {
      socket_->bind(endpoint, error);
    }
    if (!error) {
      socket_->non_blocking(true, error);
    }
    if (error) {
      return HttpError{ HttpErrorKind::ConnectFailed,
                        "cannot open UDP port " + ToString(aAddress) + ": " + error.message() };
    }
    return model::Unit{};
  }

  void Start(Receiver aReceiver) override
  {
    SpawnFiber([io = io_, socket = socket_, receiver = std::move(aReceiver)] {
      ReceiveUntilClosed(*socket, receiver);
    });
  }

  void Send(const model::Address& aTo, std::string_view aBytes) override
  {
    boost::system::error_code ignored;
    const udp::endpoint to(asio::ip::make_address(aTo.ip_, ignored), aTo.port_);
    socket_->send_to(asio::buffer(aBytes.data(), aBytes.size()), to, 0, ignored);
  }

  void Close() override
  {
    boost::system::error_code ignored;
    socket_->close(ignored);
  }

private:
  static void ReceiveUntilClosed(udp::socket& aSocket, const Receiver& aReceiver)
  {
    std::string buffer(kMaxDatagramBytes, '\0');
    while (aSocket.is_open()) {
      udp::endpoint sender;
      const auto done = impl::Await([&](auto aHandler) {
        aSocket.async_receive_from(asio::buffer(buffer), sender, std::move(aHandler));
      });
      if (done.error_ == asio::error::operation_aborted ||
          done.error_ == asio::error::bad_descriptor) {
        return;
      }
      // Other errors tell that an earlier datagram found no receiver.
      if (!done.error_) {
        aReceiver(model::Address{ sender.address().to_string(), sender.port() },
                  std::string_view(buffer.data(), done.bytes_));
      }
    }
  }

  IoContextPtr io_;
  std::shared_ptr<udp::socket> socket_;
};

} // namespace

HttpResult<std::unique_ptr<UdpSocket>> UdpSocket::Create(const IoContextPtr& aIo,
                                                         const model::Address& aAddress)
{
  auto socket = std::make_unique<AsioUdpSocket>(aIo);
  if (auto opened = socket->Open(aAddress); !opened) {
    return opened.Error();
  }
  return std::unique_ptr<UdpSocket>(std::move(socket));
}

} // namespace hemlockproxy::runtime
