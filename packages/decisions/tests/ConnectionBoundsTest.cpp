#include "hemlockproxy/decisions/ConnectionBounds.h"

#include <algorithm>
#include <map>
#include <set>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy::decisions;

namespace {

using Ids = std::vector<ConnectionBounds::Id>;
constexpr auto kCaller = ConnectionParty::Caller;
constexpr auto kPeer = ConnectionParty::Peer;

/// Connections are numbered from 1; each takes 10 bytes when it is idle.
struct Connections
{
  ConnectionBounds bounds_;
  std::map<ConnectionBounds::Id, ConnectionBounds::Handle> handles_;

  ConnectionBounds::Answer Open(ConnectionBounds::Id aId, ConnectionParty aParty = kCaller)
  {
    ConnectionBounds::Handle handle;
    auto answer = bounds_.Open(aId, aParty, 10, handle);
    if (answer.Granted()) {
      handles_[aId] = handle;
    }
    return answer;
  }
  ConnectionBounds::Answer Read(ConnectionBounds::Id aId, std::size_t aMemory)
  {
    return bounds_.Change(handles_.at(aId), ConnectionUse::ReadingHead, aMemory);
  }
  ConnectionBounds::Answer Run(ConnectionBounds::Id aId, std::size_t aMemory)
  {
    return bounds_.Change(handles_.at(aId), ConnectionUse::Running, aMemory);
  }
};

} // namespace

TEST_GROUP(ConnectionBounds)
{
  Connections connections_{ ConnectionBounds({ .connections_ = 4,
                                               .memory_ = 1000,
                                               .connectionsOfPeers_ = 1,
                                               .memoryOfPeers_ = 200,
                                               .ordinaryBytes_ = 150 }),
                            {} };
};

// Guards against a crowd of idle connections that keeps ordinary callers out.
TEST(ConnectionBounds, DropsTheConnectionThatIsIdleForLongest)
{
  connections_.Open(1);
  connections_.Open(2);
  connections_.Open(3);
  CHECK_TRUE(connections_.Run(1, 100).Granted());
  CHECK_TRUE(
    connections_.bounds_.Change(connections_.handles_[1], ConnectionUse::Idle, 10).Granted());
  const auto answer = connections_.Open(4);
  CHECK_TRUE(answer.Granted());
  CHECK_TRUE(answer.drop_ == Ids{ 2 });
  CHECK_TRUE(answer.dropBound_ == ConnectionBound::Connections);
}

// Guards against a slow head that has nearly arrived and gives way to one that has just begun.
TEST(ConnectionBounds, DropsTheMostRecentHeadWhenNoneIsIdle)
{
  for (const int id : { 1, 2, 3 }) {
    connections_.Open(id);
    CHECK_TRUE(connections_.Read(id, 50).Granted());
  }
  CHECK_TRUE(connections_.Open(4).drop_ == Ids{ 3 });
}

// Guards against a running request that is dropped, whose outcome the caller could not know.
TEST(ConnectionBounds, NeverDropsARunningRequest)
{
  for (const int id : { 1, 2, 3 }) {
    connections_.Open(id);
    CHECK_TRUE(connections_.Run(id, 50).Granted());
  }
  const auto answer = connections_.Open(4);
  CHECK_TRUE(answer.bound_ == ConnectionBound::Connections);
  CHECK_TRUE(answer.drop_.empty());
}

// Guards against callers that keep requests of other daemons out.
TEST(ConnectionBounds, KeepsAPartForPeers)
{
  connections_.bounds_ = ConnectionBounds({ .connections_ = 4,
                                            .memory_ = 600,
                                            .connectionsOfPeers_ = 1,
                                            .memoryOfPeers_ = 200,
                                            .ordinaryBytes_ = 150 });
  connections_.Open(1);
  connections_.Open(2);
  connections_.Open(3);
  CHECK_TRUE(connections_.Run(1, 150).Granted());
  CHECK_TRUE(connections_.Run(2, 150).Granted());
  CHECK_TRUE(connections_.Run(3, 150).bound_ == ConnectionBound::Memory);
  CHECK_TRUE(connections_.Run(3, 100).Granted());
  CHECK_TRUE(connections_.Open(4, kPeer).Granted());
  CHECK_TRUE(connections_.Run(4, 150).Granted());
}

// Guards against callers that cause connections of peers to be closed.
TEST(ConnectionBounds, CallersNeverDropPeers)
{
  connections_.Open(1, kPeer);
  connections_.Open(2, kPeer);
  connections_.Open(3, kPeer);
  connections_.Open(4);
  CHECK_TRUE(connections_.Open(5).drop_ == Ids{ 4 });
}

// Guards against peers that are kept out by callers' idle connections.
TEST(ConnectionBounds, PeersDropCallersFirst)
{
  connections_.Open(1, kPeer);
  connections_.Open(2);
  connections_.Open(3);
  connections_.Open(4);
  CHECK_TRUE(connections_.Open(5, kPeer).drop_ == Ids{ 2 });
}

