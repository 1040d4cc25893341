#include "EndlessServer.h"

#include "hemlockproxy/runtime/HttpClient.h"

#include "TestLoop.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::runtime;
using runtime::test::EndlessForm;
using runtime::test::EndlessServer;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kTimeout{ 400 };
/// Until a call has ended after its time-out.
constexpr milliseconds kMargin{ 400 };
constexpr std::size_t kBodyLimit = 256UL * 1024;
/// What the system takes on both sides of a connection whose bytes are not read.
constexpr std::size_t kSystemBuffers = 12UL * 1024 * 1024;

struct Outcome
{
  bool answered_ = false;
  std::size_t body_ = 0;
  std::size_t idle_ = 0;
  std::chrono::nanoseconds took_{};
};

/// Makes a call as health checks, calls of the log and calls between daemons do.
Outcome Call(const EndlessServer& aServer, http::verb aMethod = http::verb::get)
{
  Outcome outcome;
  RunInLoop([&](const IoContextPtr& aIo) {
    HttpConnectionPool pool(aIo, 1, milliseconds(1000));
    const auto started = std::chrono::steady_clock::now();
    const auto response = Fetch(pool,
                                aServer.Address(),
                                MakeRequest(aMethod, "/", aServer.Address()),
                                {},
                                kTimeout,
                                kBodyLimit);
    outcome.took_ = std::chrono::steady_clock::now() - started;
    outcome.answered_ = response.Ok();
    outcome.body_ = response ? response->body_.size() : 0;
    outcome.idle_ = pool.IdleCount();
  });
  return outcome;
}

} // namespace

TEST_GROUP(EndlessFetch){};

// Guards against a call that keeps all the bytes of a faulty server until the memory is used up.
TEST(EndlessFetch, KeepsNoMoreThanItsLimit)
{
  for (const http::verb method : { http::verb::get, http::verb::head, http::verb::post }) {
    for (const EndlessForm& form : runtime::test::EndlessForms()) {
      const EndlessServer server(form.start_, form.repeated_);
      const Outcome outcome = Call(server, method);
      CHECK_TRUE_TEXT(outcome.body_ <= kBodyLimit, form.name_);
      CHECK_TRUE_TEXT(outcome.took_ < kTimeout + kMargin, form.name_);
      CHECK_TRUE_TEXT(server.Sent() < kBodyLimit + kSystemBuffers, form.name_);
    }
  }
}

// Guards against a call without end: each byte was progress, and only a pause ended the call.
TEST(EndlessFetch, EndsAtItsTimeoutWhenTheBytesComeSlowly)
{
  for (const EndlessForm& form : runtime::test::EndlessForms()) {
    const EndlessServer server(form.start_, form.repeated_.substr(0, 6), milliseconds(20));
    const Outcome outcome = Call(server);
    CHECK_TRUE_TEXT(outcome.took_ < kTimeout + kMargin, form.name_);
  }
}
