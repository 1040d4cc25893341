#pragma once

#include "hemlockproxy/daemon/ControlTransport.h"
#include "hemlockproxy/decisions/DepartureBook.h"
#include "hemlockproxy/model/Member.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hemlockproxy::daemon::impl {

/// Keeps at peers what must outlive this process, and the same for them: which backend servers have
/// left. Used on the control thread. docs/design/departures.md gives the reasons.
class PeerMemory
{
public:
  using Members = std::vector<std::shared_ptr<const model::MemberRecord>>;
  /// Receives what a peer knows of this daemon's departures; the last call of a round says that
  /// peers have told all they know, and for how long one of them has been keeping departures.
  /// Returns false when it is busy; must not block.
  using OnDepartures = std::function<bool(std::vector<decisions::DepartureRecord>,
                                          std::optional<std::chrono::milliseconds> aLongestMemory)>;

  /// The transport must outlive the object. Departures are kept from aStart on.
  PeerMemory(ControlTransport& aTransport,
             model::DaemonId aSelf,
             model::FailureDomain aDomain,
             model::TimePoint aStart,
             std::function<Members()> aMembers,
             OnDepartures aOnDepartures);

  /// Tells peers that a backend server of this daemon has left; calls aDone once each of them has
  /// answered or could not be reached.
  void Tell(decisions::DepartureRecord aDeparture, std::function<void()> aDone);
  /// Handles a report or question of a peer; nothing when it is malformed.
  [[nodiscard]] std::optional<std::string> HandleCall(const std::string& aBody);
  /// Asks peers after the start, until one has answered that kept departures while the reports that
  /// arrive now were sent. Each is asked until it has answered.
  void Tick(model::TimePoint aNow);

private:
  struct Round
  {
    std::size_t open_ = 0;
    std::set<model::Address> answered_;
  };

  [[nodiscard]] std::vector<model::Address> Holders(std::size_t aOwn, std::size_t aOther) const;
  void CallAll(const std::vector<model::Address>& aPeers,
               const decisions::DepartureReport& aReport,
               const std::function<void(const decisions::DepartureReport&)>& aOnAnswer,
               const std::function<void(const std::set<model::Address>& aAnswered)>& aOnEnd);

  ControlTransport& transport_;
  model::DaemonId self_;
  model::FailureDomain domain_;
  model::TimePoint start_;
  std::function<Members()> members_;
  OnDepartures onDepartures_;
  decisions::DepartureBook book_;
  /// Peers that have told what they know.
  std::set<model::Address> heard_;
  std::chrono::milliseconds longestMemory_{ 0 };
  /// Records that could not be handed over; the round does not count then.
  bool lost_ = false;
  std::chrono::milliseconds longestMemoryOfRound_{ 0 };
  bool asking_ = false;
  model::TimePoint nextAsk_{};
};

} // namespace hemlockproxy::daemon::impl
