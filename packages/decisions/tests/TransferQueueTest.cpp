#include "hemlockproxy/decisions/TransferQueue.h"

#include <map>
#include <optional>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::decisions;
using model::TimePoint;
using std::chrono::milliseconds;
using Turn = TransferQueue::Turn;

namespace {

constexpr std::uint64_t kBytesPerSecond = 1'000'000;
constexpr std::uint64_t kBody = 100'000;
constexpr milliseconds kBodyTime{ 100 };

TimePoint At(milliseconds aTime)
{
  return TimePoint{} + aTime;
}

TransferQueue Make(std::size_t aAtOnce = 2)
{
  return TransferQueue::Create(
           { .bytesPerSecond_ = kBytesPerSecond, .share_ = 1, .sendShare_ = 1, .atOnce_ = aAtOnce })
    .Value();
}

/// Lets the queue learn the size of a kind.
void Learn(TransferQueue& aQueue, const std::string& aLabel, std::uint64_t aBytes)
{
  const RequestId id(1'000'000);
  (void)aQueue.Arrive(At(milliseconds(0)), id, aLabel, aBytes);
  (void)aQueue.Finish(At(milliseconds(0)), id);
}

TransferDemand Demand(milliseconds aReady, milliseconds aTarget)
{
  return { "download", At(aReady), At(aTarget) };
}

} // namespace

TEST_GROUP(TransferQueue){};

// Guards against downloads that share the link so that all of them are late.
TEST(TransferQueue, SendsAFewLongBodiesAtATimeInOrderOfArrival)
{
  TransferQueue queue = Make(2);
  const TimePoint now = At(milliseconds(0));
  CHECK_TRUE(queue.Arrive(now, RequestId(1), "download", kBody) == Turn::Now);
  CHECK_TRUE(queue.Arrive(now, RequestId(2), "download", kBody) == Turn::Now);
  CHECK_TRUE(queue.Arrive(now, RequestId(3), "download", kBody) == Turn::Later);
  CHECK_TRUE(queue.Arrive(now, RequestId(4), "download", kBody) == Turn::Later);
  const auto started = queue.Finish(now, RequestId(2));
  LONGS_EQUAL(1, started.size());
  CHECK_TRUE(started.front() == RequestId(3));
  LONGS_EQUAL(2, queue.Sending());
  LONGS_EQUAL(1, queue.Waiting());
}

// Guards against short responses that wait behind downloads.
TEST(TransferQueue, LetsShortBodiesPass)
{
  TransferQueue queue = Make(1);
  const TimePoint now = At(milliseconds(0));
  CHECK_TRUE(queue.Arrive(now, RequestId(1), "download", kBody) == Turn::Now);
  CHECK_TRUE(queue.Arrive(now, RequestId(2), "lookup", 400) == Turn::Now);
  CHECK_TRUE(queue.Fits(now, { "lookup", now, now }));
  CHECK_TRUE(queue.ExpectedWait(now, "lookup") == model::Duration{});
}

// Guards against a place in the queue that is lost with a caller that leaves, or held for ever.
TEST(TransferQueue, FreesThePlaceOfARequestThatEndsEarly)
{
  TransferQueue queue = Make(1);
  const TimePoint now = At(milliseconds(0));
  CHECK_TRUE(queue.Arrive(now, RequestId(1), "download", kBody) == Turn::Now);
  CHECK_TRUE(queue.Arrive(now, RequestId(2), "download", kBody) == Turn::Later);
  CHECK_TRUE(queue.Arrive(now, RequestId(3), "download", kBody) == Turn::Later);
  CHECK_TRUE(queue.Finish(now, RequestId(2)).empty());
  const auto started = queue.Finish(now, RequestId(1));
  LONGS_EQUAL(1, started.size());
  CHECK_TRUE(started.front() == RequestId(3));
}

// Guards against requests that are run although the link cannot deliver their bodies in time.
TEST(TransferQueue, RejectsWhatWouldBeSentTooLate)
{
  TransferQueue queue = Make();
  Learn(queue, "download", kBody);
  const TimePoint now = At(milliseconds(0));
  for (std::uint64_t id = 1; id <= 3; ++id) {
    CHECK_TRUE(queue.Fits(now, Demand(milliseconds(50), milliseconds(450))));
    queue.Reserve(RequestId(id), "download");
  }
  // 300 ms of bodies are ahead of it, and its own takes 100 ms.
  CHECK_TRUE(queue.Backlog(now) == 3 * kBodyTime);
  CHECK_TRUE(queue.Fits(now, Demand(milliseconds(50), milliseconds(401))));
  CHECK_FALSE(queue.Fits(now, Demand(milliseconds(50), milliseconds(400))));
  // The link is idle until its response is there.
  CHECK_FALSE(queue.Fits(now, Demand(milliseconds(350), milliseconds(450))));
  (void)queue.Finish(now, RequestId(1));
  CHECK_TRUE(queue.Fits(now, Demand(milliseconds(50), milliseconds(400))));
}

