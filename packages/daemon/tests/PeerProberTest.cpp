#include "impl/PeerProber.h"

#include <boost/fiber/operations.hpp>

#include "TestLoop.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::daemon;
using decisions::PeerPath;
using decisions::PeerSign;
using model::DaemonId;

namespace {

/// Longer than two lost probes.
constexpr std::chrono::milliseconds kSilentWithin{ 1500 };
constexpr std::chrono::milliseconds kTick{ 10 };

/// Runs a prober of one peer, whose server handles probes as given.
void WithPeer(const runtime::HttpServer::Handler& aHandler,
              const std::function<void(impl::PeerProber&, runtime::HttpServer&)>& aStory)
{
  runtime::RunInLoop([&](const runtime::IoContextPtr& aIo) {
    auto server = runtime::HttpServer::Create(aIo, { "127.0.0.1", 0 }, {}, aHandler);
    (*server)->Start();
    runtime::HttpConnectionPool pool(aIo, 1, std::chrono::milliseconds(1000));
    impl::PeerProber prober(aIo, pool, {}, [](const decisions::PeerChange&) {});
    prober.SetPeers({ { DaemonId("peer"), (*server)->LocalAddress() } });
    aStory(prober, **server);
    (*server)->Stop();
  });
}

/// Ticks until the path to the peer is as asked; returns whether it became so in time.
bool Becomes(impl::PeerProber& aProber, PeerPath aPath)
{
  const auto end = std::chrono::steady_clock::now() + kSilentWithin;
  while (aProber.PathTo(DaemonId("peer")) != aPath) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    aProber.Tick();
    boost::this_fiber::sleep_for(kTick);
  }
  return true;
}

} // namespace

TEST_GROUP(PeerProber){};

// Guards against a peer that stays out of the choice after it answers again.
TEST(PeerProber, AnAnsweredProbeBringsAPeerBack)
{
  const auto answer = [](runtime::HttpExchange& aExchange) {
    CHECK_TRUE(impl::AnswerProbe(aExchange));
  };
  WithPeer(answer, [](impl::PeerProber& aProber, runtime::HttpServer&) {
    aProber.Started(DaemonId("peer"));
    aProber.Ended(DaemonId("peer"), PeerSign::ConnectFailed);
    CHECK_TRUE(aProber.PathTo(DaemonId("peer")) == PeerPath::Doubtful);
    CHECK_TRUE(Becomes(aProber, PeerPath::Open));
  });
}

// Guards against requests that wait at a peer whose process is stopped: the system still accepts
// its connections.
TEST(PeerProber, APeerThatAcceptsAndNeverAnswersBecomesSilent)
{
  bool ended = false;
  const auto hang = [&ended](runtime::HttpExchange& aExchange) {
    while (!ended) {
      boost::this_fiber::sleep_for(kTick);
    }
    aExchange.Abort();
  };
  WithPeer(hang, [&ended](impl::PeerProber& aProber, runtime::HttpServer&) {
    aProber.Started(DaemonId("peer"));
    CHECK_TRUE(Becomes(aProber, PeerPath::Silent));
    ended = true;
  });
}
