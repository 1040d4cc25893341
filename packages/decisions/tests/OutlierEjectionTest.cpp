#include "hemlockproxy/decisions/OutlierEjection.h"

#include <chrono>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::decisions;
using model::DaemonId;
using model::RefusalReason;
using model::RequestOutcome;
using model::TimePoint;
using std::chrono::milliseconds;

namespace {

TimePoint At(int aMs)
{
  return TimePoint{} + milliseconds(aMs);
}

DaemonId Endpoint(int aNumber)
{
  return DaemonId("10.0.0." + std::to_string(aNumber) + ":1");
}

} // namespace

TEST_GROUP(OutlierEjection)
{
  OutlierEjection ejection_ = OutlierEjection::Create({}).Value();

  void List(int aCount)
  {
    std::vector<DaemonId> ids;
    ids.reserve(static_cast<std::size_t>(aCount));
    for (int number = 0; number < aCount; ++number) {
      ids.push_back(Endpoint(number));
    }
    ejection_.SetEndpoints(ids);
  }

  void Observe(int aEndpoint, int aNowMs, AttemptVerdict aVerdict, int aCount, int aLatencyMs = 50)
  {
    for (int i = 0; i < aCount; ++i) {
      ejection_.Observe(At(aNowMs), Endpoint(aEndpoint), aVerdict, milliseconds(aLatencyMs));
    }
  }

  bool Ejected(int aEndpoint, int aNowMs) const
  {
    return ejection_.IsEjected(At(aNowMs), Endpoint(aEndpoint));
  }
};

TEST(OutlierEjection, RejectsOptionsThatCannotWork)
{
  CHECK_FALSE(OutlierEjection::Create({ .maximumShare_ = 1.5 }).Ok());
  CHECK_FALSE(OutlierEjection::Create({ .baseEjection_ = milliseconds(0) }).Ok());
}

// Guards against an endpoint that fails every request and stays in the choice.
TEST(OutlierEjection, ConsecutiveFailuresEjectAndSuccessStartsOver)
{
  List(4);
  Observe(0, 0, AttemptVerdict::Failure, 4);
  Observe(0, 0, AttemptVerdict::Success, 1);
  Observe(0, 0, AttemptVerdict::Failure, 4);
  CHECK_FALSE(Ejected(0, 0));
  Observe(0, 0, AttemptVerdict::Failure, 1);
  CHECK_TRUE(Ejected(0, 0));
  CHECK_TRUE(Ejected(0, 4999));
  CHECK_FALSE(Ejected(0, 5000));
}

// Guards against an endpoint that fails part of its requests, never five in a row.
TEST(OutlierEjection, AFailureShareFarAboveTheOthersEjects)
{
  List(4);
  Observe(1, 0, AttemptVerdict::Success, 30);
  for (int round = 0; round < 12; ++round) {
    Observe(0, round, AttemptVerdict::Success, 1);
    Observe(0, round, AttemptVerdict::Failure, 1);
  }
  CHECK_TRUE(Ejected(0, 12));
}

// Guards against ejection for a fault that all endpoints share, which only moves the load.
TEST(OutlierEjection, AFailureShareLikeTheOthersDoesNotEject)
{
  List(4);
  for (int round = 0; round < 20; ++round) {
    for (int endpoint = 0; endpoint < 4; ++endpoint) {
      Observe(endpoint, round, AttemptVerdict::Success, 1);
      Observe(endpoint, round, AttemptVerdict::Failure, 1);
    }
  }
  LONGS_EQUAL(0, ejection_.EjectedCount(At(20)));
}

// Guards against a slow endpoint that never fails.
TEST(OutlierEjection, LatencyFarAboveTheMedianEjects)
{
  List(4);
  for (int endpoint = 1; endpoint < 4; ++endpoint) {
    Observe(endpoint, 0, AttemptVerdict::Success, 5, 50);
  }
  Observe(0, 0, AttemptVerdict::Success, 19, 250);
  CHECK_FALSE(Ejected(0, 0));
  DOUBLES_EQUAL(5, ejection_.RelativeLatency(Endpoint(0)), 0.01);
  Observe(0, 0, AttemptVerdict::Success, 1, 250);
  CHECK_TRUE(Ejected(0, 0));
}

// Guards against ejection of an endpoint because it is busy or its callers left.
TEST(OutlierEjection, RefusalsAndCancellationsDoNotCount)
{
  List(4);
  Observe(0, 0, AttemptVerdict::Refused, 50);
  Observe(0, 0, AttemptVerdict::Cancelled, 50);
  CHECK_FALSE(Ejected(0, 0));
  CHECK_TRUE(AttemptVerdict::Refused ==
             JudgeAttempt(RequestOutcome::NotRun, RefusalReason::QueueFull, ResponseKind::Normal));
  CHECK_TRUE(AttemptVerdict::Failure == JudgeAttempt(RequestOutcome::NotRun,
                                                     RefusalReason::ConnectFailed,
                                                     ResponseKind::Normal));
  CHECK_TRUE(AttemptVerdict::Failure == JudgeAttempt(RequestOutcome::Answered,
                                                     RefusalReason::None,
                                                     ResponseKind::ServerError));
}

// Guards against an endpoint that is blamed for request bodies that callers never complete.
TEST(OutlierEjection, TheCallersFaultsDoNotCount)
{
  for (const RefusalReason reason : { RefusalReason::MalformedBody,
                                      RefusalReason::CallerFailed,
                                      RefusalReason::CallerSlow,
                                      RefusalReason::BodyTooLarge }) {
    for (const RequestOutcome outcome : { RequestOutcome::NotRun, RequestOutcome::Unknown }) {
      CHECK_TRUE(AttemptVerdict::Cancelled == JudgeAttempt(outcome, reason, ResponseKind::Normal));
    }
  }
}

// Guards against ejection of so many endpoints that the rest is overloaded.
TEST(OutlierEjection, TheShareIsCapped)
{
  List(7);
  for (int endpoint = 0; endpoint < 7; ++endpoint) {
    Observe(endpoint, 0, AttemptVerdict::Failure, 5);
  }
  LONGS_EQUAL(3, ejection_.EjectedCount(At(0)));
}

// Guards against a broken endpoint that gets five requests again after each short ejection.
TEST(OutlierEjection, TheTimeGrowsAndOneFailureIsEnoughAfterwards)
{
  List(4);
  Observe(0, 0, AttemptVerdict::Failure, 5);
  CHECK_FALSE(Ejected(0, 5000));
  Observe(0, 5000, AttemptVerdict::Failure, 1);
  CHECK_TRUE(Ejected(0, 14999));
  CHECK_FALSE(Ejected(0, 15000));
}

// Guards against an endpoint that is punished for failures of long ago.
TEST(OutlierEjection, TheTimeShrinksAgainWithService)
{
  List(4);
  Observe(0, 0, AttemptVerdict::Failure, 5);
  Observe(0, 5000, AttemptVerdict::Failure, 1);
  Observe(0, 60000, AttemptVerdict::Success, 1);
  Observe(0, 60000, AttemptVerdict::Failure, 5);
  CHECK_TRUE(Ejected(0, 60000));
  CHECK_FALSE(Ejected(0, 65000));
}
