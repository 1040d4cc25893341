#pragma once

#include "hemlockproxy/decisions/AllowanceAccount.h"
#include "hemlockproxy/decisions/AllowanceBorrower.h"
#include "hemlockproxy/decisions/AllowanceMessages.h"
#include "hemlockproxy/model/Clock.h"
#include "hemlockproxy/model/Customer.h"

#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

namespace hemlockproxy::decisions {

/// The part of its pool that the lender of a failure domain makes over to the root lender. The rest
/// serves the domain while no root lender answers.
inline constexpr double kRootPart = 0.5;
/// Bounds the state of a lender and the work of an ask.
inline constexpr std::size_t kMostBorrowers = 512;

/// Divides what its borrowers have made over to it among them, by demand. The same code serves both
/// levels; that of a failure domain is itself a borrower of the root lender. It lends only what is
/// made over to it, so that two lenders at once divide different parts of the allowance.
class AllowanceLender
{
public:
  /// aEpoch is random and not 0.
  AllowanceLender(AllowanceLevel aLevel, std::uint64_t aEpoch, model::TimePoint aStart) noexcept;

  void Configure(model::TimePoint aNow, const model::CustomerListPtr& aCustomers);
  /// Takes in an ask and returns what is lent.
  [[nodiscard]] AllowanceGrant Answer(model::TimePoint aNow,
                                      const model::DaemonId& aBorrower,
                                      const AllowanceAsk& aAsk);

  /// Returns whether the lender of a domain has to ask the root lender.
  [[nodiscard]] bool AskDue(model::TimePoint aNow) const noexcept;
  [[nodiscard]] AllowanceAsk Ask(model::TimePoint aNow, const model::DaemonId& aRoot);
  void Take(model::TimePoint aNow, const model::DaemonId& aRoot, const AllowanceGrant& aGrant);

  /// Returns the part of every allowance that is made over to this lender.
  [[nodiscard]] double Pool(model::TimePoint aUntil) const noexcept;
  /// Returns the requests per second that are lent for a customer.
  [[nodiscard]] double LentPerSecond(const model::CustomerName& aCustomer) const;

private:
  struct Held
  {
    double share_ = 0;
    model::TimePoint until_;
  };
  /// What one borrower has of one customer.
  struct Lease
  {
    /// Unexpired loans with falling shares; the borrower may still use the greatest.
    std::deque<Held> loans_;
    double demand_ = 0;
    /// The ends of loans that are still in Line::ends_.
    std::size_t pending_ = 0;
  };
  struct Line
  {
    AllowanceRule rule_;
    AllowanceAccount bucket_;
    std::unordered_map<model::DaemonId, Lease> leases_;
    /// In the order of time, since all loans last equally long.
    std::deque<std::pair<model::TimePoint, model::DaemonId>> ends_;
    double lent_ = 0;
    double demand_ = 0;
    bool listed_ = false;
  };

  static void Expire(model::TimePoint aNow, Line& aLine);
  /// Returns the share that is there for a customer until a time, lent parts included.
  [[nodiscard]] double Share(model::TimePoint aNow,
                             const model::CustomerName& aCustomer,
                             model::TimePoint aUntil) const;
  void Advance(model::TimePoint aNow, const model::CustomerName& aCustomer, Line& aLine);
  void AdvanceAll(model::TimePoint aNow);
  void TakePledge(model::TimePoint aNow,
                  const model::DaemonId& aBorrower,
                  const AllowanceAsk& aAsk);
  [[nodiscard]] double Lend(model::TimePoint aNow,
                            const model::DaemonId& aBorrower,
                            const AllowanceDemand& aDemand,
                            Line& aLine);

  AllowanceLevel level_;
  std::uint64_t epoch_;
  std::map<model::DaemonId, Held> pledges_;
  std::unordered_map<model::CustomerName, Line> lines_;
  /// Customers with leases.
  std::vector<model::CustomerName> active_;
  model::CustomerListPtr customers_;
  AllowanceBorrower borrower_;
  /// Whether the root's part of the pool is kept for it, and since when.
  bool reserved_ = false;
  model::TimePoint reservedSince_{};
  model::TimePoint rootHeard_{};
  model::TimePoint nextAsk_{};
};

} // namespace hemlockproxy::decisions
