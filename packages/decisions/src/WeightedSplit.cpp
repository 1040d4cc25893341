#include "hemlockproxy/decisions/WeightedSplit.h"

namespace hemlockproxy::decisions {

const model::ServiceName& WeightedSplit::Next(const std::vector<model::WeightedTarget>& aTargets)
{
  if (targets_ != aTargets) {
    targets_ = aTargets;
    credits_.assign(aTargets.size(), 0);
  }
  std::int64_t total = 0;
  std::size_t best = 0;
  for (std::size_t i = 0; i < credits_.size(); ++i) {
    credits_[i] += aTargets[i].weight_;
    total += aTargets[i].weight_;
    best = credits_[i] > credits_[best] ? i : best;
  }
  credits_[best] -= total;
  return aTargets[best].service_;
}

} // namespace hemlockproxy::decisions
