#include "TrafficFixture.h"

#include "RawServer.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::daemon;
using namespace hemlockproxy::daemon::test;
using model::RequestOutcome;
using std::chrono::milliseconds;

namespace {

/// Longer than it takes until a daemon that answers no probes counts as silent.
constexpr milliseconds kSilent{ 1200 };

/// An entry with the listener for its callers, whose ticks go on until its end.
class Entry
{
public:
  Entry(const runtime::IoContextPtr& aIo, const std::vector<model::Address>& aOwners)
  {
    surroundings_.views_.Store(MakeView(aOwners));
    owner_ = MakeOwner(aIo, surroundings_, aOwners.front());
    service_ = MakeEntry(aIo, surroundings_, *owner_);
    callers_.emplace(aIo, [this](auto& aExchange) { service_->Handle(aExchange); });
    callers_->Start();
    ticker_ = boost::fibers::fiber([this] {
      while (!stopping_) {
        service_->Tick();
        boost::this_fiber::sleep_for(kTick);
      }
    });
  }
  ~Entry()
  {
    stopping_ = true;
    ticker_.join();
    callers_.reset();
    // Probes and abandoned attempts use the service until they end.
    boost::this_fiber::sleep_for(kBackground);
    service_->Stop();
  }
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  [[nodiscard]] model::Address Address() const { return callers_->Address(); }
  [[nodiscard]] TrafficViewSlot& Views() { return surroundings_.views_; }
  [[nodiscard]] runtime::RequestHeader Request() const
  {
    return runtime::MakeRequest(runtime::http::verb::get, "/", Address());
  }
  void SetStopping() { service_->SetStopping(); }
  void RejectLateBodies() { service_->RejectLateBodies(); }

private:
  static constexpr milliseconds kTick{ 10 };
  static constexpr milliseconds kBackground{ 300 };

  Surroundings surroundings_;
  std::unique_ptr<OwnerService> owner_;
  std::unique_ptr<EntryService> service_;
  std::optional<Server> callers_;
  boost::fibers::fiber ticker_;
  bool stopping_ = false;
};

} // namespace

TEST_GROUP(EntryService){};

// Guards against work for a caller that left while its request waited to be read.
TEST(EntryService, ForwardsNothingForACallerThatLeftBeforeItsRequestWasRead)
{
  runtime::RunInLoop([](const runtime::IoContextPtr& aIo) {
    CountingServer owner(aIo);
    const Entry entry(aIo, { owner.Address() });
    // Leaves an idle connection to the owner, on which a request is sent at once.
    LONGS_EQUAL(200, StatusOf(*aIo, entry.Address(), entry.Request()));
    SendAndLeave(entry.Address(), entry.Request());
    boost::this_fiber::sleep_for(kSettle);
    LONGS_EQUAL(1, owner.Requests());
  });
}

TEST_GROUP(EntryServiceSilentOwner){};

// Guards against a request that is broken off at an owner that is at work, and then fails since no
// other takes it.
TEST(EntryServiceSilentOwner, LeavesTheFirstAttemptRunningWhileAnotherIsTried)
{
  runtime::RunInLoop([](const runtime::IoContextPtr& aIo) {
    CountingServer slow(aIo, kSilent);
    CountingServer full(aIo, milliseconds(0), RequestOutcome::NotRun);
    const Entry entry(aIo, { slow.Address(), full.Address() });
    LONGS_EQUAL(200, StatusOf(*aIo, entry.Address(), entry.Request()));
    LONGS_EQUAL(1, slow.Requests());
    LONGS_EQUAL(1, full.Requests());
  });
}

// Guards against a request that waits for an owner that never answers.
TEST(EntryServiceSilentOwner, TakesTheAnswerOfTheSecondAttemptAndCancelsTheFirst)
{
  runtime::RunInLoop([](const runtime::IoContextPtr& aIo) {
    CountingServer hanging(aIo, kExchangeTimeout);
    CountingServer well(aIo);
    const Entry entry(aIo, { hanging.Address(), well.Address() });
    LONGS_EQUAL(200, StatusOf(*aIo, entry.Address(), entry.Request()));
    LONGS_EQUAL(1, well.Requests());
    boost::this_fiber::sleep_for(kSettle);
    LONGS_EQUAL(1, hanging.Abandoned());
  });
}

