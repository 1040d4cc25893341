#pragma once

#include "hemlockproxy/daemon/ControlThread.h"
#include "hemlockproxy/runtime/HttpServer.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <atomic>

namespace hemlockproxy::daemon::test {

inline constexpr std::chrono::milliseconds kPatience{ 10000 };
inline constexpr std::chrono::milliseconds kPoll{ 5 };

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
                                                                         std::chrono::milliseconds,
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

inline runtime::LogFactory WithoutLog()
{
  return [](const auto&, const auto&, auto, const auto&) { return std::make_unique<NoLog>(); };
}

inline model::Address FreeAddress()
{
  auto io = std::make_shared<runtime::IoContext>(1);
  auto probe =
    runtime::HttpServer::Create(io, { "127.0.0.1", 0 }, {}, [](runtime::HttpExchange&) {});
  return (*probe)->LocalAddress();
}

inline wire::QuarantineRecords Suspects()
{
  return { { .fingerprint_ = decisions::MakeFingerprint("GET", "/look/poison", ""),
             .rejectedAge_ = std::chrono::milliseconds(1000),
             .rejections_ = 1 } };
}

inline LocalEndpoint EndpointOf(const char* aService)
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
  Node(const model::Address& aSelf,
       const model::Address& aSeed,
       wire::QuarantineRecords aKnown,
       runtime::LogFactory aMakeLog = WithoutLog())
    : self_(ToString(aSelf))
  {
    adapters_.makeLog_ = std::move(aMakeLog);
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

  void Tell(ControlMessage aMessage) { CHECK_TRUE(thread_->Tell(std::move(aMessage))); }
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
  Adapters adapters_;
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

} // namespace hemlockproxy::daemon::test
