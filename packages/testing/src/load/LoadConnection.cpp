#include "load/LoadConnection.h"

#include <cerrno>
#include <sys/socket.h>

namespace hemlockproxy::testing {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

namespace {

constexpr std::uint64_t kBodyLimitBytes = 64ULL * 1024 * 1024;

} // namespace

LoadConnection::LoadConnection(asio::io_context& aContext, std::size_t aTarget)
  : stream_(aContext)
  , target_(aTarget)
{
}

bool LoadConnection::Reusable()
{
  if (!connected_ || !keepAlive_) {
    return false;
  }
  // A server may have closed the connection while it was idle.
  char byte = 0;
  const ssize_t count = ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void LoadConnection::Exchange(const asio::ip::tcp::endpoint& aEndpoint,
                              Request aRequest,
                              std::chrono::steady_clock::time_point aEnd,
                              Handler aHandler)
{
  request_ = std::move(aRequest);
  handler_ = std::move(aHandler);
  stream_.expires_at(aEnd);
  if (connected_) {
    Write();
    return;
  }
  stream_.async_connect(aEndpoint, [self = shared_from_this()](error_code aError) {
    if (aError) {
      self->Finish(ExchangeEnd::NotSent);
      return;
    }
    self->connected_ = true;
    error_code ignored;
    self->stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    self->Write();
  });
}

void LoadConnection::Close()
{
  keepAlive_ = false;
  stream_.close();
}

void LoadConnection::Write()
{
  http::async_write(stream_, request_, [self = shared_from_this()](error_code aError, std::size_t) {
    if (aError) {
      self->Finish(ExchangeEnd::Broken);
    } else {
      self->Read();
    }
  });
}

void LoadConnection::Read()
{
  parser_.emplace();
  parser_->body_limit(kBodyLimitBytes);
  parser_->skip(request_.method() == http::verb::head);
  http::async_read(
    stream_, buffer_, *parser_, [self = shared_from_this()](error_code aError, std::size_t) {
      self->keepAlive_ = !aError && self->parser_->get().keep_alive();
      self->Finish(aError ? ExchangeEnd::Broken : ExchangeEnd::Complete);
    });
}

void LoadConnection::Finish(ExchangeEnd aEnd)
{
  if (aEnd != ExchangeEnd::Complete) {
    Close();
  }
  const Response response = aEnd == ExchangeEnd::Complete ? std::move(parser_->get()) : Response();
  const Handler handler = std::exchange(handler_, nullptr);
  handler(aEnd, response);
}

} // namespace hemlockproxy::testing
