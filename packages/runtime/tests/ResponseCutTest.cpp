// What a caller receives of a response that its handler does not finish.

#include "hemlockproxy/runtime/HttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>

#include "TestLoop.h"

#include <atomic>
#include <functional>
#include <stdexcept>
#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy::runtime;
using hemlockproxy::model::Address;

namespace {

namespace asio = boost::asio;

struct Received
{
  std::string bytes_;
  /// Whether the connection ended in order.
  bool closed_ = false;
};

/// Sends a request and reads until the end of the connection.
Received Call(const Address& aAddress, const std::string& aRequest)
{
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  socket.connect({ asio::ip::make_address(aAddress.ip_), aAddress.port_ });
  asio::write(socket, asio::buffer(aRequest));
  Received received;
  boost::system::error_code error;
  asio::read(socket, asio::dynamic_buffer(received.bytes_), error);
  received.closed_ = error == asio::error::eof;
  return received;
}

Received CallWith(const HttpServer::Handler& aHandler, const std::string& aRequest)
{
  Received received;
  RunInLoop([&](const IoContextPtr& aIo) {
    auto server = HttpServer::Create(aIo, Address{ "127.0.0.1", 0 }, {}, aHandler);
    (*server)->Start();
    std::atomic<bool> done{ false };
    std::thread caller([&, address = (*server)->LocalAddress()] {
      received = Call(address, aRequest);
      done = true;
    });
    while (!done) {
      boost::this_fiber::sleep_for(std::chrono::milliseconds(1));
    }
    caller.join();
    (*server)->Stop();
  });
  return received;
}

using Ending = void (*)(HttpExchange& aExchange);

/// Sends the first part of a response without a length and ends as given.
HttpServer::Handler StartAnd(Ending aEnding)
{
  return [aEnding](HttpExchange& aExchange) {
    ResponseHeader header;
    header.result(http::status::ok);
    (void)aExchange.SendHeader(std::move(header));
    (void)aExchange.SendBody("first part");
    aEnding(aExchange);
  };
}

constexpr Ending kCuts[] = {
  [](HttpExchange& aExchange) { aExchange.Abort(); },
  [](HttpExchange&) {},
  [](HttpExchange&) { throw std::runtime_error("a fault"); },
};

} // namespace

TEST_GROUP(ResponseCut){};

// Guards against the first part of a response that looks complete, since the end of the connection
// ends the body of HTTP/1.0.
TEST(ResponseCut, ACallerOfHttp10SeesAReset)
{
  for (const Ending cut : kCuts) {
    CHECK_FALSE(CallWith(StartAnd(cut), "GET / HTTP/1.0\r\n\r\n").closed_);
  }
}

TEST(ResponseCut, ACallerOfHttp11GetsNoFinalChunk)
{
  for (const Ending cut : kCuts) {
    const auto received = CallWith(StartAnd(cut), "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK_TRUE(received.bytes_.find("0\r\n\r\n") == std::string::npos);
  }
}

// Guards against a head that promises a response which broke off.
TEST(ResponseCut, ACallerOfHeadGetsNoHead)
{
  for (const Ending cut : kCuts) {
    for (const char* request :
         { "HEAD / HTTP/1.0\r\n\r\n", "HEAD / HTTP/1.1\r\nHost: a\r\n\r\n" }) {
      STRCMP_EQUAL("", CallWith(StartAnd(cut), request).bytes_.c_str());
    }
  }
}

TEST(ResponseCut, AFinishedResponseEndsInOrder)
{
  const auto finish = StartAnd([](HttpExchange& aExchange) { (void)aExchange.Finish(); });
  const auto received = CallWith(finish, "GET / HTTP/1.0\r\n\r\n");
  CHECK_TRUE(received.closed_);
  CHECK_TRUE(received.bytes_.ends_with("\r\n\r\nfirst part"));
}
