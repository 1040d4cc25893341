#pragma once

#include "hemlockproxy/daemon/Mailbox.h"
#include "hemlockproxy/model/Address.h"
#include "hemlockproxy/runtime/FiberLoop.h"
#include "hemlockproxy/runtime/Log.h"
#include "hemlockproxy/runtime/Metrics.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <variant>

namespace hemlockproxy::daemon {

/// Names the part that asked for a log operation, so that the result finds its way back.
using LogTicket = std::uint64_t;

struct LogReadCommand
{
  LogTicket ticket_ = 0;
  std::string stream_;
  model::LogOffset from_;
  std::chrono::milliseconds wait_{ 0 };
  std::size_t most_ = 0;
};

/// Reads the newest record of each key; the result is a LogReadResult.
struct LogNewestCommand
{
  LogTicket ticket_ = 0;
  std::string stream_;
  /// Reads only the page that follows this key.
  std::optional<std::string> pageAfter_;
};

struct LogAppendCommand
{
  LogTicket ticket_ = 0;
  std::string stream_;
  std::string bytes_;
};

/// Replaces the record of a key; the result is a LogAppendResult.
struct LogPutCommand
{
  LogTicket ticket_ = 0;
  std::string stream_;
  std::string key_;
  std::string bytes_;
};

using LogCommand = std::variant<LogReadCommand, LogNewestCommand, LogAppendCommand, LogPutCommand>;

struct LogReadResult
{
  LogTicket ticket_ = 0;
  model::Result<runtime::LogBatch, runtime::LogError> result_;
};

struct LogAppendResult
{
  LogTicket ticket_ = 0;
  model::Result<runtime::LogPosition, runtime::LogError> result_;
};

using LogCompletion = std::variant<LogReadResult, LogAppendResult>;

/// Runs log operations on a thread of its own, each in a fiber.
class PlatformThread
{
public:
  /// The completion function is called on this thread's fibers and may block them.
  PlatformThread(runtime::LogFactory aMakeLog,
                 model::Address aLog,
                 std::string aLocalIp,
                 std::chrono::milliseconds aTimeout,
                 runtime::Metrics& aMetrics,
                 std::function<void(LogCompletion)> aComplete);
  ~PlatformThread();
  PlatformThread(const PlatformThread&) = delete;
  PlatformThread& operator=(const PlatformThread&) = delete;

  void Start();
  /// Hands over a command; returns false when the ring buffer is full.
  [[nodiscard]] bool Submit(LogCommand aCommand) { return commands_.TryPush(std::move(aCommand)); }
  /// Takes no more commands. Operations in flight are abandoned; the process must end soon after.
  void Stop();

private:
  /// Makes a call of the log and counts its result and time.
  template <typename Call>
  auto Measure(const char* aName, Call&& aCall);
  void Execute(runtime::LogPort& aLog, const LogReadCommand& aCommand);
  void Execute(runtime::LogPort& aLog, const LogNewestCommand& aCommand);
  void Execute(runtime::LogPort& aLog, const LogAppendCommand& aCommand);
  void Execute(runtime::LogPort& aLog, const LogPutCommand& aCommand);
  void Complete(LogReadResult aResult);
  void Complete(LogAppendResult aResult);

  runtime::LogFactory makeLog_;
  model::Address address_;
  std::string localIp_;
  std::chrono::milliseconds timeout_;
  runtime::Metrics& metrics_;
  std::function<void(LogCompletion)> complete_;
  runtime::IoContextPtr io_;
  Mailbox<LogCommand> commands_;
  std::thread thread_;
};

} // namespace hemlockproxy::daemon
