#include "OwnerFixture.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::daemon;
using namespace hemlockproxy::daemon::test;

namespace {

constexpr int kCallers = 8;
constexpr int kPerSecond = 20;
constexpr std::chrono::seconds kTime{ 2 };

} // namespace

TEST_GROUP(BackendRate){};

// Guards against more requests than the backend server says that it takes.
TEST(BackendRate, OwnersSendNoMoreThanTheirBackendServerTakes)
{
  runtime::RunInLoop([](const runtime::IoContextPtr& aIo) {
    CountingServer backend(aIo);
    backend.SetField("Hemlock-Request-Limit", std::to_string(kPerSecond));
    const Owner owner(aIo, backend.Address());
    const auto end = std::chrono::steady_clock::now() + kTime;
    std::vector<boost::fibers::fiber> callers;
    callers.reserve(kCallers);
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([&] {
        while (std::chrono::steady_clock::now() < end) {
          (void)StatusOf(*aIo, owner.Address(), ForwardedRequest(owner.Address()));
          boost::this_fiber::sleep_for(kPoll);
        }
      });
    }
    for (auto& caller : callers) {
      caller.join();
    }
    // Some requests run before the first answer.
    CHECK_TRUE(backend.Requests() <= kPerSecond * kTime.count() + kCallers);
    CHECK_TRUE(backend.Requests() >= kPerSecond * kTime.count() / 2);
  });
}
