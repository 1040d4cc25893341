#pragma once

#include "hemlockproxy/daemon/Dialect.h"
#include "hemlockproxy/daemon/Upstream.h"
#include "hemlockproxy/model/Address.h"
#include "hemlockproxy/runtime/HttpClient.h"

#include <chrono>

namespace hemlockproxy::daemon {

/// How a request body is offered to the upstream.
enum class BodyOffer : std::uint8_t
{
  /// The body follows the header at once.
  Immediate,
  /// A body that is not held whole waits for "100 Continue", so that a rejection leaves it unread.
  AfterContinue,
};

/// Bounds of one exchange with an upstream.
struct ExchangeOptions
{
  std::chrono::milliseconds connectTimeout_{ 1000 };
  /// Without progress of a body for this time, the exchange is given up.
  std::chrono::milliseconds stallTimeout_{ 10000 };
  BodyOffer offer_ = BodyOffer::Immediate;
  /// Interprets the responses of backend servers; null for those of other daemons.
  const Dialect* dialect_ = nullptr;
};

/// Sends a request to an address and waits for the response header until the request's deadline.
/// The outcome is NotRun only when no byte of the request was sent.
[[nodiscard]] UpstreamReply RunExchange(runtime::HttpConnectionPool& aPool,
                                        const model::Address& aAddress,
                                        UpstreamRequest& aRequest,
                                        const ExchangeOptions& aOptions);

} // namespace hemlockproxy::daemon
