#include "hemlockproxy/daemon/HttpUpstream.h"

#include "impl/HeldBody.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "TestLoop.h"

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::daemon;
using model::RequestOutcome;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kDeadline{ 300 };
/// Until an exchange has ended after its deadline.
constexpr milliseconds kMargin{ 500 };

/// A faulty server: answers its one request with a text, and then with another one without end
/// until the caller closes the connection.
class EndlessServer
{
public:
  EndlessServer(std::string aStart, std::string aRepeated)
    : acceptor_(io_, { boost::asio::ip::make_address("127.0.0.1"), 0 })
    , address_{ "127.0.0.1", acceptor_.local_endpoint().port() }
    , thread_([this, start = std::move(aStart), repeated = std::move(aRepeated)] {
      Serve(start, repeated);
    })
  {
  }
  ~EndlessServer() { thread_.join(); }
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  [[nodiscard]] const model::Address& Address() const noexcept { return address_; }

private:
  void Serve(const std::string& aStart, const std::string& aRepeated)
  {
    namespace asio = boost::asio;
    auto socket = acceptor_.accept();
    std::string request;
    boost::system::error_code error;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
    asio::write(socket, asio::buffer(aStart), error);
    while (!error) {
      asio::write(socket, asio::buffer(aRepeated), error);
    }
  }

  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  model::Address address_;
  std::thread thread_;
};

/// Takes each response for a rejection.
class RejectionDialect final : public Dialect
{
public:
  [[nodiscard]] CallerRequest ReadCallerRequest(
    const runtime::RequestHeader& /*aHeader*/) const override
  {
    return {};
  }
  void WriteBackendRequest(runtime::RequestHeader& /*aHeader*/,
                           const BackendRequest& /*aRequest*/) const override
  {
  }
  [[nodiscard]] BackendResponse ReadBackendResponse(const runtime::ResponseHeader& /*aHeader*/,
                                                    std::string_view /*aRequestId*/) const override
  {
    return { .meaning_ = ResponseMeaning::NotRun };
  }
  [[nodiscard]] std::string RetryAfter(milliseconds /*aTime*/) const override { return {}; }
};

struct Outcome
{
  UpstreamReply reply_;
  /// Bytes of the body before its end or failure.
  std::size_t bytes_ = 0;
  bool bodyFailed_ = false;
  model::Duration took_{};
};

/// Sends a request and reads its response to the end.
Outcome Ask(const model::Address& aAddress, const Dialect* aDialect = nullptr)
{
  Outcome outcome;
  runtime::RunInLoop([&](const runtime::IoContextPtr& aIo) {
    runtime::HttpConnectionPool pool(aIo, 1, milliseconds(1000));
    UpstreamRequest request;
    request.header_ = runtime::MakeRequest(runtime::http::verb::get, "/", aAddress);
    const auto started = std::chrono::steady_clock::now();
    request.deadline_ = started + kDeadline;
    ExchangeOptions options;
    options.dialect_ = aDialect;
    outcome.reply_ = RunExchange(pool, aAddress, request, options);
    std::string part(runtime::kBodyPartBytes, '\0');
    while (outcome.reply_.body_) {
      const auto read = outcome.reply_.body_->Read(part.data(), part.size());
      outcome.bodyFailed_ = !read;
      if (!read || *read == 0) {
        outcome.reply_.body_.reset();
      } else {
        outcome.bytes_ += *read;
      }
    }
    outcome.took_ = std::chrono::steady_clock::now() - started;
  });
  return outcome;
}

} // namespace

TEST_GROUP(EndlessResponse){};

// Guards against a request that waits for ever, and against memory that grows meanwhile.
TEST(EndlessResponse, EndsAtAHeadThatNeverEnds)
{
  const EndlessServer server("HTTP/1.1 200 OK\r\nX-Field: ", std::string(1024, 'a'));
  const Outcome outcome = Ask(server.Address());
  CHECK_TRUE(outcome.reply_.outcome_ == RequestOutcome::Unknown);
  CHECK_TRUE(outcome.took_ < kDeadline + kMargin);
}

TEST(EndlessResponse, EndsAtInterimResponsesThatNeverEnd)
{
  const EndlessServer server("", "HTTP/1.1 100 Continue\r\n\r\n");
  const Outcome outcome = Ask(server.Address());
  CHECK_TRUE(outcome.reply_.outcome_ == RequestOutcome::Unknown);
  CHECK_TRUE(outcome.took_ < kDeadline + kMargin);
}

TEST(EndlessResponse, EndsAtAChunkHeaderThatNeverEnds)
{
  const EndlessServer server("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;",
                             std::string(1024, 'a'));
  const Outcome outcome = Ask(server.Address());
  CHECK_TRUE(outcome.bodyFailed_);
  UNSIGNED_LONGS_EQUAL(0, outcome.bytes_);
  CHECK_TRUE(outcome.took_ < kDeadline + kMargin);
}

// Guards against a rejected request that is held until the body of its rejection ends.
TEST(EndlessResponse, TakesARejectionWhoseBodyNeverEnds)
{
  const EndlessServer server("HTTP/1.1 503 Service Unavailable\r\n\r\n", std::string(1024, 'a'));
  const RejectionDialect dialect;
  const Outcome outcome = Ask(server.Address(), &dialect);
  CHECK_TRUE(outcome.reply_.outcome_ == RequestOutcome::NotRun);
  CHECK_TRUE(outcome.took_ < kDeadline + kMargin);
}
