#include "hemlockproxy/decisions/BackendRegistry.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::decisions;
using std::chrono::milliseconds;

namespace {

model::TimePoint At(int aMs)
{
  return model::TimePoint() + milliseconds(aMs);
}

/// A report of the start of bitacora-1 at 1000 ms.
model::BackendReport Report(std::uint64_t aSequence, const char* aId = "bitacora-1")
{
  model::BackendReport report;
  report.id_ = model::BackendId(aId);
  report.service_ = model::ServiceName("bitacora");
  report.address_ = { "10.1.0.2", 8080 };
  report.slots_ = 20;
  report.connections_ = 100;
  report.startedAt_ = model::WallTime(milliseconds(1000));
  report.sequence_ = aSequence;
  return report;
}

model::BackendReport Draining(model::BackendReport aReport)
{
  aReport.draining_ = true;
  return aReport;
}

model::BackendReport StartedAt(model::BackendReport aReport, int aMs)
{
  aReport.startedAt_ = model::WallTime(milliseconds(aMs));
  return aReport;
}

} // namespace

TEST_GROUP(BackendRegistryCreate){};

TEST(BackendRegistryCreate, RejectsAnIntervalOfZero)
{
  CHECK_FALSE(BackendRegistry::Create({ .interval_ = milliseconds(0) }).Ok());
}

/// Reports come each second; three missed ones withdraw the backend server.
TEST_GROUP(BackendRegistry)
{
  BackendRegistry registry_ = BackendRegistry::Create({}).Value();
  ReportUse first_ = registry_.Report(At(0), Report(1));
};

// Guards against an endpoint that is published before it is known, or again with each report.
TEST(BackendRegistry, TheFirstReportMakesItKnown)
{
  CHECK_TRUE(first_ == ReportUse::Changed);
  CHECK_TRUE(registry_.TakesWork());
  CHECK_TRUE(registry_.Report(At(1000), Report(2)) == ReportUse::Renewed);
}

// Guards against new work between the report and the moment that entries hear of it, and against a
// late report that makes a draining backend server take work again.
TEST(BackendRegistry, DrainingBindsWhateverArrivesLater)
{
  CHECK_TRUE(registry_.Report(At(1000), Draining(Report(5))) == ReportUse::Changed);
  CHECK_FALSE(registry_.TakesWork());
  CHECK_TRUE(registry_.Report(At(1500), Report(4)) == ReportUse::Late);
  CHECK_FALSE(registry_.TakesWork());
  CHECK_TRUE(registry_.Report(At(2000), Report(6)) == ReportUse::Renewed);
  CHECK_FALSE(registry_.TakesWork());
}

