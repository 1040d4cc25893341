#include "hemlockproxy/testing/ClaimComparison.h"

#include "hemlockproxy/decisions/KeyedRequests.h"

#include <algorithm>
#include <map>

namespace hemlockproxy::testing {

using namespace std::chrono_literals;
using model::AttemptId;
using model::RequestOutcome;

namespace {

/// The share of requests that a per-request fault strikes.
constexpr double kFaultShare = 0.05;
/// The share of callers whose link loses the response, and who repeat the key 1 to 3 s later.
constexpr double kLateRepeatShare = 0.1;
constexpr double kRefusalShare = 0.03;
constexpr std::uint32_t kCallerTries = 3;
constexpr auto kCallerDelay = 1ms;
constexpr auto kRunTime = 5ms;
constexpr auto kCallTimeout = 500ms;
constexpr auto kForwardTimeout = 1000ms;
constexpr auto kRestartTime = 500ms;
constexpr auto kSettleTime = 20s;

struct Caller
{
  model::Digest key_;
  std::uint32_t tries_ = 0;
  std::uint32_t runs_ = 0;
  bool lateRepeat_ = false;
  RequestOutcome last_ = RequestOutcome::Unknown;
};

struct Attempt
{
  std::size_t caller_ = 0;
  std::size_t entry_ = 0;
  model::TimePoint arrived_;
  bool forwarded_ = false;
  bool ran_ = false;
  bool ended_ = false;
};

/// Callers, entries and owners of one run of a scenario with a strategy.
class Run
{
public:
  Run(const ClaimScenario& aScenario, const std::string& aStrategy, std::uint64_t aSeed)
    : scenario_(aScenario)
    , simulator_(aSeed)
    , strategy_(MakeClaimStrategy(aStrategy, simulator_))
    , entries_(ClaimSimulator::kDaemons)
  {
    simulator_.onStop_ = [this](std::size_t aDaemon) { Stop(aDaemon); };
  }

  ClaimFigures Drive(const ClaimLoad& aLoad)
  {
    simulator_.appendTime_ = aLoad.appendTime_;
    const model::TimePoint start = simulator_.Now();
    const auto micros = static_cast<std::size_t>(std::chrono::microseconds(aLoad.time_).count());
    callers_.resize(static_cast<std::size_t>(aLoad.callersPerSecond_ * aLoad.time_.count()));
    for (std::size_t i = 0; i < callers_.size(); ++i) {
      callers_[i].key_ = model::HashBytes(std::to_string(i));
      callers_[i].lateRepeat_ = simulator_.Chance(kLateRepeatShare);
      simulator_.After(std::chrono::microseconds(simulator_.Below(micros)), [this, i] { Try(i); });
    }
    simulator_.After(aLoad.time_ / 3, [this] { scenario_.begin_(simulator_); });
    simulator_.After(2 * aLoad.time_ / 3, [this] { scenario_.end_(simulator_); });
    simulator_.RunUntil(start + aLoad.time_);
    const auto appends = static_cast<double>(simulator_.appends_);
    simulator_.RunUntil(start + aLoad.time_ + kSettleTime);
    ClaimFigures figures = Outcomes();
    figures.appendsPerSecond_ = appends / static_cast<double>(aLoad.time_.count());
    return figures;
  }

private:
  [[nodiscard]] ClaimFigures Outcomes()
  {
    ClaimFigures figures;
    const double percent = 100.0 / static_cast<double>(callers_.size());
    for (const Caller& caller : callers_) {
      figures.runsAboveOne_ += caller.runs_ > 1 ? caller.runs_ - 1 : 0;
      if (caller.last_ == RequestOutcome::NotRun) {
        figures.notRunPercent_ += percent;
        figures.notRunAfterRun_ += caller.runs_ > 0 ? 1 : 0;
      } else if (caller.last_ == RequestOutcome::Unknown) {
        figures.unknownPercent_ += percent;
      }
    }
    figures.falseNotRun_ = falseNotRun_;
    std::ranges::sort(latencies_);
    figures.claimP50_ = latencies_.at((latencies_.size() - 1) * 50 / 100);
    figures.claimP99_ = latencies_.at((latencies_.size() - 1) * 99 / 100);
    return figures;
  }

  struct Entry
  {
    decisions::KeyedRequests state_;
    model::TimePoint tickAt_ = model::TimePoint::max();
  };

  void Try(std::size_t aCaller)
  {
    ++callers_[aCaller].tries_;
    const AttemptId id{ 0, ++attemptCount_ };
    std::size_t entry = simulator_.Below(ClaimSimulator::kDaemons);
    while (!simulator_.daemons_[entry].alive_) {
      entry = (entry + 1) % ClaimSimulator::kDaemons;
    }
    attempts_[id] = { aCaller, entry, simulator_.Now() + kCallerDelay };
    simulator_.After(kCallerDelay, [this, id, entry, aCaller] {
      if (simulator_.daemons_[entry].alive_) {
        const model::Digest& key = callers_[aCaller].key_;
        Tell(entry, decisions::KeyedArrived{ key, key, id, simulator_.Now() + 15s });
      } else {
        End(id, RequestOutcome::Unknown);
      }
    });
  }

