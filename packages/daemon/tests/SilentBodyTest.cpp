// Backend servers that fall silent within a body: their connections stay open, and they neither
// read nor write.

#include "hemlockproxy/daemon/HttpUpstream.h"

#include "RawServer.h"
#include "TestLoop.h"

#include <future>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::daemon;
using model::RefusalReason;
using model::RequestOutcome;
using std::chrono::milliseconds;
using test::RawServer;
namespace http = runtime::http;

namespace {

constexpr milliseconds kTimeout{ 300 };
/// Far below the stall timeout, which ended a silent body before, and long enough for a machine
/// with other work.
constexpr milliseconds kMostTime{ 3000 };
/// More than the buffers of a loopback connection hold.
constexpr std::size_t kLongUpload = 16UL * 1024 * 1024;

struct Outcome
{
  UpstreamReply reply_;
  std::string body_;
  bool complete_ = false;
  model::Duration took_{};
};

Outcome Ask(const model::Address& aAddress,
            std::size_t aUpload = 0,
            std::optional<milliseconds> aCallersTime = std::nullopt)
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
    const auto started = std::chrono::steady_clock::now();
    request.deadline_ = started + kTimeout;
    if (aCallersTime) {
      request.bodyDeadline_ = started + *aCallersTime;
    }
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
    outcome.took_ = std::chrono::steady_clock::now() - started;
  });
  return outcome;
}

/// Writes a text for each connection and falls silent until it is destroyed.
class SilentServer
{
public:
  explicit SilentServer(std::string aResponse)
    : server_([this, response = std::move(aResponse)](RawServer::Socket& aSocket, int) {
      (void)test::ReadRequest(aSocket, false);
      test::Write(aSocket, response);
      ended_.wait();
    })
  {
  }
  ~SilentServer() { end_.set_value(); }
  SilentServer(const SilentServer&) = delete;
  SilentServer& operator=(const SilentServer&) = delete;

  [[nodiscard]] const model::Address& Address() const noexcept { return server_.Address(); }

private:
  std::promise<void> end_;
  std::shared_future<void> ended_{ end_.get_future().share() };
  RawServer server_;
};

constexpr std::size_t kParts = 20;
constexpr milliseconds kPartTime{ 30 };

/// A download that takes longer than the time-out and never pauses for long.
void SlowDownload(RawServer::Socket& aSocket, int /*aIndex*/)
{
  (void)test::ReadRequest(aSocket, false);
  test::Write(aSocket, "HTTP/1.1 200 OK\r\n\r\n");
  for (std::size_t i = 0; i < kParts; ++i) {
    std::this_thread::sleep_for(kPartTime);
    test::Write(aSocket, "part");
  }
}

} // namespace

TEST_GROUP(SilentBody){};

// Guards against callers that wait for the stall timeout instead of their own.
TEST(SilentBody, AResponseWithoutLengthEndsAtTheTimeout)
{
  const SilentServer server("HTTP/1.1 200 OK\r\n\r\nthe first part");
  const Outcome outcome = Ask(server.Address());
  CHECK_FALSE(outcome.complete_);
  CHECK_TRUE(outcome.took_ >= kTimeout);
  CHECK_TRUE(outcome.took_ < kMostTime);
}

TEST(SilentBody, AResponseInChunksEndsAtTheTimeout)
{
  const SilentServer server(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n7;");
  const Outcome outcome = Ask(server.Address());
  STRCMP_EQUAL("first", outcome.body_.c_str());
  CHECK_FALSE(outcome.complete_);
  CHECK_TRUE(outcome.took_ < kMostTime);
}

TEST(SilentBody, AResponseWithALengthEndsAtTheTimeout)
{
  const SilentServer server("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nthe first part");
  const Outcome outcome = Ask(server.Address());
  CHECK_FALSE(outcome.complete_);
  CHECK_TRUE(outcome.took_ < kMostTime);
}

TEST(SilentBody, AnUploadThatIsNotReadEndsAtTheTimeout)
{
  const SilentServer server("");
  const Outcome outcome = Ask(server.Address(), kLongUpload);
  CHECK_TRUE(outcome.reply_.outcome_ == RequestOutcome::Unknown);
  CHECK_TRUE(outcome.reply_.reason_ == RefusalReason::UpstreamTimeout);
  CHECK_TRUE(outcome.took_ < kMostTime);
}

// Guards against a trickle inside a chunk header, which is no progress of the body.
TEST(SilentBody, BytesThatAreNotOfTheBodyAreNoProgress)
{
  const RawServer server([](RawServer::Socket& aSocket, int) {
    (void)test::ReadRequest(aSocket, false);
    test::Write(aSocket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n7;");
    boost::system::error_code error;
    for (int i = 0; i < 400 && !error; ++i) {
      std::this_thread::sleep_for(milliseconds(10));
      boost::asio::write(aSocket, boost::asio::buffer("a", 1), error);
    }
  });
  const Outcome outcome = Ask(server.Address());
  CHECK_FALSE(outcome.complete_);
  CHECK_TRUE(outcome.took_ < kMostTime);
}

// Guards against a long download that is cut at the time-out although it makes progress.
TEST(SilentBody, AResponseInProgressGoesOnAfterTheTimeout)
{
  const RawServer server(SlowDownload);
  const Outcome outcome = Ask(server.Address());
  CHECK_TRUE(outcome.complete_);
  UNSIGNED_LONGS_EQUAL(4 * kParts, outcome.body_.size());
}

// Guards against work for a caller that no longer waits.
TEST(SilentBody, AResponseInProgressEndsAtTheCallersDeadline)
{
  const RawServer server(SlowDownload);
  const Outcome outcome = Ask(server.Address(), 0, kTimeout + kTimeout / 3);
  CHECK_FALSE(outcome.complete_);
  CHECK_TRUE(outcome.body_.size() < 4 * kParts);
}
