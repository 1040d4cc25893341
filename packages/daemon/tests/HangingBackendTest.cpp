#include "TrafficFixture.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::daemon;
using namespace hemlockproxy::daemon::test;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kWork{ 10 };
constexpr double kHangFactor = 8;
/// Far beyond the work of a request, and below the deadline.
constexpr milliseconds kLongestGiveUp{ 1000 };
constexpr const char* kDeadlineMs = "1400";
/// Enough requests for an estimate of the service time.
constexpr int kLearned = 24;

/// A backend server that never answers requests for /hang.
class HangingServer
{
public:
  explicit HangingServer(const runtime::IoContextPtr& aIo)
    : server_(aIo, [this](runtime::HttpExchange& aExchange) { Handle(aExchange); })
  {
    server_.Start();
  }
  ~HangingServer() { stopped_ = true; }
  HangingServer(const HangingServer&) = delete;
  HangingServer& operator=(const HangingServer&) = delete;

  [[nodiscard]] model::Address Address() const { return server_.Address(); }
  /// Returns how many hanging requests lost their connection.
  [[nodiscard]] int Closed() const noexcept { return closed_; }

private:
  void Handle(runtime::HttpExchange& aExchange)
  {
    if (aExchange.Request().target() == "/hang") {
      bool left = false;
      aExchange.OnCallerClosed([&left] { left = true; });
      while (!left && !stopped_) {
        boost::this_fiber::sleep_for(kPoll);
      }
      closed_ += left ? 1 : 0;
      aExchange.Abort();
      return;
    }
    boost::this_fiber::sleep_for(kWork);
    (void)aExchange.SendResponse(runtime::http::status::ok, "ok", "text/plain");
  }

  bool stopped_ = false;
  int closed_ = 0;
  Server server_;
};

runtime::RequestHeader RequestFor(const Server& aOwner, const char* aPath)
{
  auto header = ForwardedRequest(aOwner.Address());
  header.target(aPath);
  header.set(kDeadlineField, kDeadlineMs);
  return header;
}

struct HangOutcome
{
  std::string outcome_;
  model::Duration took_{};
};

/// Sends a request that hangs, after others of its kind that were answered.
HangOutcome AskAndHang(runtime::IoContext& aIo, const Server& aOwner)
{
  for (int i = 0; i < kLearned; ++i) {
    LONGS_EQUAL(200, StatusOf(aIo, aOwner.Address(), RequestFor(aOwner, "/")));
  }
  const auto started = std::chrono::steady_clock::now();
  const auto connection = SendRequest(aIo, aOwner.Address(), RequestFor(aOwner, "/hang"));
  const auto header = connection->ReadHeader(kExchangeTimeout);
  CHECK_TRUE(header.Ok());
  return { std::string((*header)[kOutcomeField]), std::chrono::steady_clock::now() - started };
}

} // namespace

TEST_GROUP(HangingBackend)
{
  Surroundings surroundings_;

  std::unique_ptr<OwnerService> Make(
    const runtime::IoContextPtr& aIo, const model::Address& aBackend, double aHangFactor)
  {
    OwnerOptions options;
    options.self_ = model::DaemonId("owner");
    options.dialect_ = MakeHemlockDialect();
    options.hangFactor_ = aHangFactor;
    auto owner = std::make_unique<OwnerService>(
      aIo,
      std::move(options),
      surroundings_.views_,
      surroundings_.metrics_,
      surroundings_.events_,
      [](const auto&) {},
      [](const auto&) {});
    model::BackendReport report;
    report.service_ = model::ServiceName("service");
    report.address_ = aBackend;
    report.slots_ = 2;
    owner->Report(report);
    return owner;
  }
};

// Guards against a request that waits until its deadline for a backend server that dropped it, so
// that no time is left for another one, and against a connection on which nothing is answered any
// more and which later requests use.
TEST(HangingBackend, ARequestFarBeyondItsKindIsGivenUpAndItsConnectionClosed)
{
  runtime::RunInLoop([this](const runtime::IoContextPtr& aIo) {
    HangingServer backend(aIo);
    const auto owner = Make(aIo, backend.Address(), kHangFactor);
    Server forward(aIo, [&](auto& aExchange) { owner->HandleForwarded(aExchange); });
    forward.Start();
    const HangOutcome hung = AskAndHang(*aIo, forward);
    STRCMP_EQUAL("unknown", hung.outcome_.c_str());
    CHECK_TRUE(hung.took_ < kLongestGiveUp);
    boost::this_fiber::sleep_for(kSettle);
    LONGS_EQUAL(1, backend.Closed());
    LONGS_EQUAL(200, StatusOf(*aIo, forward.Address(), RequestFor(forward, "/")));
  });
}

// Guards against a deployment without the setting whose slow requests are given up.
TEST(HangingBackend, WithoutTheSettingARequestWaitsUntilItsDeadline)
{
  runtime::RunInLoop([this](const runtime::IoContextPtr& aIo) {
    HangingServer backend(aIo);
    const auto owner = Make(aIo, backend.Address(), 0);
    Server forward(aIo, [&](auto& aExchange) { owner->HandleForwarded(aExchange); });
    forward.Start();
    CHECK_TRUE(AskAndHang(*aIo, forward).took_ > kLongestGiveUp);
  });
}
