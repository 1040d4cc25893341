// Responses that a backend server did not finish, or that are not HTTP.

#include "hemlockproxy/daemon/HttpUpstream.h"

#include "RawServer.h"
#include "TestLoop.h"

#include <array>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::daemon;
using model::RequestOutcome;
using std::chrono::milliseconds;
using test::RawServer;
namespace http = runtime::http;

namespace {

constexpr milliseconds kDeadline{ 2000 };
/// For the peer's system to hand on what was written.
constexpr milliseconds kDelivery{ 20 };
/// More than the buffers of a loopback connection hold.
constexpr std::size_t kLongUpload = 16UL * 1024 * 1024;

struct Outcome
{
  UpstreamReply reply_;
  std::string body_;
  bool complete_ = false;
};

/// Sends a request, with a body of unknown length where there is one, and reads the response to its
/// end.
Outcome Ask(const model::Address& aAddress, std::size_t aUpload = 0)
{
  Outcome outcome;
  runtime::RunInLoop([&](const runtime::IoContextPtr& aIo) {
    runtime::HttpConnectionPool pool(aIo, 1, milliseconds(1000));
    const std::string upload(aUpload, 'u');
    runtime::StringBody rest(upload);
    UpstreamRequest request;
    request.header_ =
      runtime::MakeRequest(aUpload > 0 ? http::verb::post : http::verb::get, "/", aAddress);
    if (aUpload > 0) {
      request.header_.set(http::field::transfer_encoding, "chunked");
      request.rest_ = &rest;
    }
    request.deadline_ = std::chrono::steady_clock::now() + kDeadline;
    outcome.reply_ = RunExchange(pool, aAddress, request, {});
    std::string part(runtime::kBodyPartBytes, '\0');
    while (outcome.reply_.body_) {
      const auto read = outcome.reply_.body_->Read(part.data(), part.size());
      if (!read || *read == 0) {
        outcome.complete_ = read.Ok();
        outcome.reply_.body_.reset();
      } else {
        outcome.body_.append(part.data(), *read);
      }
    }
  });
  return outcome;
}

/// Returns what comes of a response to a request without a body, after which the server closes the
/// connection.
Outcome AnswerWith(const std::string& aResponse)
{
  const RawServer server([&](RawServer::Socket& aSocket, int) {
    (void)test::ReadRequest(aSocket, false);
    test::Write(aSocket, aResponse);
  });
  return Ask(server.Address());
}

} // namespace

TEST_GROUP(TruncatedResponse){};

TEST(TruncatedResponse, ABodyWithoutLengthEndsWithItsConnection)
{
  const Outcome outcome = AnswerWith("HTTP/1.1 200 OK\r\n\r\nall of it");
  CHECK_TRUE(outcome.complete_);
  STRCMP_EQUAL("all of it", outcome.body_.c_str());
}

// Guards against the first part of a response that is taken for all of it: after a failed write the
// system reports the end of the connection in place of the reset.
TEST(TruncatedResponse, AResetDuringTheUploadLeavesAResponseWithoutLengthIncomplete)
{
  const RawServer server([](RawServer::Socket& aSocket, int) {
    (void)test::ReadRequest(aSocket, false);
    test::Write(aSocket, "HTTP/1.1 200 OK\r\n\r\nthe first part");
    std::this_thread::sleep_for(kDelivery);
    test::Reset(aSocket);
  });
  CHECK_FALSE(Ask(server.Address(), kLongUpload).complete_);
}

// The same with a peer that closes its side in order before it resets the connection.
TEST(TruncatedResponse, ACloseDuringTheUploadLeavesAResponseWithoutLengthIncomplete)
{
  const RawServer server([](RawServer::Socket& aSocket, int) {
    (void)test::ReadRequest(aSocket, false);
    test::Write(aSocket, "HTTP/1.1 200 OK\r\n\r\nthe first part");
    aSocket.shutdown(RawServer::Socket::shutdown_send);
    std::this_thread::sleep_for(kDelivery);
    test::Reset(aSocket);
  });
  CHECK_FALSE(Ask(server.Address(), kLongUpload).complete_);
}

// Guards against the reset that follows an orderly close and that a read does not report.
TEST(TruncatedResponse, AResetAfterTheCloseLeavesAResponseWithoutLengthIncomplete)
{
  const RawServer server([](RawServer::Socket& aSocket, int) {
    (void)test::ReadRequest(aSocket, false);
    test::Write(aSocket, "HTTP/1.1 200 OK\r\n\r\n");
    test::Write(aSocket, std::string(1024, 'a'));
    aSocket.shutdown(RawServer::Socket::shutdown_send);
    // The body of the request is left unread, so that the close resets the connection.
  });
  CHECK_FALSE(Ask(server.Address(), 256UL * 1024).complete_);
}

// A rejection with a length is whole although its server did not read the upload.
TEST(TruncatedResponse, AnEarlyResponseWithALengthIsComplete)
{
  const RawServer server([](RawServer::Socket& aSocket, int) {
    (void)test::ReadRequest(aSocket, false);
    test::Write(aSocket, "HTTP/1.1 413 Too Large\r\nContent-Length: 4\r\n\r\nlong");
    std::this_thread::sleep_for(kDelivery);
    test::Reset(aSocket);
  });
  const Outcome outcome = Ask(server.Address(), kLongUpload);
  CHECK_TRUE(outcome.complete_);
  LONGS_EQUAL(413, outcome.reply_.header_.result_int());
}

// Guards against bytes that are not HTTP and reach the caller as a response.
TEST(TruncatedResponse, AnInvalidHeadIsNoAnswer)
{
  constexpr std::array kInvalid = {
    "HTTP/1.1 000 Nothing\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 099 Low\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 600 High\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 999 High\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nBad Name: a\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nBad: a\r\n Name: b\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\n Content-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nName : a\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nBad\x01Name: a\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nBad\x7fName: a\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length\x0b: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nName: a\x01\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nName: a\x7f\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: "
    "chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: "
    "2\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok",
    "HTTP/1.1 204 None\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 204 None\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n",
  };
  for (const char* response : kInvalid) {
    const Outcome outcome = AnswerWith(response);
    CHECK_TRUE_TEXT(outcome.reply_.outcome_ == RequestOutcome::Unknown, response);
  }
}
