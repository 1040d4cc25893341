#include "hemlockproxy/decisions/BodyTime.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::decisions;
using namespace std::chrono_literals;

TEST_GROUP(BodyTime)
{
  const model::TimePoint start{ 1h };
  BodyTime time{ .timeout_ = start + 800ms, .stall_ = 10s };
};

// Guards against a silent sender that holds a request beyond its time-out.
TEST(BodyTime, APauseEndsAtTheTimeout)
{
  CHECK_TRUE(NextPartDue(time, start) == start + 800ms);
  CHECK_TRUE(NextPartDue(time, start + 399ms) == start + 800ms);
}

// Guards against a long download that is cut although it makes progress.
TEST(BodyTime, ABodyInProgressGoesOnAfterTheTimeout)
{
  CHECK_TRUE(NextPartDue(time, start + 790ms) == start + 1190ms);
  CHECK_TRUE(NextPartDue(time, start + 60s) == start + 60s + 400ms);
}

TEST(BodyTime, NoBodyLastsLongerThanTheCallersDeadline)
{
  time.end_ = start + 1s;
  CHECK_TRUE(NextPartDue(time, start + 790ms) == start + 1s);
  CHECK_TRUE(NextPartDue(time, start + 2s) < start + 2s);
}

TEST(BodyTime, APauseIsBoundedByTheStallTimeoutAtAnyTime)
{
  time.stall_ = 100ms;
  CHECK_TRUE(NextPartDue(time, start) == start + 100ms);
  CHECK_TRUE(NextPartDue(time, start + 2s) == start + 2s + 100ms);
}
