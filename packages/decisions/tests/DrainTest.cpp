#include "hemlockproxy/decisions/Drain.h"

#include <chrono>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::decisions;
using model::TimePoint;
using std::chrono::milliseconds;

namespace {

TimePoint At(int aMs)
{
  return TimePoint{} + milliseconds(aMs);
}

using Actions = std::vector<DrainAction>;

const Actions kCleanEnd{ DrainAction::CloseListeners,
                         DrainAction::LeaveMembership,
                         DrainAction::ExitClean };
const Actions kInterruptedEnd{ DrainAction::CloseListeners,
                               DrainAction::LeaveMembership,
                               DrainAction::ExitInterrupted };

} // namespace

TEST_GROUP(Drain)
{
  Drain drain_ = Drain::Create({}).Value();
};

TEST(Drain, IsNotCreatedWithALimitBelowTheNotice)
{
  const milliseconds ten(10);
  const milliseconds nine(9);
  CHECK_FALSE(Drain::Create({ .notice_ = ten, .handOver_ = nine, .limit_ = nine }).Ok());
  CHECK_FALSE(Drain::Create({ .notice_ = nine, .handOver_ = ten, .limit_ = ten }).Ok());
  CHECK_TRUE(Drain::Create({ .notice_ = ten, .handOver_ = ten, .limit_ = ten }).Ok());
}

// Guards against a daemon that ends without a signal.
TEST(Drain, AServingDaemonAcceptsAllAndDoesNotEnd)
{
  CHECK_TRUE(drain_.Tick(At(1000000), 0).empty());
  CHECK_TRUE(AcceptsForwards(drain_.State()));
  CHECK_TRUE(AcceptsCallers(drain_.State()));
  CHECK_FALSE(drain_.NextTick().has_value());
}

/// The daemon got a stop signal at time 0 with three requests in progress.
TEST_GROUP_BASE(DrainAfterStop, TEST_GROUP_CppUTestGroupDrain)
{
  Actions first_ = drain_.Stop(At(0), 3);
};

// Guards against a backend server without work for the whole notice: its daemon restarts, but it
// stays. In a rolling restart two of ten stood idle for 2 s each.
TEST(DrainAfterStop, AcceptsForwardsUntilTheHandover)
{
  CHECK_TRUE(first_ == Actions{ DrainAction::CloseIdleConnections });
  CHECK_TRUE(drain_.NextTick() == At(1600));
  CHECK_TRUE(drain_.Tick(At(1599), 3).empty());
  CHECK_TRUE(AcceptsForwards(drain_.State()));
  CHECK_TRUE(drain_.Tick(At(1600), 3) ==
             (Actions{ DrainAction::AnnounceLeaving, DrainAction::RejectForwards }));
  CHECK_FALSE(AcceptsForwards(drain_.State()));
}

// Guards against callers that are turned away although other endpoints can serve them.
TEST(DrainAfterStop, RejectsCallersAfterTheNotice)
{
  (void)drain_.Tick(At(1600), 3);
  CHECK_TRUE(AcceptsCallers(drain_.State()));
  CHECK_TRUE(drain_.NextTick() == At(2000));
  CHECK_TRUE(drain_.Tick(At(2000), 3) == Actions{ DrainAction::RejectCallers });
  CHECK_FALSE(AcceptsCallers(drain_.State()));
}

// Guards against a late tick that leaves out a step.
TEST(DrainAfterStop, ALateTickDoesAllStepsInOrder)
{
  CHECK_TRUE(drain_.Tick(At(2500), 3) == (Actions{ DrainAction::AnnounceLeaving,
                                                   DrainAction::RejectForwards,
                                                   DrainAction::RejectCallers }));
}

// Guards against connections that are refused before entries know that the daemon leaves, which
// could break a request on a reused connection.
TEST(DrainAfterStop, DoesNotEndBeforeTheNoticeEvenWhenIdle)
{
  LONGS_EQUAL(2, drain_.Tick(At(1600), 0).size());
  CHECK_TRUE(drain_.Tick(At(1999), 0).empty());
  Actions expected{ DrainAction::RejectCallers };
  expected.insert(expected.end(), kCleanEnd.begin(), kCleanEnd.end());
  CHECK_TRUE(drain_.Tick(At(2000), 0) == expected);
  CHECK_TRUE(drain_.Tick(At(2001), 0).empty());
}

// Guards against a planned stop that interrupts an export.
TEST(DrainAfterStop, WaitsForRequestsInProgress)
{
  LONGS_EQUAL(3, drain_.Tick(At(2000), 3).size());
  CHECK_TRUE(drain_.Tick(At(29000), 1).empty());
  CHECK_TRUE(drain_.Tick(At(29001), 0) == kCleanEnd);
}

// Guards against a daemon that never ends because of one request.
TEST(DrainAfterStop, EndsAtTheLimit)
{
  LONGS_EQUAL(3, drain_.Tick(At(2000), 3).size());
  CHECK_TRUE(drain_.NextTick() == At(30000));
  CHECK_TRUE(drain_.Tick(At(30000), 1) == kInterruptedEnd);
  CHECK_FALSE(drain_.NextTick().has_value());
}

// Guards against an operator who cannot end a daemon, and against a third signal that repeats the
// end.
TEST(DrainAfterStop, TheSecondSignalEndsAtOnceAndLaterOnesDoNothing)
{
  CHECK_TRUE(drain_.Stop(At(100), 2) == kInterruptedEnd);
  CHECK_TRUE(drain_.State() == DrainState::Ended);
  CHECK_TRUE(drain_.Stop(At(200), 2).empty());
}
