#include "hemlockproxy/decisions/StatedLimit.h"

#include <utility>

namespace hemlockproxy::decisions {

bool StatedLimit::Observe(model::TimePoint aSent,
                          model::TimePoint aNow,
                          std::optional<double> aStated)
{
  if (aStated) {
    statedAt_ = aNow;
  } else if (!perSecond_ || aSent <= statedAt_) {
    return false;
  }
  return std::exchange(perSecond_, aStated) != aStated;
}

} // namespace hemlockproxy::decisions