  /// The caller learns an outcome; Unknown stands for a connection reset too.
  void End(const AttemptId& aId, RequestOutcome aOutcome)
  {
    Attempt& attempt = attempts_[aId];
    if (std::exchange(attempt.ended_, true)) {
      return;
    }
    falseNotRun_ += aOutcome == RequestOutcome::NotRun && attempt.ran_ ? 1 : 0;
    Caller& caller = callers_[attempt.caller_];
    caller.last_ = aOutcome;
    const bool lost =
      aOutcome == RequestOutcome::Answered && std::exchange(caller.lateRepeat_, false);
    if (lost) {
      caller.last_ = RequestOutcome::Unknown;
      simulator_.After(1s + simulator_.Below(2000) * 1ms, [this, i = attempt.caller_] { Try(i); });
    } else if (aOutcome != RequestOutcome::Answered && caller.tries_ < kCallerTries) {
      simulator_.After(200ms, [this, i = attempt.caller_] { Try(i); });
    }
  }

  void Stop(std::size_t aDaemon)
  {
    strategy_->Forget(aDaemon);
    entries_[aDaemon] = Entry();
    for (const auto& [id, attempt] : attempts_) {
      if (attempt.entry_ == aDaemon && !attempt.ended_) {
        simulator_.After(kCallerDelay, [this, id = id] { End(id, RequestOutcome::Unknown); });
      }
    }
  }

  void Tell(std::size_t aDaemon, const decisions::KeyedEvent& aEvent)
  {
    Entry& entry = entries_[aDaemon];
    for (const auto& action : entry.state_.Handle(aEvent, simulator_.Now())) {
      std::visit([&](const auto& aOne) { Do(aDaemon, aOne); }, action);
    }
    const model::TimePoint next = entry.state_.NextTick();
    if (next != model::TimePoint::max() &&
        (next < entry.tickAt_ || entry.tickAt_ <= simulator_.Now())) {
      entry.tickAt_ = next;
      simulator_.At(aDaemon,
                    std::max(next - simulator_.Now(), model::Duration(1)),
                    [this, aDaemon] { Tell(aDaemon, decisions::KeyedTick{}); });
    }
  }
  /// Tells the entry the first of a reply and a time-out.
  auto Once(std::size_t aDaemon, model::Duration aTimeout, const decisions::KeyedEvent& aFailure)
  {
    auto open = std::make_shared<bool>(true);
    auto tell = [this, aDaemon, open, life = simulator_.daemons_[aDaemon].incarnation_](
                  const decisions::KeyedEvent& aEvent) {
      if (std::exchange(*open, false) && simulator_.daemons_[aDaemon].incarnation_ == life) {
        Tell(aDaemon, aEvent);
      }
    };
    simulator_.At(aDaemon, aTimeout, [tell, failure = aFailure] { tell(failure); });
    return tell;
  }

