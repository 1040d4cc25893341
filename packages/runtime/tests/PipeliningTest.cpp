#include "hemlockproxy/runtime/HttpServer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/fiber/operations.hpp>

#include <atomic>
#include <thread>

#include "TestLoop.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy::runtime;
using hemlockproxy::model::Address;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kSlow{ 150 };

std::string Get(const std::string& aTarget)
{
  return "GET " + aTarget + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

std::size_t CountOf(const std::string& aText, const std::string& aPart)
{
  std::size_t count = 0;
  for (std::size_t at = 0; (at = aText.find(aPart, at)) != std::string::npos; ++at) {
    ++count;
  }
  return count;
}

/// A caller that sends bytes at once and reads until its server closes, or until it has enough.
class RawCaller
{
public:
  explicit RawCaller(const Address& aServer)
    : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(aServer.port_);
    inet_pton(AF_INET, aServer.ip_.c_str(), &to.sin_addr);
    CHECK_TRUE(::connect(socket_, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0);
  }
  ~RawCaller() { Close(); }
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  void Send(const std::string& aBytes) const
  {
    CHECK_TRUE(::send(socket_, aBytes.data(), aBytes.size(), MSG_NOSIGNAL) ==
               static_cast<ssize_t>(aBytes.size()));
  }
  /// Lets the loop run until this many responses have come or the connection has ended.
  std::string Receive(std::size_t aResponses)
  {
    std::string text;
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (CountOf(text, "HTTP/1.1 ") < aResponses || !text.ends_with("\n")) {
      CHECK_TRUE(std::chrono::steady_clock::now() < limit);
      char part[4096];
      const ssize_t received = ::recv(socket_, part, sizeof part, MSG_DONTWAIT);
      if (received > 0) {
        text.append(part, static_cast<std::size_t>(received));
      } else if (received == 0 || errno != EAGAIN) {
        wasReset_ = received < 0;
        ended_ = true;
        break;
      }
      boost::this_fiber::sleep_for(milliseconds(1));
    }
    return text;
  }
  void Close()
  {
    if (socket_ >= 0) {
      ::close(std::exchange(socket_, -1));
    }
  }

  bool ended_ = false;
  bool wasReset_ = false;

private:
  int socket_;
};

} // namespace

/// A server whose requests are slow when their target says so.
TEST_GROUP(Pipelining)
{
  std::vector<std::string> begun_;
  std::size_t running_ = 0;
  std::size_t mostRunning_ = 0;
  std::size_t closed_ = 0;

  void Handle(HttpExchange & aExchange)
  {
    const std::string target(aExchange.Request().target());
    begun_.push_back(target);
    mostRunning_ = std::max(mostRunning_, ++running_);
    char byte = 0;
    while (!aExchange.BodyDone()) {
      CHECK_TRUE(aExchange.Read(&byte, 1).Ok());
    }
    bool closed = false;
    aExchange.OnCallerClosed([&] {
      closed = true;
      ++closed_;
    });
    const auto until =
      std::chrono::steady_clock::now() + (target.starts_with("/slow") ? kSlow : milliseconds(1));
    while (!closed && std::chrono::steady_clock::now() < until) {
      boost::this_fiber::sleep_for(milliseconds(1));
    }
    --running_;
    if (target == "/broken") {
      aExchange.Abort();
    } else {
      (void)aExchange.SendResponse(http::status::ok, target + "\n");
    }
  }
  template <typename Use>
  void WithServer(Use aUse)
  {
    RunInLoop([&](const IoContextPtr& aIo) {
      auto server = HttpServer::Create(
        aIo, Address{ "127.0.0.1", 0 }, {}, [this](HttpExchange& aExchange) { Handle(aExchange); });
      (*server)->Start();
      aUse(**server);
      (*server)->Stop();
      boost::this_fiber::sleep_for(milliseconds(5));
    });
  }
  /// Returns the bodies of responses in their order.
  static std::string BodiesOf(const std::string& aText)
  {
    std::string bodies;
    for (std::size_t at = 0; (at = aText.find("\r\n\r\n", at)) != std::string::npos;) {
      at += 4;
      bodies += aText.substr(at, aText.find('\n', at) - at);
    }
    return bodies;
  }
};

// Guards against a request that waits for the end of an earlier one before its work begins.
TEST(Pipelining, SafeRequestsRunBesideEachOtherAndAreAnsweredInOrder)
{
  WithServer([&](HttpServer& aServer) {
    RawCaller caller(aServer.LocalAddress());
    const auto begun = std::chrono::steady_clock::now();
    caller.Send(Get("/slow/1") + Get("/2") + Get("/slow/3"));
    STRCMP_EQUAL("/slow/1/2/slow/3", BodiesOf(caller.Receive(3)).c_str());
    CHECK_TRUE(std::chrono::steady_clock::now() - begun < 2 * kSlow);
    LONGS_EQUAL(3, mostRunning_);
  });
}