// Guards against a kind of request that an idle link never serves, since its body takes longer than
// its target.
TEST(TransferQueue, TakesAnyBodyWhileTheLinkIsIdle)
{
  TransferQueue queue = Make();
  Learn(queue, "download", kBody);
  CHECK_TRUE(queue.Fits(At(milliseconds(0)), Demand(milliseconds(50), milliseconds(60))));
}

// Guards against a response without a length that makes all of its kind look long.
TEST(TransferQueue, LearnsNothingFromABodyOfUnknownLength)
{
  TransferQueue queue = Make(1);
  const TimePoint now = At(milliseconds(0));
  Learn(queue, "lookup", 400);
  CHECK_TRUE(queue.Arrive(now, RequestId(1), "lookup", std::nullopt) == Turn::Now);
  CHECK_TRUE(queue.Backlog(now) == model::Duration{});
  Learn(queue, "download", kBody);
  CHECK_TRUE(queue.Arrive(now, RequestId(2), "download", std::nullopt) == Turn::Now);
  CHECK_TRUE(queue.Arrive(now, RequestId(3), "download", std::nullopt) == Turn::Later);
  CHECK_TRUE(queue.Backlog(now) == 2 * kBodyTime);
}

// Guards against bodies that count in full until their last byte is sent.
TEST(TransferQueue, CountsWhatIsLeftOfABodyThatIsBeingSent)
{
  TransferQueue queue = Make(1);
  CHECK_TRUE(queue.Arrive(At(milliseconds(0)), RequestId(1), "download", kBody) == Turn::Now);
  CHECK_TRUE(queue.Backlog(At(milliseconds(0))) == kBodyTime);
  CHECK_TRUE(queue.Backlog(At(milliseconds(75))) == milliseconds(25));
  CHECK_TRUE(queue.Backlog(At(milliseconds(200))) == milliseconds(0));
}

