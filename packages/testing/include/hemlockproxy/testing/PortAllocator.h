#pragma once

#include "hemlockproxy/model/Address.h"

#include <cstdint>
#include <vector>

namespace hemlockproxy::testing {

/// Says that no free port was found.
struct PortError
{
  std::string message_;
};

/// Hands out ports that are free for TCP and UDP on every loopback address.
///
/// The ports lie below the range that the system uses for outgoing connections. Each allocator
/// reserves whole blocks by a bound socket, so that test processes that run at the same time never
/// get the same port.
class PortAllocator
{
public:
  PortAllocator() = default;
  ~PortAllocator();
  PortAllocator(const PortAllocator&) = delete;
  PortAllocator& operator=(const PortAllocator&) = delete;

  [[nodiscard]] model::Result<std::uint16_t, PortError> Next();

private:
  [[nodiscard]] bool ReserveBlock();

  std::vector<int> blockSockets_;
  std::uint16_t next_ = 0;
  std::uint16_t end_ = 0;
};

} // namespace hemlockproxy::testing
