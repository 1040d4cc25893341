#include "hemlockproxy/model/Event.h"

#include <algorithm>

namespace hemlockproxy::model {

HybridTimestamp HybridClock::Tick(WallTime aNow) noexcept
{
  const std::int64_t wall = aNow.time_since_epoch().count();
  if (wall > last_.wallMs_) {
    last_ = HybridTimestamp{ wall, 0 };
  } else {
    ++last_.counter_;
  }
  return last_;
}

HybridTimestamp HybridClock::Observe(HybridTimestamp aRemote, WallTime aNow) noexcept
{
  last_ = std::max(last_, aRemote);
  return Tick(aNow);
}

} // namespace hemlockproxy::model
