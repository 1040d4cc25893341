#pragma once

#include "hemlockproxy/runtime/EventRing.h"
#include "hemlockproxy/runtime/HttpServer.h"

#include "impl/HttpStream.h"
#include "impl/RequestCheck.h"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/fiber/operations.hpp>

#include <set>

namespace hemlockproxy::runtime::impl {

/// A connection that was just opened gets this time for its first request when the server stops.
inline constexpr std::chrono::milliseconds kFirstRequestTime{ 500 };

class ServerConnection;

/// State that the listener shares with its connections.
struct ServerShared
{
  HttpServerOptions options_;
  HttpServer::Handler handler_;
  std::set<ServerConnection*> connections_;
  std::size_t inProgress_ = 0;
  bool stopping_ = false;
};

/// One caller's connection: reads its requests one after another and is the exchange of each.
class ServerConnection final
  : public HttpExchange
  , public std::enable_shared_from_this<ServerConnection>
{
public:
  ServerConnection(TcpStream::socket_type aSocket,
                   IoContext& aIo,
                   std::shared_ptr<ServerShared> aShared)
    : stream_(aIo.get_executor())
    , shared_(std::move(aShared))
  {
    stream_.socket() = std::move(aSocket);
    shared_->connections_.insert(this);
  }

  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  ~ServerConnection() override { shared_->connections_.erase(this); }

  void Run()
  {
    boost::system::error_code ignored;
    stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    while ((!shared_->stopping_ || AwaitsFirstRequest()) && ReadRequest()) {
      firstRead_ = true;
      ++shared_->inProgress_;
      CallHandler();
      --shared_->inProgress_;
      EndExchange();
      if (!keepAlive_ || aborted_) {
        break;
      }
    }
    CloseGracefully();
  }

  /// Closes the connection if it holds no request.
  void CloseIfIdle()
  {
    boost::system::error_code ignored;
    if (idle_ && stream_.socket().available(ignored) == 0) {
      stream_.close();
    }
  }

  /// The same, but waits for the first request of a new connection: a caller expects that a reused
  /// connection may be closed under its request, but not that a new one is.
  void CloseWhenIdle()
  {
    if (!AwaitsFirstRequest()) {
      CloseIfIdle();
      return;
    }
    SpawnFiber([self = shared_from_this()] {
      boost::this_fiber::sleep_for(kFirstRequestTime);
      self->CloseIfIdle();
    });
  }

  [[nodiscard]] bool AwaitsFirstRequest() const noexcept { return !firstRead_; }

  [[nodiscard]] const RequestHeader& Request() const noexcept override
  {
    return parser_->get().base();
  }

  [[nodiscard]] std::optional<std::uint64_t> BodyLength() const override
  {
    if (parser_->chunked()) {
      return std::nullopt;
    }
    const auto length = parser_->content_length();
    return length ? *length : 0;
  }

  [[nodiscard]] bool BodyDone() const noexcept override { return body_.Done(*parser_); }

  HttpResult<model::Unit> SendContinue() override
  {
    if (!expectsContinue_) {
      return model::Unit{};
    }
    expectsContinue_ = false;
    http::response<http::empty_body> interim(http::status::continue_, Request().version());
    stream_.expires_after(shared_->options_.stallTimeout_);
    const auto done =
      Await([&](auto aHandler) { http::async_write(stream_, interim, std::move(aHandler)); });
    if (done.error_) {
      return ToHttpError(done.error_);
    }
    return model::Unit{};
  }

  [[nodiscard]] HttpResult<std::size_t> Read(char* aBuffer, std::size_t aSize) override
  {
    if (BodyDone()) {
      return std::size_t{ 0 };
    }
    if (auto sent = SendContinue(); !sent) {
      return sent.Error();
    }
    auto read =
      body_.Read(stream_, buffer_, *parser_, aBuffer, aSize, shared_->options_.stallTimeout_);
    WatchCaller();
    return read;
  }

  HttpResult<model::Unit> SendHeader(ResponseHeader aHeader) override
  {
    response_.emplace(std::move(aHeader));
    response_->version(11);
    const unsigned status = response_->result_int();
    noBody_ = Request().method() == http::verb::head || status == 204 || status == 304;
    keepAlive_ =
      parser_->get().keep_alive() && BodyDone() && !shared_->stopping_ && !closeAfterResponse_;
    if (!noBody_ && !response_->has_content_length() && !response_->chunked()) {
      response_->chunked(true);
    }
    if (Request().version() == 10 && response_->chunked()) {
      // HTTP/1.0 has no chunks: the end of the connection ends the body.
      response_->chunked(false);
      keepAlive_ = false;
    }
    response_->keep_alive(keepAlive_);
    SetBodyPart(response_->body(), {});
    response_->body().more = true;
    serializer_.emplace(*response_);
    return model::Unit{};
  }

  HttpResult<model::Unit> SendBody(std::string_view aPart) override
  {
    if (aPart.empty() || noBody_) {
      return model::Unit{};
    }
    SetBodyPart(response_->body(), aPart);
    return Write();
  }

  HttpResult<model::Unit> Finish() override
  {
    HttpResult<model::Unit> sent = noBody_ ? WriteHeaderOnly() : WriteEnd();
    if (!sent) {
      aborted_ = true;
    }
    finished_ = true;
    return sent;
  }

  void Abort() override
  {
    aborted_ = true;
    // A reset tells callers that read until the end of the connection that the response is
    // incomplete.
    boost::system::error_code ignored;
    stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    stream_.close();
  }

  [[nodiscard]] bool Started() const noexcept override { return response_.has_value(); }

  void CloseAfterResponse() noexcept override { closeAfterResponse_ = true; }

  void OnCallerClosed(std::function<void()> aFunction) override
  {
    onClosed_ = std::move(aFunction);
    WatchCaller();
  }

  [[nodiscard]] bool CallerClosed() override
  {
    return !stream_.socket().is_open() || PeerClosed(stream_.socket().native_handle());
  }

private:
  using Timer = asio::basic_waitable_timer<std::chrono::steady_clock,
                                           asio::wait_traits<std::chrono::steady_clock>,
                                           IoContext::executor_type>;

  void CallHandler()
  {
    try {
      shared_->handler_(*this);
    } catch (const std::exception& error) {
      Log(LogLevel::Error,
          "http",
          "a request ended with an unexpected exception: " + std::string(error.what()));
      if (shared_->options_.metrics_ != nullptr) {
        shared_->options_.metrics_->Add(Counter::HandlersFailed);
      }
      // Nothing can be promised about the request.
      Abort();
    }
  }

  bool ReadRequest()
  {
    parser_.emplace();
    parser_->header_limit(shared_->options_.headerBytes_);
    buffer_.max_size(std::max(kMostBuffered, 2 * std::size_t{ shared_->options_.headerBytes_ }));
    parser_->body_limit(kUnlimitedBody);
    response_.reset();
    serializer_.reset();
    finished_ = false;
    if (buffer_.size() == 0 && !WaitForFirstByte()) {
      return false;
    }
    if (const auto failed = ReadHeader(); failed) {
      RejectUnread(*failed);
      return false;
    }
    if (const auto problem = CheckRequest(parser_->get().base()); problem) {
      Reject(*problem);
      return false;
    }
    body_.Start(*parser_);
    expectsContinue_ = boost::beast::iequals(Request()[http::field::expect], "100-continue");
    return true;
  }

  bool WaitForFirstByte()
  {
    constexpr std::size_t kFirstReadBytes = 4096;
    idle_ = true;
    stream_.expires_after(shared_->options_.idleTimeout_);
    const auto done = Await([&](auto aHandler) {
      stream_.async_read_some(buffer_.prepare(kFirstReadBytes), std::move(aHandler));
    });
    idle_ = false;
    buffer_.commit(done.bytes_);
    return !done.error_;
  }

  /// Reads the header within its time.
  std::optional<HttpError> ReadHeader()
  {
    // Most headers arrive whole; these need neither a timer nor a wait.
    boost::system::error_code error;
    buffer_.consume(parser_->put(buffer_.data(), error));
    if (!error && parser_->is_header_done()) {
      return std::nullopt;
    }
    if (error && error != http::error::need_more) {
      return ToHttpError(error);
    }
    return ReadRestOfHeader();
  }

  /// Waits for a header that came in part. The timer only cancels the read: the stream's own
  /// timeout closes the socket, after which the caller could not be told.
  std::optional<HttpError> ReadRestOfHeader()
  {
    bool timedOut = false;
    Timer timer(stream_.get_executor(), shared_->options_.headerTimeout_);
    stream_.expires_never();
    boost::fibers::promise<void> timerEnded;
    timer.async_wait([&](const boost::system::error_code& aError) {
      if (!aError) {
        timedOut = true;
        stream_.cancel();
      }
      timerEnded.set_value();
    });
    const auto done = Await([&](auto aHandler) {
      http::async_read_header(stream_, buffer_, *parser_, std::move(aHandler));
    });
    timer.cancel();
    timerEnded.get_future().wait();
    if (!done.error_) {
      return std::nullopt;
    }
    if (timedOut) {
      return HttpError{ HttpErrorKind::TimedOut, "the request header did not arrive in time" };
    }
    return ToHttpError(done.error_);
  }

  /// Answers a request whose header cannot be read, unless the caller has gone.
  void RejectUnread(const HttpError& aError)
  {
    switch (aError.kind_) {
      case HttpErrorKind::HeaderTooLarge:
        Reject({ http::status::request_header_fields_too_large, aError.message_ });
        return;
      case HttpErrorKind::TimedOut:
        Reject({ http::status::request_timeout, aError.message_ });
        return;
      case HttpErrorKind::Malformed:
        Reject({ http::status::bad_request, aError.message_ });
        return;
      default:
        return;
    }
  }

  /// Sends a response of the server's own, after which the connection is closed: what follows on it
  /// may be a part of the rejected request.
  void Reject(const RequestProblem& aProblem)
  {
    http::response<http::string_body> response(aProblem.status_, 11);
    response.set("Hemlock-Outcome", "not-run");
    response.body() = aProblem.message_ + "\n";
    response.keep_alive(false);
    response.prepare_payload();
    stream_.expires_after(shared_->options_.stallTimeout_);
    (void)Await([&](auto aHandler) { http::async_write(stream_, response, std::move(aHandler)); });
    rejected_ = true;
  }

  HttpResult<model::Unit> Write()
  {
    auto written = WriteBodyPart(stream_, *serializer_, shared_->options_.stallTimeout_);
    if (!written) {
      aborted_ = true;
      return written.Error();
    }
    return model::Unit{};
  }

  HttpResult<model::Unit> WriteEnd()
  {
    SetBodyPart(response_->body(), {});
    return Write();
  }

  HttpResult<model::Unit> WriteHeaderOnly()
  {
    stream_.expires_after(shared_->options_.stallTimeout_);
    const auto done = Await(
      [&](auto aHandler) { http::async_write_header(stream_, *serializer_, std::move(aHandler)); });
    if (done.error_) {
      return ToHttpError(done.error_);
    }
    return model::Unit{};
  }

  void EndExchange()
  {
    onClosed_ = nullptr;
    if (!finished_) {
      aborted_ = true;
    }
    if (!BodyDone()) {
      keepAlive_ = false;
    }
  }

  /// Waits for the caller to close the connection while a response is prepared. One wait is
  /// outstanding at most; it also ends when the next request arrives, which is no close.
  void WatchCaller()
  {
    if (!onClosed_ || waiting_ || !BodyDone() || buffer_.size() > 0) {
      return;
    }
    waiting_ = true;
    stream_.socket().async_wait(
      asio::ip::tcp::socket::wait_read,
      [self = shared_from_this()](const boost::system::error_code& aError) {
        self->waiting_ = false;
        if (!aError && self->onClosed_ && self->CallerClosed()) {
          std::exchange(self->onClosed_, nullptr)();
        }
      });
  }

  void CloseGracefully()
  {
    if (aborted_) {
      stream_.close();
      return;
    }
    boost::system::error_code ignored;
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    DiscardUnreadBody();
    stream_.close();
  }

  /// Reads what the caller still sends, so that closing does not reset the connection and lose the
  /// response.
  void DiscardUnreadBody()
  {
    constexpr std::size_t kMaxDiscardedBytes = 1024UL * 1024;
    constexpr std::chrono::milliseconds kDiscardTimeout{ 500 };
    if (!parser_ || (BodyDone() && !rejected_)) {
      return;
    }
    std::vector<char> discarded(kBodyPartBytes);
    std::size_t total = 0;
    stream_.expires_after(kDiscardTimeout);
    while (total < kMaxDiscardedBytes) {
      const auto done = Await([&](auto aHandler) {
        stream_.async_read_some(asio::buffer(discarded), std::move(aHandler));
      });
      if (done.error_) {
        return;
      }
      total += done.bytes_;
    }
  }

  TcpStream stream_;
  std::shared_ptr<ServerShared> shared_;
  beast::flat_buffer buffer_{ kMostBuffered };
  std::optional<http::request_parser<http::buffer_body>> parser_;
  BodyCursor body_;
  std::optional<http::response<http::buffer_body>> response_;
  std::optional<http::response_serializer<http::buffer_body>> serializer_;
  std::function<void()> onClosed_;
  bool expectsContinue_ = false;
  bool noBody_ = false;
  bool keepAlive_ = false;
  bool closeAfterResponse_ = false;
  bool finished_ = false;
  bool aborted_ = false;
  bool idle_ = false;
  bool firstRead_ = false;
  bool rejected_ = false;
  bool waiting_ = false;
};

} // namespace hemlockproxy::runtime::impl
