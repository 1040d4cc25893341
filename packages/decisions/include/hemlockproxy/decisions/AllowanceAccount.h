#pragma once

#include "hemlockproxy/model/Clock.h"
#include "hemlockproxy/model/Customer.h"

#include <chrono>
#include <cstdint>
#include <deque>

namespace hemlockproxy::decisions {

/// A customer's allowance as one window of the bound sees it.
struct AllowanceRule
{
  double ratePerSecond_ = 0;
  /// Requests that may be in stock at all daemons together beside the rate. The bound allows
  /// 1.1 times the burst and 0.5 s of the rate plus 20; what is left of it covers the guaranteed
  /// shares (kGuaranteedShare) and daemons that disagree on the number of members for a moment.
  double stock_ = 0;

  [[nodiscard]] static AllowanceRule Of(const model::Customer& aCustomer) noexcept
  {
    constexpr double kRateSeconds = 0.28;
    constexpr double kFixed = 14;
    return { aCustomer.ratePerSecond_,
             aCustomer.burst_ + kRateSeconds * aCustomer.ratePerSecond_ + kFixed };
  }

  friend bool operator==(const AllowanceRule&, const AllowanceRule&) = default;
};

/// A token bucket whose rate is a share of an allowance. The share that it fills with and the
/// tokens that it may hold follow what its owner has at the moment, so that the sums over all
/// owners stay within the rule.
class AllowanceAccount
{
public:
  /// Fills up to now with the lower of both shares that the owner had since the last call.
  void Advance(model::TimePoint aNow, const AllowanceRule& aRule, double aShare) noexcept;
  /// Takes up to this many whole tokens and returns their number.
  [[nodiscard]] std::uint32_t Take(std::uint32_t aMost) noexcept;
  /// Takes tokens for another owner, which may use them until the time given.
  [[nodiscard]] std::uint32_t TakeFor(std::uint32_t aMost, model::TimePoint aUntil);
  /// Adds tokens that another owner has lent.
  void Add(std::uint32_t aTokens, model::TimePoint aUntil);
  /// Returns the tokens that others may still use.
  [[nodiscard]] double LentTokens(model::TimePoint aNow) noexcept;
  /// Returns the time until the next token at this share; the longest time where there is none.
  [[nodiscard]] model::Duration Wait(const AllowanceRule& aRule, double aShare) const noexcept;

private:
  struct Lot
  {
    std::uint32_t tokens_ = 0;
    model::TimePoint until_;
  };

  double tokens_ = 0;
  double share_ = 0;
  model::TimePoint filled_{};
  /// Borrowed tokens; they do not count towards the account's own stock, but towards the lender's.
  std::deque<Lot> borrowed_;
  std::deque<Lot> lent_;
};

} // namespace hemlockproxy::decisions
