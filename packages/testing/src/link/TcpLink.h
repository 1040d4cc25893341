#pragma once

#include <utility>

#include "link/LinkPair.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <vector>

namespace hemlockproxy::testing {

class TcpRelay;

/// Accepts TCP connections and relays each to the target with the pair's faults.
class TcpLink
{
public:
  /// Binds the address; throws boost::system::system_error when that fails.
  TcpLink(boost::asio::io_context& aContext,
          const boost::asio::ip::tcp::endpoint& aListen,
          boost::asio::ip::tcp::endpoint aTarget,
          LinkPair& aPair);

  /// Resets the connections of clients for which the reset fault is set.
  void ApplyReset();

private:
  void Accept();

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint target_;
  LinkPair& pair_;
  std::vector<std::weak_ptr<TcpRelay>> relays_;
};

/// One relayed connection; keeps itself alive by its pending operations.
class TcpRelay : public std::enable_shared_from_this<TcpRelay>
{
public:
  TcpRelay(boost::asio::ip::tcp::socket aClient, LinkPair& aPair);

  /// Connects to the target after the time that a handshake over the link takes.
  void Start(const boost::asio::ip::tcp::endpoint& aTarget);
  [[nodiscard]] const LinkFaults& Faults() const { return pair_.FaultsFor(clientIp_); }
  /// Closes both sides with a TCP reset.
  void Reset();

private:
  enum class ChunkKind : std::uint8_t
  {
    Data,
    End,
    Reset,
  };
  struct Chunk
  {
    ChunkKind kind_ = ChunkKind::Data;
    model::TimePoint arrival_;
    std::string bytes_;
  };
  /// The bytes on their way in one direction.
  struct Flow
  {
    Flow(boost::asio::ip::tcp::socket& aFrom,
         boost::asio::ip::tcp::socket& aTo,
         LinkDirection aDirection);

    boost::asio::ip::tcp::socket& from_;
    boost::asio::ip::tcp::socket& to_;
    LinkDirection direction_;
    boost::asio::steady_timer timer_;
    std::string buffer_;
    std::deque<Chunk> chunks_;
    std::size_t queuedBytes_ = 0;
    bool reading_ = false;
    bool delivering_ = false;
    bool ended_ = false;
  };

  void Connect(const boost::asio::ip::tcp::endpoint& aTarget);
  void Read(Flow& aFlow);
  void Queue(Flow& aFlow, ChunkKind aKind, std::string aBytes);
  void DeliverNext(Flow& aFlow);
  void WaitUntil(Flow& aFlow, model::TimePoint aTime);
  void Deliver(Flow& aFlow);
  void Delivered(Flow& aFlow);

  boost::asio::ip::tcp::socket client_;
  boost::asio::ip::tcp::socket target_;
  LinkPair& pair_;
  std::string clientIp_;
  boost::asio::steady_timer connectTimer_;
  Flow up_;
  Flow down_;
};

} // namespace hemlockproxy::testing
