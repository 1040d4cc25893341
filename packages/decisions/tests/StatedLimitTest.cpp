#include "hemlockproxy/decisions/StatedLimit.h"
#include "hemlockproxy/decisions/Admission.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::decisions;
using namespace std::chrono_literals;

namespace {

constexpr double kPerSecond = 40;
constexpr auto kDeadline = 1000ms;

model::TimePoint At(std::chrono::milliseconds aTime)
{
  return model::TimePoint() + 1h + aTime;
}

} // namespace

TEST_GROUP(StatedLimit)
{
  StatedLimit limit_;
};

TEST(StatedLimit, HoldsWhileResponsesStateIt)
{
  CHECK_FALSE(limit_.PerSecond().has_value());
  CHECK_TRUE(limit_.Observe(At(0ms), At(100ms), 43.0));
  CHECK_FALSE(limit_.Observe(At(100ms), At(200ms), 43.0));
  DOUBLES_EQUAL(43.0, *limit_.PerSecond(), 0);
  CHECK_TRUE(limit_.Observe(At(200ms), At(300ms), 32.2));
  CHECK_TRUE(limit_.Observe(At(400ms), At(500ms), std::nullopt));
  CHECK_FALSE(limit_.PerSecond().has_value());
}

// Guards against a limit that ends with a response that was sent before the limit was stated.
TEST(StatedLimit, OutlastsResponsesThatWereOvertaken)
{
  (void)limit_.Observe(At(50ms), At(100ms), 43.0);
  CHECK_FALSE(limit_.Observe(At(90ms), At(200ms), std::nullopt));
  CHECK_TRUE(limit_.PerSecond().has_value());
}

/// An endpoint with far more slots than its stated limit needs.
TEST_GROUP(StatedLimitAdmission)
{
  Admission admission_ = *Admission::Create({ .slots_ = 100 });
  RequestId last_;
  std::size_t starts_ = 0;

  template <typename Actions>
  void CountStarts(const Actions& aActions)
  {
    for (const auto& action : aActions) {
      if (const auto* run = std::get_if<RunRequest>(&action)) {
        ++starts_;
        running_.push_back(run->id_);
      }
    }
  }
  /// Lets a request arrive each 2 ms and end 20 ms later.
  void Run(std::chrono::milliseconds aFrom, std::chrono::milliseconds aTo)
  {
    for (auto time = aFrom; time < aTo; time += 2ms) {
      last_ = last_.Next();
      const auto verdict = admission_.Arrive(At(time), last_, At(time) + kDeadline);
      if (const auto* run = std::get_if<RunRequest>(&verdict)) {
        CountStarts(std::vector<AdmissionAction>{ *run });
      }
      CountStarts(admission_.Tick(At(time)));
      if (running_.size() > 10) {
        const RequestId ended = running_.front();
        running_.erase(running_.begin());
        CountStarts(admission_.Finish(At(time), ended));
      }
    }
  }
  std::vector<RequestId> running_;
};

// Guards against more starts than the backend server takes, while they arrive faster or wait.
TEST(StatedLimitAdmission, StartsNoMoreThanTheLimit)
{
  CountStarts(admission_.SetPace(At(0ms), kPerSecond));
  Run(0ms, 4000ms);
  CHECK_TRUE(starts_ <= 4 * kPerSecond + kPerSecond / 10);
  CHECK_TRUE(starts_ >= 4 * kPerSecond * 0.95);
}

// Guards against requests that are held although the limit lets none of them start in time.
TEST(StatedLimitAdmission, RejectsAtOnceWhatCannotStartInTime)
{
  CountStarts(admission_.SetPace(At(0ms), kPerSecond));
  Run(0ms, 4000ms);
  CHECK_TRUE(admission_.Queued() <= kPerSecond * std::chrono::duration<double>(kDeadline).count());
  CHECK_TRUE(admission_.ExpectedWait(At(4000ms), 1) > 500ms);
}

TEST(StatedLimitAdmission, StartsWhatWaitsWhenTheLimitEnds)
{
  CountStarts(admission_.SetPace(At(0ms), kPerSecond));
  Run(0ms, 200ms);
  const std::size_t queued = admission_.Queued();
  CHECK_TRUE(queued > 0);
  const std::size_t before = starts_;
  CountStarts(admission_.SetPace(At(200ms), std::nullopt));
  LONGS_EQUAL(before + queued, starts_);
}

// Guards against a limit of nothing that never ends, since no request goes out to learn of its end.
TEST(StatedLimitAdmission, ALimitOfNothingStillLetsARequestThroughAtTimes)
{
  CountStarts(admission_.SetPace(At(0ms), 0.0));
  Run(0ms, 4000ms);
  CHECK_TRUE(starts_ >= 2 && starts_ <= 5);
}
