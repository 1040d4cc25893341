#include "hemlockproxy/runtime/HttpServer.h"

#include "../src/impl/HttpStream.h"
#include "../src/impl/RequestCheck.h"

#include <boost/fiber/operations.hpp>

#include <vector>

#include "CountOf.h"
#include "TestLoop.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy::runtime;
using hemlockproxy::model::Address;

namespace {

/// Longer than every bound of the servers below.
constexpr std::chrono::milliseconds kReadTimeout{ 2000 };

/// A caller that sends bytes as they are.
class RawCaller
{
public:
  RawCaller(IoContext& aIo, const Address& aServer)
    : stream_(aIo.get_executor())
  {
    boost::system::error_code error;
    stream_.socket().connect({ impl::asio::ip::make_address(aServer.ip_), aServer.port_ }, error);
    CHECK_FALSE(error.failed());
  }

  void Send(std::string_view aBytes)
  {
    (void)impl::Await([&](auto aHandler) {
      impl::asio::async_write(
        stream_, impl::asio::buffer(aBytes.data(), aBytes.size()), std::move(aHandler));
    });
  }

  /// Returns all that the server sends until it closes the connection.
  std::string ReadToEnd()
  {
    std::string all;
    std::array<char, 1024> part{};
    stream_.expires_after(kReadTimeout);
    while (true) {
      const auto done = impl::Await([&](auto aHandler) {
        stream_.async_read_some(impl::asio::buffer(part), std::move(aHandler));
      });
      all.append(part.data(), done.bytes_);
      if (done.error_) {
        return all;
      }
    }
  }

private:
  impl::TcpStream stream_;
};

struct ServerRun
{
  std::vector<std::string> targets_;
  std::vector<std::string> hosts_;
  std::string response_;
};

/// Sends bytes to a server and returns what it handled and answered. The server answers a body that
/// it cannot read with 400, and closes the connection after each response to a "/last" target.
ServerRun Play(const std::vector<std::string>& aParts, HttpServerOptions aOptions = {})
{
  ServerRun run;
  const auto handle = [&run](HttpExchange& aExchange) {
    run.targets_.emplace_back(aExchange.Request().target());
    run.hosts_.emplace_back(aExchange.Request()[http::field::host]);
    std::array<char, 100> part{};
    while (true) {
      const auto read = aExchange.Read(part.data(), part.size());
      if (!read) {
        (void)aExchange.SendResponse(http::status::bad_request, "bad body");
        return;
      }
      if (*read == 0) {
        break;
      }
    }
    if (run.targets_.back() == "/last") {
      aExchange.CloseAfterResponse();
    }
    (void)aExchange.SendResponse(http::status::ok, "handled");
  };
  RunInLoop([&](const IoContextPtr& aIo) {
    auto server = HttpServer::Create(aIo, Address{ "127.0.0.1", 0 }, aOptions, handle);
    (*server)->Start();
    RawCaller caller(*aIo, (*server)->LocalAddress());
    for (const std::string& part : aParts) {
      caller.Send(part);
      boost::this_fiber::sleep_for(std::chrono::milliseconds(20));
    }
    run.response_ = caller.ReadToEnd();
    (*server)->Stop();
  });
  return run;
}

bool StartsWith(const std::string& aText, const std::string& aStart)
{
  return aText.rfind(aStart, 0) == 0;
}

} // namespace

TEST_GROUP(HttpLimits){};

// Guards against a request that is routed by a host that it does not name, or by one of two.
TEST(HttpLimits, RejectsHttp11WithoutOneHost)
{
  for (const std::string hosts : { "", "Host: a\r\nHost: b\r\n", "Host: a\r\nHost: a\r\n" }) {
    const ServerRun run = Play({ "GET /last HTTP/1.1\r\n" + hosts + "\r\n" });
    CHECK_TRUE(StartsWith(run.response_, "HTTP/1.1 400 "));
    CHECK_TRUE(run.targets_.empty());
  }
}

TEST(HttpLimits, ServesHttp10WithoutHost)
{
  const ServerRun run = Play({ "GET /last HTTP/1.0\r\n\r\n" });
  CHECK_TRUE(run.targets_ == std::vector<std::string>{ "/last" });
}

// Guards against a proxy's request in absolute form that finds no route.
TEST(HttpLimits, ReadsTargetsInAbsoluteForm)
{
  const ServerRun run = Play({ "GET http://shop.example:81/last HTTP/1.1\r\nHost: other\r\n\r\n" });
  CHECK_TRUE(run.targets_ == std::vector<std::string>{ "/last" });
  CHECK_TRUE(run.hosts_ == std::vector<std::string>{ "shop.example:81" });
}

