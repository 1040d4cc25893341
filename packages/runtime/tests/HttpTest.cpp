#include "hemlockproxy/runtime/HttpClient.h"
#include "hemlockproxy/runtime/HttpServer.h"

#include <boost/fiber/operations.hpp>

#include "TestLoop.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy::runtime;
using hemlockproxy::model::Address;

namespace {

constexpr std::chrono::milliseconds kTimeout{ 2000 };
constexpr std::size_t kBodyLimit = 16UL * 1024 * 1024;

/// Runs a server and a client part in one loop on a thread of its own.
void WithServer(
  const HttpServer::Handler& aHandler,
  const std::function<void(const IoContextPtr&, HttpServer&, HttpConnectionPool&)>& aClient,
  HttpServerOptions aOptions = {})
{
  RunInLoop([&](const IoContextPtr& aIo) {
    auto server = HttpServer::Create(aIo, Address{ "127.0.0.1", 0 }, aOptions, aHandler);
    (*server)->Start();
    HttpConnectionPool pool(aIo, 4, kTimeout);
    aClient(aIo, **server, pool);
    (*server)->Stop();
  });
}

void EchoBody(HttpExchange& aExchange)
{
  std::string body;
  std::string part(1000, '\0');
  while (true) {
    auto read = aExchange.Read(part.data(), part.size());
    if (!read || *read == 0) {
      break;
    }
    body.append(part.data(), *read);
  }
  (void)aExchange.SendResponse(http::status::ok, body);
}

} // namespace

TEST_GROUP(Http){};

TEST(Http, CarriesBodiesOfAllSizesBothWaysOnOneConnection)
{
  WithServer(EchoBody, [](const IoContextPtr&, HttpServer& aServer, HttpConnectionPool& aPool) {
    for (const std::size_t size : { 0UL, 1UL, 1000UL, 16384UL, 1000000UL }) {
      const std::string sent(size, 'x');
      auto header = MakeRequest(http::verb::post, "/echo", aServer.LocalAddress());
      auto response = Fetch(aPool, aServer.LocalAddress(), header, sent, kTimeout, kBodyLimit);
      CHECK_TRUE(response.Ok());
      CHECK_TRUE(response->body_ == sent);
    }
  });
}

// Guards against a truncated response that looks complete to the caller.
TEST(Http, ReportsAnAbortedResponseAsBroken)
{
  const auto abortHalfway = [](HttpExchange& aExchange) {
    ResponseHeader header;
    header.result(http::status::ok);
    (void)aExchange.SendHeader(std::move(header));
    (void)aExchange.SendBody("first part");
    aExchange.Abort();
  };
  WithServer(abortHalfway, [](const IoContextPtr&, HttpServer& aServer, HttpConnectionPool& aPool) {
    auto header = MakeRequest(http::verb::get, "/", aServer.LocalAddress());
    auto response = Fetch(aPool, aServer.LocalAddress(), header, {}, kTimeout, kBodyLimit);
    CHECK_FALSE(response.Ok());
    CHECK_TRUE(response.Error().kind_ == HttpErrorKind::Broken);
  });
}

// Guards against work that goes on for a caller that has gone.
TEST(Http, TellsTheHandlerWhenTheCallerCloses)
{
  bool closed = false;
  const auto wait = [&closed](HttpExchange& aExchange) {
    aExchange.OnCallerClosed([&closed] { closed = true; });
    for (int i = 0; i < 100 && !closed; ++i) {
      boost::this_fiber::sleep_for(std::chrono::milliseconds(5));
    }
    (void)aExchange.SendResponse(http::status::ok, "late");
  };
  WithServer(wait, [&closed](const IoContextPtr& aIo, HttpServer& aServer, HttpConnectionPool&) {
    {
      auto connection = HttpConnection::Connect(*aIo, aServer.LocalAddress(), kTimeout);
      (void)(*connection)
        ->Send(MakeRequest(http::verb::get, "/", aServer.LocalAddress()), {}, kTimeout);
      boost::this_fiber::sleep_for(std::chrono::milliseconds(20));
      CHECK_FALSE(closed);
    }
    boost::this_fiber::sleep_for(std::chrono::milliseconds(50));
    CHECK_TRUE(closed);
  });
}

// Guards against a stop that cuts a response in progress.
TEST(Http, StopLetsExchangesInProgressEnd)
{
  const auto slow = [](HttpExchange& aExchange) {
    boost::this_fiber::sleep_for(std::chrono::milliseconds(100));
    (void)aExchange.SendResponse(http::status::ok, "complete");
  };
  WithServer(slow, [](const IoContextPtr& aIo, HttpServer& aServer, HttpConnectionPool&) {
    const Address address = aServer.LocalAddress();
    auto connection = HttpConnection::Connect(*aIo, address, kTimeout);
    (void)(*connection)->Send(MakeRequest(http::verb::get, "/", address), {}, kTimeout);
    boost::this_fiber::sleep_for(std::chrono::milliseconds(20));
    aServer.Stop();
    UNSIGNED_LONGS_EQUAL(1, aServer.InProgress());
    auto header = (*connection)->ReadHeader(kTimeout);
    CHECK_TRUE(header.Ok());
    CHECK_TRUE((*header)[http::field::connection] == "close");
    CHECK_FALSE(HttpConnection::Connect(*aIo, address, kTimeout).Ok());
  });
}

