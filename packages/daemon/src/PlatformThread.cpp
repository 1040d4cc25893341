#include "hemlockproxy/daemon/PlatformThread.h"

namespace hemlockproxy::daemon {

namespace {

constexpr std::size_t kCommands = 256;

} // namespace

PlatformThread::PlatformThread(runtime::LogFactory aMakeLog,
                               model::Address aLog,
                               std::string aLocalIp,
                               std::chrono::milliseconds aTimeout,
                               runtime::Metrics& aMetrics,
                               std::function<void(LogCompletion)> aComplete)
  : makeLog_(std::move(aMakeLog))
  , address_(std::move(aLog))
  , localIp_(std::move(aLocalIp))
  , timeout_(aTimeout)
  , metrics_(aMetrics)
  , complete_(std::move(aComplete))
  , io_(std::make_shared<runtime::IoContext>(1))
  , commands_(kCommands)
{
}

PlatformThread::~PlatformThread()
{
  Stop();
}

void PlatformThread::Start()
{
  thread_ = std::thread([this] {
    runtime::RunFiberLoop(io_, [this] {
      const std::shared_ptr<runtime::LogPort> log = makeLog_(io_, address_, timeout_, localIp_);
      LogCommand command;
      while (commands_.Pop(command)) {
        runtime::SpawnFiber([this, log, command] {
          std::visit([this, &log](const auto& aOne) { Execute(*log, aOne); }, command);
        });
      }
    });
  });
}

void PlatformThread::Stop()
{
  commands_.Close();
  if (thread_.joinable()) {
    thread_.join();
  }
}

template <typename Call>
auto PlatformThread::Measure(const char* aName, Call&& aCall)
{
  const auto started = std::chrono::steady_clock::now();
  auto result = aCall();
  metrics_.Record(runtime::Timing::LogCall, std::chrono::steady_clock::now() - started);
  metrics_.Add(runtime::Family::LogCalls,
               { aName, result ? "ok" : ToString(result.Error().kind_) });
  return result;
}

void PlatformThread::Execute(runtime::LogPort& aLog, const LogReadCommand& aCommand)
{
  Complete(LogReadResult{ aCommand.ticket_, Measure("read", [&] {
                            return aLog.Read(
                              aCommand.stream_, aCommand.from_, aCommand.wait_, aCommand.most_);
                          }) });
}

void PlatformThread::Execute(runtime::LogPort& aLog, const LogNewestCommand& aCommand)
{
  Complete(LogReadResult{ aCommand.ticket_, Measure("newest", [&] {
                            return aCommand.pageAfter_
                                     ? aLog.ReadNewestPage(aCommand.stream_, *aCommand.pageAfter_)
                                     : aLog.ReadNewest(aCommand.stream_);
                          }) });
}

void PlatformThread::Execute(runtime::LogPort& aLog, const LogAppendCommand& aCommand)
{
  Complete(LogAppendResult{ aCommand.ticket_, Measure("append", [&] {
                              return aLog.Append(aCommand.stream_, aCommand.bytes_);
                            }) });
}

void PlatformThread::Execute(runtime::LogPort& aLog, const LogPutCommand& aCommand)
{
  Complete(LogAppendResult{ aCommand.ticket_, Measure("put", [&] {
                              return aLog.Put(aCommand.stream_, aCommand.key_, aCommand.bytes_);
                            }) });
}

void PlatformThread::Complete(LogReadResult aResult)
{
  metrics_.Add(aResult.result_ ? runtime::Counter::LogReads : runtime::Counter::LogErrors);
  if (aResult.result_) {
    metrics_.Add(runtime::Counter::LogRecordsSkipped, aResult.result_->skipped_);
  }
  complete_(std::move(aResult));
}

void PlatformThread::Complete(LogAppendResult aResult)
{
  metrics_.Add(aResult.result_ ? runtime::Counter::LogAppends : runtime::Counter::LogErrors);
  complete_(std::move(aResult));
}

} // namespace hemlockproxy::daemon
