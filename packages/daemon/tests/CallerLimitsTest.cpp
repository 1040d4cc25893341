#include "TrafficFixture.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::daemon;
using namespace hemlockproxy::daemon::test;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t kMegabyte = 1024ULL * 1024;
/// A rejection by length comes before any byte of the body.
constexpr milliseconds kRejection{ 300 };

/// An entry whose operator states a bound for bodies.
class LimitedEntry
{
public:
  LimitedEntry(const runtime::IoContextPtr& aIo,
               const model::Address& aOwner,
               std::uint64_t aBodyBytes)
    : io_(aIo)
  {
    SetBodyLimit(aOwner, aBodyBytes);
    owner_ = MakeOwner(aIo, surroundings_, aOwner);
    service_ = MakeEntry(aIo, surroundings_, *owner_);
    callers_.emplace(aIo, [this](auto& aExchange) { service_->Handle(aExchange); });
    callers_->Start();
  }
  ~LimitedEntry()
  {
    callers_.reset();
    boost::this_fiber::sleep_for(kSettle);
    service_->Stop();
  }
  LimitedEntry(const LimitedEntry&) = delete;
  LimitedEntry& operator=(const LimitedEntry&) = delete;

  void SetBodyLimit(const model::Address& aOwner, std::uint64_t aBodyBytes)
  {
    auto view = std::make_shared<TrafficView>(*MakeView({ aOwner }));
    auto configuration = std::make_shared<model::Configuration>(view->routes_->Configuration());
    configuration->callerLimits_.bodyBytes_ = aBodyBytes;
    view->routes_ = std::make_shared<const decisions::RouteIndex>(std::move(configuration));
    surroundings_.views_.Store(std::move(view));
  }
  /// Returns the status of the answer to the head of an upload, 0 when its body is waited for.
  unsigned AnswerToHead(std::uint64_t aLength)
  {
    auto connection =
      *runtime::HttpConnection::Connect(*io_, callers_->Address(), kExchangeTimeout);
    auto header = runtime::MakeRequest(runtime::http::verb::post, "/", callers_->Address());
    header.set(runtime::http::field::content_length, std::to_string(aLength));
    (void)connection->SendHeader(std::move(header), kExchangeTimeout);
    const auto answer = connection->ReadHeader(kRejection);
    return answer ? answer->result_int() : 0;
  }

private:
  runtime::IoContextPtr io_;
  Surroundings surroundings_;
  std::unique_ptr<OwnerService> owner_;
  std::unique_ptr<EntryService> service_;
  std::optional<Server> callers_;
};

} // namespace

TEST_GROUP(CallerLimits){};

// Guards against uploads that the configuration in force allows and the services' default rejects.
TEST(CallerLimits, ABodyOverTheServicesDefaultIsTakenWhereTheOperatorAllowsIt)
{
  runtime::RunInLoop([](const runtime::IoContextPtr& aIo) {
    CountingServer owner(aIo);
    LimitedEntry entry(aIo, owner.Address(), 64 * kMegabyte);
    LONGS_EQUAL(0, entry.AnswerToHead(9 * kMegabyte));
    LONGS_EQUAL(413, entry.AnswerToHead(65 * kMegabyte));
  });
}

// Guards against a limit that holds for later connections only, or for none.
TEST(CallerLimits, AChangeHoldsForTheNextRequest)
{
  runtime::RunInLoop([](const runtime::IoContextPtr& aIo) {
    CountingServer owner(aIo);
    LimitedEntry entry(aIo, owner.Address(), 8 * kMegabyte);
    LONGS_EQUAL(413, entry.AnswerToHead(9 * kMegabyte));
    entry.SetBodyLimit(owner.Address(), 64 * kMegabyte);
    LONGS_EQUAL(0, entry.AnswerToHead(9 * kMegabyte));
    entry.SetBodyLimit(owner.Address(), kMegabyte);
    LONGS_EQUAL(413, entry.AnswerToHead(2 * kMegabyte));
  });
}