// Guards against one head of thousands of lines for which many ordinary connections are closed.
TEST(ConnectionBounds, ACostlyHeadDropsNobody)
{
  connections_.Open(1);
  connections_.Open(2);
  connections_.Open(3);
  CHECK_TRUE(connections_.Run(1, 400).Granted());
  const auto answer = connections_.Run(2, 160);
  CHECK_TRUE(answer.bound_ == ConnectionBound::CostlyHeads);
  CHECK_TRUE(answer.drop_.empty());
  CHECK_TRUE(connections_.Run(2, 150).Granted());
}

// Guards against connections that are dropped for a wish that is refused all the same.
TEST(ConnectionBounds, DropsNobodyWhenThatDoesNotSuffice)
{
  connections_.bounds_ =
    ConnectionBounds({ .connections_ = 4, .memory_ = 400, .ordinaryBytes_ = 150 });
  for (const int id : { 1, 2, 3, 4 }) {
    connections_.Open(id);
  }
  CHECK_TRUE(connections_.Run(1, 150).Granted());
  CHECK_TRUE(connections_.Run(2, 150).Granted());
  const auto answer = connections_.Run(3, 150);
  CHECK_TRUE(answer.bound_ == ConnectionBound::Memory);
  CHECK_TRUE(answer.drop_.empty());
}

// Guards against defaults that keep the callers of a usual deployment out: 520 connections, each
// with a request, on an instance of 160 MB and 4,100 descriptors.
TEST(ConnectionBounds, DefaultsLeaveRoomForAUsualDeployment)
{
  constexpr std::size_t kRunningBytes = 80UL * 1024;
  ConnectionBounds bounds(ConnectionBoundsOptions::For(160'000'000, 4100));
  for (ConnectionBounds::Id id = 1; id <= 520; ++id) {
    ConnectionBounds::Handle handle;
    CHECK_TRUE(bounds.Open(id, kCaller, 4096, handle).Granted());
    CHECK_TRUE(bounds.Change(handle, ConnectionUse::Running, kRunningBytes).Granted());
  }
}

// Guards against a dropped connection that is counted twice, or goes on.
TEST(ConnectionBounds, ADroppedConnectionCountsNoMoreAndGetsNothing)
{
  connections_.Open(1);
  connections_.Open(2);
  connections_.Open(3);
  CHECK_TRUE(connections_.Open(4).drop_ == Ids{ 1 });
  LONGS_EQUAL(3, connections_.bounds_.Connections());
  CHECK_FALSE(connections_.Run(1, 20).Granted());
  connections_.bounds_.Close(connections_.handles_[1]);
  LONGS_EQUAL(3, connections_.bounds_.Connections());
  LONGS_EQUAL(30, connections_.bounds_.Memory());
}

// Guards against a sequence of events after which the totals exceed a bound, a running request was
// dropped, or a caller dropped a peer.
TEST(ConnectionBounds, HoldsItsBoundsInAnyOrderOfEvents)
{
  const bool held = rc::check([] {
    Connections all{ ConnectionBounds({ .connections_ = 6,
                                        .memory_ = 1000,
                                        .connectionsOfPeers_ = 2,
                                        .memoryOfPeers_ = 200,
                                        .ordinaryBytes_ = 150 }),
                     {} };
    std::map<ConnectionBounds::Id, ConnectionParty> parties;
    std::set<ConnectionBounds::Id> running;
    ConnectionBounds::Id next = 1;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 500)));
    for (const auto& [kind, amount] : steps) {
      ConnectionBounds::Answer answer;
      auto chosen = all.handles_.begin();
      if (!all.handles_.empty()) {
        std::advance(chosen, amount % static_cast<int>(all.handles_.size()));
      }
      ConnectionParty party = kCaller;
      if (kind <= 1) {
        party = kind == 0 ? kCaller : kPeer;
        answer = all.Open(next, party);
        parties[next++] = party;
      } else if (chosen != all.handles_.end()) {
        const auto [id, handle] = *chosen;
        party = parties[id];
        if (kind == 2 && !running.contains(id)) {
          answer = all.Read(id, static_cast<std::size_t>(amount));
        } else if (kind == 3) {
          answer = all.Run(id, static_cast<std::size_t>(amount));
          if (answer.Granted()) {
            running.insert(id);
          }
        } else if (kind == 4) {
          answer = all.bounds_.Change(handle, ConnectionUse::Idle, 10);
          running.erase(id);
        } else if (kind == 5) {
          all.bounds_.Close(handle);
          all.handles_.erase(chosen);
          running.erase(id);
        }
      }
      for (const auto id : answer.drop_) {
        RC_ASSERT(!running.contains(id));
        RC_ASSERT(party == kPeer || parties[id] == kCaller);
        all.bounds_.Close(all.handles_.at(id));
        all.handles_.erase(id);
      }
      RC_ASSERT(all.bounds_.Connections() == all.handles_.size());
      RC_ASSERT(all.bounds_.Connections() <= 6U);
      RC_ASSERT(all.bounds_.Memory() <= 1000U);
    }
  });
  CHECK_TRUE(held);
}
