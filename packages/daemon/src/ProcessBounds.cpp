#include "impl/ProcessBounds.h"

#include <algorithm>
#include <sys/resource.h>
#include <unistd.h>

namespace hemlockproxy::daemon::impl {

namespace {

using decisions::ConnectionBounds;
using decisions::ConnectionBoundsOptions;

constexpr std::size_t kLeastMemory = 2UL * 1024 * 1024;
constexpr std::size_t kLeastConnections = 16;
/// Operators and collectors of metrics; each page is made by one call.
constexpr std::size_t kTelemetryConnections = 64;

/// Returns the limit of the process, or aElse when there is none.
std::size_t ProcessLimit(decltype(RLIMIT_AS) aResource, std::size_t aElse) noexcept
{
  rlimit limit{};
  if (::getrlimit(aResource, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
    return aElse;
  }
  return std::min<std::size_t>(aElse, limit.rlim_cur);
}

} // namespace

std::size_t MemoryOf(const Settings& aSettings) noexcept
{
  if (aSettings.memoryBytes_ > 0) {
    return aSettings.memoryBytes_;
  }
  const auto pages = static_cast<std::size_t>(std::max(::sysconf(_SC_PHYS_PAGES), 1L));
  const auto page = static_cast<std::size_t>(std::max(::sysconf(_SC_PAGESIZE), 1L));
  return ProcessLimit(RLIMIT_DATA, ProcessLimit(RLIMIT_AS, pages * page));
}

std::size_t DescriptorsOf(const Settings& aSettings) noexcept
{
  constexpr std::size_t kWithoutLimit = 1UL << 20;
  return aSettings.descriptors_ > 0 ? aSettings.descriptors_
                                    : ProcessLimit(RLIMIT_NOFILE, kWithoutLimit);
}

ConnectionBoundsPtr MakeTrafficBounds(const Settings& aSettings)
{
  auto options = ConnectionBoundsOptions::For(MemoryOf(aSettings), DescriptorsOf(aSettings));
  if (aSettings.connections_ > 0) {
    options.connections_ = aSettings.connections_;
    options.connectionsOfPeers_ = aSettings.connections_ / ConnectionBoundsOptions::kPeersPart;
  }
  if (aSettings.connectionMemoryBytes_ > 0) {
    options.memory_ = aSettings.connectionMemoryBytes_;
    options.memoryOfPeers_ =
      aSettings.connectionMemoryBytes_ / ConnectionBoundsOptions::kPeersMemoryPart;
  }
  return std::make_shared<ConnectionBounds>(options);
}

ConnectionBoundsPtr MakeControlBounds(const Settings& aSettings)
{
  constexpr std::size_t kPart = 16;
  constexpr std::size_t kDescriptorsPart = 8;
  ConnectionBoundsOptions options;
  options.memory_ = std::max(kLeastMemory, MemoryOf(aSettings) / kPart);
  options.connections_ = std::max(kLeastConnections, DescriptorsOf(aSettings) / kDescriptorsPart);
  return std::make_shared<ConnectionBounds>(options);
}

ConnectionBoundsPtr MakeTelemetryBounds(const Settings& aSettings)
{
  constexpr std::size_t kPart = 32;
  constexpr std::size_t kDescriptorsPart = 16;
  ConnectionBoundsOptions options;
  options.memory_ = std::max(kLeastMemory, MemoryOf(aSettings) / kPart);
  options.connections_ = std::clamp(
    DescriptorsOf(aSettings) / kDescriptorsPart, kLeastConnections, kTelemetryConnections);
  return std::make_shared<ConnectionBounds>(options);
}

} // namespace hemlockproxy::daemon::impl
