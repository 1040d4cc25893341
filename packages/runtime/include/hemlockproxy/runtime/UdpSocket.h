#pragma once

#include "hemlockproxy/model/Address.h"
#include "hemlockproxy/runtime/FiberLoop.h"
#include "hemlockproxy/runtime/Http.h"

#include <functional>
#include <memory>
#include <string_view>

namespace hemlockproxy::runtime {

/// A UDP socket on a loop.
class UdpSocket
{
public:
  /// Called for each datagram in a fiber of the loop; it must not block for long.
  using Receiver = std::function<void(const model::Address& aFrom, std::string_view aBytes)>;

  /// Opens the socket; fails when the address is in use or is not local.
  [[nodiscard]] static HttpResult<std::unique_ptr<UdpSocket>> Create(
    const IoContextPtr& aIo,
    const model::Address& aAddress);
  virtual ~UdpSocket() = default;

  /// Starts to receive; called on the loop's thread.
  virtual void Start(Receiver aReceiver) = 0;
  /// Sends a datagram without waiting; a datagram that cannot be sent at once is lost.
  virtual void Send(const model::Address& aTo, std::string_view aBytes) = 0;
  virtual void Close() = 0;
};

} // namespace hemlockproxy::runtime
