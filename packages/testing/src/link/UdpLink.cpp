#include "link/UdpLink.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

namespace hemlockproxy::testing {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

namespace {

constexpr std::size_t kDatagramBytes = 65'536;
/// Sockets for clients; bounds the file descriptors of a test with many clients.
constexpr std::size_t kMostClients = 2'048;

} // namespace

struct UdpLink::Client
{
  Client(asio::io_context& aContext, const udp::endpoint& aSource, const udp::endpoint& aTarget)
    : source_(aSource)
    , ip_(aSource.address().to_string())
    , socket_(aContext, aTarget.protocol())
    , buffer_(kDatagramBytes, '\0')
  {
    socket_.connect(aTarget);
    socket_.non_blocking(true);
  }

  udp::endpoint source_;
  std::string ip_;
  udp::socket socket_;
  std::string buffer_;
  model::TimePoint usedAt_;
};

UdpLink::UdpLink(asio::io_context& aContext,
                 const udp::endpoint& aListen,
                 udp::endpoint aTarget,
                 LinkPair& aPair)
  : context_(aContext)
  , socket_(aContext, aListen)
  , target_(std::move(aTarget))
  , pair_(aPair)
  , buffer_(kDatagramBytes, '\0')
{
  socket_.non_blocking(true);
  const udp::endpoint bound = socket_.local_endpoint();
  pair_.SetName(bound.address().to_string() + ":" + std::to_string(bound.port()));
  ReceiveUp();
}

void UdpLink::ReceiveUp()
{
  socket_.async_receive_from(
    asio::buffer(buffer_), source_, [this](error_code aError, std::size_t aBytes) {
      if (!aError) {
        const ClientPointer client = FindClient(source_);
        Schedule(
          client->ip_, LinkDirection::Up, aBytes, [client, bytes = buffer_.substr(0, aBytes)] {
            error_code ignored;
            client->socket_.send(asio::buffer(bytes), 0, ignored);
          });
      }
      ReceiveUp();
    });
}

void UdpLink::ReceiveDown(const ClientPointer& aClient)
{
  aClient->socket_.async_receive(
    asio::buffer(aClient->buffer_), [this, aClient](error_code aError, std::size_t aBytes) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      // A target that does not listen shows as "connection refused"; it may listen later.
      if (!aError) {
        Schedule(aClient->ip_,
                 LinkDirection::Down,
                 aBytes,
                 [this, aClient, bytes = aClient->buffer_.substr(0, aBytes)] {
                   error_code ignored;
                   socket_.send_to(asio::buffer(bytes), aClient->source_, 0, ignored);
                 });
      }
      ReceiveDown(aClient);
    });
}

UdpLink::ClientPointer UdpLink::FindClient(const udp::endpoint& aSource)
{
  auto found = clients_.find(aSource);
  if (found == clients_.end()) {
    if (clients_.size() >= kMostClients) {
      RemoveOldest();
    }
    found = clients_.emplace(aSource, std::make_shared<Client>(context_, aSource, target_)).first;
    pair_.CountClient();
    ReceiveDown(found->second);
  }
  found->second->usedAt_ = std::chrono::steady_clock::now();
  return found->second;
}

void UdpLink::RemoveOldest()
{
  const auto oldest =
    std::min_element(clients_.begin(), clients_.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second->usedAt_ < aRight.second->usedAt_;
    });
  error_code ignored;
  oldest->second->socket_.close(ignored);
  clients_.erase(oldest);
}

void UdpLink::Schedule(const std::string& aClientIp,
                       LinkDirection aDirection,
                       std::size_t aBytes,
                       std::function<void()> aSend)
{
  const auto arrival = pair_.DatagramArrival(aClientIp, aDirection, aBytes);
  if (!arrival) {
    return;
  }
  const auto timer = std::make_shared<asio::steady_timer>(context_, *arrival);
  timer->async_wait([timer, send = std::move(aSend)](error_code aError) {
    if (!aError) {
      send();
    }
  });
}

} // namespace hemlockproxy::testing
