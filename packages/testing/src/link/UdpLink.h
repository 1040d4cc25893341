#pragma once

#include <utility>

#include "link/LinkPair.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <memory>

namespace hemlockproxy::testing {

/// Relays datagrams to the target, with one socket per client so that replies return to it.
class UdpLink
{
public:
  /// Binds the address; throws boost::system::system_error when that fails.
  UdpLink(boost::asio::io_context& aContext,
          const boost::asio::ip::udp::endpoint& aListen,
          boost::asio::ip::udp::endpoint aTarget,
          LinkPair& aPair);

private:
  struct Client;
  using ClientPointer = std::shared_ptr<Client>;

  void ReceiveUp();
  void ReceiveDown(const ClientPointer& aClient);
  [[nodiscard]] ClientPointer FindClient(const boost::asio::ip::udp::endpoint& aSource);
  void RemoveOldest();
  /// Calls aSend when the datagram arrives; drops it where the faults say so.
  void Schedule(const std::string& aClientIp,
                LinkDirection aDirection,
                std::size_t aBytes,
                std::function<void()> aSend);

  boost::asio::io_context& context_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint target_;
  LinkPair& pair_;
  std::string buffer_;
  boost::asio::ip::udp::endpoint source_;
  std::map<boost::asio::ip::udp::endpoint, ClientPointer> clients_;
};

} // namespace hemlockproxy::testing
