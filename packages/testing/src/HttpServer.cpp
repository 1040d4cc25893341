#include "hemlockproxy/testing/HttpServer.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <poll.h>
#include <sstream>
#include <thread>

namespace hemlockproxy::testing {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::uint64_t kBodyLimitBytes = 64ULL * 1024 * 1024;

std::string Serialize(const HttpResponse& aResponse)
{
  std::ostringstream text;
  text << aResponse;
  return std::move(text).str();
}

} // namespace

HttpConnection::HttpConnection(tcp::socket aSocket)
  : socket_(std::move(aSocket))
{
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
}

std::optional<HttpRequest> HttpConnection::Receive()
{
  http::request_parser<http::string_body> parser;
  parser.body_limit(kBodyLimitBytes);
  error_code error;
  http::read(socket_, buffer_, parser, error);
  if (error) {
    if (error.category() == http::make_error_code(http::error::end_of_stream).category() &&
        error != http::error::end_of_stream && error != http::error::partial_message) {
      keepAlive_ = false;
      Send(MakeResponse(http::status::bad_request, error.message() + "\n"));
    }
    return std::nullopt;
  }
  HttpRequest request = parser.release();
  version_ = request.version();
  keepAlive_ = request.keep_alive();
  head_ = request.method() == http::verb::head;
  return request;
}

HttpResponse HttpConnection::MakeResponse(http::status aStatus, std::string aBody) const
{
  HttpResponse response(aStatus, version_);
  response.keep_alive(keepAlive_);
  response.body() = std::move(aBody);
  return response;
}

bool HttpConnection::Send(HttpResponse aResponse)
{
  aResponse.prepare_payload();
  if (head_) {
    aResponse.body().clear();
  }
  error_code error;
  http::write(socket_, aResponse, error);
  return !error && aResponse.keep_alive();
}

void HttpConnection::SendAllBut(HttpResponse aResponse, std::size_t aMissing)
{
  aResponse.prepare_payload();
  const std::string bytes = Serialize(aResponse);
  SendRaw(std::string_view(bytes).substr(0, bytes.size() - aMissing));
}

bool HttpConnection::SendRaw(std::string_view aBytes)
{
  error_code error;
  asio::write(socket_, asio::buffer(aBytes.data(), aBytes.size()), error);
  return !error;
}

bool HttpConnection::WaitUnlessClosed(std::chrono::milliseconds aTime)
{
  const auto end = std::chrono::steady_clock::now() + aTime;
  pollfd watched{ socket_.native_handle(), POLLRDHUP, 0 };
  int events = 0;
  do {
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(
      std::max(end - std::chrono::steady_clock::now(), std::chrono::steady_clock::duration(0)));
    events = ::poll(&watched, 1, static_cast<int>(left.count()));
    // A signal such as SIGUSR1 interrupts the wait, but must not end the request.
  } while (events < 0 && errno == EINTR);
  return events == 0;
}

void HttpConnection::Reset()
{
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  socket_.close(ignored);
}

HttpServer::HttpServer(HttpHandler aHandler, std::size_t aConnections)
  : acceptor_(context_)
  , handler_(std::move(aHandler))
  , limit_(aConnections)
{
}

model::Result<std::unique_ptr<HttpServer>, HttpServerError>
HttpServer::Create(const model::Address& aAddress, HttpHandler aHandler, std::size_t aConnections)
{
  std::unique_ptr<HttpServer> server(new HttpServer(std::move(aHandler), aConnections));
  error_code error;
  const tcp::endpoint endpoint(asio::ip::make_address(aAddress.ip_, error), aAddress.port_);
  tcp::acceptor& acceptor = server->acceptor_;
  if (!error) {
    acceptor.open(endpoint.protocol(), error);
  }
  if (!error) {
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(endpoint, error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return HttpServerError{ "cannot listen on " + ToString(aAddress) + ": " + error.message() };
  }
  return server;
}

model::Address HttpServer::LocalAddress() const
{
  const tcp::endpoint endpoint = acceptor_.local_endpoint();
  return model::Address{ endpoint.address().to_string(), endpoint.port() };
}

void HttpServer::Run()
{
  while (true) {
    {
      std::unique_lock lock(mutex_);
      closed_.wait(lock, [this] { return open_ < limit_; });
    }
    error_code error;
    tcp::socket socket(context_);
    acceptor_.accept(socket, error);
    if (error) {
      // Out of file descriptors, as a rule; some are free again after a while.
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
      continue;
    }
    {
      const std::lock_guard lock(mutex_);
      ++open_;
    }
    std::thread([this, accepted = std::move(socket)]() mutable {
      Serve(std::move(accepted));
    }).detach();
  }
}

void HttpServer::Serve(tcp::socket aSocket)
{
  {
    HttpConnection connection(std::move(aSocket));
    while (const std::optional<HttpRequest> request = connection.Receive()) {
      if (!handler_(*request, connection)) {
        break;
      }
    }
  }
  const std::lock_guard lock(mutex_);
  --open_;
  closed_.notify_one();
}

} // namespace hemlockproxy::testing
