#include "hemlockproxy/testing/PortAllocator.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hemlockproxy::testing {

namespace {

constexpr std::uint16_t kFirstPort = 10'000;
/// Linux takes the ports of outgoing connections from 32768 on.
constexpr std::uint16_t kEndPort = 32'000;
constexpr std::uint16_t kBlockPorts = 100;
/// The address of the sockets that reserve blocks; no test program listens on it.
constexpr std::uint32_t kReservationIp = 0x7fff'ff01;

/// Returns a socket bound to the port, or -1.
int Bind(int aType, std::uint32_t aIp, std::uint16_t aPort)
{
  const int socket = ::socket(AF_INET, aType | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(aIp);
  if (socket >= 0 &&
      ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(socket);
    return -1;
  }
  return socket;
}

bool IsFree(std::uint16_t aPort)
{
  for (const int type : { SOCK_STREAM, SOCK_DGRAM }) {
    const int socket = Bind(type, INADDR_ANY, aPort);
    if (socket < 0) {
      return false;
    }
    ::close(socket);
  }
  return true;
}

} // namespace

PortAllocator::~PortAllocator()
{
  for (const int socket : blockSockets_) {
    ::close(socket);
  }
}

model::Result<std::uint16_t, PortError> PortAllocator::Next()
{
  while (true) {
    if (next_ == end_ && !ReserveBlock()) {
      return PortError{ "no free block of ports from " + std::to_string(kFirstPort) + " to " +
                        std::to_string(kEndPort) };
    }
    const std::uint16_t port = next_++;
    if (IsFree(port)) {
      return port;
    }
  }
}

bool PortAllocator::ReserveBlock()
{
  for (std::uint16_t port = kFirstPort; port < kEndPort; port += kBlockPorts) {
    // A stream socket that does not listen: no datagram or connection can reach it.
    if (const int socket = Bind(SOCK_STREAM, kReservationIp, port); socket >= 0) {
      blockSockets_.push_back(socket);
      // The first port stays unused, since the reservation occupies it.
      next_ = port + 1;
      end_ = port + kBlockPorts;
      return true;
    }
  }
  return false;
}

} // namespace hemlockproxy::testing