// Guards against callers that stay on the connections of a daemon that leaves.
TEST(Http, ClosesTheConnectionAfterAResponseWhenAsked)
{
  const auto close = [](HttpExchange& aExchange) {
    aExchange.CloseAfterResponse();
    (void)aExchange.SendResponse(http::status::ok, "complete");
  };
  WithServer(close, [](const IoContextPtr& aIo, HttpServer& aServer, HttpConnectionPool&) {
    const Address address = aServer.LocalAddress();
    auto connection = HttpConnection::Connect(*aIo, address, kTimeout);
    (void)(*connection)->Send(MakeRequest(http::verb::get, "/", address), {}, kTimeout);
    auto header = (*connection)->ReadHeader(kTimeout);
    CHECK_TRUE(header.Ok());
    CHECK_TRUE((*header)[http::field::connection] == "close");
  });
}

// Guards against a malformed or oversized request that harms the server or goes without a response.
TEST(Http, RejectsMalformedAndOversizedHeaders)
{
  HttpServerOptions options;
  options.headerBytes_ = 1024;
  WithServer(
    EchoBody,
    [](const IoContextPtr&, HttpServer& aServer, HttpConnectionPool& aPool) {
      auto large = MakeRequest(http::verb::get, "/", aServer.LocalAddress());
      large.set("X-Large", std::string(4000, 'a'));
      auto rejected = Fetch(aPool, aServer.LocalAddress(), large, {}, kTimeout, kBodyLimit);
      STRCMP_EQUAL("", rejected.Ok() ? "" : rejected.Error().message_.c_str());
      LONGS_EQUAL(431, rejected->header_.result_int());
      auto malformed = MakeRequest(http::verb::get, "/with space", aServer.LocalAddress());
      auto second = Fetch(aPool, aServer.LocalAddress(), malformed, {}, kTimeout, kBodyLimit);
      CHECK_TRUE(second.Ok());
      LONGS_EQUAL(400, second->header_.result_int());
    },
    options);
}

// Guards against idle connections that stay open after a burst, each with its memory at both ends.
TEST(Http, DropsConnectionsThatWereIdleForTooLong)
{
  constexpr std::chrono::milliseconds kIdleTime{ 20 };
  WithServer(EchoBody, [&](const IoContextPtr& aIo, HttpServer& aServer, HttpConnectionPool&) {
    HttpConnectionPool pool(aIo, 4, kIdleTime);
    const Address address = aServer.LocalAddress();
    auto first = *pool.Acquire(address, kTimeout);
    auto second = *pool.Acquire(address, kTimeout);
    for (auto* connection : { &first, &second }) {
      const auto header = MakeRequest(http::verb::get, "/", address);
      CHECK_TRUE((*connection)->Send(header, {}, kTimeout).Ok());
      CHECK_TRUE((*connection)->ReadHeader(kTimeout).Ok());
      pool.Release(address, std::move(*connection));
    }
    pool.DropExpired();
    UNSIGNED_LONGS_EQUAL(2, pool.IdleCount());
    boost::this_fiber::sleep_for(2 * kIdleTime);
    pool.DropExpired();
    UNSIGNED_LONGS_EQUAL(0, pool.IdleCount());
  });
}

// Guards against an unexpected exception in one request that ends the process and all others.
TEST(Http, AHandlerThatThrowsEndsItsRequestOnly)
{
  Metrics metrics;
  HttpServerOptions options;
  options.metrics_ = &metrics;
  const auto handler = [](HttpExchange& aExchange) {
    if (aExchange.Request().target() == "/fault") {
      throw std::out_of_range("an index is too large");
    }
    (void)aExchange.SendResponse(http::status::ok, "fine");
  };
  const auto client =
    [&metrics](const IoContextPtr&, HttpServer& aServer, HttpConnectionPool& aPool) {
      const Address address = aServer.LocalAddress();
      const auto get = [&](const char* aTarget) {
        return Fetch(
          aPool, address, MakeRequest(http::verb::get, aTarget, address), {}, kTimeout, kBodyLimit);
      };
      CHECK_FALSE(get("/fault").Ok());
      CHECK_TRUE(get("/fine").Ok());
      UNSIGNED_LONGS_EQUAL(0, aServer.InProgress());
      UNSIGNED_LONGS_EQUAL(1, metrics.Get(Counter::HandlersFailed));
    };
  WithServer(handler, client, options);
}
