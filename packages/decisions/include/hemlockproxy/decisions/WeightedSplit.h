#pragma once

#include "hemlockproxy/model/Config.h"

#include <cstdint>
#include <vector>

namespace hemlockproxy::decisions {

/// Divides the requests of a route among its services by their weights.
///
/// The shares are exact at each daemon: after any number of requests a service is less than one
/// request away from its share (smooth weighted round robin). A service that is short of room keeps
/// its share, since the operator chose the weights to limit what the other services get.
class WeightedSplit
{
public:
  /// Returns the service of the next request. The targets must not be empty; new weights start new
  /// shares.
  [[nodiscard]] const model::ServiceName& Next(const std::vector<model::WeightedTarget>& aTargets);

private:
  std::vector<model::WeightedTarget> targets_;
  std::vector<std::int64_t> credits_;
};

} // namespace hemlockproxy::decisions
