#include "hemlockproxy/model/ConfigBounds.h"

#include <algorithm>

namespace hemlockproxy::model {

namespace {

constexpr std::uint64_t kMaxConcurrentRequests = 100'000;
constexpr std::uint64_t kMaxQueuedRequests = 100'000;
constexpr std::uint64_t kMaxRequestsPerSecond = 1'000'000;
constexpr std::uint64_t kMaxBodyBytes = 16ULL * 1024 * 1024 * 1024;

bool IsLower(char aChar) noexcept
{
  return aChar >= 'a' && aChar <= 'z';
}

bool IsNameChar(char aChar) noexcept
{
  return IsLower(aChar) || (aChar >= '0' && aChar <= '9') || aChar == '-';
}

bool IsPathChar(char aChar) noexcept
{
  return aChar > ' ' && aChar < '\x7f' && aChar != '?' && aChar != '#';
}

} // namespace

LimitRange LimitBounds(LimitKind aKind) noexcept
{
  switch (aKind) {
    case LimitKind::ConcurrentRequests:
      return { 1, kMaxConcurrentRequests };
    case LimitKind::QueuedRequests:
      return { 0, kMaxQueuedRequests };
    case LimitKind::RequestsPerSecond:
      return { 1, kMaxRequestsPerSecond };
    case LimitKind::BodyBytes:
      return { 1, kMaxBodyBytes };
  }
  return { 1, 0 };
}

bool IsServiceName(std::string_view aText) noexcept
{
  return !aText.empty() && aText.size() <= kMaxServiceNameLength && IsLower(aText.front()) &&
         aText.back() != '-' && std::all_of(aText.begin(), aText.end(), IsNameChar);
}

bool IsRoutePrefix(std::string_view aText) noexcept
{
  return aText.starts_with('/') && aText.size() <= kMaxPrefixLength &&
         std::all_of(aText.begin(), aText.end(), IsPathChar);
}

bool IsMethod(std::string_view aText) noexcept
{
  return std::find(kMethods.begin(), kMethods.end(), aText) != kMethods.end();
}

bool RoutesOverlap(const RouteRule& aLeft, const RouteRule& aRight) noexcept
{
  if (aLeft.prefix_ != aRight.prefix_) {
    return false;
  }
  if (aLeft.methods_.empty() || aRight.methods_.empty()) {
    return true;
  }
  return std::find_first_of(aLeft.methods_.begin(),
                            aLeft.methods_.end(),
                            aRight.methods_.begin(),
                            aRight.methods_.end()) != aLeft.methods_.end();
}

} // namespace hemlockproxy::model
