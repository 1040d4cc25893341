#include "hemlockproxy/runtime/StructuredLog.h"

#include <fcntl.h>
#include <fstream>
#include <map>
#include <poll.h>
#include <set>
#include <sstream>
#include <thread>
#include <unistd.h>

#include "CountOf.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::runtime;
using std::chrono::milliseconds;

namespace {

/// Redirects standard output to a pipe while it lives.
class OutputPipe
{
public:
  OutputPipe()
    : saved_(::dup(STDOUT_FILENO))
  {
    std::fflush(stdout);
    CHECK_TRUE(::pipe(ends_) == 0);
    CHECK_TRUE(::dup2(ends_[1], STDOUT_FILENO) >= 0);
  }
  ~OutputPipe()
  {
    ::dup2(saved_, STDOUT_FILENO);
    ::close(saved_);
    ::close(ends_[1]);
    ::close(ends_[0]);
  }
  OutputPipe(const OutputPipe&) = delete;
  OutputPipe& operator=(const OutputPipe&) = delete;

  /// Returns what has been written so far.
  [[nodiscard]] std::string Read() const
  {
    std::string text;
    char part[4096];
    pollfd readable{ ends_[0], POLLIN, 0 };
    while (::poll(&readable, 1, 0) > 0) {
      const ssize_t size = ::read(ends_[0], part, sizeof part);
      if (size <= 0) {
        break;
      }
      text.append(part, static_cast<std::size_t>(size));
    }
    return text;
  }

private:
  int saved_;
  int ends_[2] = {};
};

} // namespace

TEST_GROUP(StructuredLog){
  /// Offers lines of an event as fast as possible; returns how many were taken.
  static std::size_t Offer(StructuredLog & aLog, LogEvent aEvent, std::size_t aCount){
    std::size_t taken = 0;
for (std::size_t i = 0; i < aCount; ++i) {
  if (aLog.Wants(aEvent)) {
    aLog.Write(aLog.Line(aEvent).Add("id", std::to_string(i)));
    ++taken;
  }
}
return taken;
}
}
;

// Guards against lines that a reader cannot parse, and against fields that are lost.
TEST(StructuredLog, WritesOneObjectPerLine)
{
  std::string text;
  {
    const OutputPipe pipe;
    StructuredLog log({ .daemon_ = "a" });
    log.Start();
    CHECK_TRUE(log.Wants(LogEvent::RequestRefused));
    log.Write(log.Line(LogEvent::RequestRefused)
                .Add("id", "x\"1\n")
                .Add("attempts", std::uint64_t{ 2 })
                .Add("elapsed_ms", model::Duration(milliseconds(30))));
    log.Stop(milliseconds(2000));
    text = pipe.Read();
  }
  STRCMP_CONTAINS("\"daemon\":\"a\",\"event\":\"request.refused\",\"id\":\"x\\\"1\\n\","
                  "\"attempts\":2,\"elapsed_ms\":30}\n",
                  text.c_str());
  LONGS_EQUAL(1, CountOf(text, "\n"));
}

// Guards against a volume that grows with the load, and against failures that are lost among
// successes.
TEST(StructuredLog, BoundsEachClassAndReportsWhatItDropped)
{
  std::string text;
  {
    const OutputPipe pipe;
    StructuredLog log({ .daemon_ = "a", .failuresPerSecond_ = 20, .successesPerSecond_ = 5 });
    const std::size_t successes = Offer(log, LogEvent::RequestAnswered, 10000);
    const std::size_t failures = Offer(log, LogEvent::RequestRefused, 100);
    CHECK_TRUE(successes >= 5 && successes <= 10);
    CHECK_TRUE(failures >= 20 && failures <= 40);
    LONGS_EQUAL(100 - failures, log.Dropped(LogClass::Failure));
    log.Start();
    log.Stop(milliseconds(2000));
    text = pipe.Read();
    LONGS_EQUAL(successes, CountOf(text, "request.answered"));
    LONGS_EQUAL(failures, CountOf(text, "request.refused"));
    STRCMP_CONTAINS(("\"failures\":" + std::to_string(100 - failures)).c_str(), text.c_str());
  }
  LONGS_EQUAL(1, CountOf(text, "log.lines-dropped"));
}

// Guards against a daemon that stands still because nobody reads its output, and against memory
// that grows meanwhile.
TEST(StructuredLog, AnOutputThatNobodyReadsStopsNothing)
{
  const OutputPipe pipe;
  {
    StructuredLog log({ .daemon_ = "a", .failuresPerSecond_ = 1000000, .waiting_ = 100 });
    log.Start();
    const auto begun = std::chrono::steady_clock::now();
    std::size_t taken = 0;
    for (int round = 0; round < 20; ++round) {
      taken += Offer(log, LogEvent::RequestRefused, 1000);
      std::this_thread::sleep_for(milliseconds(10));
    }
    CHECK_TRUE(std::chrono::steady_clock::now() - begun < milliseconds(2000));
    CHECK_TRUE(taken < 5000);
    CHECK_TRUE(log.Dropped(LogClass::Failure) >= 15000);
    // Reads on until the writer can end.
    std::thread reader([&pipe] {
      for (int i = 0; i < 100; ++i) {
        (void)pipe.Read();
        std::this_thread::sleep_for(milliseconds(10));
      }
    });
    log.Stop(milliseconds(2000));
    reader.join();
  }
}

TEST_GROUP(LogEvents){};

// Guards against an event that operators cannot look up, and against a page that names one which no
// longer exists.
TEST(LogEvents, StandOnTheOperatorsPageWithTheirFields)
{
  std::ifstream file(std::string(HEMLOCK_SOURCE_DIR) + "/docs/OPERATIONS.md");
  std::map<std::string, std::string> onPage;
  for (std::string line; std::getline(file, line);) {
    // | `event` | class | `field` `field` | meaning |
    if (!line.starts_with("| `") || CountOf(line, "|") != 5) {
      continue;
    }
    std::istringstream cells(line);
    std::string name;
    std::string fields;
    std::string skipped;
    std::getline(cells, skipped, '|');
    std::getline(cells, name, '|');
    std::getline(cells, skipped, '|');
    std::getline(cells, fields, '|');
    std::erase(name, '`');
    std::erase(name, ' ');
    std::erase(fields, '`');
    const std::size_t first = fields.find_first_not_of(' ');
    onPage[name] = fields.substr(first, fields.find_last_not_of(' ') + 1 - first);
  }
  std::map<std::string, std::string> inCode;
  for (const LogEventInfo& info : LogEvents()) {
    inCode[info.name_] = info.fields_;
  }
  for (const auto& [name, fields] : inCode) {
    CHECK_TRUE_TEXT(onPage.contains(name), (name + " is not on the page").c_str());
    STRCMP_EQUAL(fields.c_str(), onPage[name].c_str());
  }
  for (const auto& [name, fields] : onPage) {
    CHECK_TRUE_TEXT(inCode.contains(name), (name + " is not in the code").c_str());
  }
}
