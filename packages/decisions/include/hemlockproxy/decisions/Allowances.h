#pragma once

#include "hemlockproxy/decisions/AllowanceAccount.h"
#include "hemlockproxy/decisions/AllowanceBorrower.h"
#include "hemlockproxy/decisions/AllowanceMessages.h"
#include "hemlockproxy/model/Clock.h"
#include "hemlockproxy/model/Customer.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace hemlockproxy::decisions {

/// The part of a daemon's equal share that it never makes over. It is part of the slack of the
/// bound, so that all that is lent together is still the whole allowance.
inline constexpr double kGuaranteedShare = 0.02;
/// The part of a daemon's equal share that it uses when it has heard from no lender for the
/// pledge's term. It is not all of it: the others may take this daemon for lost and divide by a
/// smaller number.
inline constexpr double kAloneShare = 0.5;

/// Whether a request of a customer may run now.
struct AllowanceVerdict
{
  bool admitted_ = false;
  /// The time until a token is expected.
  model::Duration wait_{};
  /// Whether the lender may have a token, so that asking it at once is worthwhile.
  bool askable_ = false;
};

/// What one daemon did with one customer's allowance.
struct AllowanceFigures
{
  double ratePerSecond_ = 0;
  /// The share that is lent to this daemon, in requests per second.
  double lentPerSecond_ = 0;
  std::uint64_t used_ = 0;
  std::uint64_t refused_ = 0;
};

/// Admits or refuses the requests of customers at one entry. Responds to the demand of each
/// customer at this daemon: the lender lends a part of the allowance for what is expected, and
/// whole requests where that part is too small for a bucket of its own. No work depends on the
/// number of customers, except when the configuration changes.
class Allowances
{
public:
  /// aEpoch is random and not 0.
  Allowances(std::uint64_t aEpoch, model::TimePoint aStart) noexcept;

  /// Takes in the customers of the configuration in force; null where there are none.
  void Configure(model::TimePoint aNow, const model::CustomerListPtr& aCustomers);
  /// Takes in the number of daemons known, this one included, dead ones of late too.
  void SetDaemons(model::TimePoint aNow, std::size_t aCount);
  /// Returns whether any customer has an allowance.
  [[nodiscard]] bool Active() const noexcept { return !accounts_.empty(); }

  /// Counts a request and decides on it. aAgain says that it was counted before.
  [[nodiscard]] AllowanceVerdict Admit(model::TimePoint aNow,
                                       const model::CustomerName& aCustomer,
                                       bool aAgain = false);
  /// Counts a refusal for good.
  void Refuse(const model::CustomerName& aCustomer);

  /// Returns whether an ask is due: every kAllowanceInterval, and at once for requests that wait.
  [[nodiscard]] bool AskDue(model::TimePoint aNow) const noexcept;
  [[nodiscard]] AllowanceAsk Ask(model::TimePoint aNow, const model::DaemonId& aLender);
  void Take(model::TimePoint aNow, const model::DaemonId& aLender, const AllowanceGrant& aGrant);

  [[nodiscard]] std::map<model::CustomerName, AllowanceFigures> Figures(
    model::TimePoint aNow) const;

private:
  struct Account
  {
    AllowanceRule rule_;
    AllowanceAccount bucket_;
    AllowanceFigures figures_;
    /// Requests since demandSince_, and the smoothed rate before that.
    double arrivals_ = 0;
    double demand_ = 0;
    model::TimePoint demandSince_{};
    std::uint32_t waiting_ = 0;
    /// No request asks at once before this time: the lender had none.
    model::TimePoint quietUntil_{};
    bool listed_ = false;
  };

  [[nodiscard]] double Share(model::TimePoint aNow, const model::CustomerName& aCustomer) const;
  /// Fills all buckets up to now, before something changes that all shares depend on.
  void AdvanceAll(model::TimePoint aNow);
  [[nodiscard]] std::vector<AllowanceDemand> Demands(model::TimePoint aNow);

  std::uint64_t epoch_;
  AllowanceBorrower borrower_;
  model::CustomerListPtr customers_;
  std::unordered_map<model::CustomerName, Account> accounts_;
  /// Customers with demand of late.
  std::vector<model::CustomerName> active_;
  std::size_t daemons_ = 0;
  model::TimePoint fewerSince_{};
  model::TimePoint nextAsk_{};
  model::TimePoint nextUrgent_{};
  bool urgent_ = false;
};

} // namespace hemlockproxy::decisions
