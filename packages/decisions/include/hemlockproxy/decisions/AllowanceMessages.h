#pragma once

#include "hemlockproxy/model/Clock.h"
#include "hemlockproxy/model/Ids.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace hemlockproxy::decisions {

/// The two places at which shares of allowances are lent.
enum class AllowanceLevel : std::uint8_t
{
  /// One lender for each failure domain; the daemons of the domain borrow.
  Domain = 1,
  /// One lender for all failure domains; the lenders of the domains borrow.
  Root = 2,
};

/// The time at which a process sent a message, by its own clock. The receiver sends it back, so
/// that the first process measures an expiry from a time that is certainly before the receipt.
struct AllowanceStamp
{
  /// Drawn at random when a process starts; 0 stands for no message. It is the fencing number:
  /// what was told to an earlier process under the same address does not hold for its successor.
  std::uint64_t epoch_ = 0;
  /// Milliseconds of the process' own steady clock.
  std::uint64_t time_ = 0;

  friend bool operator==(const AllowanceStamp&, const AllowanceStamp&) = default;
};

/// What a borrower needs for one customer.
struct AllowanceDemand
{
  model::CustomerName customer_;
  /// Requests per second that it expects.
  double perSecond_ = 0;
  /// Requests that wait for a token now.
  std::uint32_t tokens_ = 0;

  friend bool operator==(const AllowanceDemand&, const AllowanceDemand&) = default;
};

/// What a lender lends for one customer.
struct AllowanceLoan
{
  model::CustomerName customer_;
  /// The part of the customer's allowance, from 0 to 1.
  double share_ = 0;
  /// Whole requests.
  std::uint32_t tokens_ = 0;
  /// The lender had fewer whole requests than were asked for.
  bool exhausted_ = false;

  friend bool operator==(const AllowanceLoan&, const AllowanceLoan&) = default;
};

/// A borrower's message to its lender.
struct AllowanceAsk
{
  AllowanceLevel level_ = AllowanceLevel::Domain;
  AllowanceStamp stamp_;
  /// The newest stamp that the borrower has from this lender.
  AllowanceStamp echo_;
  /// The part of every allowance that the borrower makes over to the lender, for the pledge's term
  /// from the echoed stamp on.
  double pledge_ = 0;
  std::vector<AllowanceDemand> demands_;

  friend bool operator==(const AllowanceAsk&, const AllowanceAsk&) = default;
};

/// A lender's answer, with a loan for each demand.
struct AllowanceGrant
{
  AllowanceLevel level_ = AllowanceLevel::Domain;
  AllowanceStamp stamp_;
  /// The stamp of the ask.
  AllowanceStamp echo_;
  std::vector<AllowanceLoan> loans_;

  friend bool operator==(const AllowanceGrant&, const AllowanceGrant&) = default;
};

/// How long pledges and loans hold: domain pledge > root pledge > root loan > domain loan, since
/// each must end before what stands behind it. With an exchange every kAllowanceInterval, each step
/// has time left for the loss of one exchange.
struct AllowanceTerms
{
  std::chrono::milliseconds pledge_;
  std::chrono::milliseconds loan_;
};

inline constexpr std::chrono::milliseconds kAllowanceInterval{ 400 };
inline constexpr AllowanceTerms kDomainTerms{ std::chrono::milliseconds(4600),
                                              std::chrono::milliseconds(900) };
inline constexpr AllowanceTerms kRootTerms{ std::chrono::milliseconds(3000),
                                            std::chrono::milliseconds(1800) };
/// How long a whole request that was lent may be used.
inline constexpr std::chrono::milliseconds kAllowanceTokenTerm{ 120 };

[[nodiscard]] constexpr const AllowanceTerms& TermsOf(AllowanceLevel aLevel) noexcept
{
  return aLevel == AllowanceLevel::Domain ? kDomainTerms : kRootTerms;
}

} // namespace hemlockproxy::decisions
