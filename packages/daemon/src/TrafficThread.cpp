#include "hemlockproxy/daemon/TrafficThread.h"

#include "impl/Delivery.h"
#include "impl/PeerProber.h"
#include "impl/ProcessBounds.h"

#include <boost/fiber/operations.hpp>

namespace hemlockproxy::daemon {

namespace {

constexpr std::chrono::milliseconds kCountInterval{ 20 };
/// Without requests the thread wakes less often, since each wake-up costs the spin time.
constexpr std::chrono::milliseconds kIdleInterval{ 100 };
constexpr std::size_t kInboxMessages = 64;
/// The part of the instance's memory that response bodies may take while they are held.
constexpr std::size_t kHeldPart = 10;
/// Room for the fields that an entry adds to a request.
constexpr std::uint32_t kForwardedFields = 8 * 1024;
/// A daemon joins and hears of its former process within less where a peer can be reached.
constexpr std::chrono::milliseconds kPeerWait{ 3000 };
/// A thread that is this late takes a noticeable part of the callers' latency targets.
constexpr std::chrono::milliseconds kLateDelay{ 100 };
/// Well below kLateDelay, so that a thread that is about as late as that is reported once.
constexpr std::chrono::milliseconds kInTimeDelay{ 20 };
/// Longer than a backend server on the same instance takes for a short request, so that the thread
/// is awake when the response comes.
constexpr std::chrono::microseconds kSpin{ 200 };

EntryOptions MakeEntryOptions(const Settings& aSettings,
                              const Adapters& aAdapters,
                              runtime::StructuredLog& aLines,
                              TrafficThread::AskAllowances aAskAllowances)
{
  EntryOptions options;
  options.askAllowances_ = aSettings.allowanceLending_ ? std::move(aAskAllowances) : nullptr;
  options.self_ = IdOf(aSettings);
  options.domain_ = aSettings.domain_;
  options.localIp_ = aSettings.forward_.ip_;
  options.exchange_.stallTimeout_ = aSettings.stallTimeout_;
  options.dialect_ = aAdapters.dialect_;
  options.callerService_ = aSettings.callerService_;
  options.applyWithin_ = aSettings.applyWithin_;
  options.retryLimit_ = { aSettings.retryShare_, aSettings.retryWindow_, aSettings.retryExtra_ };
  options.keyed_ = aSettings.interface_ == Interface::Hemlock;
  options.resumes_ = options.keyed_;
  options.lines_ = &aLines;
  return options;
}

OwnerOptions MakeOwnerOptions(const Settings& aSettings,
                              const Adapters& aAdapters,
                              runtime::StructuredLog& aLines)
{
  OwnerOptions options;
  options.self_ = IdOf(aSettings);
  options.exchange_.stallTimeout_ = aSettings.stallTimeout_;
  options.reportInterval_ = aSettings.announceInterval_;
  options.daemonStart_ = model::WallNow();
  options.peerWait_ = kPeerWait;
  options.link_.bytesPerSecond_ = aSettings.linkBytesPerSecond_;
  options.mostHeldBytes_ = std::min(options.mostHeldBytes_, impl::MemoryOf(aSettings) / kHeldPart);
  options.hangFactor_ = aSettings.hangFactor_;
  options.dialect_ = aAdapters.dialect_;
  options.lines_ = &aLines;
  return options;
}

} // namespace

runtime::HttpResult<std::unique_ptr<TrafficThread>> TrafficThread::Create(
  const Settings& aSettings,
  const Adapters& aAdapters,
  const TrafficViewSlot& aViews,
  runtime::Metrics& aMetrics,
  runtime::EventRing& aEvents,
  runtime::StructuredLog& aLines,
  OwnerService::TellPeers aTellPeers,
  OwnerService::OnEndpoint aOnEndpoint,
  AskAllowances aAskAllowances)
{
  std::unique_ptr<TrafficThread> thread(new TrafficThread(aSettings,
                                                          aAdapters,
                                                          aViews,
                                                          aMetrics,
                                                          aEvents,
                                                          aLines,
                                                          std::move(aTellPeers),
                                                          std::move(aOnEndpoint),
                                                          std::move(aAskAllowances)));
  if (auto opened = thread->OpenListeners(aSettings); !opened) {
    return opened.Error();
  }
  return thread;
}

TrafficThread::TrafficThread(const Settings& aSettings,
                             const Adapters& aAdapters,
                             const TrafficViewSlot& aViews,
                             runtime::Metrics& aMetrics,
                             runtime::EventRing& aEvents,
                             runtime::StructuredLog& aLines,
                             OwnerService::TellPeers aTellPeers,
                             OwnerService::OnEndpoint aOnEndpoint,
                             AskAllowances aAskAllowances)
  : io_(std::make_shared<runtime::IoContext>(1))
  , adapters_(aAdapters)
  , views_(aViews)
  , metrics_(aMetrics)
  , events_(aEvents)
  , inbox_(kInboxMessages)
  , owner_(io_,
           MakeOwnerOptions(aSettings, aAdapters, aLines),
           aViews,
           aMetrics,
           aEvents,
           std::move(aTellPeers),
           std::move(aOnEndpoint))
  , entry_(io_,
           MakeEntryOptions(aSettings, aAdapters, aLines, std::move(aAskAllowances)),
           aViews,
           owner_,
           aMetrics)
  , spin_(aSettings.trafficSpin_)
{
}

runtime::HttpResult<model::Unit> TrafficThread::OpenListeners(const Settings& aSettings)
{
  runtime::HttpServerOptions options;
  options.stallTimeout_ = aSettings.stallTimeout_;
  options.metrics_ = &metrics_;
  bounds_ = impl::MakeTrafficBounds(aSettings);
  options.bounds_ = bounds_;
  options.beforeRequest_ = [this] { ApplyCallerLimits(); };
  auto caller = runtime::HttpServer::Create(
    io_, aSettings.caller_, options, [this](runtime::HttpExchange& aExchange) {
      HandleCaller(aExchange);
    });
  if (!caller) {
    return caller.Error();
  }
  callerServer_ = *std::move(caller);
  options.party_ = decisions::ConnectionParty::Peer;
  auto forward = runtime::HttpServer::Create(
    io_, aSettings.forward_, options, [this](runtime::HttpExchange& aExchange) {
      HandleForwarded(aExchange);
    });
  if (!forward) {
    return forward.Error();
  }
  forwardServer_ = *std::move(forward);
  for (const model::Address& address : { aSettings.ready_, aSettings.reports_ }) {
    if (address.ip_.empty() || !adapters_.handleDesk_) {
      continue;
    }
    if (auto opened = OpenDesk(address); !opened) {
      return opened.Error();
    }
  }
  return model::Unit{};
}

runtime::HttpResult<model::Unit> TrafficThread::OpenDesk(const model::Address& aAddress)
{
  runtime::HttpServerOptions options;
  options.metrics_ = &metrics_;
  options.bounds_ = bounds_;
  options.party_ = decisions::ConnectionParty::Peer;
  auto desk =
    runtime::HttpServer::Create(io_, aAddress, options, [this](runtime::HttpExchange& aExchange) {
      adapters_.handleDesk_(*this, aExchange);
    });
  if (!desk) {
    return desk.Error();
  }
  desks_.push_back(*std::move(desk));
  return model::Unit{};
}

bool TrafficThread::Ready() const
{
  return drainState_ == decisions::DrainState::Serving && views_.Load()->routes_ != nullptr;
}

TrafficThread::~TrafficThread()
{
  Stop(std::chrono::milliseconds(0));
}

void TrafficThread::HandleCaller(runtime::HttpExchange& aExchange)
{
  const decisions::DrainState state = drainState_;
  if (state != decisions::DrainState::Serving) {
    aExchange.CloseAfterResponse();
  }
  if (decisions::AcceptsCallers(state)) {
    entry_.Handle(aExchange);
  } else {
    RejectLeaving(aExchange);
  }
}

void TrafficThread::HandleForwarded(runtime::HttpExchange& aExchange)
{
  if (impl::AnswerProbe(aExchange)) {
    return;
  }
  if (decisions::AcceptsForwards(drainState_)) {
    owner_.HandleForwarded(aExchange);
  } else {
    RejectLeaving(aExchange);
  }
}

void TrafficThread::RejectLeaving(runtime::HttpExchange& aExchange)
{
  // Another daemon takes the request at once, so that there is no time to wait for.
  metrics_.Add(runtime::Counter::RequestsNotRun);
  impl::SendRefusal(aExchange,
                    Refused(model::RequestOutcome::NotRun, model::RefusalReason::Leaving));
}

void TrafficThread::ApplyCallerLimits()
{
  const auto routes = views_.Load()->routes_;
  if (!routes || routes->Configuration().callerLimits_ == callerLimits_) {
    return;
  }
  callerLimits_ = routes->Configuration().callerLimits_;
  callerServer_->SetLimits(
    callerLimits_.headerBytes_, callerLimits_.headerTimeout_, callerLimits_.idleTimeout_);
  // A peer sends what its caller was allowed to, and its own fields. Its idle connections are its
  // own to close: one that closes under a request leaves the outcome unknown.
  forwardServer_->SetLimits(callerLimits_.headerBytes_ + kForwardedFields,
                            callerLimits_.headerTimeout_,
                            runtime::HttpServerOptions{}.idleTimeout_);
}

void TrafficThread::NoteDelay(model::Duration aDelay)
{
  metrics_.Record(runtime::Timing::TrafficDelay, aDelay);
  const bool late = aDelay >= (late_ ? kInTimeDelay : kLateDelay);
  if (std::exchange(late_, late) == late) {
    return;
  }
  const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(aDelay).count();
  events_.Add(late ? runtime::LogEvent::TrafficLate : runtime::LogEvent::TrafficInTime,
              "the traffic thread runs " + std::to_string(delay) + " ms late");
}

void TrafficThread::Start()
{
  thread_ = std::thread([this] {
    runtime::RunFiberLoop(
      io_, [this] { Main(); }, spin_ ? kSpin : std::chrono::microseconds(0));
  });
}

void TrafficThread::Stop(std::chrono::milliseconds aLimit)
{
  if (!thread_.joinable()) {
    return;
  }
  stopLimit_ = aLimit;
  stopping_ = true;
  thread_.join();
}

void TrafficThread::Main()
{
  callerServer_->Start();
  forwardServer_->Start();
  for (const auto& desk : desks_) {
    desk->Start();
  }
  runtime::SpawnFiber([this] {
    Message message;
    while (inbox_.Pop(message)) {
      if (const auto* report = std::get_if<model::BackendReport>(&message)) {
        (void)owner_.Report(*report);
      } else if (const auto* known = std::get_if<DeparturesKnown>(&message)) {
        owner_.RestoreDepartures(known->records_, known->longestMemory_);
      } else if (const auto* question = std::get_if<QuarantineQuestion>(&message)) {
        question->reader_(owner_.QuarantineRecords());
      } else if (const auto* answer = std::get_if<AllowanceAnswer>(&message)) {
        entry_.TakeGrant(answer->lender_, answer->grant_);
      } else {
        owner_.MergeQuarantine(std::get<std::vector<decisions::QuarantineRecord>>(message));
      }
    }
  });
  const auto count = [this] {
    const std::size_t total = callerServer_->InProgress() + forwardServer_->InProgress();
    inProgress_ = total;
    metrics_.Set(runtime::Gauge::RequestsInProgress, total);
    return total;
  };
  while (!stopping_) {
    const auto wake =
      std::chrono::steady_clock::now() + (count() > 0 ? kCountInterval : kIdleInterval);
    boost::this_fiber::sleep_until(wake);
    NoteDelay(std::chrono::steady_clock::now() - wake);
    ApplyCallerLimits();
    owner_.Tick();
    entry_.Tick();
  }
  callerServer_->Stop();
  forwardServer_->Stop();
  for (const auto& desk : desks_) {
    desk->Stop();
  }
  const auto limit = std::chrono::steady_clock::now() + stopLimit_;
  while (count() > 0 && std::chrono::steady_clock::now() < limit) {
    boost::this_fiber::sleep_for(kCountInterval);
  }
  inbox_.Close();
  entry_.Stop();
}

} // namespace hemlockproxy::daemon