TEST(HttpLimits, ReadsAbsoluteFormWithoutPath)
{
  RequestHeader header;
  header.version(11);
  header.method(http::verb::get);
  header.set(http::field::host, "other");
  header.target("http://shop.example?q=1");
  CHECK_FALSE(impl::CheckRequest(header).has_value());
  CHECK_TRUE(header.target() == "/?q=1");
  CHECK_TRUE(header[http::field::host] == "shop.example");
}

// Guards against a tunnel, and against targets that no route can match.
TEST(HttpLimits, RejectsConnectAndForeignTargets)
{
  CHECK_TRUE(StartsWith(Play({ "CONNECT a:443 HTTP/1.1\r\nHost: a:443\r\n\r\n" }).response_,
                        "HTTP/1.1 405 "));
  for (const std::string target : { "relative", "ftp://a/b", "http:///b", "http://u@a/b", "*" }) {
    const ServerRun run = Play({ "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n" });
    CHECK_TRUE(StartsWith(run.response_, "HTTP/1.1 400 "));
    CHECK_TRUE(run.targets_.empty());
  }
}

// Guards against a caller that holds a connection with a header that never ends.
TEST(HttpLimits, AnswersAHeaderThatIsLateWith408)
{
  HttpServerOptions options;
  options.headerTimeout_ = std::chrono::milliseconds(100);
  const ServerRun run = Play({ "GET / HTTP/1.1\r\nHo" }, options);
  CHECK_TRUE(StartsWith(run.response_, "HTTP/1.1 408 "));
  CHECK_TRUE(run.response_.find("Connection: close") != std::string::npos);
}

TEST(HttpLimits, ServesAHeaderInPartsThatIsInTime)
{
  const ServerRun run = Play({ "GET /last HTTP/1.1\r\nHo", "st: a\r", "\n\r\n" });
  CHECK_TRUE(StartsWith(run.response_, "HTTP/1.1 200 "));
}

// Guards against a reset where the caller should learn what is wrong.
TEST(HttpLimits, TellsTheHandlerOfABadChunkSize)
{
  const ServerRun run =
    Play({ "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", "zz\r\nabc\r\n" });
  CHECK_TRUE(StartsWith(run.response_, "HTTP/1.1 400 "));
}

// Guards against bytes behind a rejected request that are taken for another request.
TEST(HttpLimits, HandlesNothingBehindARejectedRequest)
{
  const std::string next = "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n";
  const std::string post = "POST / HTTP/1.1\r\nHost: a\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string length = "Content-Length: 3\r\n";
  const std::vector<std::string> rejected = {
    "GET / HTTP/1.1\r\n\r\n",
    "CONNECT a:443 HTTP/1.1\r\nHost: a:443\r\n\r\n",
    post + chunked + length + "\r\n0\r\n\r\n",
    post + length + chunked + "\r\n0\r\n\r\n",
    post + length + "Content-Length: 4\r\n\r\nabc",
    post + chunked + "\r\nzz\r\n",
  };
  for (const std::string& request : rejected) {
    const ServerRun run = Play({ request + next });
    CHECK_TRUE(StartsWith(run.response_, "HTTP/1.1 4"));
    UNSIGNED_LONGS_EQUAL(1, CountOf(run.response_, "HTTP/1.1 "));
    CHECK_TRUE(run.targets_.empty() || run.targets_ == std::vector<std::string>{ "/" });
  }
}

TEST(HttpLimits, ServesPipelinedRequestsInOrder)
{
  const std::string part = " HTTP/1.1\r\nHost: a\r\n\r\n";
  const ServerRun run = Play({ "GET /1" + part + "GET /2" + part + "GET /last" + part });
  CHECK_TRUE((run.targets_ == std::vector<std::string>{ "/1", "/2", "/last" }));
  UNSIGNED_LONGS_EQUAL(3, CountOf(run.response_, "HTTP/1.1 200 "));
}

// Guards against bounds that stay as they were when the configuration changes.
TEST(HttpLimits, NewBoundsHoldForTheNextRequest)
{
  RunInLoop([](const IoContextPtr& aIo) {
    auto server = HttpServer::Create(aIo, Address{ "127.0.0.1", 0 }, {}, [](HttpExchange& aOne) {
      (void)aOne.SendResponse(http::status::ok, "handled");
    });
    (*server)->Start();
    (*server)->SetLimits(100, std::chrono::milliseconds(100), std::chrono::milliseconds(50));
    RawCaller large(*aIo, (*server)->LocalAddress());
    large.Send("GET / HTTP/1.1\r\nHost: a\r\nX-Large: " + std::string(200, 'a') + "\r\n\r\n");
    CHECK_TRUE(StartsWith(large.ReadToEnd(), "HTTP/1.1 431 "));
    RawCaller idle(*aIo, (*server)->LocalAddress());
    const auto started = std::chrono::steady_clock::now();
    STRCMP_EQUAL("", idle.ReadToEnd().c_str());
    CHECK_TRUE(std::chrono::steady_clock::now() - started < kReadTimeout);
    (*server)->Stop();
  });
}
