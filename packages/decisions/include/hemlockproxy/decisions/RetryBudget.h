#pragma once

#include "hemlockproxy/model/Clock.h"

#include <chrono>
#include <cstdint>
#include <memory>

namespace hemlockproxy::decisions {

/// Bounds the retries of a service at one entry.
class RetryBudget
{
public:
  virtual ~RetryBudget() = default;
  /// Counts a request that allows a share of a retry.
  virtual void CountRequest(model::TimePoint aNow) noexcept = 0;
  /// Takes the place of one retry; returns false if the budget is used up.
  [[nodiscard]] virtual bool TakeRetry(model::TimePoint aNow) noexcept = 0;
  /// Returns how many retries TakeRetry would allow now.
  [[nodiscard]] virtual double Left(model::TimePoint aNow) noexcept = 0;
  /// Sets the retries that are allowed beside the share of the requests, where the budget has such
  /// an allowance.
  virtual void SetExtra(double aExtra) noexcept;
};

/// A token bucket filled by requests: aPercent retries for each 100 requests, and at most aBurst
/// saved up. It starts with one token, so that a service with few requests can retry at all.
[[nodiscard]] std::unique_ptr<RetryBudget> MakePercentBudget(double aPercent, double aBurst);
/// What all daemons together may send to a service beyond the first attempts.
struct SharedRetryLimit
{
  /// Retries in each window as a share of the requests in it.
  double share_ = 0;
  std::chrono::milliseconds window_{ 10000 };
  /// Retries in each window beside the share.
  std::uint32_t extra_ = 0;

  friend bool operator==(const SharedRetryLimit&, const SharedRetryLimit&) = default;
};

/// Counts requests and retries in a sliding window, so that the retries of any window stay within
/// the share of one daemon: its own requests, and a part of the extra that SetExtra sets.
[[nodiscard]] std::unique_ptr<RetryBudget> MakeWindowBudget(double aShare,
                                                            std::chrono::milliseconds aWindow);
/// Allows every retry; a baseline.
[[nodiscard]] std::unique_ptr<RetryBudget> MakeUnlimitedBudget();

} // namespace hemlockproxy::decisions
