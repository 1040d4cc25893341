#include "hemlockproxy/decisions/HostSlowdown.h"
#include "hemlockproxy/decisions/Admission.h"

#include <chrono>
#include <variant>

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::decisions;
using model::RefusalReason;
using model::TimePoint;
using std::chrono::milliseconds;

namespace {

constexpr double kTolerance = 0.02;

TimePoint At(int aMs)
{
  return TimePoint{} + milliseconds(aMs);
}

bool Runs(const AdmissionVerdict& aVerdict)
{
  return std::holds_alternative<RunRequest>(aVerdict);
}

RefusalReason Reason(const AdmissionVerdict& aVerdict)
{
  const auto* reject = std::get_if<RejectRequest>(&aVerdict);
  return reject ? reject->reason_ : RefusalReason::None;
}

} // namespace

TEST_GROUP(HostSlowdown){};

// Guards against estimates that change where hosts report no slowdown.
TEST(HostSlowdown, IsOneWithoutReports)
{
  const HostSlowdown slowdown;
  DOUBLES_EQUAL(1, slowdown.Factor(At(1000)), 0);
}

// Guards against a short slow phase that scales the estimates long after it.
TEST(HostSlowdown, AnOldReportGivesWayToTheMean)
{
  HostSlowdown slowdown;
  for (int ms = 0; ms < 1000; ++ms) {
    slowdown.Observe(At(ms), 1);
  }
  slowdown.Observe(At(1000), 4);
  DOUBLES_EQUAL(4, slowdown.Factor(At(1000)), kTolerance);
  DOUBLES_EQUAL(2.5, slowdown.Factor(At(1200)), kTolerance);
  CHECK_TRUE(slowdown.Factor(At(3000)) < 1.1);
}

/// A backend server with two slots whose requests take 100 ms at the usual speed.
TEST_GROUP(AdmissionWithSlowdown)
{
  Admission admission_ = Admission::Create(AdmissionOptions{ .slots_ = 2 }).Value();
  std::uint64_t nextId_ = 0;

  AdmissionVerdict Arrive(int aNowMs, int aDeadlineMs)
  {
    return admission_.Arrive(At(aNowMs), RequestId(++nextId_), At(aDeadlineMs));
  }
  void setup() override
  {
    admission_.ObserveSlowdown(At(0), 1);
    CHECK_TRUE(Runs(Arrive(0, 100000)));
    CHECK_TRUE(admission_.Finish(At(100), RequestId(nextId_)).empty());
    CHECK_TRUE(Runs(Arrive(100, 100000)));
  }
};

// Guards against a request that starts on a host too slow for its deadline, and against one that is
// rejected after the host has recovered.
TEST(AdmissionWithSlowdown, TheServiceTimeFollowsTheHost)
{
  admission_.ObserveSlowdown(At(100), 3);
  CHECK_TRUE(RefusalReason::DeadlineTooShort == Reason(Arrive(100, 300)));
  admission_.ObserveSlowdown(At(110), 1);
  CHECK_TRUE(Runs(Arrive(110, 310)));
}

// Guards against counting a slow host twice: by the service times seen and by its report.
TEST(AdmissionWithSlowdown, ObservedTimesAreTakenAtTheUsualSpeed)
{
  admission_.ObserveSlowdown(At(100), 4);
  CHECK_TRUE(Runs(Arrive(100, 100000)));
  admission_.ObserveSlowdown(At(500), 4);
  CHECK_TRUE(admission_.Finish(At(500), RequestId(nextId_)).empty());
  using Milliseconds = std::chrono::duration<double, std::milli>;
  const Milliseconds mean = admission_.MeanServiceTime();
  DOUBLES_EQUAL(100, mean.count(), 1);
}
