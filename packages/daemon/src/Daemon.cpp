#include "hemlockproxy/daemon/Daemon.h"

#include "hemlockproxy/daemon/AdminServer.h"
#include "hemlockproxy/daemon/ControlThread.h"
#include "hemlockproxy/daemon/TrafficThread.h"
#include "hemlockproxy/decisions/Drain.h"

#include "impl/ProcessBounds.h"

#include <boost/asio/signal_set.hpp>
#include <boost/fiber/operations.hpp>

#include <array>
#include <csignal>
#include <cstdio>
#include <optional>

namespace hemlockproxy::daemon {

namespace {

constexpr std::size_t kEvents = 4096;
constexpr std::chrono::milliseconds kShutdownPoll{ 20 };
/// Callers that ask each second whether the daemon is ready have heard twice within this time that
/// it is not. The listeners stay open meanwhile, so that late requests are rejected as not run
/// rather than refused a connection.
constexpr std::chrono::milliseconds kLeavingNotice{ 2000 };
/// The member record reaches the other daemons directly, in some round trips between failure
/// domains; an entry that misses it is told by the first rejection.
constexpr std::chrono::milliseconds kHandOver{ 400 };
/// Kept of the drain limit for the end of the process itself.
constexpr std::chrono::milliseconds kEndMargin{ 250 };

/// How long the end of the process waits for lines of the structured log to be written.
constexpr std::chrono::milliseconds kLastLines{ 200 };

/// Runs the admin server and the shutdown sequence on the telemetry thread.
class Supervisor
{
public:
  Supervisor(const Settings& aSettings,
             TrafficThread& aTraffic,
             ControlThread& aControl,
             runtime::EventRing& aEvents,
             std::unique_ptr<runtime::HttpServer> aAdmin,
             const runtime::IoContextPtr& aIo)
    : settings_(aSettings)
    , traffic_(aTraffic)
    , control_(aControl)
    , events_(aEvents)
    , admin_(std::move(aAdmin))
    , signals_(*aIo, SIGTERM, SIGINT, SIGHUP)
    , drain_(*decisions::Drain::Create(
        { .notice_ = kLeavingNotice,
          .handOver_ = kHandOver,
          .limit_ = std::max<std::chrono::milliseconds>(kLeavingNotice,
                                                        aSettings.drainLimit_ - kEndMargin) }))
  {
  }

  DaemonEnd Run()
  {
    admin_->Start();
    control_.Start();
    traffic_.Start();
    WaitForSignal();
    events_.Add(runtime::LogEvent::DaemonStarted, settings_.name_);
    std::printf("listening %s\n", ToString(settings_.caller_).c_str());
    std::fflush(stdout);
    while (signalsSeen_ == 0) {
      boost::this_fiber::sleep_for(kShutdownPoll);
    }
    return ShutDown();
  }

private:
  void WaitForSignal()
  {
    signals_.async_wait([this](const boost::system::error_code& aError, int aSignal) {
      if (aError) {
        return;
      }
      if (aSignal == SIGHUP) {
        Reload();
      } else {
        ++signalsSeen_;
      }
      WaitForSignal();
    });
  }

  /// Reads the settings file again. The log level is taken into use at once; other changes need a
  /// restart, since addresses and bounds are fixed for the life of the process.
  void Reload()
  {
    if (settings_.path_.empty()) {
      return;
    }
    const auto read = LoadSettings(settings_.path_);
    if (!read) {
      for (const SettingsError& error : read.Error()) {
        runtime::Log(
          runtime::LogLevel::Error, "daemon", "settings not reloaded: " + ToString(error));
      }
      return;
    }
    runtime::SetLogLevel(read->logLevel_);
    Settings same = settings_;
    same.logLevel_ = read->logLevel_;
    events_.Add(runtime::LogEvent::DaemonReloaded,
                same == *read ? "log level " + read->logLevel_
                              : "log level " + read->logLevel_ + "; other changes need a restart");
  }

