#pragma once

#include "hemlockproxy/model/Ids.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace hemlockproxy::decisions {

/// Returns the members that hold a role, highest weight first; at most aCount.
///
/// Daemons with the same live members choose the same holders without talking to each other, and
/// the loss of one member moves only the role that it held. The order of aLive does not matter.
///
///     auto readers = ChooseByRendezvous("log-reader", live, 2);
[[nodiscard]] std::vector<model::DaemonId> ChooseByRendezvous(
  std::string_view aRole,
  const std::vector<model::DaemonId>& aLive,
  std::size_t aCount);

} // namespace hemlockproxy::decisions
