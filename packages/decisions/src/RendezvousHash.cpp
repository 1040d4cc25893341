#include "hemlockproxy/decisions/RendezvousHash.h"

#include "hemlockproxy/model/Digest.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace hemlockproxy::decisions {

std::vector<model::DaemonId> ChooseByRendezvous(std::string_view aRole,
                                                const std::vector<model::DaemonId>& aLive,
                                                std::size_t aCount)
{
  const std::uint64_t seed = model::Hash64(aRole);
  std::vector<std::pair<std::uint64_t, const model::DaemonId*>> weights;
  weights.reserve(aLive.size());
  for (const model::DaemonId& id : aLive) {
    weights.emplace_back(model::Hash64(id.Value(), seed), &id);
  }
  const std::size_t count = std::min(aCount, weights.size());
  const auto heavier = [](const auto& aLeft, const auto& aRight) {
    return aLeft.first != aRight.first ? aLeft.first > aRight.first
                                       : *aLeft.second < *aRight.second;
  };
  std::partial_sort(
    weights.begin(), weights.begin() + static_cast<std::ptrdiff_t>(count), weights.end(), heavier);
  std::vector<model::DaemonId> chosen;
  chosen.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    chosen.push_back(*weights[i].second);
  }
  return chosen;
}

} // namespace hemlockproxy::decisions
