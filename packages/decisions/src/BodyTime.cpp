#include "hemlockproxy/decisions/BodyTime.h"

#include <algorithm>

namespace hemlockproxy::decisions {

model::TimePoint NextPartDue(const BodyTime& aTime, model::TimePoint aNow) noexcept
{
  const auto due = std::min(aNow + aTime.stall_, std::max(aTime.timeout_, aNow + aTime.pause_));
  return aTime.end_ ? std::min(due, *aTime.end_) : due;
}

} // namespace hemlockproxy::decisions
