#pragma once

#include "hemlockproxy/model/Clock.h"
#include "hemlockproxy/runtime/LogEvent.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <array>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace hemlockproxy::runtime {

/// One line of the structured log while it is put together.
class LogLine
{
public:
  LogLine& Add(const char* aName, std::string_view aValue);
  LogLine& Add(const char* aName, const std::string& aValue)
  {
    return Add(aName, std::string_view(aValue));
  }
  LogLine& Add(const char* aName, const char* aValue)
  {
    return Add(aName, std::string_view(aValue));
  }
  LogLine& Add(const char* aName, std::uint64_t aValue);
  /// Adds a duration in whole milliseconds.
  LogLine& Add(const char* aName, model::Duration aValue);

private:
  friend class StructuredLog;
  LogLine(LogEvent aEvent, const std::string& aDaemon);

  LogClass class_;
  rapidjson::StringBuffer text_;
  rapidjson::Writer<rapidjson::StringBuffer> writer_;
};

struct StructuredLogOptions
{
  /// The name of the daemon, in each line.
  std::string daemon_;
  /// Sustained lines a second of each class; a second's lines may come at once. Successes are a
  /// sample; a failed request has two to four lines.
  std::uint32_t changesPerSecond_ = 100;
  std::uint32_t failuresPerSecond_ = 150;
  std::uint32_t successesPerSecond_ = 5;
  /// Lines that wait to be written; successes get half of the places, so that they never take that
  /// of a failure.
  std::size_t waiting_ = 2000;
};

/// Writes one JSON object per line to standard output on a thread of its own.
///
/// No call blocks on the output: lines beyond the rates, or while nobody reads the output, are
/// dropped, counted, and reported by an event of their own. All functions may be called from any
/// thread.
///
///     if (log.Wants(LogEvent::RequestRefused)) {
///       log.Write(log.Line(LogEvent::RequestRefused).Add("id", id).Add("reason", reason));
///     }
class StructuredLog
{
public:
  explicit StructuredLog(StructuredLogOptions aOptions);
  ~StructuredLog();
  StructuredLog(const StructuredLog&) = delete;
  StructuredLog& operator=(const StructuredLog&) = delete;

  /// Starts to write; lines before it wait.
  void Start();
  /// Writes what waits, for at most aLimit, and ends. The process must end soon after when nobody
  /// reads the output.
  void Stop(std::chrono::milliseconds aLimit);

  /// Returns whether a line of this event may be written now, and counts it.
  [[nodiscard]] bool Wants(LogEvent aEvent);
  [[nodiscard]] LogLine Line(LogEvent aEvent) const { return { aEvent, options_.daemon_ }; }
  void Write(LogLine& aLine);
  void Write(LogLine&& aLine) { Write(aLine); }

  /// Returns how many lines of a class were dropped.
  [[nodiscard]] std::uint64_t Dropped(LogClass aClass) const;

private:
  static constexpr std::size_t kClasses = 3;

  /// A token bucket that holds a second's lines.
  struct Budget
  {
    double perSecond_ = 0;
    double tokens_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint64_t reported_ = 0;
  };

  void WriteUntilStopped();
  /// Returns the line that reports drops, or an empty text when there are no new ones.
  [[nodiscard]] std::string ReportDrops();

  StructuredLogOptions options_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::array<Budget, kClasses> budgets_;
  std::chrono::steady_clock::time_point filled_;
  std::vector<std::string> lines_;
  bool stopping_ = false;
  bool idle_ = true;
  bool ended_ = false;
  std::thread writer_;
};

} // namespace hemlockproxy::runtime
