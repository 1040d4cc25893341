#pragma once

#include "hemlockproxy/runtime/HttpServer.h"

#include "impl/RequestParser.h"

#include <boost/fiber/future/promise.hpp>

#include <memory>
#include <string>

namespace hemlockproxy::runtime::impl {

/// A request without a body that a caller sent before the response to an earlier one. It is handled
/// at once; its response is held back until the connection gives it its turn.
class PipelinedExchange final : public HttpExchange
{
public:
  /// The exchange writes through the connection, which it keeps alive.
  PipelinedExchange(std::shared_ptr<HttpExchange> aConnection,
                    std::shared_ptr<RequestParser> aParser)
    : connection_(std::move(aConnection))
    , parser_(std::move(aParser))
    , turnGiven_(turn_.get_future())
    , handled_(ended_.get_future())
  {
  }

  [[nodiscard]] const RequestHeader& Request() const noexcept override
  {
    return parser_->get().base();
  }
  [[nodiscard]] std::optional<std::uint64_t> BodyLength() const override { return 0; }
  [[nodiscard]] bool BodyDone() const noexcept override { return true; }
  void SetBodyDeadline(std::chrono::steady_clock::time_point /*aDeadline*/) override {}
  HttpResult<model::Unit> SendContinue() override { return model::Unit{}; }
  [[nodiscard]] HttpResult<std::size_t> Read(char* /*aBuffer*/, std::size_t /*aSize*/) override
  {
    return std::size_t{ 0 };
  }

  HttpResult<model::Unit> SendHeader(ResponseHeader aHeader) override
  {
    header_ = std::move(aHeader);
    started_ = true;
    return model::Unit{};
  }

  HttpResult<model::Unit> SendBody(std::string_view aPart) override
  {
    if (!flushed_ && held_.size() + aPart.size() <= kMostHeldBytes) {
      held_ += aPart;
      return model::Unit{};
    }
    if (auto flushed = Flush(); !flushed) {
      return flushed;
    }
    return connection_->SendBody(aPart);
  }

  HttpResult<model::Unit> Finish() override
  {
    if (auto flushed = Flush(); !flushed) {
      return flushed;
    }
    auto finished = connection_->Finish();
    complete_ = finished.Ok();
    return finished;
  }

  void Abort() override
  {
    // The earlier responses are still to be delivered.
    if (flushed_) {
      connection_->Abort();
    }
  }

  [[nodiscard]] bool Started() const noexcept override { return started_; }
  void CloseAfterResponse() noexcept override { closeAfterResponse_ = true; }
  void OnCallerClosed(std::function<void()> aFunction) override
  {
    onClosed_ = std::move(aFunction);
  }
  [[nodiscard]] bool CallerClosed() override { return cancelled_ || connection_->CallerClosed(); }

  [[nodiscard]] const std::shared_ptr<RequestParser>& Parser() const noexcept { return parser_; }

  /// Lets the response be written, and waits until the handler has ended. Returns whether the
  /// response was written whole.
  bool TakeTurn()
  {
    turn_.set_value(true);
    handled_.wait();
    return complete_;
  }

  /// The caller has gone, or an earlier response ended the connection.
  void Cancel()
  {
    if (std::exchange(cancelled_, true)) {
      return;
    }
    NotifyClosed();
    turn_.set_value(false);
  }

  /// Tells the handler that the caller has gone.
  void NotifyClosed()
  {
    if (const auto onClosed = std::exchange(onClosed_, nullptr)) {
      onClosed();
    }
  }

  /// The handler has ended.
  void End()
  {
    onClosed_ = nullptr;
    ended_.set_value();
  }

private:
  /// A response up to this size leaves its sender free before the turn has come.
  static constexpr std::size_t kMostHeldBytes = 64UL * 1024;

  /// Waits for the turn, then sends the header and the part of the body that was held back.
  HttpResult<model::Unit> Flush()
  {
    if (flushed_) {
      return model::Unit{};
    }
    if (!turnGiven_.valid() || !turnGiven_.get()) {
      return HttpError{ HttpErrorKind::Closed, "the connection ended before its turn" };
    }
    flushed_ = true;
    if (closeAfterResponse_) {
      connection_->CloseAfterResponse();
    }
    if (auto sent = connection_->SendHeader(std::move(header_)); !sent) {
      return sent;
    }
    const std::string held = std::exchange(held_, {});
    return connection_->SendBody(held);
  }

  std::shared_ptr<HttpExchange> connection_;
  std::shared_ptr<RequestParser> parser_;
  ResponseHeader header_;
  std::string held_;
  std::function<void()> onClosed_;
  boost::fibers::promise<bool> turn_;
  boost::fibers::future<bool> turnGiven_;
  boost::fibers::promise<void> ended_;
  boost::fibers::future<void> handled_;
  bool started_ = false;
  bool flushed_ = false;
  bool complete_ = false;
  bool cancelled_ = false;
  bool closeAfterResponse_ = false;
};

} // namespace hemlockproxy::runtime::impl
