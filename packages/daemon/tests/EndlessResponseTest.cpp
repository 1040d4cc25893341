#include "hemlockproxy/daemon/HttpUpstream.h"

#include "impl/HeldBody.h"

#include <algorithm>

#include "EndlessServer.h"
#include "TestLoop.h"

#include <boost/fiber/operations.hpp>

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::daemon;
using model::RequestOutcome;
using runtime::test::EndlessForm;
using runtime::test::EndlessServer;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kDeadline{ 300 };
/// Until an exchange has ended after its deadline.
constexpr milliseconds kMargin{ 500 };
/// What the system takes on both sides of a connection whose bytes are not read.
constexpr std::size_t kSystemBuffers = 12UL * 1024 * 1024;

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

/// A body of a request that a caller sends for ever, as fast as it is taken.
class EndlessUpload final : public runtime::BodySource
{
public:
  [[nodiscard]] runtime::HttpResult<std::size_t> Read(char* aBuffer, std::size_t aSize) override
  {
    std::fill_n(aBuffer, aSize, 'u');
    return aSize;
  }
};

struct Outcome
{
  UpstreamReply reply_;
  /// Bytes of the body before its end or failure.
  std::size_t bytes_ = 0;
  bool bodyFailed_ = false;
  model::Duration took_{};
};

/// Sends a request and reads its response to the end; aReads is false for a caller that reads
/// nothing of the body.
Outcome Ask(const model::Address& aAddress,
            const Dialect* aDialect = nullptr,
            runtime::http::verb aMethod = runtime::http::verb::get,
            runtime::BodySource* aUpload = nullptr,
            bool aReads = true)
{
  Outcome outcome;
  runtime::RunInLoop([&](const runtime::IoContextPtr& aIo) {
    runtime::HttpConnectionPool pool(aIo, 1, milliseconds(1000));
    UpstreamRequest request;
    request.header_ = runtime::MakeRequest(aMethod, "/", aAddress);
    if (aUpload != nullptr) {
      request.header_.set(runtime::http::field::transfer_encoding, "chunked");
      request.rest_ = aUpload;
    }
    const auto started = std::chrono::steady_clock::now();
    request.deadline_ = started + kDeadline;
    request.bodyDeadline_ = request.deadline_;
    ExchangeOptions options;
    options.dialect_ = aDialect;
    outcome.reply_ = RunExchange(pool, aAddress, request, options);
    std::string part(runtime::kBodyPartBytes, '\0');
    if (!aReads) {
      boost::this_fiber::sleep_for(kDeadline);
    }
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

// Guards against an exchange that goes on beyond its caller's deadline, whatever never ends and
// however its caller asks.
TEST(EndlessResponse, EndsWithTheRequestInEachForm)
{
  using runtime::http::verb;
  for (const verb method : { verb::get, verb::head, verb::post }) {
    for (const EndlessForm& form : runtime::test::EndlessForms()) {
      const EndlessServer server(form.start_, form.repeated_);
      CHECK_TRUE_TEXT(Ask(server.Address(), nullptr, method).took_ < kDeadline + kMargin,
                      form.name_);
    }
  }
}

// Guards against bytes that are kept for a caller that does not read them.
TEST(EndlessResponse, KeepsNothingForACallerThatDoesNotRead)
{
  for (const EndlessForm& form : runtime::test::EndlessForms()) {
    const EndlessServer server(form.start_, form.repeated_);
    const Outcome outcome =
      Ask(server.Address(), nullptr, runtime::http::verb::get, nullptr, false);
    CHECK_TRUE_TEXT(outcome.took_ < 2 * kDeadline + kMargin, form.name_);
    CHECK_TRUE_TEXT(server.Sent() < kSystemBuffers, form.name_);
  }
}

// Guards against an exchange in which both sides send without end and nobody reads.
TEST(EndlessResponse, EndsWhileTheRequestIsStillSent)
{
  for (const EndlessForm& form : runtime::test::EndlessForms()) {
    const EndlessServer server(form.start_, form.repeated_);
    EndlessUpload upload;
    const Outcome outcome = Ask(server.Address(), nullptr, runtime::http::verb::post, &upload);
    CHECK_TRUE_TEXT(outcome.took_ < kDeadline + kMargin, form.name_);
    CHECK_TRUE_TEXT(server.Sent() < kSystemBuffers, form.name_);
  }
}
