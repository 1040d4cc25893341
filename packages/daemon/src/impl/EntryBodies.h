#pragma once

#include "hemlockproxy/daemon/Upstream.h"
#include "hemlockproxy/decisions/AttemptResult.h"

#include <functional>
#include <memory>

namespace hemlockproxy::daemon::impl {

/// Tells whether any byte of a body was taken, after which the body cannot be sent again.
class TrackedBody final : public runtime::BodySource
{
public:
  explicit TrackedBody(runtime::BodySource& aSource) noexcept
    : source_(aSource)
  {
  }

  [[nodiscard]] runtime::HttpResult<std::size_t> Read(char* aBuffer, std::size_t aSize) override
  {
    used_ = true;
    return source_.Read(aBuffer, aSize);
  }

  [[nodiscard]] bool Used() const noexcept { return used_; }

private:
  runtime::BodySource& source_;
  bool used_ = false;
};

/// Rejects a request body that grows beyond a limit.
class LimitedBody final : public runtime::BodySource
{
public:
  /// Passes on at most aLimit bytes.
  LimitedBody(runtime::BodySource& aSource, std::uint64_t aLimit) noexcept
    : source_(aSource)
    , left_(aLimit)
  {
  }

  [[nodiscard]] runtime::HttpResult<std::size_t> Read(char* aBuffer, std::size_t aSize) override
  {
    auto read = source_.Read(aBuffer, aSize);
    if (read && *read > left_) {
      return runtime::HttpError{ runtime::HttpErrorKind::BodyTooLarge,
                                 "the request body exceeds its limit" };
    }
    if (read) {
      left_ -= *read;
    }
    return read;
  }

private:
  runtime::BodySource& source_;
  std::uint64_t left_;
};

/// Tells when a response body has ended, so that it counts as work in progress until then.
class ObservedBody final : public UpstreamBody
{
public:
  using OnEnd = std::function<void(decisions::AttemptVerdict aVerdict)>;

  ObservedBody(std::unique_ptr<UpstreamBody> aBody,
               decisions::AttemptVerdict aComplete,
               OnEnd aOnEnd)
    : body_(std::move(aBody))
    , complete_(aComplete)
    , onEnd_(std::move(aOnEnd))
  {
  }

  ~ObservedBody() override
  {
    body_.reset();
    onEnd_(verdict_);
  }

  ObservedBody(const ObservedBody&) = delete;
  ObservedBody& operator=(const ObservedBody&) = delete;

  [[nodiscard]] runtime::HttpResult<std::size_t> Read(char* aBuffer, std::size_t aSize) override
  {
    auto read = body_->Read(aBuffer, aSize);
    if (!read) {
      verdict_ = decisions::AttemptVerdict::Failure;
    } else if (*read == 0) {
      verdict_ = complete_;
    }
    return read;
  }

  void SetStallTimeout(std::chrono::milliseconds aTimeout) override
  {
    body_->SetStallTimeout(aTimeout);
  }

private:
  std::unique_ptr<UpstreamBody> body_;
  decisions::AttemptVerdict complete_;
  OnEnd onEnd_;
  /// A body that is given up before its end says nothing of the endpoint.
  decisions::AttemptVerdict verdict_ = decisions::AttemptVerdict::Cancelled;
};

} // namespace hemlockproxy::daemon::impl
