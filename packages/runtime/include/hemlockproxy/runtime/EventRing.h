#pragma once

#include "hemlockproxy/model/Event.h"
#include "hemlockproxy/runtime/LogEvent.h"
#include "hemlockproxy/runtime/StructuredLog.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockproxy::runtime {

/// The newest events of the process, with hybrid logical clock timestamps; all functions may be
/// called from any thread.
class EventRing
{
public:
  /// Keeps at most aCapacity events; the oldest are dropped first. Events are also written to the
  /// structured log unless it is null.
  explicit EventRing(std::size_t aCapacity, StructuredLog* aLines = nullptr)
    : capacity_(aCapacity)
    , lines_(aLines)
  {
  }

  /// Adds an event and writes it to the logs; returns its timestamp.
  model::HybridTimestamp Add(LogEvent aEvent, std::string aDetail);

  /// Returns the timestamp for a message to another process.
  [[nodiscard]] model::HybridTimestamp Stamp();
  /// Takes in the timestamp of a message from another process.
  void Observe(model::HybridTimestamp aRemote);

  /// Returns the events after a timestamp, oldest first.
  [[nodiscard]] std::vector<model::Event> After(model::HybridTimestamp aStamp) const;
  /// Returns how many events were dropped.
  [[nodiscard]] std::size_t Dropped() const;

private:
  mutable std::mutex mutex_;
  std::size_t capacity_;
  StructuredLog* lines_;
  std::size_t dropped_ = 0;
  model::HybridClock clock_;
  std::deque<model::Event> events_;
};

/// Sets up logging to standard error; the level is debug, info, warn or error. A closed standard
/// error or standard output no longer ends the process by SIGPIPE.
void InitLogging(const std::string& aLevel);

/// Waits until the lines so far have been written, for at most aLimit.
void FlushLog(std::chrono::milliseconds aLimit);

/// Returns how many lines were dropped because nobody read the output.
[[nodiscard]] std::uint64_t LogLinesDropped();

/// Changes the level of a log that was set up before.
void SetLogLevel(const std::string& aLevel);

/// Severity of a log line.
enum class LogLevel : std::uint8_t
{
  Debug,
  Info,
  Warn,
  Error,
};

/// Writes a log line with the part as its prefix. Does not block on the output: a thread of its own
/// writes the lines, and those beyond its buffer are dropped, counted and reported by one line when
/// the output takes lines again.
void Log(LogLevel aLevel, std::string_view aPart, const std::string& aMessage);

} // namespace hemlockproxy::runtime
