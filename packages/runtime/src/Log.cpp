#include "hemlockproxy/runtime/Log.h"

namespace hemlockproxy::runtime {

const char* ToString(LogErrorKind aKind) noexcept
{
  switch (aKind) {
    case LogErrorKind::Unavailable:
      return "unavailable";
    case LogErrorKind::RateLimited:
      return "rate-limited";
    case LogErrorKind::OutcomeUnknown:
      return "outcome-unknown";
    case LogErrorKind::Trimmed:
      return "trimmed";
    case LogErrorKind::Malformed:
      return "malformed";
  }
  return "unknown";
}

} // namespace hemlockproxy::runtime
