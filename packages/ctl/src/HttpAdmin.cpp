#include "hemlockproxy/ctl/AdminPort.h"
#include "hemlockproxy/runtime/HttpClient.h"

namespace hemlockproxy::ctl {

namespace {

/// Several times the size of a full event ring.
constexpr std::size_t kMaxBodyBytes = 64UL * 1024 * 1024;
constexpr std::chrono::milliseconds kIdleTime{ 1000 };

class HttpAdmin final : public AdminPort
{
public:
  HttpAdmin(runtime::IoContextPtr aIo, std::chrono::milliseconds aTimeout)
    : pool_(std::move(aIo), 1, kIdleTime)
    , timeout_(aTimeout)
  {
  }

  [[nodiscard]] model::Result<std::string, AdminError> Get(const model::Address& aAddress,
                                                           std::string_view aTarget) override
  {
    auto header = runtime::MakeRequest(runtime::http::verb::get, aTarget, aAddress);
    auto fetched = runtime::Fetch(pool_, aAddress, std::move(header), {}, timeout_, kMaxBodyBytes);
    if (!fetched) {
      return AdminError{ fetched.Error().message_ };
    }
    if (fetched->header_.result() != runtime::http::status::ok) {
      return AdminError{ "status " + std::to_string(fetched->header_.result_int()) };
    }
    return std::move(fetched->body_);
  }

private:
  runtime::HttpConnectionPool pool_;
  std::chrono::milliseconds timeout_;
};

} // namespace

std::unique_ptr<AdminPort> MakeHttpAdmin(runtime::IoContextPtr aIo,
                                         std::chrono::milliseconds aTimeout)
{
  return std::make_unique<HttpAdmin>(std::move(aIo), aTimeout);
}

} // namespace hemlockproxy::ctl
