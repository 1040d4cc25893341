#include "impl/PeerMemory.h"

#include "hemlockproxy/runtime/Metrics.h"

#include "impl/ControlCalls.h"
#include "impl/ProcessBounds.h"

#include "TestLoop.h"

#include <boost/fiber/operations.hpp>

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::daemon;
using namespace hemlockproxy::daemon::impl;
using runtime::RunInLoop;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kSettle{ 100 };
constexpr milliseconds kAskAgain{ 500 };
/// Longer than a report is on its way.
constexpr milliseconds kLongUp{ 60'000 };

model::Address FreeAddress(const runtime::IoContextPtr& aIo)
{
  auto probe =
    runtime::HttpServer::Create(aIo, { "127.0.0.1", 0 }, {}, [](runtime::HttpExchange&) {});
  return (*probe)->LocalAddress();
}

/// A daemon as far as peers' memory goes.
class Node
{
public:
  Node(const runtime::IoContextPtr& aIo,
       const model::Address& aAddress,
       const PeerMemory::Members& aMembers,
       milliseconds aUptime = {})
    : transport_(*ControlTransport::Create(aIo, aAddress, metrics_, impl::MakeControlBounds({})))
    , memory_(
        *transport_,
        model::DaemonId(ToString(aAddress)),
        model::FailureDomain("leith"),
        std::chrono::steady_clock::now() - aUptime,
        [&aMembers] { return aMembers; },
        [this](std::vector<decisions::DepartureRecord> aRecords,
               std::optional<milliseconds> aLongestMemory) {
          restored_.insert(restored_.end(), aRecords.begin(), aRecords.end());
          longestMemory_ = std::max(longestMemory_, aLongestMemory);
          return true;
        })
  {
    transport_->OnCall(kDeparturesPath,
                       [this](const std::string& aBody) { return memory_.HandleCall(aBody); });
    transport_->Start([](const model::Address&, std::string_view) {});
  }
  ~Node()
  {
    transport_->Stop();
    boost::this_fiber::sleep_for(kSettle);
  }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  PeerMemory& Memory() { return memory_; }
  void Ask()
  {
    memory_.Tick(std::chrono::steady_clock::now());
    boost::this_fiber::sleep_for(kSettle);
  }
  std::vector<decisions::DepartureRecord> restored_;
  std::optional<milliseconds> longestMemory_;

private:
  runtime::Metrics metrics_;
  std::unique_ptr<ControlTransport> transport_;
  PeerMemory memory_;
};

} // namespace

/// Two daemons of one failure domain.
TEST_GROUP(PeerMemory)
{
  PeerMemory::Members members_;

  void List(const model::Address& aAddress)
  {
    auto member = std::make_shared<model::MemberRecord>();
    member->id_ = model::DaemonId(ToString(aAddress));
    member->domain_ = model::FailureDomain("leith");
    member->control_ = aAddress;
    member->state_ = model::MemberState::Alive;
    members_.push_back(std::move(member));
  }
};

// Guards against an acknowledged departure that ends with the process that acknowledged it.
TEST(PeerMemory, ARestartedDaemonHearsWhatLeftItsFormerProcess)
{
  RunInLoop([this](const runtime::IoContextPtr& aIo) {
    const auto first = FreeAddress(aIo);
    const auto second = FreeAddress(aIo);
    List(first);
    List(second);
    Node peer(aIo, second, members_, kLongUp);
    const decisions::DepartureRecord left{ model::BackendId("i-7f"),
                                           model::WallTime(std::chrono::hours(1)),
                                           {} };
    {
      Node killed(aIo, first, members_);
      bool done = false;
      killed.Memory().Tell(left, [&done] { done = true; });
      boost::this_fiber::sleep_for(kSettle);
      CHECK_TRUE(done);
    }
    Node restarted(aIo, first, members_);
    restarted.Ask();
    CHECK_TRUE(restarted.longestMemory_ >= kLongUp);
    LONGS_EQUAL(1, restarted.restored_.size());
    CHECK_TRUE(restarted.restored_[0].id_ == left.id_);
    CHECK_TRUE(restarted.restored_[0].startedAt_ == left.startedAt_);
    // Nothing of it concerns the peer.
    peer.Ask();
    CHECK_TRUE(peer.longestMemory_.has_value() && peer.restored_.empty());
  });
}

// Guards against a departure that only a peer remembers which is met after others: the answer of a
// peer that was restarted as well ended the questions.
TEST(PeerMemory, ADaemonAsksOnWhileOnlyRestartedPeersHaveAnswered)
{
  RunInLoop([this](const runtime::IoContextPtr& aIo) {
    const auto first = FreeAddress(aIo);
    const auto second = FreeAddress(aIo);
    const auto third = FreeAddress(aIo);
    List(first);
    List(second);
    Node alsoRestarted(aIo, second, members_);
    Node holder(aIo, third, members_, kLongUp);
    {
      PeerMemory::Members before;
      std::swap(before, members_);
      List(third);
      Node killed(aIo, first, members_);
      killed.Memory().Tell({ model::BackendId("i-7f"), std::nullopt, {} }, [] {});
      boost::this_fiber::sleep_for(kSettle);
      std::swap(before, members_);
    }
    Node restarted(aIo, first, members_);
    restarted.Ask();
    CHECK_TRUE(restarted.longestMemory_ < kLongUp);
    CHECK_TRUE(restarted.restored_.empty());
    List(third);
    boost::this_fiber::sleep_for(kAskAgain);
    restarted.Ask();
    CHECK_TRUE(restarted.longestMemory_ >= kLongUp);
    LONGS_EQUAL(1, restarted.restored_.size());
  });
}

// Guards against an answer to a backend server that never comes, and against a daemon that takes
// the silence of its peers for their knowledge.
TEST(PeerMemory, PeersThatAreAwayDoNotHoldUpADepartureAndTellNothing)
{
  RunInLoop([this](const runtime::IoContextPtr& aIo) {
    const auto first = FreeAddress(aIo);
    List(first);
    List(FreeAddress(aIo));
    Node alone(aIo, first, members_);
    bool done = false;
    alone.Memory().Tell({ model::BackendId("i-7f"), std::nullopt, {} }, [&done] { done = true; });
    alone.Ask();
    boost::this_fiber::sleep_for(milliseconds(600));
    CHECK_TRUE(done);
    CHECK_FALSE(alone.longestMemory_.has_value());
  });
}
