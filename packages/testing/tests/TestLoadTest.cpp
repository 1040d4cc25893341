#include <utility>

#include "load/LoadGenerator.h"

#include <map>
#include <sstream>
#include <thread>

// CppUTest defines `new` as a macro, so it follows the other headers.
#include "ProgramFixture.h"
#include "hemlockproxy/testing/Content.h"
#include "hemlockproxy/testing/PortAllocator.h"

using namespace hemlockproxy::testing;
using hemlockproxy::model::RequestOutcome;
using std::chrono::milliseconds;

TEST_GROUP(TestLoad)
{
  /// The port stays unused by others after the server is killed; another test's server would answer
  /// on one that the system chose.
  PortAllocator ports_;
  ChildProcess backend_ = StartServer(
    "hemlock-test-backend", { "--listen=127.0.0.1:" + std::to_string(ports_.Next().Value()) });
  int exitCode_ = -1;

  ChildProcess Start(const std::vector<std::string>& aArguments)
  {
    auto child = ChildProcess::Create(ProgramPath("hemlock-test-load"), aArguments);
    if (!child) {
      FAIL(child.Error().message_.c_str());
    }
    return std::move(*child);
  }
  /// Runs against the backend server and returns the figures by name.
  std::map<std::string, long> Run(std::vector<std::string> aArguments)
  {
    aArguments.push_back("--target=" + ToString(backend_.Listening()));
    ChildProcess load = Start(aArguments);
    exitCode_ = load.WaitForExit(milliseconds(8000)).value_or(-1);
    std::map<std::string, long> figures;
    std::istringstream lines(load.Output());
    std::string word;
    std::string name;
    long value = 0;
    std::string unit;
    while (lines >> word >> name >> value >> unit) {
      STRCMP_EQUAL("figure", word.c_str());
      figures[name] = value;
    }
    return figures;
  }
  /// Checks one figure; a failure shows all of them, since a request that is missing here is
  /// counted elsewhere.
  static void CheckFigure(
    const std::map<std::string, long>& aFigures, const std::string& aName, long aExpected)
  {
    const auto found = aFigures.find(aName);
    std::string all;
    for (const auto& [name, value] : aFigures) {
      all += name + "=" + std::to_string(value) + " ";
    }
    LONGS_EQUAL_TEXT(aExpected, found == aFigures.end() ? 0 : found->second, all.c_str());
  }
  std::string Runs(const std::string& aQuery)
  {
    return Reply(HttpGet(backend_.Listening(), "/runs" + aQuery)).body_;
  }
  void SetFaults(const std::string& aQuery)
  {
    LONGS_EQUAL(200, Reply(HttpPost(backend_.Listening(), "/faults?" + aQuery)).status_);
  }
};

// Guards against a rate, count or verification that differs from what was asked for.
TEST(TestLoad, SendsEachRequestOnceAtTheRate)
{
  auto figures = Run({ "--rate=400",
                       "--duration-ms=500",
                       "--keys",
                       "--prefix=a",
                       "--method=POST",
                       "--body-bytes=64",
                       "--path=/echo" });
  LONGS_EQUAL(0, exitCode_);
  CheckFigure(figures, "sent", 200);
  CheckFigure(figures, "answered", 200);
  CheckFigure(figures, "corrupted", 0);
  CHECK_TRUE(figures["answered-p50"] <= figures["answered-max"]);
  const std::string runs = Runs("");
  LONGS_EQUAL(200, std::count(runs.begin(), runs.end(), '\n'));
  CHECK_TRUE(runs.find("a-key-199 1\n") != std::string::npos);
}