// Guards against an acknowledged drain that is forgotten while no reports come, and a late report
// of before it that makes the backend server take work again.
TEST(BackendRegistry, DrainingBindsAfterReportsHaveStopped)
{
  (void)registry_.Report(At(1000), Draining(Report(5)));
  CHECK_TRUE(registry_.Tick(At(4000)));
  CHECK_TRUE(registry_.Report(At(5500), Report(4)) == ReportUse::Late);
  CHECK_TRUE(registry_.Report(At(7000), Draining(Report(6))) == ReportUse::Late);
  CHECK_TRUE(registry_.Report(At(60'000), Report(7)) == ReportUse::Late);
  CHECK_FALSE(registry_.Current().has_value());
  CHECK_TRUE(registry_.Report(At(61'000), StartedAt(Report(1), 2000)) == ReportUse::Changed);
  CHECK_TRUE(registry_.TakesWork());
}

// Guards against an acknowledged drain that ends when another backend server takes the place.
TEST(BackendRegistry, DrainingBindsAfterAnotherOneHasTakenThePlace)
{
  (void)registry_.Report(At(1000), Draining(Report(5)));
  CHECK_TRUE(registry_.Report(At(2500), StartedAt(Report(1, "bitacora-2"), 2000)) ==
             ReportUse::Changed);
  CHECK_TRUE(registry_.Tick(At(20'000)));
  CHECK_TRUE(registry_.Report(At(21'000), Report(6)) == ReportUse::Late);
}

// Guards against a late report that brings a silent backend server back with an older state, and
// against one that reports again and gets no work.
TEST(BackendRegistry, AfterSilenceOnlyALaterReportCounts)
{
  (void)registry_.Report(At(1000), Report(5));
  CHECK_TRUE(registry_.Tick(At(4000)));
  CHECK_TRUE(registry_.Report(At(5000), Report(4)) == ReportUse::Late);
  CHECK_TRUE(registry_.Report(At(6000), Report(6)) == ReportUse::Changed);
  CHECK_TRUE(registry_.TakesWork());
}

// Guards against a departure that binds for some seconds only, since no reports had come before it.
TEST(BackendRegistry, ADepartureAfterSilenceBindsTheStart)
{
  (void)registry_.Report(At(1000), Report(5));
  CHECK_TRUE(registry_.Tick(At(4000)));
  CHECK_FALSE(registry_.Leave(At(5000), model::BackendId("bitacora-1")));
  CHECK_TRUE(registry_.Report(At(60'000), Report(6)) == ReportUse::Late);
}

// Guards against a report that was on its way when its backend server left.
TEST(BackendRegistry, ALateReportDoesNotBringBackWhatHasLeft)
{
  CHECK_TRUE(registry_.Leave(At(1000), model::BackendId("bitacora-1")));
  CHECK_FALSE(registry_.TakesWork());
  CHECK_TRUE(registry_.Report(At(1500), Report(2)) == ReportUse::Late);
  CHECK_FALSE(registry_.Current().has_value());
}

// Guards against a backend server that starts again under its id and gets no work.
TEST(BackendRegistry, ALaterStartUnderTheSameIdIsAnotherOne)
{
  CHECK_TRUE(registry_.Leave(At(1000), model::BackendId("bitacora-1")));
  CHECK_TRUE(registry_.Report(At(2000), StartedAt(Report(1), 2000)) == ReportUse::Changed);
  CHECK_TRUE(registry_.TakesWork());
}

// Guards against a delayed report of a crashed start that replaces the one that runs now.
TEST(BackendRegistry, AnEarlierStartDoesNotReplaceALaterOne)
{
  CHECK_TRUE(registry_.Report(At(1000), StartedAt(Report(1, "bitacora-2"), 2000)) ==
             ReportUse::Changed);
  CHECK_TRUE(registry_.Report(At(1500), Report(2)) == ReportUse::Late);
  STRCMP_EQUAL("bitacora-2", registry_.Current()->id_.Value().c_str());
  CHECK_TRUE(registry_.Report(At(2000), StartedAt(Report(9), 1500)) == ReportUse::Late);
}

// Guards against a restarted daemon that takes a report sent before its backend server left.
TEST(BackendRegistry, ADepartureOfAnUnknownOneHoldsBackItsLateReports)
{
  BackendRegistry restarted = BackendRegistry::Create({}).Value();
  CHECK_FALSE(restarted.Leave(At(0), model::BackendId("bitacora-1")));
  CHECK_TRUE(restarted.Report(At(3000), Report(7)) == ReportUse::Late);
  CHECK_TRUE(restarted.Report(At(11000), StartedAt(Report(1), 9000)) == ReportUse::Changed);
}

// Guards against requests sent to a backend server that is gone, and against one that returns and
// gets none.
TEST(BackendRegistry, SilenceWithdrawsItUntilItReturns)
{
  CHECK_TRUE(registry_.Report(At(1000), Report(2)) == ReportUse::Renewed);
  CHECK_FALSE(registry_.Tick(At(3999)));
  CHECK_TRUE(registry_.Tick(At(4000)));
  CHECK_FALSE(registry_.Current().has_value());
  CHECK_FALSE(registry_.Tick(At(9000)));
  CHECK_TRUE(registry_.Report(At(10000), Report(3)) == ReportUse::Changed);
}

// Guards against a slot count that changes at the backend server but not at the owner.
TEST(BackendRegistry, ChangedSlotsAreAChange)
{
  auto report = Report(2);
  report.slots_ = 30;
  CHECK_TRUE(registry_.Report(At(1000), report) == ReportUse::Changed);
  LONGS_EQUAL(30, registry_.Current()->slots_);
}

/// Backend servers without ids report in the order of arrival.
TEST_GROUP(BackendRegistryWithoutIds)
{
  BackendRegistry registry_ = BackendRegistry::Create({}).Value();
  ReportUse first_ = registry_.Report(At(0), Report(0, ""));
};

// Guards against an endpoint that stays out of use after a stop that was called off.
TEST(BackendRegistryWithoutIds, ACancelledDrainAcceptsNewWorkAgain)
{
  CHECK_TRUE(registry_.Report(At(1000), Draining(Report(0, ""))) == ReportUse::Changed);
  CHECK_FALSE(registry_.TakesWork());
  CHECK_TRUE(registry_.Report(At(2000), Report(0, "")) == ReportUse::Changed);
  CHECK_TRUE(registry_.TakesWork());
}

// Guards against reports that were sent before the backend server said in a response that it
// leaves.
TEST(BackendRegistry, AResponseThatSaysItLeavesBindsTheStart)
{
  CHECK_TRUE(registry_.SaysItLeaves(Report(1).id_, Report(1).startedAt_));
  CHECK_FALSE(registry_.SaysItLeaves(Report(1).id_, Report(1).startedAt_));
  CHECK_FALSE(registry_.TakesWork());
  (void)registry_.Report(At(1000), Report(2));
  CHECK_FALSE(registry_.TakesWork());
  (void)registry_.Report(At(2000), StartedAt(Report(1), 2000));
  CHECK_TRUE(registry_.TakesWork());
  // A late response of the start before says nothing of this one.
  CHECK_FALSE(registry_.SaysItLeaves(Report(1).id_, Report(1).startedAt_));
  CHECK_TRUE(registry_.TakesWork());
}

/// Irregular reports; those of bitacora-1 come each second.
TEST_GROUP(BackendRegistryIrregular)
{
  BackendRegistry registry_ = BackendRegistry::Create({}).Value();
  ReportUse first_ = registry_.Report(At(0), Report(1));

  /// Renews bitacora-1 each second until a time.
  void Renew(int aFromMs, int aToMs)
  {
    for (int now = aFromMs; now <= aToMs; now += 1000) {
      (void)registry_.Tick(At(now));
      (void)registry_.Report(At(now), Report(static_cast<std::uint64_t>(now)));
    }
  }
  [[nodiscard]] bool IsCurrent(const char* aId) const
  {
    return registry_.Current() && registry_.Current()->id_.Value() == aId;
  }
};

// Guards against one irregular report, with another id and a later start, that takes the place of a
// backend server that goes on reporting.
TEST(BackendRegistryIrregular, OneReportOfAnotherIdDoesNotDisplaceAWorkingBackendServer)
{
  (void)registry_.Report(At(500), StartedAt(Report(1, "odd"), 9000));
  CHECK_TRUE(IsCurrent("bitacora-1"));
  Renew(1000, 2000);
  CHECK_TRUE(IsCurrent("bitacora-1"));
  CHECK_TRUE(registry_.TakesWork());
}

// Guards against a replacement that gets no work because its predecessor was there a moment ago.
TEST(BackendRegistryIrregular, AReplacementTakesThePlaceWithItsSecondReport)
{
  (void)registry_.Report(At(500), StartedAt(Report(1, "bitacora-2"), 9000));
  CHECK_TRUE(registry_.Report(At(1500), StartedAt(Report(2, "bitacora-2"), 9000)) ==
             ReportUse::Changed);
  CHECK_TRUE(IsCurrent("bitacora-2"));
  CHECK_TRUE(registry_.TakesWork());
}

// Guards against a working backend server that stays away for ever after an irregular report came
// while its own was a little late.
TEST(BackendRegistryIrregular, ADisplacedBackendServerThatGoesOnReportingReturns)
{
  CHECK_TRUE(registry_.Report(At(1100), StartedAt(Report(1, "odd"), 9000)) == ReportUse::Changed);
  Renew(2000, 12000);
  CHECK_TRUE(IsCurrent("bitacora-1"));
  CHECK_TRUE(registry_.TakesWork());
}

// Guards against a backend server that is never taken in because its clock was set back between two
// starts, so that its reports look older than the start that left.
TEST(BackendRegistryIrregular, AStartAfterAClockWasSetBackIsTakenIn)
{
  CHECK_TRUE(registry_.Leave(At(1000), Report(1).id_));
  CHECK_TRUE(registry_.Report(At(2000), StartedAt(Report(1), 200)) == ReportUse::Late);
  CHECK_TRUE(registry_.Report(At(11000), StartedAt(Report(10), 200)) == ReportUse::Changed);
  CHECK_TRUE(registry_.TakesWork());
  // The start that left stays away.
  CHECK_TRUE(registry_.Report(At(11500), Report(20)) == ReportUse::Late);
}

/// A daemon that starts at 61 s, beside a backend server that started at 1 s.
TEST_GROUP(BackendRegistryAfterARestart)
{
  BackendRegistry registry_ =
    BackendRegistry::Create({ .daemonStart_ = model::WallTime(milliseconds(61'000)) }).Value();
};

// Guards against a backend server that left before the restart and is used again because of a late
// report.
TEST(BackendRegistryAfterARestart, ALateReportBringsNoWork)
{
  (void)registry_.Report(At(0), Report(7));
  CHECK_FALSE(registry_.TakesWork());
  // Held up reports arrive together.
  (void)registry_.Report(At(50), Report(8));
  CHECK_FALSE(registry_.TakesWork());
  CHECK_TRUE(registry_.Tick(At(3100)));
  CHECK_FALSE(registry_.AwaitsConfirmation());
}

// Guards against two reports that are equally late and so come at the pace of reports: they bring a
// backend server back whose departure the former process has acknowledged.
TEST(BackendRegistryAfterARestart, EquallyLateReportsBringNoWork)
{
  (void)registry_.Report(At(1000), Report(7));
  (void)registry_.Report(At(2500), Report(8));
  CHECK_FALSE(registry_.TakesWork());
  (void)registry_.Report(At(9999), Report(9));
  CHECK_FALSE(registry_.TakesWork());
}

// Guards against a backend server that gets no work after a restart without peers and health
// checks.
TEST(BackendRegistryAfterARestart, AReportThatWasSentAfterTheStartConfirms)
{
  (void)registry_.Report(At(9000), Report(7));
  CHECK_TRUE(registry_.Report(At(10000), Report(8)) == ReportUse::Changed);
  CHECK_TRUE(registry_.TakesWork());
  CHECK_TRUE(registry_.Report(At(11000), Report(9)) == ReportUse::Renewed);
}

// Guards against a healthy backend server that stands idle for longer than peers need to answer.
TEST(BackendRegistryAfterARestart, AfterPeersHaveAnsweredAReportAtThePaceOfReportsConfirms)
{
  (void)registry_.Report(At(0), Report(7));
  CHECK_FALSE(registry_.Restore(At(500), {}));
  registry_.PeersHeard(kLatestReport);
  CHECK_TRUE(registry_.Report(At(1000), Report(8)) == ReportUse::Changed);
  CHECK_TRUE(registry_.TakesWork());
}

// Guards against a departure that all daemons have forgotten, since they were restarted at once:
// the answers of such peers prove nothing, and reports that are equally late come at the pace of
// reports.
TEST(BackendRegistryAfterARestart, PeersThatWereRestartedAsWellAreNoProof)
{
  registry_.PeersHeard(milliseconds(400));
  CHECK_TRUE(registry_.MayConfirm(At(500)));
  (void)registry_.Report(At(1000), Report(7));
  (void)registry_.Report(At(2500), Report(8));
  CHECK_FALSE(registry_.TakesWork());
  // Another peer has been there all the while.
  registry_.PeersHeard(milliseconds(12'000));
  CHECK_TRUE(registry_.Report(At(4000), Report(9)) == ReportUse::Changed);
  CHECK_TRUE(registry_.TakesWork());
}

// Guards against a departure that was acknowledged before the restart and does not outlive it,
// whatever reports and health checks say.
TEST(BackendRegistryAfterARestart, WhatPeersKnowToHaveLeftStaysAway)
{
  (void)registry_.Report(At(0), Report(7));
  CHECK_TRUE(
    registry_.Restore(At(500), { { Report(7).id_, Report(7).startedAt_, milliseconds(900) } }));
  registry_.PeersHeard(kLatestReport);
  CHECK_FALSE(registry_.Current().has_value());
  CHECK_TRUE(registry_.Report(At(1000), Report(8)) == ReportUse::Late);
  CHECK_TRUE(registry_.Report(At(20000), Report(9)) == ReportUse::Late);
  CHECK_FALSE(registry_.Confirm(Report(7).id_, Report(7).startedAt_));
  // A later start is another backend server.
  CHECK_TRUE(registry_.Report(At(21000), StartedAt(Report(1), 80'000)) == ReportUse::Changed);
  CHECK_TRUE(registry_.TakesWork());
}

TEST(BackendRegistryAfterARestart, AHealthCheckConfirmsTheStartThatAnsweredIt)
{
  (void)registry_.Report(At(0), Report(7));
  CHECK_FALSE(registry_.Confirm(model::BackendId("bitacora-2"), Report(7).startedAt_));
  CHECK_FALSE(registry_.Confirm(Report(7).id_, model::WallTime(milliseconds(500))));
  CHECK_TRUE(registry_.Confirm(Report(7).id_, Report(7).startedAt_));
  CHECK_TRUE(registry_.TakesWork());
  (void)registry_.Report(At(1000), Draining(Report(8)));
  CHECK_FALSE(registry_.Confirm(Report(7).id_, Report(7).startedAt_));
  CHECK_FALSE(registry_.TakesWork());
}

TEST(BackendRegistryAfterARestart, ABackendServerThatStartsWithTheDaemonTakesWorkAtOnce)
{
  (void)registry_.Report(At(0), StartedAt(Report(1), 60'000));
  CHECK_TRUE(registry_.TakesWork());
  (void)registry_.Report(At(100), StartedAt(Report(1, "bitacora-2"), 62'000));
  CHECK_TRUE(registry_.TakesWork());
}
