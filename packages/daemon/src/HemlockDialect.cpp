#include "hemlockproxy/daemon/Dialect.h"
#include "hemlockproxy/daemon/Upstream.h"

#include "hemlockproxy/model/Number.h"
#include "hemlockproxy/runtime/EventRing.h"

#include "impl/Delivery.h"

#include <cmath>

namespace hemlockproxy::daemon {

namespace {

namespace http = runtime::http;

class HemlockDialect final : public Dialect
{
public:
  [[nodiscard]] CallerRequest ReadCallerRequest(
    const runtime::RequestHeader& aHeader) const override
  {
    CallerRequest request;
    request.timeLeft_ = impl::ReadTimeLeft(aHeader);
    return request;
  }

  void WriteBackendRequest(runtime::RequestHeader& aHeader,
                           const BackendRequest& aRequest) const override
  {
    aHeader.set(kDeadlineField, std::to_string(aRequest.timeLeft_.count()));
  }

  [[nodiscard]] BackendResponse ReadBackendResponse(const runtime::ResponseHeader& aHeader,
                                                    std::string_view /*aRequestId*/) const override
  {
    BackendResponse response;
    response.status_.requestLimit_ = ReadRequestLimit(aHeader, kRequestLimitField);
    response.status_.leaving_ = aHeader[kLeavingField] == "1";
    return response;
  }

  [[nodiscard]] std::string RetryAfter(std::chrono::milliseconds aTime) const override
  {
    // The standard field takes whole seconds.
    constexpr std::chrono::seconds kLeast{ 1 };
    return std::to_string(std::max(kLeast, std::chrono::ceil<std::chrono::seconds>(aTime)).count());
  }
};

} // namespace

std::optional<double> ReadRequestLimit(const runtime::ResponseHeader& aHeader, const char* aField)
{
  const auto text = aHeader[aField];
  if (text.empty()) {
    return std::nullopt;
  }
  const auto limit = model::ParseNumber<double>(text);
  if (!limit || !std::isfinite(*limit) || *limit < 0) {
    runtime::Log(runtime::LogLevel::Warn,
                 "traffic",
                 std::string(aField) + " of a backend server ignored: found '" + std::string(text) +
                   "'; expected requests per second as a decimal number");
    return std::nullopt;
  }
  return limit;
}

DialectPtr MakeHemlockDialect()
{
  return std::make_shared<const HemlockDialect>();
}

} // namespace hemlockproxy::daemon
