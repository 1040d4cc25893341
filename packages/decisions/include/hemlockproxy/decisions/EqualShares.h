#pragma once

#include "hemlockproxy/decisions/TokenBucket.h"
#include "hemlockproxy/model/Clock.h"
#include "hemlockproxy/model/Customer.h"

#include <cstddef>
#include <unordered_map>

namespace hemlockproxy::decisions {

/// Admits requests of customers by an equal share of each allowance for each daemon, without any
/// message between daemons. Responds to a customer that sends far more than its allowance.
///
/// Small shares keep a few tokens, so that requests that come together by chance are admitted. A
/// small customer can therefore exceed its allowance by as many requests at each daemon, once.
class EqualShares
{
public:
  /// Takes in the customers of the configuration in force, null where there are none, and the
  /// number of daemons known, this one included. Fewer daemons than before do not raise the shares:
  /// those that are missing may only be cut off.
  void Configure(const model::CustomerListPtr& aCustomers, std::size_t aDaemons);
  /// Takes one request of the customer's share; returns false when it is used up. A customer
  /// without an allowance has no limit.
  [[nodiscard]] bool Take(model::TimePoint aNow, const model::CustomerName& aCustomer);
  /// Returns the time until a request of the customer is admitted again.
  [[nodiscard]] model::Duration Wait(model::TimePoint aNow,
                                     const model::CustomerName& aCustomer) const;

private:
  model::CustomerListPtr customers_;
  std::size_t daemons_ = 0;
  std::unordered_map<model::CustomerName, TokenBucket> buckets_;
};

} // namespace hemlockproxy::decisions