  DaemonEnd ShutDown()
  {
    using std::chrono::steady_clock;
    events_.Add(runtime::LogEvent::DaemonStopping,
                std::to_string(traffic_.InProgress()) + " requests in progress");
    Execute(drain_.Stop(steady_clock::now(), traffic_.InProgress()));
    int handled = 1;
    while (!end_) {
      boost::this_fiber::sleep_for(kShutdownPoll);
      if (announcePending_) {
        AnnounceLeaving();
      }
      if (handled < signalsSeen_) {
        handled = signalsSeen_;
        Execute(drain_.Stop(steady_clock::now(), traffic_.InProgress()));
      } else {
        Execute(drain_.Tick(steady_clock::now(), traffic_.InProgress()));
      }
    }
    boost::system::error_code ignored;
    signals_.cancel(ignored);
    admin_->Stop();
    return *end_;
  }

  void Execute(const std::vector<decisions::DrainAction>& aActions)
  {
    // In the order of decisions::DrainAction.
    static constexpr std::array<void (Supervisor::*)(), 8> kActions = {
      &Supervisor::ShareState, &Supervisor::AnnounceLeaving, &Supervisor::ShareState,
      &Supervisor::ShareState, &Supervisor::CloseListeners,  &Supervisor::LeaveMembership,
      &Supervisor::ExitClean,  &Supervisor::ExitInterrupted,
    };
    for (const decisions::DrainAction action : aActions) {
      (this->*kActions[static_cast<std::size_t>(action)])();
    }
  }

  void AnnounceLeaving() { announcePending_ = !control_.Tell(LeavingCommand{}); }

  /// The traffic thread rejects requests and closes connections by the state.
  void ShareState() { traffic_.SetDrainState(drain_.State()); }

  void CloseListeners()
  {
    cut_ = traffic_.InProgress();
    // Fibers of requests that are cut would keep the thread from ending; the end of the process
    // closes its listeners.
    if (cut_ == 0) {
      traffic_.Stop(settings_.drainLimit_);
    }
  }

  void LeaveMembership() { control_.Stop(); }

  void ExitClean()
  {
    events_.Add(runtime::LogEvent::DaemonStopped, "no request was cut");
    end_ = DaemonEnd::Graceful;
  }

  void ExitInterrupted()
  {
    events_.Add(runtime::LogEvent::DaemonShutdownForced,
                std::to_string(cut_) + " requests were cut");
    end_ = DaemonEnd::Forced;
  }