// Guards against a request that is only seen when it arrives together with the first one.
TEST(Pipelining, RequestsThatArriveLaterInPartsAreSeenToo)
{
  WithServer([&](HttpServer& aServer) {
    RawCaller caller(aServer.LocalAddress());
    caller.Send(Get("/slow/1"));
    boost::this_fiber::sleep_for(milliseconds(20));
    const std::string second = Get("/2");
    caller.Send(second.substr(0, 9));
    boost::this_fiber::sleep_for(milliseconds(10));
    caller.Send(second.substr(9));
    boost::this_fiber::sleep_for(milliseconds(20));
    LONGS_EQUAL(2, begun_.size());
    STRCMP_EQUAL("/slow/1/2", BodiesOf(caller.Receive(2)).c_str());
    caller.Send(Get("/3"));
    STRCMP_EQUAL("/3", BodiesOf(caller.Receive(1)).c_str());
  });
}

// Guards against effects in another order than the caller sent them, and against unbounded work.
TEST(Pipelining, RequestsWithEffectsWaitForTheirTurn)
{
  WithServer([&](HttpServer& aServer) {
    RawCaller caller(aServer.LocalAddress());
    const std::string post = "POST /post HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab";
    caller.Send(Get("/slow/1") + post + Get("/3"));
    boost::this_fiber::sleep_for(kSlow / 3);
    LONGS_EQUAL(1, begun_.size());
    STRCMP_EQUAL("/slow/1/post/3", BodiesOf(caller.Receive(3)).c_str());
  });
}

TEST(Pipelining, IsBoundedOnEachConnection)
{
  WithServer([&](HttpServer& aServer) {
    RawCaller caller(aServer.LocalAddress());
    std::string requests;
    for (int i = 0; i < 40; ++i) {
      requests += Get("/slow");
    }
    caller.Send(requests);
    LONGS_EQUAL(40, CountOf(caller.Receive(40), "HTTP/1.1 200"));
    CHECK_TRUE(mostRunning_ > 4 && mostRunning_ <= 10);
  });
}

// Guards against work that goes on for a caller that has left, behind requests that it sent ahead.
TEST(Pipelining, TheCallersCloseReachesAllItsRequests)
{
  WithServer([&](HttpServer& aServer) {
    RawCaller caller(aServer.LocalAddress());
    caller.Send(Get("/slow/1") + Get("/slow/2") + Get("/slow/3"));
    boost::this_fiber::sleep_for(milliseconds(20));
    caller.Close();
    boost::this_fiber::sleep_for(milliseconds(20));
    LONGS_EQUAL(3, closed_);
    LONGS_EQUAL(0, running_);
  });
}

// Guards against a planned stop that cuts a request which was begun, or resets the connection while
// its last response is on the way.
TEST(Pipelining, AStopAnswersWhatWasBegunAndReadsNoMore)
{
  WithServer([&](HttpServer& aServer) {
    RawCaller caller(aServer.LocalAddress());
    caller.Send(Get("/slow/1") + Get("/slow/2"));
    boost::this_fiber::sleep_for(milliseconds(20));
    aServer.Stop();
    caller.Send(Get("/3"));
    const std::string text = caller.Receive(3);
    STRCMP_EQUAL("/slow/1/slow/2", BodiesOf(text).c_str());
    CHECK_TRUE(caller.ended_);
    CHECK_FALSE(caller.wasReset_);
    LONGS_EQUAL(1, CountOf(text, "Connection: close"));
    LONGS_EQUAL(2, begun_.size());
  });
}

// Guards against a response that is taken for that of the broken request before it.
TEST(Pipelining, NothingFollowsABrokenResponse)
{
  WithServer([&](HttpServer& aServer) {
    RawCaller caller(aServer.LocalAddress());
    caller.Send(Get("/1") + Get("/broken") + Get("/3"));
    STRCMP_EQUAL("/1", BodiesOf(caller.Receive(3)).c_str());
    CHECK_TRUE(caller.ended_);
  });
}

// Guards against idle connections that are never closed, or closed although they are in use.
TEST(Pipelining, IdleConnectionsAreClosedInTime)
{
  WithServer([&](HttpServer& aServer) {
    aServer.SetLimits(16 * 1024, milliseconds(1000), milliseconds(100));
    RawCaller caller(aServer.LocalAddress());
    for (int i = 0; i < 3; ++i) {
      boost::this_fiber::sleep_for(milliseconds(60));
      caller.Send(Get("/1"));
      STRCMP_EQUAL("/1", BodiesOf(caller.Receive(1)).c_str());
    }
    (void)caller.Receive(1);
    CHECK_TRUE(caller.ended_);
    CHECK_FALSE(caller.wasReset_);
  });
}