// Guards against latencies that leave out the time a request waited to be sent.
TEST(TestLoad, CountsLatencyFromTheIntendedSendTime)
{
  auto figures = Run({ "--rate=100", "--duration-ms=200", "--connections=1", "--path=/delay/30" });
  CheckFigure(figures, "answered", 20);
  // Twenty requests of 30 ms on one connection: the last ends 600 ms after the start, 410 ms after
  // its intended time.
  CHECK_TRUE(figures["answered-max"] >= 400'000);
}

// Guards against broken exchanges that are counted as answered or as not run.
TEST(TestLoad, BrokenExchangesAreUnknownAndRefusedConnectionsNotRun)
{
  SetFaults("cut=1&next=5&match=bytes");
  auto figures = Run({ "--rate=100", "--duration-ms=100" });
  CheckFigure(figures, "sent", 10);
  CheckFigure(figures, "unknown", 5);
  CheckFigure(figures, "answered", 5);
  backend_.Kill();
  figures = Run({ "--rate=100", "--duration-ms=100" });
  CheckFigure(figures, "not-run", 10);
  CheckFigure(figures, "reason-connect-failed", 10);
}

// Guards against refusals and used-up deadlines that are told apart wrongly in overload figures.
TEST(TestLoad, CountsQuickRefusalsAndUsedDeadlines)
{
  auto figures = Run({ "--rate=100",
                       "--duration-ms=100",
                       "--path=/delay/400",
                       "--deadline-ms=150",
                       "--timeout-ms=200" });
  CheckFigure(figures, "unknown", 10);
  CheckFigure(figures, "deadline-used", 10);
  CheckFigure(figures, "not-run-within-50ms", 0);
  backend_.Kill();
  figures = Run({ "--rate=100", "--duration-ms=100", "--deadline-ms=150" });
  CheckFigure(figures, "not-run", 10);
  CheckFigure(figures, "not-run-within-50ms", 10);
  CheckFigure(figures, "deadline-used", 0);
}

// Guards against repeats that use a new key, so that a second run would go unnoticed.
TEST(TestLoad, RepeatsThroughAnotherTargetWithTheSameKey)
{
  const ChildProcess other = StartServer("hemlock-test-backend");
  SetFaults("reset=1");
  auto figures = Run({ "--rate=50",
                       "--duration-ms=100",
                       "--keys",
                       "--repeats=1",
                       "--method=POST",
                       "--target=" + ToString(other.Listening()) });
  CheckFigure(figures, "answered", 5);
  CheckFigure(figures, "repeats", 2);
  STRCMP_EQUAL("load-key-1 1\nload-key-3 1\n", Runs("").c_str());
  CHECK_TRUE(Reply(HttpGet(other.Listening(), "/runs")).body_.find("load-key-3 1") !=
             std::string::npos);
}

// Guards against a run that does not end when a server never responds.
TEST(TestLoad, EndsWhenAServerStalls)
{
  SetFaults("stall=1");
  auto figures = Run({ "--rate=50", "--duration-ms=100", "--timeout-ms=200" });
  CheckFigure(figures, "unknown", 5);
  CheckFigure(figures, "reason-timeout", 5);
}

// Guards against a foreign or truncated response that passes as the request's own.
TEST(TestLoad, DetectsForeignAndChangedResponses)
{
  LoadConnection::Response response;
  response.set(kTagHeader, "t-1");
  response.set(kBodyHashHeader, ContentHash("whole body"));
  response.body() = "whole body";
  CHECK_FALSE(JudgeResponse(response, "t-1", true).corrupted_);
  CHECK_TRUE(JudgeResponse(response, "t-2", true).corrupted_);
  response.body() = "whole";
  CHECK_TRUE(JudgeResponse(response, "t-1", true).corrupted_);
  response.body().clear();
  CHECK_TRUE(JudgeResponse(response, "t-1", true).corrupted_);
  CHECK_FALSE(JudgeResponse(response, "t-1", false).corrupted_);
  response.erase(kBodyHashHeader);
  CHECK_TRUE(JudgeResponse(response, "t-1", true).corrupted_);
  response.set("Hemlock-Outcome", "not-run");
  CHECK_TRUE(JudgeResponse(response, "t-1", true).outcome_ == RequestOutcome::NotRun);
  CHECK_FALSE(JudgeResponse(response, "t-1", true).corrupted_);
}

// Guards against load on machines other than this one.
TEST(TestLoad, RefusesTargetsOutsideLoopback)
{
  ChildProcess load = Start({ "--target=192.0.2.1:80" });
  LONGS_EQUAL(2, load.WaitForExit(milliseconds(2000)).value_or(-1));
  CHECK_TRUE(load.ErrorOutput().find("not a loopback address") != std::string::npos);
}
