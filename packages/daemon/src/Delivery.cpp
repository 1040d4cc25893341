#include "impl/Delivery.h"

#include "hemlockproxy/model/Number.h"

#include <algorithm>
#include <array>

namespace hemlockproxy::daemon::impl {

namespace {

using model::RefusalReason;
using model::RequestOutcome;
namespace http = runtime::http;

struct ReasonStatus
{
  RequestOutcome outcome_;
  RefusalReason reason_;
  http::status status_;
};

/// Statuses of reasons that differ from the outcome's usual one. A status that says that a request
/// has not run stands for that outcome only.
constexpr std::array<ReasonStatus, 15> kReasonStatuses = { {
  { RequestOutcome::NotRun, RefusalReason::NoRoute, http::status::not_found },
  { RequestOutcome::NotRun, RefusalReason::RateLimited, http::status::too_many_requests },
  { RequestOutcome::NotRun, RefusalReason::AllowanceUsed, http::status::too_many_requests },
  { RequestOutcome::NotRun, RefusalReason::UnknownKey, http::status::unauthorized },
  { RequestOutcome::NotRun, RefusalReason::KeyRequired, http::status::bad_request },
  { RequestOutcome::NotRun, RefusalReason::KeyMismatch, http::status::unprocessable_entity },
  { RequestOutcome::NotRun, RefusalReason::BodyTooLarge, http::status::payload_too_large },
  { RequestOutcome::Unknown, RefusalReason::BodyTooLarge, http::status::payload_too_large },
  { RequestOutcome::NotRun, RefusalReason::MalformedBody, http::status::bad_request },
  { RequestOutcome::Unknown, RefusalReason::MalformedBody, http::status::bad_request },
  { RequestOutcome::NotRun, RefusalReason::CallerFailed, http::status::bad_request },
  { RequestOutcome::NotRun, RefusalReason::CallerSlow, http::status::request_timeout },
  { RequestOutcome::Unknown, RefusalReason::CallerSlow, http::status::gateway_timeout },
  { RequestOutcome::Unknown, RefusalReason::AlreadyClaimed, http::status::conflict },
  { RequestOutcome::Unknown, RefusalReason::UpstreamTimeout, http::status::gateway_timeout },
} };

http::status StatusOf(const UpstreamReply& aReply)
{
  const auto* found =
    std::find_if(kReasonStatuses.begin(), kReasonStatuses.end(), [&](const ReasonStatus& aEntry) {
      return aEntry.outcome_ == aReply.outcome_ && aEntry.reason_ == aReply.reason_;
    });
  if (found != kReasonStatuses.end()) {
    return found->status_;
  }
  return aReply.outcome_ == RequestOutcome::NotRun ? http::status::service_unavailable
                                                   : http::status::bad_gateway;
}

} // namespace

std::optional<std::chrono::milliseconds> ReadTimeLeft(const runtime::RequestHeader& aHeader)
{
  const auto value = model::ParseNumber<std::int64_t>(aHeader[kDeadlineField]);
  return value && *value >= 0 ? std::optional(std::chrono::milliseconds(*value)) : std::nullopt;
}

std::chrono::milliseconds DeadlineOf(const runtime::RequestHeader& aHeader,
                                     std::chrono::milliseconds aMost)
{
  return std::min(ReadTimeLeft(aHeader).value_or(aMost), aMost);
}

runtime::HttpResult<model::Unit> ReadPrefix(runtime::HttpExchange& aExchange,
                                            std::string& aPrefix,
                                            std::size_t aLimit)
{
  while (!aExchange.BodyDone() && aPrefix.size() < aLimit) {
    const std::size_t held = aPrefix.size();
    aPrefix.resize(std::min(held + runtime::kBodyPartBytes, aLimit));
    auto read = aExchange.Read(aPrefix.data() + held, aPrefix.size() - held);
    aPrefix.resize(held + (read ? *read : 0));
    if (!read) {
      return read.Error();
    }
  }
  return model::Unit{};
}

model::RefusalReason ReasonOfBody(const runtime::HttpError& aError) noexcept
{
  switch (aError.kind_) {
    case runtime::HttpErrorKind::Malformed:
      return RefusalReason::MalformedBody;
    case runtime::HttpErrorKind::BodyTooLarge:
      return RefusalReason::BodyTooLarge;
    case runtime::HttpErrorKind::TimedOut:
      return RefusalReason::CallerSlow;
    default:
      return RefusalReason::CallerFailed;
  }
}

bool MayComeBack(const UpstreamReply& aReply)
{
  const http::status status = StatusOf(aReply);
  return status == http::status::too_many_requests || status == http::status::service_unavailable;
}

void SendRefusal(runtime::HttpExchange& aExchange,
                 const UpstreamReply& aReply,
                 const std::string& aRetryAfter)
{
  const std::string body =
    std::string(ToString(aReply.outcome_)) + ": " + ToString(aReply.reason_) + "\n";
  runtime::ResponseHeader header;
  header.result(StatusOf(aReply));
  header.set(kOutcomeField, ToString(aReply.outcome_));
  header.set(kReasonField, ToString(aReply.reason_));
  if (!aReply.evidence_.empty()) {
    header.set(kQuarantineField, ToHex(aReply.evidence_));
  }
  if (aReply.load_) {
    header.set(kLoadField, std::to_string(*aReply.load_));
  }
  if (aReply.expectedWait_) {
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(*aReply.expectedWait_);
    header.set(kWaitField, std::to_string(wait.count()));
  }
  if (!aRetryAfter.empty()) {
    header.set(http::field::retry_after, aRetryAfter);
  }
  header.set(http::field::content_type, "text/plain; charset=utf-8");
  header.set(http::field::content_length, std::to_string(body.size()));
  (void)aExchange.SendHeader(std::move(header));
  (void)aExchange.SendBody(body);
  (void)aExchange.Finish();
}

namespace {

/// Sends a body that is held whole. Without a pace it takes one write for header and body.
bool SendHeld(runtime::HttpExchange& aExchange, std::string_view aBody, const DeliveryPace& aPace)
{
  const std::size_t most = aPace.beforePart_ ? aPace.partBytes_ : aBody.size();
  while (!aBody.empty()) {
    const std::string_view part = aBody.substr(0, most);
    if (aPace.beforePart_) {
      aPace.beforePart_(part.size());
    }
    if (!aExchange.SendBody(part)) {
      return false;
    }
    aBody.remove_prefix(part.size());
  }
  return static_cast<bool>(aExchange.Finish());
}

} // namespace

DeliveryResult Deliver(runtime::HttpExchange& aExchange,
                       UpstreamReply& aReply,
                       const DeliveryPace& aPace)
{
  runtime::RemoveHopByHopFields(aReply.header_);
  if (!aExchange.SendHeader(std::move(aReply.header_))) {
    return DeliveryResult::CallerGone;
  }
  if (const auto held = aReply.body_->Held()) {
    return SendHeld(aExchange, *held, aPace) ? DeliveryResult::Complete
                                             : DeliveryResult::CallerGone;
  }
  std::string part(aPace.partBytes_, '\0');
  while (true) {
    auto read = aReply.body_->Read(part.data(), part.size());
    if (!read) {
      aExchange.Abort();
      return DeliveryResult::UpstreamBroken;
    }
    if (*read == 0) {
      break;
    }
    if (aPace.beforePart_) {
      aPace.beforePart_(*read);
    }
    if (!aExchange.SendBody({ part.data(), *read })) {
      return DeliveryResult::CallerGone;
    }
  }
  // Frees the upstream's slot before the caller is told of the end, so that its next request finds
  // it free.
  aReply.body_.reset();
  return aExchange.Finish() ? DeliveryResult::Complete : DeliveryResult::CallerGone;
}

} // namespace hemlockproxy::daemon::impl