// Guards against a second attempt that goes on for a caller that has left.
TEST(EntryServiceSilentOwner, CancelsBothAttemptsWhenTheCallerLeaves)
{
  runtime::RunInLoop([](const runtime::IoContextPtr& aIo) {
    CountingServer first(aIo, kExchangeTimeout);
    CountingServer second(aIo, kExchangeTimeout);
    const Entry entry(aIo, { first.Address(), second.Address() });
    const auto caller = SendRequest(*aIo, entry.Address(), entry.Request());
    boost::this_fiber::sleep_for(kSilent);
    LONGS_EQUAL(1, second.Requests());
    caller->Close();
    boost::this_fiber::sleep_for(kSettle);
    LONGS_EQUAL(1, first.Abandoned());
    LONGS_EQUAL(1, second.Abandoned());
  });
}

// Guards against a 404 by an old configuration for a route that the newest one may have.
TEST(EntryService, SaysThatARouteIsUnknownOnlyWhileItsConfigurationIsCurrent)
{
  runtime::RunInLoop([](const runtime::IoContextPtr& aIo) {
    CountingServer owner(aIo);
    Entry entry(aIo, { owner.Address() });
    entry.Views().Store(MakeView({ owner.Address() }, "/known/"));
    LONGS_EQUAL(503, StatusOf(*aIo, entry.Address(), entry.Request()));
    const auto now = std::chrono::steady_clock::now();
    entry.Views().SetCurrentAsOf(now);
    LONGS_EQUAL(404, StatusOf(*aIo, entry.Address(), entry.Request()));
    entry.Views().SetCurrentAsOf(now - EntryOptions().applyWithin_);
    LONGS_EQUAL(503, StatusOf(*aIo, entry.Address(), entry.Request()));
    auto known = entry.Request();
    known.target("/known/");
    LONGS_EQUAL(200, StatusOf(*aIo, entry.Address(), known));
  });
}

// Guards against a request that is passed on late in a planned stop and cut at its end.
TEST(EntryService, ForwardsNoRequestWhoseBodyComesAfterTheEndOfAdmission)
{
  runtime::RunInLoop([](const runtime::IoContextPtr& aIo) {
    CountingServer owner(aIo);
    Entry entry(aIo, { owner.Address() });
    const auto before = SendHead(*aIo, entry.Address(), entry.Request());
    LONGS_EQUAL(200, FinishRequest(*before));
    const auto late = SendHead(*aIo, entry.Address(), entry.Request());
    boost::this_fiber::sleep_for(kSettle);
    entry.RejectLateBodies();
    LONGS_EQUAL(503, FinishRequest(*late));
    LONGS_EQUAL(1, owner.Requests());
  });
}

TEST_GROUP(EntryServiceBrokenBody)
{
  /// An owner whose responses break off before the first byte of their bodies.
  RawServer broken_{ [](RawServer::Socket& aSocket, int) {
                      (void)ReadRequest(aSocket, true);
                      Write(aSocket,
                            "HTTP/1.1 200 OK\r\nHemlock-Outcome: answered\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n");
                    },
                     kConnections };
  static constexpr int kConnections = 100;
};

// Guards against a caller that gets a response which broke off, although nothing of it had been
// sent to the caller and another endpoint would have answered.
TEST(EntryServiceBrokenBody, ARepeatableRequestIsTriedElsewhereBeforeTheFirstByte)
{
  runtime::RunInLoop([this](const runtime::IoContextPtr& aIo) {
    CountingServer well(aIo);
    const Entry entry(aIo, { broken_.Address(), well.Address() });
    runtime::HttpConnectionPool pool(aIo, 1, kExchangeTimeout);
    const auto response =
      runtime::Fetch(pool, entry.Address(), entry.Request(), {}, kExchangeTimeout, 1024);
    CHECK_TRUE(response.Ok());
    STRCMP_EQUAL("ok", response->body_.c_str());
    LONGS_EQUAL(1, well.Requests());
  });
}

TEST(EntryServiceBrokenBody, AnUnsafeRequestIsNotRepeated)
{
  runtime::RunInLoop([this](const runtime::IoContextPtr& aIo) {
    CountingServer well(aIo);
    const Entry entry(aIo, { broken_.Address(), well.Address() });
    auto request = entry.Request();
    request.method(runtime::http::verb::post);
    LONGS_EQUAL(502, StatusOf(*aIo, entry.Address(), std::move(request)));
    LONGS_EQUAL(0, well.Requests());
  });
}
