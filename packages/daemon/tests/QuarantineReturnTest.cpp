#include "QuarantineNode.h"

using namespace hemlockproxy;
using namespace hemlockproxy::daemon;
using namespace hemlockproxy::daemon::test;

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
