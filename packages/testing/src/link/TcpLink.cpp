#include "link/TcpLink.h"

#include <algorithm>
#include <boost/asio/write.hpp>

namespace hemlockproxy::testing {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kReadBytes = 16'384;
/// Bytes on their way in one direction, above which the sender is no longer read.
constexpr std::size_t kWindowBytes = 1'048'576;
/// How often a cut direction checks whether the link was restored.
constexpr std::chrono::milliseconds kCutCheckInterval{ 10 };

void ResetSocket(tcp::socket& aSocket)
{
  error_code ignored;
  aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  aSocket.close(ignored);
}

} // namespace

TcpLink::TcpLink(asio::io_context& aContext,
                 const tcp::endpoint& aListen,
                 tcp::endpoint aTarget,
                 LinkPair& aPair)
  : context_(aContext)
  , acceptor_(aContext, aListen)
  , target_(std::move(aTarget))
  , pair_(aPair)
{
  const tcp::endpoint bound = acceptor_.local_endpoint();
  pair_.SetName(bound.address().to_string() + ":" + std::to_string(bound.port()));
  Accept();
}

void TcpLink::ApplyReset()
{
  for (const std::weak_ptr<TcpRelay>& relay : relays_) {
    if (const std::shared_ptr<TcpRelay> open = relay.lock(); open && open->Faults().reset_) {
      open->Reset();
    }
  }
}

void TcpLink::Accept()
{
  acceptor_.async_accept([this](error_code aError, tcp::socket aClient) {
    if (!aError) {
      std::erase_if(relays_,
                    [](const std::weak_ptr<TcpRelay>& aRelay) { return aRelay.expired(); });
      pair_.CountClient();
      const auto relay = std::make_shared<TcpRelay>(std::move(aClient), pair_);
      relays_.push_back(relay);
      relay->Start(target_);
    }
    Accept();
  });
}

TcpRelay::Flow::Flow(tcp::socket& aFrom, tcp::socket& aTo, LinkDirection aDirection)
  : from_(aFrom)
  , to_(aTo)
  , direction_(aDirection)
  , timer_(aFrom.get_executor())
  , buffer_(kReadBytes, '\0')
{
}

TcpRelay::TcpRelay(tcp::socket aClient, LinkPair& aPair)
  : client_(std::move(aClient))
  , target_(client_.get_executor())
  , pair_(aPair)
  , connectTimer_(client_.get_executor())
  , up_(client_, target_, LinkDirection::Up)
  , down_(target_, client_, LinkDirection::Down)
{
  error_code ignored;
  clientIp_ = client_.remote_endpoint(ignored).address().to_string();
  client_.set_option(tcp::no_delay(true), ignored);
}

void TcpRelay::Start(const tcp::endpoint& aTarget)
{
  if (Faults().reset_) {
    Reset();
    return;
  }
  const auto handshake = std::chrono::milliseconds(2 * Faults().delayMs_);
  connectTimer_.expires_after(Faults().cut_ ? std::max(handshake, kCutCheckInterval) : handshake);
  connectTimer_.async_wait([self = shared_from_this(), aTarget](error_code aError) {
    if (aError) {
      return;
    }
    if (self->Faults().cut_) {
      self->Start(aTarget);
    } else {
      self->Connect(aTarget);
    }
  });
}

void TcpRelay::Connect(const tcp::endpoint& aTarget)
{
  target_.async_connect(aTarget, [self = shared_from_this()](error_code aError) {
    if (aError) {
      self->Reset();
      return;
    }
    error_code ignored;
    self->target_.set_option(tcp::no_delay(true), ignored);
    self->Read(self->up_);
    self->Read(self->down_);
  });
}

void TcpRelay::Reset()
{
  connectTimer_.cancel();
  up_.timer_.cancel();
  down_.timer_.cancel();
  ResetSocket(client_);
  ResetSocket(target_);
}

void TcpRelay::Read(Flow& aFlow)
{
  if (aFlow.reading_ || aFlow.ended_ || aFlow.queuedBytes_ >= kWindowBytes) {
    return;
  }
  aFlow.reading_ = true;
  aFlow.from_.async_read_some(
    asio::buffer(aFlow.buffer_),
    [self = shared_from_this(), &aFlow](error_code aError, std::size_t aBytes) {
      aFlow.reading_ = false;
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (aError) {
        aFlow.ended_ = true;
        self->Queue(
          aFlow, aError == asio::error::eof ? ChunkKind::End : ChunkKind::Reset, std::string());
        return;
      }
      self->Queue(aFlow, ChunkKind::Data, aFlow.buffer_.substr(0, aBytes));
      self->Read(aFlow);
    });
}

void TcpRelay::Queue(Flow& aFlow, ChunkKind aKind, std::string aBytes)
{
  model::TimePoint arrival = pair_.ChunkArrival(clientIp_, aFlow.direction_, aBytes.size());
  if (!aFlow.chunks_.empty()) {
    // TCP delivers in order, so a late chunk holds back those that follow it.
    arrival = std::max(arrival, aFlow.chunks_.back().arrival_);
  }
  aFlow.queuedBytes_ += aBytes.size();
  aFlow.chunks_.push_back(Chunk{ aKind, arrival, std::move(aBytes) });
  DeliverNext(aFlow);
}

void TcpRelay::DeliverNext(Flow& aFlow)
{
  if (!aFlow.delivering_ && !aFlow.chunks_.empty()) {
    aFlow.delivering_ = true;
    WaitUntil(aFlow, aFlow.chunks_.front().arrival_);
  }
}

void TcpRelay::WaitUntil(Flow& aFlow, model::TimePoint aTime)
{
  aFlow.timer_.expires_at(aTime);
  aFlow.timer_.async_wait([self = shared_from_this(), &aFlow](error_code aError) {
    if (!aError) {
      self->Deliver(aFlow);
    }
  });
}

void TcpRelay::Deliver(Flow& aFlow)
{
  if (Faults().cut_) {
    WaitUntil(aFlow, std::chrono::steady_clock::now() + kCutCheckInterval);
    return;
  }
  const Chunk& chunk = aFlow.chunks_.front();
  if (chunk.kind_ == ChunkKind::Reset) {
    Reset();
    return;
  }
  if (chunk.kind_ == ChunkKind::End) {
    error_code ignored;
    aFlow.to_.shutdown(tcp::socket::shutdown_send, ignored);
    Delivered(aFlow);
    return;
  }
  asio::async_write(aFlow.to_,
                    asio::buffer(chunk.bytes_),
                    [self = shared_from_this(), &aFlow](error_code aError, std::size_t) {
                      if (aError) {
                        self->Reset();
                      } else {
                        self->Delivered(aFlow);
                      }
                    });
}

void TcpRelay::Delivered(Flow& aFlow)
{
  aFlow.queuedBytes_ -= aFlow.chunks_.front().bytes_.size();
  aFlow.chunks_.pop_front();
  aFlow.delivering_ = false;
  Read(aFlow);
  DeliverNext(aFlow);
}

} // namespace hemlockproxy::testing
