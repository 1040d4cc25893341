#include "hemlockproxy/decisions/CustomerIndex.h"

#include <utility>

namespace hemlockproxy::decisions {

CustomerIndex::CustomerIndex(model::CustomerListPtr aCustomers)
  : customers_(std::move(aCustomers))
{
  if (!customers_) {
    return;
  }
  for (const model::Customer& customer : customers_->customers_) {
    for (const model::Digest& key : customer.keys_) {
      byKey_.emplace(key, &customer);
    }
  }
}

const model::Customer* CustomerIndex::Find(const model::Digest& aKeyHash) const
{
  const auto found = byKey_.find(aKeyHash);
  return found == byKey_.end() ? nullptr : found->second;
}

} // namespace hemlockproxy::decisions
