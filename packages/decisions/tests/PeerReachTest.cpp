#include "hemlockproxy/decisions/PeerReach.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::decisions;
using model::DaemonId;
using model::TimePoint;
using std::chrono::milliseconds;

TEST_GROUP(PeerReach)
{
  const DaemonId peer_{ "peer" };
  const DaemonId other_{ "other" };
  PeerReach reach_;

  static TimePoint At(int aMs)
  {
    return TimePoint{} + milliseconds(aMs);
  }

  void setup() override
  {
    reach_.SetPeers({ peer_, other_ });
  }

  void Exchange(int aStartMs, int aEndMs, PeerSign aSign)
  {
    reach_.Started(At(aStartMs), peer_);
    reach_.Ended(At(aEndMs), peer_, aSign);
  }
  bool Probes(int aMs)
  {
    const auto due = reach_.TakeProbes(At(aMs));
    CHECK_TRUE(due.size() <= 1);
    return due == std::vector<DaemonId>{ peer_ };
  }
};

// Guards against requests that each wait for a connection to a peer that cannot be reached.
TEST(PeerReach, AFailedConnectionClosesThePathUntilAProbeIsAnswered)
{
  Exchange(0, 100, PeerSign::ConnectFailed);
  CHECK_TRUE(reach_.PathTo(peer_) == PeerPath::Doubtful);
  CHECK_TRUE(reach_.PathTo(other_) == PeerPath::Open);
  CHECK_TRUE(Probes(100));
  CHECK_FALSE(Probes(100));
  reach_.ProbeEnded(At(110), peer_, true);
  CHECK_TRUE(reach_.PathTo(peer_) == PeerPath::Open);
  const auto changes = reach_.TakeChanges();
  UNSIGNED_LONGS_EQUAL(2, changes.size());
  CHECK_TRUE(changes.front().path_ == PeerPath::Doubtful);
  CHECK_TRUE(changes.back().path_ == PeerPath::Open);
  CHECK_TRUE(reach_.TakeChanges().empty());
}

// Guards against running requests that are given up because of one lost packet: a stopping daemon
// cut requests at a peer that it reached again 30 ms later.
TEST(PeerReach, OnlyLostProbesMakeAPeerSilentAfterAFailedConnection)
{
  Exchange(0, 100, PeerSign::ConnectFailed);
  CHECK_TRUE(Probes(100));
  reach_.ProbeEnded(At(300), peer_, false);
  CHECK_TRUE(reach_.PathTo(peer_) == PeerPath::Doubtful);
  CHECK_TRUE(Probes(300));
  reach_.ProbeEnded(At(500), peer_, false);
  CHECK_TRUE(reach_.PathTo(peer_) == PeerPath::Silent);
  CHECK_FALSE(Probes(749));
  CHECK_TRUE(Probes(750));
  Exchange(750, 760, PeerSign::ConnectFailed);
  CHECK_TRUE(reach_.PathTo(peer_) == PeerPath::Silent);
  reach_.ProbeEnded(At(770), peer_, true);
  CHECK_TRUE(reach_.PathTo(peer_) == PeerPath::Open);
}

// Guards against requests that wait for their deadlines at a peer whose path is cut in silence.
TEST(PeerReach, APeerThatOwesAResponseIsProbedAndSilentAfterTwoLostProbes)
{
  reach_.Started(At(0), peer_);
  CHECK_FALSE(Probes(249));
  CHECK_TRUE(Probes(250));
  reach_.ProbeEnded(At(450), peer_, false);
  CHECK_TRUE(reach_.PathTo(peer_) == PeerPath::Open);
  CHECK_TRUE(Probes(450));
  reach_.ProbeEnded(At(650), peer_, false);
  CHECK_TRUE(reach_.PathTo(peer_) == PeerPath::Silent);
}

// Guards against a peer that is taken for silent because one of its requests takes long.
TEST(PeerReach, APeerThatAnswersOthersIsNotProbed)
{
  reach_.Started(At(0), peer_);
  for (int ms = 200; ms < 2000; ms += 200) {
    Exchange(ms - 10, ms, PeerSign::Heard);
    CHECK_FALSE(Probes(ms + 199));
  }
}

// Guards against a probe for each of many requests, and against one that an idle peer gets.
TEST(PeerReach, AnAnsweredProbeHoldsForTheSilenceTime)
{
  CHECK_FALSE(Probes(5000));
  reach_.Started(At(5000), peer_);
  CHECK_TRUE(Probes(5250));
  reach_.ProbeEnded(At(5260), peer_, true);
  CHECK_FALSE(Probes(5509));
  CHECK_TRUE(Probes(5510));
}

// Guards against a broken connection that hides a dead peer until its next request.
TEST(PeerReach, ABrokenExchangeIsFollowedByAProbe)
{
  Exchange(0, 10, PeerSign::NotHeard);
  CHECK_TRUE(reach_.PathTo(peer_) == PeerPath::Open);
  CHECK_TRUE(Probes(10));
}

TEST(PeerReach, AnExchangeThatThisSideGaveUpSaysNothing)
{
  Exchange(0, 10, PeerSign::Nothing);
  CHECK_FALSE(Probes(1000));
}

// Guards against a late response that does not bring a peer back.
TEST(PeerReach, AnyResponseBringsAPeerBack)
{
  reach_.Started(At(0), peer_);
  Exchange(0, 100, PeerSign::ConnectFailed);
  CHECK_TRUE(reach_.PathTo(peer_) == PeerPath::Doubtful);
  reach_.Ended(At(150), peer_, PeerSign::Heard);
  CHECK_TRUE(reach_.PathTo(peer_) == PeerPath::Open);
}

// Guards against state that grows with each peer that ever was, and against its late signs.
TEST(PeerReach, ForgetsPeersThatAreNoLongerListed)
{
  Exchange(0, 100, PeerSign::ConnectFailed);
  reach_.SetPeers({ other_ });
  CHECK_TRUE(reach_.PathTo(peer_) == PeerPath::Open);
  CHECK_TRUE(reach_.TakeProbes(At(100)).empty());
  reach_.ProbeEnded(At(200), peer_, false);
  reach_.Ended(At(200), peer_, PeerSign::ConnectFailed);
  CHECK_TRUE(reach_.PathTo(peer_) == PeerPath::Open);
}
