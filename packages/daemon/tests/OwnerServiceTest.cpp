#include "TrafficFixture.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::daemon;
using namespace hemlockproxy::daemon::test;

namespace {

/// Runs a story with an owner whose backend server counts requests.
void WithOwner(
  const std::function<void(const runtime::IoContextPtr&, Server&, CountingServer&)>& aStory)
{
  runtime::RunInLoop([&](const runtime::IoContextPtr& aIo) {
    CountingServer backend(aIo);
    Surroundings surroundings;
    const auto owner = MakeOwner(aIo, surroundings, backend.Address());
    Server forward(aIo, [&](auto& aExchange) { owner->HandleForwarded(aExchange); });
    forward.Start();
    aStory(aIo, forward, backend);
  });
}

} // namespace

TEST_GROUP(OwnerService){};

// Guards against work for a caller that left while its request waited to be read.
TEST(OwnerService, SendsNothingOnForACallerThatLeftBeforeItsRequestWasRead)
{
  WithOwner([](const runtime::IoContextPtr& aIo, Server& aForward, CountingServer& aBackend) {
    const auto request = ForwardedRequest(aForward.Address());
    // Leaves an idle connection to the backend server, on which a request is sent at once.
    LONGS_EQUAL(200, StatusOf(*aIo, aForward.Address(), request));
    SendAndLeave(aForward.Address(), request);
    boost::this_fiber::sleep_for(kSettle);
    LONGS_EQUAL(1, aBackend.Requests());
  });
}

// Guards against a poison request that runs because it waited while the news of its crashes came.
TEST(OwnerService, RejectsAQueuedRequestThatPeersReportMeanwhile)
{
  runtime::RunInLoop([](const runtime::IoContextPtr& aIo) {
    CountingServer backend(aIo, 2 * kSettle);
    Surroundings surroundings;
    const auto owner = MakeOwner(aIo, surroundings, backend.Address(), 1);
    Server forward(aIo, [&](auto& aExchange) { owner->HandleForwarded(aExchange); });
    forward.Start();
    const auto request = ForwardedRequest(forward.Address());
    auto poison = request;
    poison.target("/poison");
    const auto first = SendRequest(*aIo, forward.Address(), request);
    boost::this_fiber::sleep_for(kSettle / 2);
    const auto second = SendRequest(*aIo, forward.Address(), poison);
    boost::this_fiber::sleep_for(kSettle / 2);
    decisions::QuarantineRecord record;
    record.fingerprint_ =
      decisions::MakeFingerprint("GET", "/poison", ToString(model::HashBytes("")));
    record.crashes_ = { { model::DaemonId("peer"), std::chrono::milliseconds(0) } };
    record.rejectedAge_ = std::chrono::milliseconds(0);
    record.rejections_ = 1;
    owner->MergeQuarantine({ record });
    CHECK_TRUE(first->ReadHeader(kExchangeTimeout).Ok());
    const auto header = second->ReadHeader(kExchangeTimeout);
    CHECK_TRUE(header.Ok());
    STRCMP_EQUAL("quarantined", std::string((*header)[kReasonField]).c_str());
    LONGS_EQUAL(1, backend.Requests());
  });
}
