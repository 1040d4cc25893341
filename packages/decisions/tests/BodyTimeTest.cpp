#include "hemlockproxy/decisions/BodyTime.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::decisions;
using namespace std::chrono_literals;

TEST_GROUP(BodyTime)
{
  const model::TimePoint start_{ 1h };
  BodyTime time_{ .timeout_ = start_ + 800ms, .stall_ = 10s };
};

// Guards against a silent sender that holds a request beyond its time-out.
TEST(BodyTime, APauseEndsAtTheTimeout)
{
  CHECK_TRUE(NextPartDue(time_, start_) == start_ + 800ms);
  CHECK_TRUE(NextPartDue(time_, start_ + 399ms) == start_ + 800ms);
}

// Guards against a long download that is cut although it makes progress.
TEST(BodyTime, ABodyInProgressGoesOnAfterTheTimeout)
{
  CHECK_TRUE(NextPartDue(time_, start_ + 790ms) == start_ + 1190ms);
  CHECK_TRUE(NextPartDue(time_, start_ + 60s) == start_ + 60s + 400ms);
}

TEST(BodyTime, NoBodyLastsLongerThanTheCallersDeadline)
{
  time_.end_ = start_ + 1s;
  CHECK_TRUE(NextPartDue(time_, start_ + 790ms) == start_ + 1s);
  CHECK_TRUE(NextPartDue(time_, start_ + 2s) < start_ + 2s);
}

TEST(BodyTime, APauseIsBoundedByTheStallTimeoutAtAnyTime)
{
  time_.stall_ = 100ms;
  CHECK_TRUE(NextPartDue(time_, start_) == start_ + 100ms);
  CHECK_TRUE(NextPartDue(time_, start_ + 2s) == start_ + 2s + 100ms);
}
