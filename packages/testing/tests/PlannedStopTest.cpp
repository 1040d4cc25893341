#include <chrono>
#include <csignal>
#include <future>
#include <string>
#include <thread>

#include "MeshFixture.h"

using namespace hemlockproxy::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// The notice of 2 s, less the time of a request and of a poll of the drain.
constexpr milliseconds kServedAfterStop{ 1850 };
/// The notice, with time for a busy machine.
constexpr milliseconds kRejectsAfterStop{ 2350 };

} // namespace

/// Two failure domains with one instance each, so that the only other endpoint is far.
TEST_GROUP_BASE(PlannedStop, MeshFixture){
  void setup() override{ Start({ .domains_ = { { "pe-sur-a", 1 }, { "pe-sur-b", 1 } } });
Check(cluster_->Publish(services_.Path()));
Check(cluster_->WaitUntilReady(seconds(8)));
WaitForEndpoints(Own(), 2);
}
[[nodiscard]] ClusterInstance& Own()
{
  return cluster_->Instances()[0];
}
/// Starts a request that its caller waits for on another thread.
[[nodiscard]] auto Begin(const std::string& aTarget)
{
  auto reply = std::async(std::launch::async, [caller = Own().caller_, aTarget] {
    return SendHttp(caller, { .target_ = aTarget, .timeout_ = seconds(10) });
  });
  std::this_thread::sleep_for(milliseconds(100));
  return reply;
}
}
;

// Guards against a planned stop that cuts a request or sends callers away too early: the own
// backend server serves until the handover, the other one after it.
TEST(PlannedStop, RequestsEndAndCallersAreServedUntilTheNoticeIsOver)
{
  auto slow = Begin("/delay/3500");
  Own().daemon_->Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(50));
  const auto noticeEnds = std::chrono::steady_clock::now() + kServedAfterStop;
  int served = 0;
  while (std::chrono::steady_clock::now() < noticeEnds) {
    LONGS_EQUAL(200, Reply(HttpGet(Own().caller_, "/lookup")).status_);
    ++served;
  }
  CHECK_TRUE(served >= 10);
  std::this_thread::sleep_for(kRejectsAfterStop - kServedAfterStop);
  const HttpReply late = Reply(HttpGet(Own().caller_, "/lookup"));
  LONGS_EQUAL(503, late.status_);
  STRCMP_EQUAL("not-run", late.Header("hemlock-outcome").c_str());
  STRCMP_EQUAL("leaving", late.Header("hemlock-reason").c_str());
  LONGS_EQUAL(200, Reply(slow.get()).status_);
  LONGS_EQUAL(0, Own().daemon_->WaitForExit(seconds(3)).value_or(-1));
  CHECK_TRUE(Own().daemon_->ErrorOutput().find("no request was cut") != std::string::npos);
}

// Guards against a second signal that is ignored, or that hides what it cost.
TEST(PlannedStop, ASecondSignalEndsAtOnceAndReportsTheRequestsThatWereCut)
{
  auto slow = Begin("/delay/5000");
  Own().daemon_->Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(200));
  Own().daemon_->Signal(SIGTERM);
  LONGS_EQUAL(1, Own().daemon_->WaitForExit(seconds(1)).value_or(-1));
  CHECK_TRUE(Own().daemon_->ErrorOutput().find("1 requests were cut") != std::string::npos);
  CHECK_FALSE(slow.get().Ok());
}

// Guards against a daemon that SIGHUP ends, and against bad settings that replace good ones.
TEST(PlannedStop, AHangUpSignalReloadsTheSettingsAndServiceGoesOn)
{
  auto slow = Begin("/delay/500");
  Own().daemon_->Signal(SIGHUP);
  std::this_thread::sleep_for(milliseconds(100));
  LONGS_EQUAL(200, Reply(HttpGet(Own().caller_, "/lookup")).status_);
  LONGS_EQUAL(200, Reply(slow.get()).status_);
  CHECK_TRUE(Own().daemon_->ErrorOutput().find("reloaded") != std::string::npos);
  std::ofstream(cluster_->SettingsPath(Own())) << "log_level: loud\n";
  Own().daemon_->Signal(SIGHUP);
  std::this_thread::sleep_for(milliseconds(100));
  LONGS_EQUAL(200, Reply(HttpGet(Own().caller_, "/lookup")).status_);
  CHECK_TRUE(Own().daemon_->ErrorOutput().find("expected debug, info, warn or error") !=
             std::string::npos);
}
