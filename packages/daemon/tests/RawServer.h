#pragma once

#include "hemlockproxy/model/Address.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

namespace hemlockproxy::daemon::test {

/// A server on a thread of its own that calls a function with each of its connections, one after
/// the other. It ends after the given number of connections.
class RawServer
{
public:
  using Socket = boost::asio::ip::tcp::socket;
  using Serve = std::function<void(Socket& aSocket, int aIndex)>;

  explicit RawServer(Serve aServe, int aConnections = 1)
    : acceptor_(io_, { boost::asio::ip::make_address("127.0.0.1"), 0 })
    , address_{ "127.0.0.1", acceptor_.local_endpoint().port() }
    , connections_(aConnections)
    , thread_([this, serve = std::move(aServe)] {
      for (int i = 0; i < connections_ && !stopped_; ++i) {
        boost::system::error_code error;
        Socket socket(io_);
        acceptor_.accept(socket, error);
        if (!error && !stopped_) {
          serve(socket, i);
        }
      }
    })
  {
  }
  ~RawServer()
  {
    stopped_ = true;
    // Ends a wait for a connection that nobody makes.
    boost::asio::io_context io;
    Socket socket(io);
    boost::system::error_code ignored;
    socket.connect(acceptor_.local_endpoint(), ignored);
    thread_.join();
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  [[nodiscard]] const model::Address& Address() const noexcept { return address_; }

private:
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  model::Address address_;
  int connections_;
  std::atomic<bool> stopped_{ false };
  std::thread thread_;
};

/// Reads a request's head and, where asked for, its body. Returns whether the whole request has
/// come; nothing when the connection ended before its head.
inline std::optional<bool> ReadRequest(RawServer::Socket& aSocket, bool aWithBody)
{
  constexpr std::string_view kLastChunk = "0\r\n\r\n";
  constexpr std::string_view kLength = "Content-Length: ";
  std::string received;
  boost::system::error_code error;
  auto buffer = boost::asio::dynamic_buffer(received);
  const auto headBytes = boost::asio::read_until(aSocket, buffer, "\r\n\r\n", error);
  if (error) {
    return std::nullopt;
  }
  const std::string head = received.substr(0, headBytes);
  received.erase(0, headBytes);
  const auto length = head.find(kLength);
  const bool chunked = head.find("chunked") != std::string::npos;
  const std::size_t bytes =
    length == std::string::npos ? 0 : std::stoul(head.substr(length + kLength.size()));
  std::array<char, 65536> part{};
  std::size_t total = received.size();
  const auto whole = [&] { return chunked ? received.ends_with(kLastChunk) : total >= bytes; };
  while (aWithBody && !whole() && !error) {
    const auto read = aSocket.read_some(boost::asio::buffer(part), error);
    total += read;
    received.append(part.data(), read);
    received.erase(0, received.size() - std::min(received.size(), kLastChunk.size()));
  }
  return whole();
}

inline void Write(RawServer::Socket& aSocket, std::string_view aBytes)
{
  boost::system::error_code ignored;
  boost::asio::write(aSocket, boost::asio::buffer(aBytes.data(), aBytes.size()), ignored);
}

/// Closes with a reset; what the peer has not received yet may be lost.
inline void Reset(RawServer::Socket& aSocket)
{
  boost::system::error_code ignored;
  aSocket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  aSocket.close(ignored);
}

} // namespace hemlockproxy::daemon::test
