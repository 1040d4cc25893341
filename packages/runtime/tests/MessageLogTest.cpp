#include "hemlockproxy/runtime/EventRing.h"

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <future>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy::runtime;
using std::chrono::seconds;

namespace {

/// More than a pipe and the log's own buffer hold.
constexpr int kLines = 2000;
const std::string kText(1000, 'w');

/// Takes the place of standard error until its end.
class ErrorPipe
{
public:
  ErrorPipe()
    : saved_(::dup(STDERR_FILENO))
  {
    (void)::pipe2(ends_.data(), O_CLOEXEC);
    ::dup2(ends_[1], STDERR_FILENO);
    ::close(ends_[1]);
  }
  ErrorPipe(const ErrorPipe&) = delete;
  ErrorPipe& operator=(const ErrorPipe&) = delete;
  ~ErrorPipe()
  {
    ::dup2(saved_, STDERR_FILENO);
    ::close(saved_);
    CloseReader();
  }

  void CloseReader()
  {
    if (ends_[0] >= 0) {
      ::close(ends_[0]);
    }
    ends_[0] = -1;
  }
  /// Returns what comes until a text is found or nothing comes for a second.
  std::string ReadUntil(const std::string& aText)
  {
    std::string all;
    std::array<char, 65536> part{};
    pollfd entry{ ends_[0], POLLIN, 0 };
    while (all.find(aText) == std::string::npos && ::poll(&entry, 1, 1000) > 0) {
      const ssize_t got = ::read(ends_[0], part.data(), part.size());
      if (got <= 0) {
        break;
      }
      all.append(part.data(), static_cast<std::size_t>(got));
    }
    return all;
  }

private:
  int saved_;
  std::array<int, 2> ends_{ -1, -1 };
};

std::future<void> LogManyLines()
{
  return std::async(std::launch::async, [] {
    for (int i = 0; i < kLines; ++i) {
      Log(LogLevel::Warn, "test", kText);
    }
  });
}

} // namespace

TEST_GROUP(MessageLog){ void setup() override{ static const bool kOnce = [] {
  InitLogging("warn");
  return true;
}();
(void)kOnce;
}
}
;

// Guards against a thread that serves requests and blocks on an output that nobody reads.
TEST(MessageLog, DropsLinesRatherThanBlockOnTheOutput)
{
  ErrorPipe pipe;
  auto logged = LogManyLines();
  const bool inTime = logged.wait_for(seconds(5)) == std::future_status::ready;
  const std::string written = pipe.ReadUntil("lines dropped while the output was not read");
  logged.wait();
  CHECK_TRUE(inTime);
  CHECK_TRUE(written.find("lines dropped while the output was not read") != std::string::npos);
  CHECK_TRUE(LogLinesDropped() > 0);
  FlushLog(seconds(5));
}

// Guards against a reader that closes the pipe and so ends the process.
TEST(MessageLog, GoesOnWhenTheReaderCloses)
{
  ErrorPipe pipe;
  pipe.CloseReader();
  auto logged = LogManyLines();
  CHECK_TRUE(logged.wait_for(seconds(5)) == std::future_status::ready);
  FlushLog(seconds(5));
}
