#include "OwnerFixture.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::daemon;
using namespace hemlockproxy::daemon::test;

namespace {

/// Reads the id of the backend server from a field of its own.
class DialectWithHealth final : public Dialect
{
public:
  [[nodiscard]] CallerRequest ReadCallerRequest(
    const runtime::RequestHeader& aHeader) const override
  {
    return plain_->ReadCallerRequest(aHeader);
  }
  void WriteBackendRequest(runtime::RequestHeader& aHeader,
                           const BackendRequest& aRequest) const override
  {
    plain_->WriteBackendRequest(aHeader, aRequest);
  }
  [[nodiscard]] BackendResponse ReadBackendResponse(const runtime::ResponseHeader& aHeader,
                                                    std::string_view aId) const override
  {
    return plain_->ReadBackendResponse(aHeader, aId);
  }
  [[nodiscard]] std::optional<model::BackendId> ReadHealth(
    const runtime::ResponseHeader& aHeader) const override
  {
    return model::BackendId(std::string(aHeader["Test-Backend"]));
  }
  [[nodiscard]] std::string RetryAfter(std::chrono::milliseconds aTime) const override
  {
    return plain_->RetryAfter(aTime);
  }

private:
  DialectPtr plain_ = MakeHemlockDialect();
};

/// A view of a configuration with a health path.
TrafficViewPtr ViewWithHealthPath()
{
  model::ServiceConfig service;
  service.name_ = model::ServiceName("service");
  service.healthPath_ = "/healthz";
  auto configuration = std::make_shared<model::Configuration>();
  configuration->content_[service.name_] = model::MakeResource(service);
  auto view = std::make_shared<TrafficView>();
  view->routes_ = std::make_shared<const decisions::RouteIndex>(std::move(configuration));
  return view;
}

} // namespace

/// The owner of a daemon that has just started, beside a backend server that started before it.
TEST_GROUP(RestartedOwner)
{
  Surroundings surroundings_;
  std::optional<model::Endpoint> published_;

  std::unique_ptr<OwnerService> Start(const runtime::IoContextPtr& aIo,
                                      const model::Address& aBackend)
  {
    OwnerOptions options;
    options.dialect_ = std::make_shared<const DialectWithHealth>();
    options.daemonStart_ = model::WallTime(std::chrono::hours(1));
    auto owner = std::make_unique<OwnerService>(
      aIo,
      std::move(options),
      surroundings_.views_,
      surroundings_.metrics_,
      surroundings_.events_,
      [](const auto&) {},
      [this](const auto& aEndpoint) { published_ = aEndpoint; });
    model::BackendReport report;
    report.id_ = model::BackendId("i-7f");
    report.service_ = model::ServiceName("service");
    report.address_ = aBackend;
    report.startedAt_ = model::WallTime(std::chrono::minutes(1));
    report.sequence_ = 7;
    CHECK_TRUE(owner->Report(report));
    surroundings_.views_.Store(ViewWithHealthPath());
    owner->Tick();
    boost::this_fiber::sleep_for(kSettle);
    owner->Tick();
    return owner;
  }
};

// Guards against a backend server that left before the daemon restarted and gets new work because a
// late report of it arrives.
TEST(RestartedOwner, GivesNoWorkToABackendServerThatDoesNotConfirm)
{
  runtime::RunInLoop([this](const runtime::IoContextPtr& aIo) {
    CountingServer other(aIo);
    other.SetField("Test-Backend", "i-another");
    const auto owner = Start(aIo, other.Address());
    CHECK_TRUE(published_ && published_->draining_);
    Server forward(aIo, [&](auto& aExchange) { owner->HandleForwarded(aExchange); });
    forward.Start();
    const auto request = ForwardedRequest(forward.Address());
    LONGS_EQUAL(503, StatusOf(*aIo, forward.Address(), request));
    LONGS_EQUAL(1, other.Requests()); // The health check.
  });
}

// Guards against a backend server that stands idle for long after a restart of all daemons, because
// its first health check was rejected.
TEST(RestartedOwner, RepeatsAHealthCheckThatWasNotAnsweredWell)
{
  runtime::RunInLoop([this](const runtime::IoContextPtr& aIo) {
    CountingServer backend(aIo);
    const auto owner = Start(aIo, backend.Address());
    CHECK_TRUE(published_ && published_->draining_);
    backend.SetField("Test-Backend", "i-7f");
    for (int i = 0; i < 30 && published_->draining_; ++i) {
      boost::this_fiber::sleep_for(kSettle);
      owner->Tick();
    }
    CHECK_FALSE(published_->draining_);
    LONGS_EQUAL(2, backend.Requests());
  });
}

// Guards against a healthy backend server that waits for its next report after each restart.
TEST(RestartedOwner, GivesWorkToABackendServerThatAnswersAHealthCheck)
{
  runtime::RunInLoop([this](const runtime::IoContextPtr& aIo) {
    CountingServer backend(aIo);
    backend.SetField("Test-Backend", "i-7f");
    const auto owner = Start(aIo, backend.Address());
    CHECK_TRUE(published_ && !published_->draining_);
    Server forward(aIo, [&](auto& aExchange) { owner->HandleForwarded(aExchange); });
    forward.Start();
    LONGS_EQUAL(200, StatusOf(*aIo, forward.Address(), ForwardedRequest(forward.Address())));
  });
}

// Guards against an acknowledgement of a departure that only this process knows of, and against one
// that waits for peers for longer than a backend server waits for its answer.
TEST(RestartedOwner, AcknowledgesADepartureOncePeersRememberIt)
{
  runtime::RunInLoop([this](const runtime::IoContextPtr& aIo) {
    CountingServer backend(aIo);
    backend.SetField("Test-Backend", "i-7f");
    const auto owner = Start(aIo, backend.Address());
    std::vector<decisions::DepartureRecord> kept;
    std::function<void()> done;
    owner->SetKeepDeparture([&](decisions::DepartureRecord aDeparture, auto aDone) {
      kept.push_back(std::move(aDeparture));
      done = std::move(aDone);
    });
    bool acknowledged = false;
    runtime::SpawnFiber([&] {
      owner->BackendLeaves(model::BackendId("i-7f"));
      acknowledged = true;
    });
    boost::this_fiber::sleep_for(kSettle);
    CHECK_FALSE(published_.has_value());
    CHECK_FALSE(acknowledged);
    done();
    boost::this_fiber::sleep_for(kSettle);
    CHECK_TRUE(acknowledged);
    LONGS_EQUAL(1, kept.size());
    CHECK_TRUE(kept[0].startedAt_ == model::WallTime(std::chrono::minutes(1)));
    // Nobody answers for this one.
    owner->BackendLeaves(model::BackendId("i-80"));
    LONGS_EQUAL(2, kept.size());
  });
}

// Guards against a health check or a report that brings back what peers know to have left.
TEST(RestartedOwner, GivesNoWorkToWhatPeersRememberAsLeft)
{
  runtime::RunInLoop([this](const runtime::IoContextPtr& aIo) {
    CountingServer backend(aIo);
    backend.SetField("Test-Backend", "i-7f");
    const auto owner = Start(aIo, backend.Address());
    CHECK_TRUE(published_ && !published_->draining_);
    owner->RestoreDepartures(
      { { model::BackendId("i-7f"), model::WallTime(std::chrono::minutes(1)), {} } },
      decisions::kLatestReport);
    CHECK_FALSE(published_.has_value());
  });
}
