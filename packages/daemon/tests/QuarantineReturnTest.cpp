#include "hemlockproxy/daemon/ControlThread.h"
#include "hemlockproxy/runtime/HttpServer.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <atomic>

using namespace hemlockproxy;
using namespace hemlockproxy::daemon;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kPatience{ 10000 };
constexpr milliseconds kPoll{ 5 };

/// A log that cannot be reached.
class NoLog final : public runtime::LogPort
{
public:
  [[nodiscard]] model::Result<runtime::LogPosition, runtime::LogError> Append(
    std::string_view,
    std::string_view) override
  {
    return runtime::LogError{};
  }
  [[nodiscard]] model::Result<runtime::LogBatch, runtime::LogError> Read(std::string_view,
                                                                         model::LogOffset,
                                                                         milliseconds,
                                                                         std::size_t) override
  {
    return runtime::LogError{};
  }
  [[nodiscard]] model::Result<runtime::LogPosition, runtime::LogError>
  Put(std::string_view, std::string_view, std::string_view) override
  {
    return runtime::LogError{};
  }
  [[nodiscard]] model::Result<runtime::LogBatch, runtime::LogError> ReadNewest(
    std::string_view) override
  {
    return runtime::LogError{};
  }
  [[nodiscard]] model::Result<runtime::LogBatch, runtime::LogError> ReadNewestPage(
    std::string_view,
    std::string_view) override
  {
    return runtime::LogError{};
  }
};

Adapters WithoutLog()
{
  Adapters adapters;
  adapters.makeLog_ = [](const auto&, const auto&, auto, const auto&) {
    return std::make_unique<NoLog>();
  };
  return adapters;
}

model::Address FreeAddress()
{
  auto io = std::make_shared<runtime::IoContext>(1);
  auto probe =
    runtime::HttpServer::Create(io, { "127.0.0.1", 0 }, {}, [](runtime::HttpExchange&) {});
  return (*probe)->LocalAddress();
}

wire::QuarantineRecords Suspects()
{
  return { { .fingerprint_ = decisions::MakeFingerprint("GET", "/look/poison", ""),
             .rejectedAge_ = milliseconds(1000),
             .rejections_ = 1 } };
}

LocalEndpoint EndpointOf(const char* aService)
{
  model::Endpoint endpoint;
  endpoint.service_ = model::ServiceName(aService);
  endpoint.slots_ = 4;
  endpoint.connections_ = 4;
  return { endpoint };
}

/// A control thread whose traffic thread is this object.
class Node
{
public:
  Node(const model::Address& aSelf, const model::Address& aSeed, wire::QuarantineRecords aKnown)
    : self_(ToString(aSelf))
  {
    Settings settings;
    settings.name_ = ToString(aSelf);
    settings.region_ = model::Region("scot-central");
    settings.domain_ = model::FailureDomain("leith");
    settings.control_ = settings.advertiseControl_ = aSelf;
    settings.forward_ = settings.advertiseForward_ = { aSelf.ip_, 1 };
    settings.seeds_ = { aSeed };
    thread_ = *ControlThread::Create(settings, adapters_, views_, status_, metrics_, events_);
    thread_->SetReadQuarantine([known = std::move(aKnown)](const auto& aReader) {
      aReader(known);
      return true;
    });
    thread_->OnDepartures([](const auto&, const auto&) { return true; });
    thread_->OnQuarantine([this](const wire::QuarantineRecords& aRecords) {
      publishedBefore_ = publishedBefore_ || PublishesOwn();
      received_ += static_cast<int>(aRecords.size());
      return true;
    });
    thread_->Start();
  }
  ~Node() { thread_->Stop(); }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  void Tell(LocalEndpoint aEndpoint) { CHECK_TRUE(thread_->Tell(std::move(aEndpoint))); }
  [[nodiscard]] bool PublishesOwn() const
  {
    const auto view = views_.Load();
    return std::any_of(view->endpoints_.begin(), view->endpoints_.end(), [this](const auto& aOne) {
      return aOne->id_ == self_;
    });
  }
  [[nodiscard]] std::size_t Known() const { return views_.Load()->endpoints_.size(); }
  std::atomic<int> received_{ 0 };
  /// The own endpoint was known before the records of other owners were.
  std::atomic<bool> publishedBefore_{ false };

private:
  model::DaemonId self_;
  Adapters adapters_ = WithoutLog();
  TrafficViewSlot views_;
  StatusSlot status_;
  runtime::Metrics metrics_;
  runtime::EventRing events_{ 64 };
  std::unique_ptr<ControlThread> thread_;
};

template <typename Condition>
bool Eventually(Condition aCondition)
{
  const auto end = std::chrono::steady_clock::now() + kPatience;
  while (!aCondition() && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(kPoll);
  }
  return aCondition();
}

} // namespace

TEST_GROUP(QuarantineReturn){};

// Guards against a restarted daemon whose backend server runs a request that the other owners of
// its service reject, and crashes again.
TEST(QuarantineReturn, ADaemonHearsOfSuspectsBeforeItsEndpointIsPublished)
{
  const auto first = FreeAddress();
  const auto second = FreeAddress();
  Node stayed(first, second, Suspects());
  stayed.Tell(EndpointOf("portal"));
  CHECK_TRUE(Eventually([&] { return stayed.PublishesOwn(); }));
  Node restarted(second, first, {});
  restarted.Tell(EndpointOf("portal"));
  CHECK_TRUE(Eventually([&] { return restarted.received_ > 0; }));
  CHECK_TRUE(Eventually([&] { return restarted.Known() == 2 && stayed.Known() == 2; }));
  LONGS_EQUAL(1, restarted.received_);
  CHECK_FALSE(restarted.publishedBefore_);
}

// Guards against an endpoint that stays unpublished because no member can be reached.
TEST(QuarantineReturn, WithoutMembersTheEndpointIsPublishedAllTheSame)
{
  Node alone(FreeAddress(), FreeAddress(), {});
  alone.Tell(EndpointOf("portal"));
  CHECK_TRUE(Eventually([&] { return alone.PublishesOwn(); }));
}
