#include "hemlockproxy/decisions/Admission.h"

#include <chrono>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::decisions;
using model::TimePoint;
using std::chrono::milliseconds;

namespace {

constexpr double kFactor = 8;

TimePoint At(int aMs)
{
  return TimePoint{} + milliseconds(aMs);
}

} // namespace

TEST_GROUP(HangTime)
{
  Admission admission_ = Admission::Create(AdmissionOptions{ .slots_ = 1 }).Value();
  int nowMs_ = 0;
  std::uint64_t nextId_ = 0;

  /// Runs requests of one kind, one after the other.
  void Run(const std::string& aLabel, int aCount, int aWorkMs)
  {
    for (int i = 0; i < aCount; ++i) {
      const RequestId id(++nextId_);
      (void)admission_.Arrive(At(nowMs_),
                              { .id_ = id, .deadline_ = At(nowMs_ + 10000), .label_ = aLabel });
      nowMs_ += aWorkMs;
      (void)admission_.Finish(At(nowMs_), id);
    }
  }
};

// Guards against an ordinary request that is given up because too little is known of its kind.
TEST(HangTime, IsNotKnownBeforeAKindHasBeenSeenOften)
{
  CHECK_FALSE(admission_.HangTime(At(0), "lookup", kFactor).has_value());
  Run("lookup", 19, 50);
  CHECK_FALSE(admission_.HangTime(At(nowMs_), "lookup", kFactor).has_value());
  Run("lookup", 1, 50);
  CHECK_TRUE(admission_.HangTime(At(nowMs_), "lookup", kFactor) == milliseconds(400));
}

// Guards against a long kind that is given up by the time of a short one.
TEST(HangTime, IsThatOfTheKind)
{
  Run("lookup", 30, 50);
  Run("export", 30, 500);
  CHECK_TRUE(admission_.HangTime(At(nowMs_), "lookup", kFactor) == milliseconds(400));
  CHECK_TRUE(admission_.HangTime(At(nowMs_), "export", kFactor) == milliseconds(4000));
}

// Guards against a pause of some milliseconds that ends a short request, and against requests that
// are given up on a host that says it is slow.
TEST(HangTime, HasALeastValueAndFollowsTheHost)
{
  Run("call", 30, 5);
  CHECK_TRUE(admission_.HangTime(At(nowMs_), "call", kFactor) == milliseconds(150));
  Run("lookup", 30, 50);
  admission_.ObserveSlowdown(At(nowMs_), 3);
  CHECK_TRUE(admission_.HangTime(At(nowMs_), "lookup", kFactor) == milliseconds(1200));
}

// Guards against giving up all requests of a server that has become slower for good.
TEST(HangTime, GrowsWithRequestsThatWereGivenUp)
{
  Run("lookup", 30, 50);
  const RequestId id(++nextId_);
  (void)admission_.Arrive(At(nowMs_),
                          { .id_ = id, .deadline_ = At(nowMs_ + 10000), .label_ = "lookup" });
  nowMs_ += 400;
  (void)admission_.Finish(At(nowMs_), id, FinishKind::Aborted);
  CHECK_TRUE(*admission_.HangTime(At(nowMs_), "lookup", kFactor) > milliseconds(600));
}
