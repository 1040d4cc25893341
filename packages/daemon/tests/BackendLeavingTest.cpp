#include "OwnerFixture.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::daemon;
using namespace hemlockproxy::daemon::test;

TEST_GROUP(BackendLeaving){};

// Guards against new work for a backend server that says in its answers that it leaves.
TEST(BackendLeaving, OwnersSendNothingAfterAnAnswerThatSaysSo)
{
  runtime::RunInLoop([](const runtime::IoContextPtr& aIo) {
    CountingServer backend(aIo);
    const Owner owner(aIo, backend.Address());
    const auto request = ForwardedRequest(owner.Address());
    LONGS_EQUAL(200, StatusOf(*aIo, owner.Address(), request));
    backend.SetField("Hemlock-Leaving", "1");
    LONGS_EQUAL(200, StatusOf(*aIo, owner.Address(), request));
    LONGS_EQUAL(503, StatusOf(*aIo, owner.Address(), request));
    LONGS_EQUAL(2, backend.Requests());
  });
}
