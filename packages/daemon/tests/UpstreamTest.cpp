#include "hemlockproxy/daemon/Upstream.h"

#include "hemlockproxy/daemon/HttpUpstream.h"
#include "hemlockproxy/runtime/HttpServer.h"

#include "impl/Delivery.h"
#include "impl/EntryBodies.h"
#include "impl/HeldBody.h"

#include "TestLoop.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::daemon;

namespace {

/// A request body that fails after its first part.
class FailingBody final : public runtime::BodySource
{
public:
  explicit FailingBody(runtime::HttpErrorKind aKind) noexcept
    : kind_(aKind)
  {
  }

  [[nodiscard]] runtime::HttpResult<std::size_t> Read(char* aBuffer, std::size_t aSize) override
  {
    if (std::exchange(failed_, true)) {
      return runtime::HttpError{ kind_, "the body failed" };
    }
    return std::string("first part").copy(aBuffer, aSize);
  }

private:
  runtime::HttpErrorKind kind_;
  bool failed_ = false;
};

/// Sends a request with a body of unknown length to a server that reads it to its end.
UpstreamReply SendBody(runtime::BodySource& aBody)
{
  UpstreamReply reply;
  runtime::RunInLoop([&](const runtime::IoContextPtr& aIo) {
    const auto handle = [](runtime::HttpExchange& aExchange) {
      std::string body;
      if (impl::ReadPrefix(aExchange, body, 1 << 20)) {
        (void)aExchange.SendResponse(runtime::http::status::ok, "whole");
      }
    };
    auto server = runtime::HttpServer::Create(aIo, model::Address{ "127.0.0.1", 0 }, {}, handle);
    (*server)->Start();
    runtime::HttpConnectionPool pool(aIo, 1, std::chrono::milliseconds(1000));
    UpstreamRequest request;
    request.header_.version(11);
    request.header_.method(runtime::http::verb::post);
    request.header_.target("/");
    request.header_.set(runtime::http::field::host, "a");
    request.header_.set(runtime::http::field::transfer_encoding, "chunked");
    request.deadline_ = std::chrono::steady_clock::now() + std::chrono::seconds(2);
    request.rest_ = &aBody;
    reply = RunExchange(pool, (*server)->LocalAddress(), request, {});
    reply.body_.reset();
    (*server)->Stop();
  });
  return reply;
}

} // namespace

TEST_GROUP(Upstream){};

// Guards against a caller's broken body that is taken for a failure of the backend server, and
// against a truncated body that the server takes for a whole one.
TEST(Upstream, TellsTheCallersFaultFromTheBackendServers)
{
  using runtime::HttpErrorKind;
  FailingBody broken(HttpErrorKind::Broken);
  const UpstreamReply cut = SendBody(broken);
  CHECK_TRUE(cut.outcome_ == model::RequestOutcome::Unknown);
  CHECK_TRUE(cut.reason_ == model::RefusalReason::CallerFailed);

  FailingBody malformed(HttpErrorKind::Malformed);
  CHECK_TRUE(SendBody(malformed).reason_ == model::RefusalReason::MalformedBody);
}

// Guards against a request that is sent on after its deadline, since only the wait for a connection
// was bounded by it.
TEST(Upstream, SendsNothingAfterTheDeadline)
{
  int requests = 0;
  UpstreamReply reply;
  runtime::RunInLoop([&](const runtime::IoContextPtr& aIo) {
    auto server = runtime::HttpServer::Create(
      aIo, model::Address{ "127.0.0.1", 0 }, {}, [&requests](runtime::HttpExchange& aExchange) {
        ++requests;
        (void)aExchange.SendResponse(runtime::http::status::ok, "late");
      });
    (*server)->Start();
    runtime::HttpConnectionPool pool(aIo, 1, std::chrono::milliseconds(1000));
    UpstreamRequest request;
    request.header_ =
      runtime::MakeRequest(runtime::http::verb::get, "/", (*server)->LocalAddress());
    request.deadline_ = std::chrono::steady_clock::now();
    reply = RunExchange(pool, (*server)->LocalAddress(), request, {});
    (*server)->Stop();
  });
  LONGS_EQUAL(0, requests);
  CHECK_TRUE(reply.outcome_ == model::RequestOutcome::NotRun);
  CHECK_TRUE(reply.reason_ == model::RefusalReason::DeadlineTooShort);
}

