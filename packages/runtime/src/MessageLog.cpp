#include "hemlockproxy/runtime/EventRing.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/helpers/pool.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <log4cxx/spi/loggingevent.h>

#include <atomic>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <mutex>
#include <thread>

namespace hemlockproxy::runtime {

namespace {

/// Bounds of the lines that wait to be written.
constexpr std::size_t kMostWaiting = 1000;
constexpr std::size_t kMostWaitingBytes = 256UL * 1024;
/// A thread that writes a line ends soon, and one whose output blocks does not.
constexpr std::chrono::milliseconds kExitWait{ 200 };

log4cxx::LoggerPtr RootLogger()
{
  static const log4cxx::LoggerPtr kLogger = log4cxx::Logger::getRootLogger();
  return kLogger;
}

/// Whether there is an output. Without one, lines are not handed to a thread that may still use
/// log4cxx at the end of the process.
std::atomic<bool>& HasOutput()
{
  static std::atomic<bool> hasOutput{ false };
  return hasOutput;
}

log4cxx::LevelPtr ToLog4cxx(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return log4cxx::Level::getDebug();
    case LogLevel::Info:
      return log4cxx::Level::getInfo();
    case LogLevel::Warn:
      return log4cxx::Level::getWarn();
    case LogLevel::Error:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

/// Hands lines to a thread that may block on the output.
class LineWriter
{
public:
  /// Adds a line, which gets its time now, or drops it.
  void Add(const log4cxx::LevelPtr& aLevel, const std::string& aText)
  {
    const std::lock_guard lock(mutex_);
    if (lines_.size() >= kMostWaiting || bytes_ + aText.size() > kMostWaitingBytes) {
      ++dropped_;
      return;
    }
    lines_.push_back(MakeEvent(aLevel, aText));
    bytes_ += aText.size();
    changed_.notify_all();
  }

  void Flush(std::chrono::milliseconds aLimit)
  {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, aLimit, [this] { return lines_.empty() && !writing_; });
  }

  /// Ends the thread unless its output blocks; the rest of the lines is lost. log4cxx must not be
  /// used while its static objects are destroyed.
  void Stop(std::chrono::milliseconds aLimit)
  {
    std::unique_lock lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
    changed_.wait_for(lock, aLimit, [this] { return ended_; });
  }

  [[nodiscard]] std::uint64_t Dropped() const
  {
    const std::lock_guard lock(mutex_);
    return dropped_;
  }

  void Run()
  {
    std::unique_lock lock(mutex_);
    while (true) {
      changed_.wait(lock, [this] { return stopping_ || !lines_.empty() || reported_ < dropped_; });
      if (stopping_) {
        ended_ = true;
        changed_.notify_all();
        return;
      }
      std::deque<log4cxx::spi::LoggingEventPtr> lines;
      lines.swap(lines_);
      bytes_ = 0;
      if (reported_ < dropped_) {
        lines.push_back(MakeEvent(log4cxx::Level::getWarn(),
                                  "log: " + std::to_string(dropped_ - reported_) +
                                    " lines dropped while the output was not read"));
        reported_ = dropped_;
      }
      writing_ = true;
      lock.unlock();
      log4cxx::helpers::Pool pool;
      for (const auto& line : lines) {
        RootLogger()->callAppenders(line, pool);
      }
      lock.lock();
      writing_ = false;
      changed_.notify_all();
    }
  }

private:
  static log4cxx::spi::LoggingEventPtr MakeEvent(const log4cxx::LevelPtr& aLevel,
                                                 const std::string& aText)
  {
    return std::make_shared<log4cxx::spi::LoggingEvent>(
      RootLogger()->getName(), aLevel, aText, log4cxx::spi::LocationInfo::getLocationUnavailable());
  }

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<log4cxx::spi::LoggingEventPtr> lines_;
  std::size_t bytes_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_ = 0;
  bool writing_ = false;
  bool stopping_ = false;
  bool ended_ = false;
};

/// Returns the writer, whose thread may be blocked for ever and ends with the process.
LineWriter& Writer()
{
  static LineWriter* const kWriter = [] {
    // Made before the exit handler, so that it outlives the thread.
    (void)RootLogger();
    auto* writer = new LineWriter;
    std::thread([writer] { writer->Run(); }).detach();
    (void)std::atexit([] { Writer().Stop(kExitWait); });
    return writer;
  }();
  return *kWriter;
}

} // namespace

void InitLogging(const std::string& aLevel)
{
  (void)std::signal(SIGPIPE, SIG_IGN);
  auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%d{ISO8601} %p %m%n"));
  auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, LOG4CXX_STR("System.err"));
  log4cxx::BasicConfigurator::configure(appender);
  SetLogLevel(aLevel);
  HasOutput() = true;
}

void SetLogLevel(const std::string& aLevel)
{
  RootLogger()->setLevel(log4cxx::Level::toLevel(aLevel));
}

void Log(LogLevel aLevel, std::string_view aPart, const std::string& aMessage)
{
  const auto level = ToLog4cxx(aLevel);
  if (HasOutput() && RootLogger()->isEnabledFor(level)) {
    Writer().Add(level, std::string(aPart) + ": " + aMessage);
  }
}

void FlushLog(std::chrono::milliseconds aLimit)
{
  Writer().Flush(aLimit);
}

std::uint64_t LogLinesDropped()
{
  return Writer().Dropped();
}

} // namespace hemlockproxy::runtime
