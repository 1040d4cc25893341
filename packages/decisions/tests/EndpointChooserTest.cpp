#include "hemlockproxy/decisions/EndpointChooser.h"

#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::decisions;
using model::DaemonId;
using model::FailureDomain;
using model::RefusalReason;
using model::TimePoint;
using std::chrono::milliseconds;

namespace {

TimePoint At(int aMs)
{
  return TimePoint{} + milliseconds(aMs);
}

EndpointEntry Entry(const char* aId, const char* aDomain, std::uint32_t aSlots = 10)
{
  return { DaemonId(aId), FailureDomain(aDomain), aSlots, true };
}

} // namespace

/// An entry in domain "a".
TEST_GROUP_BASE(EndpointChooserBase, Utest)
{
  model::RandomSource random_{ 20261204 };
  EndpointChooser chooser_ = Make({});

  static EndpointChooser Make(EndpointChooserOptions aOptions)
  {
    aOptions.ownDomain_ = FailureDomain("a");
    return EndpointChooser::Create(std::move(aOptions)).Value();
  }

  /// Chooses and finishes aCount times; returns how often each endpoint was chosen.
  std::map<std::string, int> Spread(
    int aNowMs, int aCount, const std::vector<DaemonId>& aTried = {})
  {
    std::map<std::string, int> counts;
    for (int i = 0; i < aCount; ++i) {
      const auto choice = chooser_.Choose(At(aNowMs), random_, aTried);
      ++counts[choice.Value().endpoint_.Value()];
      chooser_.Finish(At(aNowMs), { choice.Value().endpoint_, AttemptVerdict::Cancelled, {}, {} });
    }
    return counts;
  }

  void Finish(const char* aId,
              int aNowMs,
              AttemptVerdict aVerdict,
              int aLatencyMs = 50,
              std::optional<LoadReport> aLoad = {})
  {
    chooser_.Finish(At(aNowMs), { DaemonId(aId), aVerdict, milliseconds(aLatencyMs), aLoad });
  }
};

TEST_GROUP_BASE(EndpointChooserOneDomain, TEST_GROUP_CppUTestGroupEndpointChooserBase){};

// Guards against bad settings that are only found at run time.
TEST(EndpointChooserOneDomain, RejectsBadEjectionOptions)
{
  EndpointChooserOptions options;
  options.ejection_ = OutlierEjectionOptions{ .failureShare_ = 0 };
  CHECK_FALSE(EndpointChooser::Create(std::move(options)).Ok());
}

// Guards against retries that go back to the endpoint that just failed, and against a crash when
// nothing is left.
TEST(EndpointChooserOneDomain, TriedEndpointsAreNotChosenAgain)
{
  chooser_.SetEndpoints(At(0), { Entry("x", "a"), Entry("y", "a") });
  LONGS_EQUAL(20, Spread(0, 20, { DaemonId("x") })["y"]);
  const auto none = chooser_.Choose(At(0), random_, { DaemonId("x"), DaemonId("y") });
  CHECK_FALSE(none.Ok());
  CHECK_TRUE(none.Error() == RefusalReason::NoEndpoint);
}

// Guards against new work for a leaving daemon or a draining backend server.
TEST(EndpointChooserOneDomain, EndpointsThatTakeNoWorkAreNotChosen)
{
  EndpointEntry leaving = Entry("x", "a");
  leaving.takesWork_ = false;
  chooser_.SetEndpoints(At(0), { leaving, Entry("y", "a") });
  LONGS_EQUAL(20, Spread(0, 20)["y"]);
}

// Guards against requests that each find out anew that an endpoint is leaving, until the member
// table says so.
TEST(EndpointChooserOneDomain, AnEndpointThatRejectedAsLeavingIsLeftAlone)
{
  chooser_.SetEndpoints(At(0), { Entry("x", "a"), Entry("y", "a") });
  Finish("x", 0, AttemptVerdict::Leaving);
  LONGS_EQUAL(20, Spread(4999, 20)["y"]);
  CHECK_TRUE(Spread(5000, 40)["x"] > 0);
}

