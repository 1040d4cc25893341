#pragma once

#include "hemlockproxy/model/ConfigRecord.h"
#include "hemlockproxy/model/Result.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hemlockproxy::decisions {

/// Says why a configuration's content must not be accepted.
struct ContentError
{
  model::ServiceName service_;
  std::string message_;

  friend bool operator==(const ContentError&, const ContentError&) = default;
};

/// A limit that content would lower.
struct LoweredLimit
{
  model::ServiceName service_;
  model::LimitKind limit_ = model::LimitKind::ConcurrentRequests;
  std::uint64_t floor_ = 0;
  /// The stated value, or the default where the content states none.
  std::uint64_t offered_ = 0;

  friend bool operator==(const LoweredLimit&, const LoweredLimit&) = default;
};

/// Checks content as a whole: at least one service, all values within model/ConfigBounds.h, each
/// target service present, no two routes for the same request. Returns the first error.
[[nodiscard]] model::Result<model::Unit, ContentError> ValidateContent(
  const model::ConfigContent& aContent);

/// Returns the limits that the content lowers against the floors.
///
/// A limit that content no longer states takes its default, so it is lowered when the default is
/// below the floor. A limit without a numeric default (concurrent requests, requests per second) is
/// not lowered by its removal, because configuration then sets no bound; its floor remains.
[[nodiscard]] std::vector<LoweredLimit> CheckLimits(const model::ConfigContent& aContent,
                                                    const model::LimitFloors& aFloors);

/// Raises the floors to the limits of accepted content. A limit gets a floor when it is first
/// stated; from then on its default counts like a stated value.
void RaiseFloors(const model::ConfigContent& aContent, model::LimitFloors& aFloors);

/// Returns whether both hold the same services with equal digests.
[[nodiscard]] bool SameContent(const model::ConfigContent& aLeft,
                               const model::ConfigContent& aRight);

} // namespace hemlockproxy::decisions
