#pragma once

#include "hemlockproxy/decisions/AllowanceMessages.h"
#include "hemlockproxy/model/Clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace hemlockproxy::decisions {

/// A borrower's side of the exchange with its lender: what it has made over and what it has been
/// lent, with the times until which both hold.
class AllowanceBorrower
{
public:
  /// aEpoch is random and not 0. What an earlier process under this address made over holds until
  /// aStart and the pledge's term, so that nothing is made over or used before.
  AllowanceBorrower(AllowanceLevel aLevel, std::uint64_t aEpoch, model::TimePoint aStart) noexcept;

  /// Returns an ask that makes over up to this share. Only one process holds a pledge at a time.
  [[nodiscard]] AllowanceAsk Ask(model::TimePoint aNow,
                                 const model::DaemonId& aLender,
                                 double aShare,
                                 std::vector<AllowanceDemand> aDemands);
  /// Takes in the answer; returns false when it is not for this process or has expired.
  [[nodiscard]] bool Take(model::TimePoint aNow,
                          const model::DaemonId& aLender,
                          const AllowanceGrant& aGrant);

  /// Returns the share that is made over, which its owner must not use.
  [[nodiscard]] double Pledged(model::TimePoint aNow) const noexcept;
  /// Returns whether the share of the owner is known to be free of an earlier process' pledge.
  [[nodiscard]] bool Settled(model::TimePoint aNow) const noexcept { return aNow >= settled_; }
  /// Returns the share that is lent for a customer until the time given at least.
  [[nodiscard]] double Lent(const model::CustomerName& aCustomer, model::TimePoint aUntil) const;
  /// Returns the time by which an answer to this ask has expired.
  [[nodiscard]] model::TimePoint TokensUntil(const AllowanceGrant& aGrant) const noexcept;

private:
  struct Held
  {
    double share_ = 0;
    model::TimePoint until_;
  };

  AllowanceLevel level_;
  std::uint64_t epoch_;
  model::TimePoint settled_;
  /// The process that holds the pledge.
  std::uint64_t holder_ = 0;
  /// Unexpired pledges with falling shares: a later one that is smaller takes nothing back.
  std::deque<Held> pledges_;
  /// The newest stamp of the lender that is asked now.
  model::DaemonId lender_;
  AllowanceStamp heard_;
  std::map<model::CustomerName, Held> loans_;
};

/// Returns the time of a stamp of this process.
[[nodiscard]] model::TimePoint TimeOf(const AllowanceStamp& aStamp) noexcept;
/// Returns the stamp of a message that is sent now; its time is rounded down.
[[nodiscard]] AllowanceStamp StampOf(std::uint64_t aEpoch, model::TimePoint aNow) noexcept;

} // namespace hemlockproxy::decisions
