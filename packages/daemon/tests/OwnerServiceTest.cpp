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
