#pragma once

#include "hemlockproxy/daemon/PlatformThread.h"
#include "hemlockproxy/model/Address.h"
#include "hemlockproxy/model/Clock.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace hemlockproxy::daemon {

/// Keeps this daemon's control address in the log's `members` stream and finds other addresses
/// there, so that daemons meet when no seed is alive. Used on the control thread.
///
/// The number of calls does not depend on the size of the fleet: after it has put its address, a
/// daemon reads the addresses that were put just before. Of two daemons that start, the later one
/// finds the earlier one; membership spreads the rest. Where these are too old, a daemon reads one
/// page of all addresses at a time, and rarer the longer it stays alone.
class MemberStream
{
public:
  MemberStream(LogTicket aReadTicket, LogTicket aPutTicket, model::Address aOwn);

  /// Asks for another read, for example while no peer is known.
  void Refresh() noexcept { wantsRead_ = true; }
  /// A peer is known: a read that has not begun is not needed.
  void PeerKnown() noexcept;
  /// A higher epoch of the log is known. An address that was put in an earlier one may be missing
  /// and is put again, after a random delay that keeps the daemons of a fleet from writing at the
  /// same moment.
  void RaiseEpoch(model::LogEpoch aEpoch, model::TimePoint aNow, model::RandomSource& aRandom);
  /// Returns the operation that is due, if any; at most one is in flight.
  [[nodiscard]] std::optional<LogCommand> Next(model::TimePoint aNow);
  void NotSubmitted() noexcept { inFlight_ = false; }

  /// Takes in the result of a read; returns the addresses found.
  [[nodiscard]] std::vector<model::Address> Finish(
    const model::Result<runtime::LogBatch, runtime::LogError>& aResult,
    model::TimePoint aNow,
    model::RandomSource& aRandom);
  /// Takes in the result of putting the own address.
  void Finish(const model::Result<runtime::LogPosition, runtime::LogError>& aResult,
              model::TimePoint aNow,
              model::RandomSource& aRandom);

private:
  [[nodiscard]] std::vector<model::Address> OthersIn(const runtime::LogBatch& aBatch) const;

  LogTicket readTicket_;
  LogTicket putTicket_;
  model::Address own_;
  bool wantsRead_ = true;
  bool wantsPut_ = true;
  bool inFlight_ = false;
  /// Where the next read of records begins; pages of all addresses are read without it.
  std::optional<model::LogOffset> from_;
  /// The key after which the next page begins.
  std::string pageAfter_;
  std::chrono::milliseconds readInterval_;
  model::TimePoint readNotBefore_{};
  model::TimePoint putNotBefore_{};
  /// The highest epoch of the log that is known.
  model::LogEpoch epoch_;
  /// The epoch in which the own address was put last.
  std::optional<model::LogEpoch> putIn_;
};

} // namespace hemlockproxy::daemon
