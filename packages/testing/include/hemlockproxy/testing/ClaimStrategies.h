#pragma once

#include "hemlockproxy/model/Claim.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace hemlockproxy::testing {

/// Daemons in failure domains, their links and a log, in virtual time. Used to compare ways of
/// holding claims over the same faults.
class ClaimSimulator
{
public:
  static constexpr std::size_t kDomains = 4;
  static constexpr std::size_t kDaemons = 16;
  static constexpr std::chrono::microseconds kLocalDelay{ 250 };
  static constexpr std::chrono::microseconds kRemoteDelay{ 4000 };

  struct Daemon
  {
    bool alive_ = true;
    std::uint64_t incarnation_ = 1;
  };

  explicit ClaimSimulator(std::uint64_t aSeed)
    : random_(aSeed)
  {
  }

  [[nodiscard]] model::TimePoint Now() const { return now_; }
  [[nodiscard]] static std::size_t DomainOf(std::size_t aDaemon) { return aDaemon % kDomains; }
  [[nodiscard]] bool Reachable(std::size_t aOne, std::size_t aOther) const
  {
    return DomainOf(aOne) == DomainOf(aOther) ||
           (!domainCut_[DomainOf(aOne)] && !domainCut_[DomainOf(aOther)]);
  }
  [[nodiscard]] bool LogReachable(std::size_t aDaemon) const
  {
    return !logDown_ && !logCut_[DomainOf(aDaemon)];
  }
  [[nodiscard]] bool Chance(double aShare) { return std::bernoulli_distribution(aShare)(random_); }
  [[nodiscard]] std::size_t Below(std::size_t aBound)
  {
    return std::uniform_int_distribution<std::size_t>(0, aBound - 1)(random_);
  }
  [[nodiscard]] static std::chrono::microseconds Delay(std::size_t aOne, std::size_t aOther)
  {
    if (aOne == aOther) {
      return std::chrono::microseconds(0);
    }
    return DomainOf(aOne) == DomainOf(aOther) ? kLocalDelay : kRemoteDelay;
  }

  void After(model::Duration aTime, std::function<void()> aEvent)
  {
    events_.push({ now_ + aTime, ++sequence_, std::move(aEvent) });
  }
  /// Runs an event at a daemon unless it has stopped by then.
  void At(std::size_t aDaemon, model::Duration aTime, std::function<void()> aEvent)
  {
    After(aTime, [this, aDaemon, life = daemons_[aDaemon].incarnation_, event = std::move(aEvent)] {
      if (daemons_[aDaemon].alive_ && daemons_[aDaemon].incarnation_ == life) {
        event();
      }
    });
  }
  /// Sends a message; it is lost when the receiver is down or cut off on arrival.
  void Send(std::size_t aFrom, std::size_t aTo, std::function<void()> aEvent)
  {
    After(Delay(aFrom, aTo), [this, aFrom, aTo, event = std::move(aEvent)] {
      if (daemons_[aTo].alive_ && Reachable(aFrom, aTo)) {
        event();
      }
    });
  }
  void RunUntil(model::TimePoint aEnd)
  {
    while (!events_.empty() && events_.top().at_ <= aEnd) {
      Event event = events_.top();
      events_.pop();
      now_ = event.at_;
      event.run_();
    }
    now_ = aEnd;
  }
  /// Stops a daemon; its memory is lost. onRestart_ runs when it is back.
  void Restart(std::size_t aDaemon, model::Duration aDown)
  {
    if (!daemons_[aDaemon].alive_) {
      return;
    }
    daemons_[aDaemon].alive_ = false;
    ++daemons_[aDaemon].incarnation_;
    onStop_(aDaemon);
    After(aDown, [this, aDaemon] { daemons_[aDaemon].alive_ = true; });
  }

  std::array<Daemon, kDaemons> daemons_;
  std::array<bool, kDomains> domainCut_{};
  std::array<bool, kDomains> logCut_{};
  bool logDown_ = false;
  double appendResponseLoss_ = 0;
  std::chrono::milliseconds appendTime_{ 2 };
  std::uint64_t appends_ = 0;
  std::function<void(std::size_t)> onStop_ = [](std::size_t) {};

private:
  struct Event
  {
    model::TimePoint at_;
    std::uint64_t sequence_ = 0;
    std::function<void()> run_;
    friend bool operator<(const Event& aLeft, const Event& aRight)
    {
      return std::tie(aLeft.at_, aLeft.sequence_) > std::tie(aRight.at_, aRight.sequence_);
    }
  };

  model::TimePoint now_{ std::chrono::seconds(1000) };
  std::uint64_t sequence_ = 0;
  std::priority_queue<Event> events_;
  model::RandomSource random_;
};

/// A way of holding claims.
class ClaimStrategy
{
public:
  using ClaimReply = std::function<void(model::ClaimAnswer)>;
  using ReleaseReply = std::function<void(bool)>;

  ClaimStrategy() = default;
  ClaimStrategy(const ClaimStrategy&) = delete;
  ClaimStrategy& operator=(const ClaimStrategy&) = delete;
  virtual ~ClaimStrategy() = default;

  /// Claims a key for an entry. The reply may never come.
  virtual void Claim(std::size_t aEntry,
                     const model::ClaimEntry& aClaim,
                     std::uint32_t aTry,
                     model::TimePoint aDeadline,
                     ClaimReply aReply) = 0;
  virtual void Release(std::size_t aEntry,
                       const model::ClaimEntry& aClaim,
                       model::TimePoint aDeadline,
                       ReleaseReply aReply) = 0;
  /// A daemon stopped and lost its memory.
  virtual void Forget(std::size_t aDaemon) = 0;
};

/// The names that MakeClaimStrategy takes: "entry-memory", "home-domain", "peers" and "log".
[[nodiscard]] const std::vector<std::string>& ClaimStrategyNames();

[[nodiscard]] std::unique_ptr<ClaimStrategy> MakeClaimStrategy(const std::string& aName,
                                                               ClaimSimulator& aSimulator);

} // namespace hemlockproxy::testing