// Guards against an endpoint that is left alone after its daemon has restarted.
TEST(EndpointChooserOneDomain, AnEndpointThatReturnsIsChosenAtOnce)
{
  EndpointEntry x = Entry("x", "a");
  chooser_.SetEndpoints(At(0), { x, Entry("y", "a") });
  Finish("x", 0, AttemptVerdict::Leaving);
  x.takesWork_ = false;
  chooser_.SetEndpoints(At(100), { x, Entry("y", "a") });
  x.takesWork_ = true;
  chooser_.SetEndpoints(At(2000), { x, Entry("y", "a") });
  CHECK_TRUE(Spread(2000, 40)["x"] > 0);
}

// Guards against a daemon that is cut from most others and goes on to choose them, since ejection
// stops at less than half of the endpoints.
TEST(EndpointChooserOneDomain, EndpointsOutOfReachAreNotChosenHoweverMany)
{
  chooser_.SetEndpoints(At(0), { Entry("x", "a"), Entry("y", "a"), Entry("z", "b") });
  chooser_.SetReachable(DaemonId("x"), false);
  chooser_.SetReachable(DaemonId("z"), false);
  chooser_.SetReachable(DaemonId("not listed"), false);
  LONGS_EQUAL(20, Spread(0, 20)["y"]);
  chooser_.SetReachable(DaemonId("y"), false);
  CHECK_FALSE(chooser_.CanChoose(At(0), {}));
  CHECK_TRUE(chooser_.Choose(At(0), random_).Error() == RefusalReason::NoEndpoint);
  chooser_.SetReachable(DaemonId("x"), true);
  LONGS_EQUAL(20, Spread(0, 20)["x"]);
}

// Guards against an unequal spread that overloads one of several endpoints.
TEST(EndpointChooserOneDomain, WorkInProgressIsSpreadEvenly)
{
  chooser_.SetEndpoints(At(0), { Entry("x", "a"), Entry("y", "a"), Entry("z", "a") });
  std::map<std::string, int> counts;
  for (int i = 0; i < 30; ++i) {
    ++counts[chooser_.Choose(At(0), random_).Value().endpoint_.Value()];
  }
  for (const auto& [id, count] : counts) {
    CHECK_TRUE(count >= 8 && count <= 12);
  }
}

// Guards against an endpoint that other entries keep busy, and against trust in an old report.
TEST(EndpointChooserOneDomain, AReportCountsLessWithItsAge)
{
  chooser_.SetEndpoints(At(0), { Entry("x", "a"), Entry("y", "a") });
  Finish("x", 0, AttemptVerdict::Success, 50, LoadReport{ 8 });
  LONGS_EQUAL(20, Spread(10, 20)["y"]);
  const auto later = Spread(60000, 40);
  CHECK_TRUE(later.at("x") >= 10);
}

// Guards against a broken endpoint that draws all requests because failing fast looks like idle.
TEST(EndpointChooserOneDomain, RecentFailuresCountAsWork)
{
  EndpointChooserOptions options;
  options.ejection_.reset();
  chooser_ = Make(std::move(options));
  chooser_.SetEndpoints(At(0), { Entry("x", "a"), Entry("y", "a") });
  Finish("x", 0, AttemptVerdict::Failure, 0, LoadReport{ 0 });
  LONGS_EQUAL(20, Spread(10, 20)["y"]);
  CHECK_TRUE(Spread(1100, 40)["x"] > 0);
}

// Guards against requests that go on to an endpoint whose queue is full.
TEST(EndpointChooserOneDomain, RecentRefusalsCountAsWork)
{
  chooser_.SetEndpoints(At(0), { Entry("x", "a"), Entry("y", "a") });
  Finish("x", 0, AttemptVerdict::Failure);
  Finish("x", 0, AttemptVerdict::Refused);
  Finish("y", 0, AttemptVerdict::Refused);
  Finish("y", 0, AttemptVerdict::Refused);
  Finish("y", 0, AttemptVerdict::Refused);
  LONGS_EQUAL(20, Spread(199, 20)["x"]);
  LONGS_EQUAL(20, Spread(200, 20)["y"]);
}

