#include "hemlockproxy/decisions/EntryGate.h"

namespace hemlockproxy::decisions {

bool EntryGate::Enter(const model::ServiceName& aService)
{
  const std::size_t free = options_.capacity_ - held_;
  if (free == 0 ||
      static_cast<double>(Held(aService)) >= options_.shareOfFree_ * static_cast<double>(free)) {
    return false;
  }
  ++byService_[aService];
  ++held_;
  return true;
}

void EntryGate::Leave(const model::ServiceName& aService)
{
  const auto found = byService_.find(aService);
  if (found == byService_.end()) {
    return;
  }
  --held_;
  if (--found->second == 0) {
    byService_.erase(found);
  }
}

std::size_t EntryGate::Held(const model::ServiceName& aService) const
{
  const auto found = byService_.find(aService);
  return found == byService_.end() ? 0 : found->second;
}

} // namespace hemlockproxy::decisions
