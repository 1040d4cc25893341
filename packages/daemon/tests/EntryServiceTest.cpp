#include "TrafficFixture.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::daemon;
using namespace hemlockproxy::daemon::test;

namespace {

/// Runs a story with an entry whose only owner is a server that counts.
void WithEntry(
  const std::function<void(const runtime::IoContextPtr&, Server&, CountingServer&)>& aStory)
{
  runtime::RunInLoop([&](const runtime::IoContextPtr& aIo) {
    CountingServer owner(aIo);
    Surroundings surroundings;
    surroundings.views_.Store(MakeView({ owner.Address() }));
    const auto own = MakeOwner(aIo, surroundings, owner.Address());
    const auto entry = MakeEntry(aIo, surroundings, *own);
    {
      Server callers(aIo, [&](auto& aExchange) { entry->Handle(aExchange); });
      callers.Start();
      aStory(aIo, callers, owner);
    }
    entry->Stop();
  });
}

} // namespace

TEST_GROUP(EntryService){};

// Guards against work for a caller that left while its request waited to be read.
TEST(EntryService, ForwardsNothingForACallerThatLeftBeforeItsRequestWasRead)
{
  WithEntry([](const runtime::IoContextPtr& aIo, Server& aCallers, CountingServer& aOwner) {
    const auto request = runtime::MakeRequest(runtime::http::verb::get, "/", aCallers.Address());
    // Leaves an idle connection to the owner, on which a request is sent at once.
    LONGS_EQUAL(200, StatusOf(*aIo, aCallers.Address(), request));
    SendAndLeave(aCallers.Address(), request);
    boost::this_fiber::sleep_for(kSettle);
    LONGS_EQUAL(1, aOwner.Requests());
  });
}
