#include "hemlockproxy/decisions/EqualShares.h"

#include <algorithm>
#include <utility>

namespace hemlockproxy::decisions {

namespace {

/// Tokens of a small share. With one token, customers of a few requests per second lose more than a
/// third of what they may send.
constexpr double kLeastTokens = 4;
/// What the bound of a window of 5 s allows beyond the rate: a tenth of the rate, the burst with
/// its tenth, and 20 requests. The last tenth is left for daemons that disagree on their number.
constexpr double kRateSlack = 0.5;
constexpr double kBurstSlack = 1.1;
constexpr double kRequestSlack = 20;
constexpr double kUsedSlack = 0.9;

} // namespace

void EqualShares::Configure(const model::CustomerListPtr& aCustomers, std::size_t aDaemons)
{
  if (aCustomers == customers_ && aDaemons <= daemons_) {
    return;
  }
  customers_ = aCustomers;
  daemons_ = std::max({ daemons_, aDaemons, std::size_t{ 1 } });
  const auto daemons = static_cast<double>(daemons_);
  std::unordered_map<model::CustomerName, TokenBucket> buckets;
  if (customers_) {
    for (const model::Customer& customer : customers_->customers_) {
      const double rate = customer.ratePerSecond_;
      if (rate <= 0) {
        continue;
      }
      const double stock = kRateSlack * rate + kBurstSlack * customer.burst_ + kRequestSlack;
      const double tokens = std::max(kLeastTokens, kUsedSlack * stock / daemons);
      const auto held = buckets_.find(customer.name_);
      TokenBucket bucket =
        held == buckets_.end() ? TokenBucket(rate / daemons, tokens) : held->second;
      bucket.Change(rate / daemons, tokens);
      buckets.emplace(customer.name_, bucket);
    }
  }
  buckets_ = std::move(buckets);
}

bool EqualShares::Take(model::TimePoint aNow, const model::CustomerName& aCustomer)
{
  const auto found = buckets_.find(aCustomer);
  return found == buckets_.end() || found->second.Take(aNow);
}

model::Duration EqualShares::Wait(model::TimePoint aNow, const model::CustomerName& aCustomer) const
{
  const auto found = buckets_.find(aCustomer);
  return found == buckets_.end() ? model::Duration{} : found->second.TimeUntil(aNow, 1);
}

} // namespace hemlockproxy::decisions
