#include "hemlockproxy/daemon/Dialect.h"
#include "hemlockproxy/daemon/Upstream.h"

#include "impl/Delivery.h"

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

  [[nodiscard]] BackendResponse ReadBackendResponse(const runtime::ResponseHeader& /*aHeader*/,
                                                    std::string_view /*aRequestId*/) const override
  {
    return {};
  }

  [[nodiscard]] std::string RetryAfter(std::chrono::milliseconds aTime) const override
  {
    // The standard field takes whole seconds.
    constexpr std::chrono::seconds kLeast{ 1 };
    return std::to_string(std::max(kLeast, std::chrono::ceil<std::chrono::seconds>(aTime)).count());
  }
};

} // namespace

DialectPtr MakeHemlockDialect()
{
  return std::make_shared<const HemlockDialect>();
}

} // namespace hemlockproxy::daemon