  const Settings& settings_;
  TrafficThread& traffic_;
  ControlThread& control_;
  runtime::EventRing& events_;
  std::unique_ptr<runtime::HttpServer> admin_;
  boost::asio::signal_set signals_;
  int signalsSeen_ = 0;
  decisions::Drain drain_;
  /// The ring buffer of the control thread was full.
  bool announcePending_ = false;
  std::size_t cut_ = 0;
  std::optional<DaemonEnd> end_;
};

/// Hands a change of the endpoint to the control thread, again while its ring buffer is full: the
/// other daemons would otherwise keep the old state.
void TellEndpoint(ControlThread& aControl, std::optional<model::Endpoint> aEndpoint)
{
  if (aControl.Tell(LocalEndpoint{ aEndpoint })) {
    return;
  }
  runtime::SpawnFiber([&aControl, endpoint = std::move(aEndpoint)] {
    boost::this_fiber::sleep_for(kShutdownPoll);
    TellEndpoint(aControl, endpoint);
  });
}

} // namespace

model::Result<DaemonEnd, DaemonError> RunDaemon(const Settings& aSettings,
                                                const Adapters& aAdapters)
{
  runtime::Metrics metrics;
  runtime::StructuredLog lines({ .daemon_ = aSettings.name_ });
  runtime::EventRing events(kEvents, &lines);
  TrafficViewSlot views;
  StatusSlot status;
  auto control = ControlThread::Create(aSettings, aAdapters, views, status, metrics, events);
  if (!control) {
    return DaemonError{ control.Error().message_ };
  }
  auto traffic = TrafficThread::Create(
    aSettings,
    aAdapters,
    views,
    metrics,
    events,
    lines,
    [&control](std::vector<decisions::QuarantineRecord> aRecords) {
      // A full ring buffer loses the report; the other owners then learn from
      // crashes of their own.
      (void)(*control)->Tell(QuarantineNews{ std::move(aRecords) });
    },
    [&control](std::optional<model::Endpoint> aEndpoint) {
      TellEndpoint(**control, std::move(aEndpoint));
    },
    [&control](model::DaemonId aLender, decisions::AllowanceAsk aAsk) {
      // A full ring buffer loses the ask like the link would; the next one follows.
      (void)(*control)->Tell(AllowanceRequest{ std::move(aLender), std::move(aAsk) });
    });
  if (!traffic) {
    return DaemonError{ traffic.Error().message_ };
  }
  (*control)->OnQuarantine(
    [&traffic](wire::QuarantineRecords aRecords) { return (*traffic)->Tell(std::move(aRecords)); });
  (*control)->SetReadQuarantine([&traffic](ControlThread::QuarantineReader aReader) {
    return (*traffic)->Tell(QuarantineQuestion{ std::move(aReader) });
  });
  (*traffic)->SetKeepDeparture(
    [&control](decisions::DepartureRecord aDeparture, std::function<void()> aDone) {
      // A full ring buffer leaves the departure unremembered, like peers that are away.
      (void)(*control)->Tell(DepartureNews{ std::move(aDeparture), std::move(aDone) });
    });
  (*control)->OnDepartures([&traffic](std::vector<decisions::DepartureRecord> aRecords,
                                      std::optional<std::chrono::milliseconds> aLongestMemory) {
    return (*traffic)->Tell(DeparturesKnown{ std::move(aRecords), aLongestMemory });
  });
  (*control)->OnAllowanceGrant(
    [&traffic](const model::DaemonId& aLender, decisions::AllowanceGrant aGrant) {
      (void)(*traffic)->Tell(AllowanceAnswer{ aLender, std::move(aGrant) });
    });
  AdminPorts ports;
  ports.name_ = aSettings.name_;
  ports.status_ = &status;
  ports.metrics_ = &metrics;
  ports.events_ = &events;
  ports.lines_ = &lines;
  ports.announce_ = [&traffic](model::BackendReport aReport) {
    return (*traffic)->Announce(std::move(aReport));
  };
  auto io = std::make_shared<runtime::IoContext>(1);
  runtime::HttpServerOptions options;
  options.metrics_ = &metrics;
  options.bounds_ = impl::MakeTelemetryBounds(aSettings);
  auto admin = runtime::HttpServer::Create(
    io, aSettings.admin_, options, [&ports](runtime::HttpExchange& aExchange) {
      HandleAdmin(ports, aExchange);
    });
  if (!admin) {
    return DaemonError{ admin.Error().message_ };
  }
  std::unique_ptr<runtime::HttpServer> metricsServer;
  if (!aSettings.metrics_.ip_.empty()) {
    auto created = runtime::HttpServer::Create(
      io, aSettings.metrics_, options, [&ports](runtime::HttpExchange& aExchange) {
        HandleMetricsPort(ports, aExchange);
      });
    if (!created) {
      return DaemonError{ created.Error().message_ };
    }
    metricsServer = *std::move(created);
  }
  DaemonEnd end = DaemonEnd::Graceful;
  lines.Start();
  // The telemetry thread is the calling one.
  runtime::RunFiberLoop(io, [&] {
    if (metricsServer) {
      metricsServer->Start();
    }
    Supervisor supervisor(aSettings, **traffic, **control, events, *std::move(admin), io);
    end = supervisor.Run();
    lines.Stop(kLastLines);
    runtime::FlushLog(kLastLines);
    // Nothing is unwound: a long-poll of the log may last for seconds, and after a forced end
    // fibers of requests that were cut still run.
    std::_Exit(end == DaemonEnd::Graceful ? 0 : 1);
  });
  return end;
}

} // namespace hemlockproxy::daemon
