#pragma once

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>

namespace hemlockproxy::testing {

/// How far an exchange got.
enum class ExchangeEnd : unsigned char
{
  /// No byte of the request was sent.
  NotSent,
  /// The request was sent in part or whole, but no complete response came.
  Broken,
  Complete,
};

/// A keep-alive connection of the load generator; one exchange at a time.
class LoadConnection : public std::enable_shared_from_this<LoadConnection>
{
public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Response = boost::beast::http::response<boost::beast::http::string_body>;
  using Handler = std::function<void(ExchangeEnd, const Response&)>;

  LoadConnection(boost::asio::io_context& aContext, std::size_t aTarget);

  [[nodiscard]] std::size_t Target() const noexcept { return target_; }
  /// Returns whether the connection can take another request.
  [[nodiscard]] bool Reusable();
  /// Connects where needed and sends the request; aEnd bounds all of it.
  void Exchange(const boost::asio::ip::tcp::endpoint& aEndpoint,
                Request aRequest,
                std::chrono::steady_clock::time_point aEnd,
                Handler aHandler);
  void Close();

private:
  void Write();
  void Read();
  void Finish(ExchangeEnd aEnd);

  boost::beast::tcp_stream stream_;
  std::size_t target_;
  bool connected_ = false;
  bool keepAlive_ = true;
  Request request_;
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
  Handler handler_;
};

} // namespace hemlockproxy::testing