  void Do(std::size_t aDaemon, const decisions::SendClaim& aAction)
  {
    const AttemptId id = aAction.entry_.attempt_;
    auto tell = Once(aDaemon, kCallTimeout, decisions::ClaimCallFailed{ id });
    // The reply is an event of its own, because Tell must not be entered from within itself.
    strategy_->Claim(
      aDaemon, aAction.entry_, aAction.try_, aAction.deadline_, [=, this](auto aAnswer) {
        simulator_.After({}, [=] { tell(decisions::ClaimAnswered{ id, aAnswer }); });
      });
  }
  void Do(std::size_t aDaemon, const decisions::SendRelease& aAction)
  {
    const AttemptId id = aAction.entry_.attempt_;
    auto tell = Once(aDaemon, 4 * kCallTimeout, decisions::ReleaseAnswered{ id, false });
    strategy_->Release(aDaemon, aAction.entry_, aAction.deadline_, [=, this](bool aRecorded) {
      simulator_.After({}, [=] { tell(decisions::ReleaseAnswered{ id, aRecorded }); });
    });
  }
  void Do(std::size_t aDaemon, const decisions::ForwardRequest& aAction)
  {
    const AttemptId id = aAction.attempt_;
    Attempt& attempt = attempts_[id];
    if (!std::exchange(attempt.forwarded_, true)) {
      latencies_.push_back(simulator_.Now() - attempt.arrived_);
    }
    auto tell = Once(aDaemon, kForwardTimeout, Ended(id, RequestOutcome::Unknown));
    const std::size_t owner =
      (aDaemon + ClaimSimulator::kDomains * (1 + simulator_.Below(3))) % ClaimSimulator::kDaemons;
    simulator_.Send(aDaemon, owner, [this, id, aDaemon, owner, tell] {
      Own(id, aDaemon, owner, [this, aDaemon, owner, tell](const decisions::KeyedEvent& aEvent) {
        simulator_.Send(owner, aDaemon, [tell, aEvent] { tell(aEvent); });
      });
    });
  }
  template <typename Reply>
  void Own(const AttemptId& aId, std::size_t aEntry, std::size_t aOwner, Reply aReply)
  {
    const bool struck = simulator_.Chance(kFaultShare);
    const RequestFault fault = struck ? scenario_.request_ : RequestFault::None;
    if (fault == RequestFault::OwnerBefore) {
      simulator_.Restart(aOwner, kRestartTime);
      return;
    }
    if (simulator_.Chance(kRefusalShare)) {
      aReply(Ended(aId, RequestOutcome::NotRun));
      return;
    }
    Attempt& attempt = attempts_[aId];
    attempt.ran_ = true;
    ++callers_[attempt.caller_].runs_;
    falseNotRun_ += attempt.ended_ && callers_[attempt.caller_].last_ == RequestOutcome::NotRun;
    if (fault == RequestFault::OwnerDuring) {
      simulator_.Restart(aOwner, kRestartTime);
    } else if (fault == RequestFault::EntryKilled) {
      simulator_.Restart(aEntry, kRestartTime);
    }
    simulator_.At(aOwner, kRunTime, [this, aId, aOwner, fault, aReply] {
      if (fault == RequestFault::OwnerAfter) {
        simulator_.Restart(aOwner, kRestartTime);
      } else if (fault != RequestFault::ResponseLost) {
        aReply(Ended(aId, RequestOutcome::Answered));
      }
    });
  }
  static decisions::ForwardEnded Ended(const AttemptId& aId, RequestOutcome aOutcome)
  {
    return { aId, aOutcome, model::RefusalReason::UpstreamFailed, true, 1000 };
  }
  void Do(std::size_t, const decisions::RefuseRequest& aAction)
  {
    simulator_.After(kCallerDelay, [=, this] { End(aAction.attempt_, aAction.outcome_); });
  }
  void Do(std::size_t, const decisions::ReplayResponse& aAction)
  {
    simulator_.After(kCallerDelay, [=, this] { End(aAction.attempt_, RequestOutcome::Answered); });
  }
  void Do(std::size_t, const decisions::StoreResponse& aAction)
  {
    // Every response of this bench can be stored, so this marks the end of an answered request.
    simulator_.After(kCallerDelay, [=, this] { End(aAction.attempt_, RequestOutcome::Answered); });
  }
  void Do(std::size_t, const decisions::DropResponse&) {}

  const ClaimScenario& scenario_;
  ClaimSimulator simulator_;
  std::unique_ptr<ClaimStrategy> strategy_;
  std::vector<Entry> entries_;
  std::vector<Caller> callers_;
  std::map<AttemptId, Attempt> attempts_;
  std::uint64_t attemptCount_ = 0;
  std::size_t falseNotRun_ = 0;
  std::vector<model::Duration> latencies_;
};

} // namespace

const std::vector<ClaimScenario>& ClaimScenarios()
{
  static const std::vector<ClaimScenario> scenarios{
    { "none" },
    { "owner-killed-before", RequestFault::OwnerBefore },
    { "owner-killed-during", RequestFault::OwnerDuring },
    { "owner-killed-after", RequestFault::OwnerAfter },
    { "response-lost", RequestFault::ResponseLost },
    { "entry-killed", RequestFault::EntryKilled },
    { "append-response-lost",
      RequestFault::None,
      [](ClaimSimulator& aSimulator) { aSimulator.appendResponseLoss_ = kFaultShare; },
      [](ClaimSimulator& aSimulator) { aSimulator.appendResponseLoss_ = 0; } },
    { "domain-cut",
      RequestFault::None,
      [](ClaimSimulator& aSimulator) { aSimulator.domainCut_[0] = true; },
      [](ClaimSimulator& aSimulator) { aSimulator.domainCut_[0] = false; } },
    { "domain-and-log-cut",
      RequestFault::None,
      [](ClaimSimulator& aSimulator) { aSimulator.domainCut_[0] = aSimulator.logCut_[0] = true; },
      [](ClaimSimulator& aSimulator) {
        aSimulator.domainCut_[0] = aSimulator.logCut_[0] = false;
      } },
    { "log-unavailable",
      RequestFault::None,
      [](ClaimSimulator& aSimulator) { aSimulator.logDown_ = true; },
      [](ClaimSimulator& aSimulator) { aSimulator.logDown_ = false; } },
    { "domain-restart",
      RequestFault::None,
      [](ClaimSimulator& aSimulator) {
        for (std::size_t i = 0; i < ClaimSimulator::kDaemons; i += ClaimSimulator::kDomains) {
          aSimulator.Restart(i, 2 * kRestartTime);
        }
      } },
  };
  return scenarios;
}

ClaimFigures CompareClaims(const std::string& aStrategy,
                           const ClaimScenario& aScenario,
                           const ClaimLoad& aLoad,
                           std::uint64_t aSeed)
{
  return Run(aScenario, aStrategy, aSeed).Drive(aLoad);
}

} // namespace hemlockproxy::testing