// Guards against a body of unknown length that passes the limit.
TEST(Upstream, LimitsABodyOfUnknownLength)
{
  const std::string whole(1000, 'x');
  runtime::StringBody atLimit(whole);
  impl::LimitedBody passes(atLimit, whole.size());
  CHECK_TRUE(SendBody(passes).outcome_ == model::RequestOutcome::Answered);

  runtime::StringBody tooLong(whole);
  impl::LimitedBody fails(tooLong, whole.size() - 1);
  CHECK_TRUE(SendBody(fails).reason_ == model::RefusalReason::BodyTooLarge);
}

// Guards against held responses that no longer count while callers read them slowly.
TEST(Upstream, CountsAHeldBodyUntilItIsDropped)
{
  std::size_t total = 0;
  {
    impl::HeldBytes held(total, 5);
    const impl::HeldBody body("12345", std::move(held));
    UNSIGNED_LONGS_EQUAL(5, total);
  }
  UNSIGNED_LONGS_EQUAL(0, total);
}

// Guards against a caller or backend server that forges an outcome.
TEST(Upstream, RemovesAllHemlockFields)
{
  runtime::RequestHeader header;
  header.set("Hemlock-Outcome", "not-run");
  header.set("hemlock-service", "bitacora");
  header.set("Hemlock", "kept");
  header.set("X-Request-Tag", "kept");
  RemoveHemlockFields(header);
  CHECK_TRUE(header.find("Hemlock-Outcome") == header.end());
  CHECK_TRUE(header.find("Hemlock-Service") == header.end());
  CHECK_TRUE(header.find("Hemlock") != header.end());
  CHECK_TRUE(header.find("X-Request-Tag") != header.end());
}

TEST(Upstream, ReadsReasonsBackFromTheirHeaderText)
{
  CHECK_TRUE(ParseReason("queue-full") == model::RefusalReason::QueueFull);
  CHECK_TRUE(ParseReason("quarantined") == model::RefusalReason::Quarantined);
  CHECK_TRUE(ParseReason("caller-failed") == model::RefusalReason::CallerFailed);
  CHECK_TRUE(ParseReason("no such reason") == model::RefusalReason::UpstreamFailed);
}

// Guards against a caller that extends the route's timeout or sends a malformed deadline.
TEST(Upstream, BoundsTheCallersDeadline)
{
  constexpr std::chrono::milliseconds kMost{ 500 };
  runtime::RequestHeader header;
  CHECK_TRUE(impl::DeadlineOf(header, kMost) == kMost);
  header.set(kDeadlineField, "20");
  CHECK_TRUE(impl::DeadlineOf(header, kMost) == std::chrono::milliseconds(20));
  for (const char* text : { "9999", "-5", "1x", "" }) {
    header.set(kDeadlineField, text);
    CHECK_TRUE(impl::DeadlineOf(header, kMost) == kMost);
  }
}

// Guards against a status that promises that a request has not run after an attempt that may have,
// and against a caller that is not told when to come back.
TEST(Upstream, TellsCallersToComeBackOnlyForWhatHasNotRun)
{
  using model::RefusalReason;
  using model::RequestOutcome;
  CHECK_TRUE(impl::MayComeBack(Refused(RequestOutcome::NotRun, RefusalReason::QueueFull)));
  CHECK_TRUE(impl::MayComeBack(Refused(RequestOutcome::NotRun, RefusalReason::UpstreamFailed)));
  CHECK_TRUE(impl::MayComeBack(Refused(RequestOutcome::NotRun, RefusalReason::RateLimited)));
  CHECK_FALSE(impl::MayComeBack(Refused(RequestOutcome::NotRun, RefusalReason::NoRoute)));
  for (const auto reason :
       { RefusalReason::QueueFull, RefusalReason::RateLimited, RefusalReason::UpstreamTimeout }) {
    CHECK_FALSE(impl::MayComeBack(Refused(RequestOutcome::Unknown, reason)));
  }
}

// Guards against a class that an owner reads differently from what the entry meant, and against
// other text in its field.
TEST(Upstream, CarriesTheClassOfARequestToItsOwner)
{
  const model::TimePoint now = model::TimePoint() + std::chrono::hours(1);
  const model::TimePoint deadline = now + std::chrono::seconds(2);
  const WorkClass sent{ "r-1 of a host", 2, now + std::chrono::milliseconds(300) };
  const WorkClass read = WorkClassOf(ToField(sent, now), now, deadline);
  STRCMP_EQUAL("r-1 of a host", read.label_.c_str());
  LONGS_EQUAL(2, read.priority_);
  CHECK_TRUE(read.target_ == sent.target_);
  for (const char* text : { "", "2", "2 x y", "x 2 y" }) {
    CHECK_TRUE(WorkClassOf(text, now, deadline).target_ == deadline);
  }
}