// Guards against short responses that wait behind all that a long body puts on the link at once.
TEST(TransferQueue, SpacesThePartsOfLongBodiesByTheLink)
{
  TransferQueue queue = Make(2);
  const TimePoint start = At(milliseconds(5));
  for (const std::uint64_t id : { 1, 2 }) {
    CHECK_TRUE(queue.Arrive(start, RequestId(id), "download", kBody) == Turn::Now);
    CHECK_TRUE(queue.IsSending(RequestId(id)));
  }
  // Parts of both bodies by turns: together they get the rate of the link.
  for (int part = 0; part < 10; ++part) {
    CHECK_TRUE(queue.SchedulePart(start, RequestId(1), 10'000) == start + part * milliseconds(10));
  }
  // A pause is not made up for by a burst.
  const TimePoint later = start + milliseconds(500);
  CHECK_TRUE(queue.SchedulePart(later, RequestId(1), 10'000) == later);
  CHECK_TRUE(queue.SchedulePart(later, RequestId(1), 10'000) == later + milliseconds(10));
}

// Guards against long bodies that fill the link where many short responses use it, too.
TEST(TransferQueue, LeavesLongBodiesWhatShortOnesDoNotUse)
{
  constexpr std::uint64_t kShort = 10'000;
  constexpr std::size_t kPart = 10'000;
  TransferQueue queue = Make(1);
  CHECK_TRUE(queue.Arrive(At(milliseconds(0)), RequestId(1), "download", kBody) == Turn::Now);
  TimePoint end = At(milliseconds(0));
  std::uint64_t id = 2;
  for (std::uint64_t sent = 0; sent < kBody; sent += kPart) {
    end = queue.SchedulePart(end, RequestId(1), kPart);
    // A short response for each part: the long body gets less than half of the link.
    CHECK_TRUE(queue.Arrive(end, RequestId(id), "lookup", kShort) == Turn::Now);
    (void)queue.Finish(end, RequestId(id++));
  }
  CHECK_TRUE(end >= At(2 * kBodyTime - milliseconds(20)));
}

// Guards against a long body that stands still while short ones take the whole link.
TEST(TransferQueue, KeepsLongBodiesGoingBesideShortOnesThatFillTheLink)
{
  constexpr std::uint64_t kShort = 10'000;
  constexpr std::size_t kPart = 10'000;
  constexpr int kLeastShareParts = 4;
  TransferQueue queue = Make(1);
  CHECK_TRUE(queue.Arrive(At(milliseconds(0)), RequestId(1), "download", kBody) == Turn::Now);
  TimePoint end = At(milliseconds(0));
  std::uint64_t id = 2;
  for (std::uint64_t sent = 0; sent < kBody; sent += kPart) {
    // More short responses than the link carries until the next part.
    for (int i = 0; i < 2 * kLeastShareParts; ++i) {
      CHECK_TRUE(queue.Arrive(end, RequestId(id), "lookup", kShort) == Turn::Now);
      (void)queue.Finish(end, RequestId(id++));
    }
    end = queue.SchedulePart(end, RequestId(1), kPart);
  }
  CHECK_TRUE(end <= At(kLeastShareParts * kBodyTime));
}

// Guards against downloads that all wait behind a few whose receivers have frozen or are cut off.
TEST(TransferQueue, LetsOthersGoAheadOfTransfersThatStandStill)
{
  TransferQueue queue = Make(1);
  const TimePoint start = At(milliseconds(0));
  CHECK_TRUE(queue.Arrive(start, RequestId(1), "download", kBody) == Turn::Now);
  CHECK_TRUE(queue.Arrive(start, RequestId(2), "download", kBody) == Turn::Later);
  // A transfer that goes on keeps its place.
  const TimePoint goesOn = At(milliseconds(400));
  (void)queue.SchedulePart(goesOn, RequestId(1), 10'000);
  CHECK_TRUE(queue.Tick(goesOn + milliseconds(400)).empty());
  const auto started = queue.Tick(goesOn + milliseconds(600));
  LONGS_EQUAL(1, started.size());
  CHECK_TRUE(started.front() == RequestId(2));
  LONGS_EQUAL(1, queue.Sending());
  // The first one goes on, and both end.
  (void)queue.SchedulePart(goesOn + milliseconds(700), RequestId(1), 10'000);
  LONGS_EQUAL(2, queue.Sending());
  CHECK_TRUE(queue.Finish(goesOn + milliseconds(800), RequestId(1)).empty());
  (void)queue.Tick(goesOn + milliseconds(2000));
  (void)queue.Finish(goesOn + milliseconds(2000), RequestId(2));
  LONGS_EQUAL(0, queue.Sending());
  LONGS_EQUAL(0, queue.Waiting());
}

// Guards against a daemon that rejects or delays where it does not know its link.
TEST(TransferQueue, DoesNothingWithoutARate)
{
  TransferQueue queue = TransferQueue::Create({}).Value();
  Learn(queue, "download", kBody);
  const TimePoint now = At(milliseconds(0));
  for (std::uint64_t id = 1; id <= 10; ++id) {
    CHECK_TRUE(queue.Fits(now, Demand(milliseconds(0), milliseconds(1))));
    queue.Reserve(RequestId(id), "download");
    CHECK_TRUE(queue.Arrive(now, RequestId(id), "download", kBody) == Turn::Now);
    CHECK_FALSE(queue.IsSending(RequestId(id)));
  }
  CHECK_TRUE(queue.SchedulePart(now, RequestId(1), kBody) == now);
  CHECK_TRUE(queue.SchedulePart(now, RequestId(1), kBody) == now);
}

TEST(TransferQueue, RejectsOptionsThatSendNothing)
{
  CHECK_FALSE(TransferQueue::Create({ .share_ = 0 }).Ok());
  CHECK_FALSE(TransferQueue::Create({ .sendShare_ = 0 }).Ok());
  CHECK_FALSE(TransferQueue::Create({ .leastShare_ = 0 }).Ok());
  CHECK_FALSE(TransferQueue::Create({ .atOnce_ = 0 }).Ok());
}

// The load of callers that ask for half as much again as the link can carry: with the queue most of
// them get their download in time, without it hardly any does.
TEST(TransferQueue, ServesDownloadsInTimeThatTogetherExceedTheLink)
{
  constexpr milliseconds kTarget{ 500 };
  constexpr milliseconds kWork{ 50 };
  constexpr int kRequests = 600;
  // 15 bodies a second more than the 10 that fit.
  constexpr milliseconds kInterval{ 67 };
  TransferQueue queue = Make(1);
  Learn(queue, "download", kBody);
  // One transfer at a time takes the whole link, so that the end of each is known when it starts.
  std::map<RequestId, TimePoint> targets;
  std::multimap<TimePoint, RequestId> ready;
  std::optional<std::pair<TimePoint, RequestId>> sending;
  int inTime = 0;
  int late = 0;
  const auto advance = [&](TimePoint aNow) {
    while ((sending && sending->first <= aNow) ||
           (!ready.empty() && ready.begin()->first <= aNow)) {
      const bool ends = sending && (ready.empty() || sending->first <= ready.begin()->first);
      if (!ends) {
        const auto [at, id] = *ready.begin();
        ready.erase(ready.begin());
        if (queue.Arrive(at, id, "download", kBody) == Turn::Now) {
          sending.emplace(at + kBodyTime, id);
        }
        continue;
      }
      const auto [at, id] = *sending;
      sending.reset();
      (at < targets[id] ? inTime : late) += 1;
      for (const RequestId next : queue.Finish(at, id)) {
        sending.emplace(at + kBodyTime, next);
      }
    }
  };
  for (int i = 0; i < kRequests; ++i) {
    const TimePoint now = At(i * kInterval);
    advance(now);
    const RequestId id(static_cast<std::uint64_t>(i + 1));
    if (!queue.Fits(now, { "download", now + kWork, now + kTarget })) {
      continue;
    }
    queue.Reserve(id, "download");
    targets[id] = now + kTarget;
    ready.emplace(now + kWork, id);
  }
  const int capacity = static_cast<int>(kRequests * kInterval / kBodyTime);
  CHECK_TRUE(inTime > capacity * 95 / 100);
  CHECK_TRUE(late < kRequests / 100);
}