// Guards against a cold endpoint that gets a full share of the requests at once.
TEST(EndpointChooserOneDomain, AnEndpointThatJoinsLaterStartsSlowly)
{
  chooser_.SetEndpoints(At(0), { Entry("x", "a") });
  chooser_.SetEndpoints(At(1000), { Entry("x", "a"), Entry("y", "a") });
  const auto inProgress = [this](int aNowMs) {
    std::map<std::string, int> counts;
    for (int i = 0; i < 20; ++i) {
      ++counts[chooser_.Choose(At(aNowMs), random_).Value().endpoint_.Value()];
    }
    for (const auto& [id, count] : counts) {
      for (int i = 0; i < count; ++i) {
        Finish(id.c_str(), aNowMs, AttemptVerdict::Cancelled);
      }
    }
    return counts["y"];
  };
  CHECK_TRUE(inProgress(1000) <= 3);
  CHECK_TRUE(inProgress(11000) >= 8);
}

// Guards against an outage that the daemon makes itself by ejecting nearly all endpoints.
TEST(EndpointChooserOneDomain, EjectionIsIgnoredWhenMostAreEjected)
{
  EndpointChooserOptions options;
  options.ejection_ = OutlierEjectionOptions{ .maximumShare_ = 1 };
  options.failureHold_ = milliseconds(0);
  chooser_ = Make(std::move(options));
  chooser_.SetEndpoints(At(0), { Entry("x", "a"), Entry("y", "a"), Entry("z", "a") });
  for (int i = 0; i < 5; ++i) {
    Finish("x", 0, AttemptVerdict::Failure);
  }
  LONGS_EQUAL(0, Spread(0, 30)["x"]);
  for (int i = 0; i < 5; ++i) {
    Finish("y", 0, AttemptVerdict::Failure);
  }
  LONGS_EQUAL(2, chooser_.EjectedCount(At(0)));
  auto counts = Spread(0, 60);
  CHECK_TRUE(counts["x"] + counts["y"] > 0);
}

TEST_GROUP_BASE(EndpointChooserTwoDomains, TEST_GROUP_CppUTestGroupEndpointChooserBase){
  /// Runs 30 requests at once on one local and one remote endpoint of 10 slots, with a mean
  /// latency of 50 ms; returns how many went to the remote one.
  int Remote(LinkCost aLink){ EndpointChooserOptions options;
options.defaultLink_ = aLink;
chooser_ = Make(std::move(options));
chooser_.SetEndpoints(At(0), { Entry("x", "a"), Entry("y", "b") });
Finish("x", 0, AttemptVerdict::Success, 50);
int remote = 0;
for (int i = 0; i < 30; ++i) {
  remote += chooser_.Choose(At(0), random_).Value().otherDomain_ ? 1 : 0;
}
return remote;
}
}
;

// Guards against traffic over costly links while the own domain has free slots.
TEST(EndpointChooserTwoDomains, TheOwnDomainComesFirst)
{
  chooser_.SetEndpoints(At(0), { Entry("x", "a"), Entry("y", "b"), Entry("z", "b") });
  LONGS_EQUAL(50, Spread(0, 50)["x"]);
}

// Guards against a queue in the own domain while another domain is idle, and against use of a link
// that costs more than the wait.
TEST(EndpointChooserTwoDomains, SpillsOnlyWhenTheWaitCostsMoreThanTheLink)
{
  const int cheap = Remote({ .oneWayDelay_ = milliseconds(4), .factor_ = 1 });
  CHECK_TRUE(cheap >= 10 && cheap <= 16);
  LONGS_EQUAL(0, Remote({ .oneWayDelay_ = milliseconds(4), .factor_ = 20 }));
}

// Guards against rejection while only another domain has endpoints.
TEST(EndpointChooserTwoDomains, UsesAnotherDomainWhenTheOwnHasNone)
{
  chooser_.SetEndpoints(At(0), { Entry("y", "b") });
  CHECK_TRUE(chooser_.Choose(At(0), random_).Value().otherDomain_);
}
