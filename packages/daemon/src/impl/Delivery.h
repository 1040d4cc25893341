#pragma once

#include "hemlockproxy/daemon/Upstream.h"
#include "hemlockproxy/runtime/HttpServer.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace hemlockproxy::daemon::impl {

inline constexpr std::chrono::milliseconds kDefaultDeadline{ 15000 };

/// Returns the time that a request's deadline field leaves; nothing without a valid field.
[[nodiscard]] std::optional<std::chrono::milliseconds> ReadTimeLeft(
  const runtime::RequestHeader& aHeader);

/// Returns the time that a request's deadline field leaves, at most aMost; aMost where there is
/// none.
[[nodiscard]] std::chrono::milliseconds DeadlineOf(const runtime::RequestHeader& aHeader,
                                                   std::chrono::milliseconds aMost);

/// Appends the body's first bytes to aPrefix until it holds aLimit bytes or the body ends. Fails
/// when the body cannot be read.
[[nodiscard]] runtime::HttpResult<model::Unit> ReadPrefix(runtime::HttpExchange& aExchange,
                                                          std::string& aPrefix,
                                                          std::size_t aLimit);

/// Returns why a request whose body cannot be read is refused.
[[nodiscard]] model::RefusalReason ReasonOfBody(const runtime::HttpError& aError) noexcept;

/// Returns whether callers are told when to come back: the request has not run, and the reason may
/// pass.
[[nodiscard]] bool MayComeBack(const UpstreamReply& aReply);

/// Sends a response that says why there is no answer. aRetryAfter is the text of the Retry-After
/// field; an empty one leaves the field out.
void SendRefusal(runtime::HttpExchange& aExchange,
                 const UpstreamReply& aReply,
                 const std::string& aRetryAfter = {});

/// How the delivery of a response ended.
enum class DeliveryResult : std::uint8_t
{
  Complete,
  /// The upstream's body broke off; the caller's connection was closed.
  UpstreamBroken,
  CallerGone,
};

/// Decides the pace at which a body is sent.
struct DeliveryPace
{
  /// The size of the parts, in bytes.
  std::size_t partBytes_ = runtime::kBodyPartBytes;
  /// Called with the size of each part before it is sent; may wait.
  std::function<void(std::size_t)> beforePart_;
};

/// Streams a response to the caller, in parts of a pace where there is one.
[[nodiscard]] DeliveryResult Deliver(runtime::HttpExchange& aExchange,
                                     UpstreamReply& aReply,
                                     const DeliveryPace& aPace = {});

} // namespace hemlockproxy::daemon::impl
