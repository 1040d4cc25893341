#pragma once

#include "EndlessForms.h"

#include "hemlockproxy/model/Address.h"

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace hemlockproxy::runtime::test {

/// A faulty server: reads the head of its one request and answers with a text, and then with
/// another one without end until the caller closes the connection.
class EndlessServer
{
public:
  /// With a pause, the repeated text is sent so slowly.
  EndlessServer(std::string aStart, std::string aRepeated, std::chrono::milliseconds aPause = {})
    : acceptor_(io_, { boost::asio::ip::make_address("127.0.0.1"), 0 })
    , address_{ "127.0.0.1", acceptor_.local_endpoint().port() }
    , thread_([this, start = std::move(aStart), repeated = std::move(aRepeated), aPause] {
      Serve(start, repeated, aPause);
    })
  {
  }
  ~EndlessServer() { thread_.join(); }
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  [[nodiscard]] const model::Address& Address() const noexcept { return address_; }
  /// Returns how many bytes the connection has taken.
  [[nodiscard]] std::size_t Sent() const noexcept { return sent_; }

private:
  void Serve(const std::string& aStart,
             const std::string& aRepeated,
             std::chrono::milliseconds aPause)
  {
    namespace asio = boost::asio;
    auto socket = acceptor_.accept();
    std::string request;
    boost::system::error_code error;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
    sent_ += asio::write(socket, asio::buffer(aStart), error);
    while (!error) {
      sent_ += asio::write(socket, asio::buffer(aRepeated), error);
      std::this_thread::sleep_for(aPause);
    }
  }

  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  model::Address address_;
  std::atomic<std::size_t> sent_ = 0;
  std::thread thread_;
};

} // namespace hemlockproxy::runtime::test
