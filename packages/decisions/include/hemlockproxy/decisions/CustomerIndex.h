#pragma once

#include "hemlockproxy/model/Customer.h"

#include <cstddef>
#include <string_view>
#include <unordered_map>

namespace hemlockproxy::decisions {

/// Finds the customer that holds a key. Built once for each version, so that a lookup does not
/// depend on the number of customers.
class CustomerIndex
{
public:
  /// Keeps the list, which the customers returned by Find belong to; null means that requests need
  /// no keys.
  explicit CustomerIndex(model::CustomerListPtr aCustomers);

  /// Returns whether requests need keys.
  [[nodiscard]] bool NeedsKeys() const noexcept { return customers_ != nullptr; }
  /// Returns the customer that holds a key with this hash; null when there is none.
  [[nodiscard]] const model::Customer* Find(const model::Digest& aKeyHash) const;

private:
  struct DigestHash
  {
    std::size_t operator()(const model::Digest& aDigest) const noexcept { return aDigest.low_; }
  };

  model::CustomerListPtr customers_;
  std::unordered_map<model::Digest, const model::Customer*, DigestHash> byKey_;
};

} // namespace hemlockproxy::decisions
