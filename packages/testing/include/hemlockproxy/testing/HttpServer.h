#pragma once

#include <utility>

#include "hemlockproxy/model/Address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockproxy::testing {

namespace http = boost::beast::http;
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

/// Returns the request's target as a standard string view.
[[nodiscard]] inline std::string_view TargetText(const HttpRequest& aRequest)
{
  return { aRequest.target().data(), aRequest.target().size() };
}

/// Returns a header's value; empty when the request has none of that name.
[[nodiscard]] inline std::string HeaderText(const HttpRequest& aRequest, const char* aName)
{
  const boost::beast::string_view value = aRequest[aName];
  return { value.data(), value.size() };
}

/// One accepted connection; used by one thread.
class HttpConnection
{
public:
  explicit HttpConnection(boost::asio::ip::tcp::socket aSocket);

  /// Returns the next request, or nothing when the peer closed or sent something invalid.
  [[nodiscard]] std::optional<HttpRequest> Receive();
  /// Returns a response to the last request with its version and keep-alive setting.
  [[nodiscard]] HttpResponse MakeResponse(http::status aStatus, std::string aBody = {}) const;
  /// Sends a response with its Content-Length; returns whether the connection stays open.
  bool Send(HttpResponse aResponse);
  /// Sends the serialized response without its last aMissing bytes.
  void SendAllBut(HttpResponse aResponse, std::size_t aMissing);
  /// Sends bytes as they are; returns false when the peer is gone.
  bool SendRaw(std::string_view aBytes);
  /// Waits; returns false at once when the peer closes its side, which cancels its request.
  [[nodiscard]] bool WaitUnlessClosed(std::chrono::milliseconds aTime);
  /// Closes with a TCP reset, so that the peer sees an error rather than an end of stream.
  void Reset();

private:
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  unsigned version_ = 11;
  bool keepAlive_ = true;
  bool head_ = false;
};

/// Handles one request; returns whether the connection stays open.
using HttpHandler = std::function<bool(const HttpRequest&, HttpConnection&)>;

struct HttpServerError
{
  std::string message_;
};

/// An HTTP/1.1 server with a thread per connection, enough for the few hundred connections of a
/// test.
class HttpServer
{
public:
  /// Binds the address; fails when it is in use. At most aConnections are accepted at a time, more
  /// wait in the listen queue.
  [[nodiscard]] static model::Result<std::unique_ptr<HttpServer>, HttpServerError>
  Create(const model::Address& aAddress, HttpHandler aHandler, std::size_t aConnections);

  /// Returns the bound address with the port that the system chose.
  [[nodiscard]] model::Address LocalAddress() const;
  /// Accepts connections until the process ends.
  [[noreturn]] void Run();

private:
  HttpServer(HttpHandler aHandler, std::size_t aConnections);
  void Serve(boost::asio::ip::tcp::socket aSocket);

  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  HttpHandler handler_;
  const std::size_t limit_;
  std::mutex mutex_;
  std::condition_variable closed_;
  std::size_t open_ = 0;
};

} // namespace hemlockproxy::testing
