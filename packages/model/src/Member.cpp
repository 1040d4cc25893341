#include "hemlockproxy/model/Member.h"

#include <array>

namespace hemlockproxy::model {

const char* ToString(MemberState aState) noexcept
{
  constexpr std::array kTexts = { "alive", "suspect", "dead", "left" };
  return kTexts[static_cast<std::size_t>(aState)];
}

} // namespace hemlockproxy::model
