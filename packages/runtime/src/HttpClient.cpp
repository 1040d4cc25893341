#include "hemlockproxy/runtime/HttpClient.h"

#include "hemlockproxy/runtime/ResponseHead.h"

#include "impl/HttpStream.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>

namespace hemlockproxy::runtime {

using impl::asio::ip::tcp;
using model::Unit;

namespace {

/// A connection is given up this long before its peer may close it: a request sent at the last
/// moment would meet the close, and some requests cannot be repeated.
constexpr std::chrono::milliseconds kIdleMargin{ 1000 };

constexpr std::uint32_t kMostHeadBytes = 64 * 1024;
constexpr std::size_t kHeadReadBytes = 4096;
constexpr unsigned kLowestFinalStatus = 200;
/// A faulty peer may send interim responses without end.
constexpr std::size_t kMostInterimResponses = 32;

/// Returns whether the peer has closed its side of the connection, or reset it.
bool PeerHasClosed(int aSocket) noexcept
{
  pollfd state{ .fd = aSocket, .events = POLLRDHUP, .revents = 0 };
  return ::poll(&state, 1, 0) > 0;
}

/// Returns whether a connection whose end has been read ended in order, after the peer had received
/// all that was sent. A reset that follows an orderly close is not reported by a read.
bool EndedInOrder(int aSocket) noexcept
{
  int error = 0;
  socklen_t size = sizeof error;
  int unacknowledged = 0;
  // Where the system does not count unacknowledged bytes, the error alone tells.
  const bool acknowledged = ::ioctl(aSocket, SIOCOUTQ, &unacknowledged) != 0 || unacknowledged == 0;
  return acknowledged && ::getsockopt(aSocket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
         error == 0;
}

bool MethodCarriesBody(http::verb aMethod) noexcept
{
  return aMethod == http::verb::post || aMethod == http::verb::put || aMethod == http::verb::patch;
}

class ClientConnection final : public HttpConnection
{
public:
  explicit ClientConnection(IoContext& aIo)
    : stream_(aIo.get_executor())
  {
  }

  HttpResult<Unit> Open(const model::Address& aAddress,
                        Timeout aTimeout,
                        const std::string& aLocalIp)
  {
    boost::system::error_code error;
    const tcp::endpoint endpoint(impl::asio::ip::make_address(aAddress.ip_, error), aAddress.port_);
    if (error) {
      return HttpError{ HttpErrorKind::ConnectFailed, aAddress.ip_ + " is not an IP number" };
    }
    if (!aLocalIp.empty()) {
      BindTo(aLocalIp);
    }
    stream_.expires_after(aTimeout);
    const auto done =
      impl::Await([&](auto aHandler) { stream_.async_connect(endpoint, std::move(aHandler)); });
    if (done.error_) {
      return HttpError{ HttpErrorKind::ConnectFailed,
                        "cannot connect to " + ToString(aAddress) + ": " + done.error_.message() };
    }
    boost::system::error_code ignored;
    stream_.socket().set_option(tcp::no_delay(true), ignored);
    return Unit{};
  }

  HttpResult<Unit> Send(RequestHeader aHeader, std::string_view aBody, Timeout aTimeout) override
  {
    if (!aBody.empty() || MethodCarriesBody(aHeader.method())) {
      aHeader.erase(http::field::transfer_encoding);
      aHeader.set(http::field::content_length, std::to_string(aBody.size()));
    }
    Begin(std::move(aHeader));
    impl::SetBodyPart(request_->body(), aBody);
    request_->body().more = false;
    auto sent = Write(aTimeout);
    requestDone_ = sent.Ok();
    return sent;
  }

  HttpResult<Unit> SendHeader(RequestHeader aHeader, Timeout aTimeout) override
  {
    Begin(std::move(aHeader));
    impl::SetBodyPart(request_->body(), {});
    request_->body().more = true;
    anySent_ = true;
    stream_.expires_after(aTimeout);
    const auto done = impl::Await(
      [&](auto aHandler) { http::async_write_header(stream_, *serializer_, std::move(aHandler)); });
    bytes_ += done.bytes_;
    if (done.error_) {
      return impl::ToHttpError(done.error_);
    }
    serializer_->split(false);
    return Unit{};
  }

  HttpResult<Unit> SendBody(std::string_view aPart, Timeout aTimeout) override
  {
    if (aPart.empty()) {
      return Unit{};
    }
    impl::SetBodyPart(request_->body(), aPart);
    return Write(aTimeout);
  }

  HttpResult<Unit> FinishBody(Timeout aTimeout) override
  {
    impl::SetBodyPart(request_->body(), {});
    auto sent = Write(aTimeout);
    requestDone_ = sent.Ok();
    return sent;
  }

  [[nodiscard]] HttpResult<ResponseHeader> ReadHeader(Timeout aTimeout) override
  {
    parser_.emplace();
    parser_->header_limit(kMostHeadBytes);
    parser_->body_limit(impl::kUnlimitedBody);
    if (head_) {
      parser_->skip(true);
    }
    stream_.expires_after(aTimeout);
    const auto length = ReadHeadBytes();
    if (!length) {
      return length.Error();
    }
    // Beast's parser accepts heads that are not valid and hides their bytes.
    const auto bytes = buffer_.data();
    if (auto checked = CheckResponseHead({ static_cast<const char*>(bytes.data()), *length });
        !checked) {
      return checked.Error();
    }
    boost::system::error_code error;
    buffer_.consume(parser_->put(bytes, error));
    if (error || !parser_->is_header_done()) {
      return impl::ToHttpError(error ? error : http::error::partial_message);
    }
    if (sendFailed_ && parser_->need_eof()) {
      return HttpError{ HttpErrorKind::Broken,
                        "the connection broke before the request was sent whole" };
    }
    bytes_ += *length;
    body_.Start(*parser_);
    ResponseHeader header = parser_->get().base();
    if (header.result_int() < kLowestFinalStatus && ++interim_ > kMostInterimResponses) {
      return HttpError{ HttpErrorKind::Malformed,
                        "more than " + std::to_string(kMostInterimResponses) +
                          " interim responses" };
    }
    if (header.count(http::field::content_length) > 1) {
      // The values are equal; a reader further on may not take them for one.
      const std::string value(header[http::field::content_length]);
      header.set(http::field::content_length, value);
    }
    return header;
  }

  void SetStallTimeout(Timeout aTimeout) override { stallTimeout_ = aTimeout; }

  [[nodiscard]] HttpResult<std::size_t> Read(char* aBuffer, std::size_t aSize) override
  {
    auto read = body_.Read(stream_, buffer_, *parser_, aBuffer, aSize, stallTimeout_);
    if (!read) {
      return read;
    }
    bytes_ += *read;
    if (*read == 0 && parser_->need_eof() && !CompleteAtEnd()) {
      return HttpError{ HttpErrorKind::Broken,
                        "the connection broke inside a response without a length" };
    }
    return read;
  }

  void SetIdleLimit(std::optional<Timeout> aLimit) override { idleLimit_ = aLimit; }
  [[nodiscard]] std::optional<Timeout> IdleLimit() const override { return idleLimit_; }

  [[nodiscard]] bool Reusable() const override
  {
    return requestDone_ && parser_ && body_.Done(*parser_) && parser_->get().keep_alive() &&
           buffer_.size() == 0 && stream_.socket().is_open();
  }

  void Trim() override
  {
    serializer_.reset();
    request_.reset();
    parser_.reset();
    buffer_.shrink_to_fit();
  }

  [[nodiscard]] bool Idle() override
  {
    if (!stream_.socket().is_open()) {
      return false;
    }
    char byte = 0;
    const ssize_t received =
      ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  [[nodiscard]] bool AnySent() const noexcept override { return anySent_; }
  void Close() override { stream_.close(); }
  [[nodiscard]] std::uint64_t BytesTransferred() const noexcept override { return bytes_; }

private:
  /// Chooses the local IP number; the system chooses the port only when it connects.
  void BindTo(const std::string& aLocalIp)
  {
    boost::system::error_code ignored;
    const auto address = impl::asio::ip::make_address(aLocalIp, ignored);
    stream_.socket().open(tcp::v4(), ignored);
    const int enabled = 1;
    (void)::setsockopt(stream_.socket().native_handle(),
                       IPPROTO_IP,
                       IP_BIND_ADDRESS_NO_PORT,
                       &enabled,
                       sizeof enabled);
    stream_.socket().bind(tcp::endpoint(address, 0), ignored);
  }

  /// Reads until a whole head is buffered; returns its length.
  HttpResult<std::size_t> ReadHeadBytes()
  {
    constexpr std::string_view kHeadEnd = "\r\n\r\n";
    std::size_t searched = 0;
    while (true) {
      const auto bytes = buffer_.data();
      const std::string_view text(static_cast<const char*>(bytes.data()), bytes.size());
      const auto end = text.find(kHeadEnd, searched);
      if (end != std::string_view::npos && end + kHeadEnd.size() <= kMostHeadBytes) {
        return end + kHeadEnd.size();
      }
      if (text.size() >= kMostHeadBytes) {
        return impl::ToHttpError(http::error::header_limit);
      }
      searched = text.size() - std::min(text.size(), kHeadEnd.size() - 1);
      const auto done = impl::Await([&](auto aHandler) {
        stream_.async_read_some(buffer_.prepare(kHeadReadBytes), std::move(aHandler));
      });
      buffer_.commit(done.bytes_);
      if (done.error_ == impl::asio::error::eof) {
        return impl::ToHttpError(buffer_.size() == 0 ? http::error::end_of_stream
                                                     : http::error::partial_message);
      }
      if (done.error_) {
        return impl::ToHttpError(done.error_);
      }
    }
  }

  /// Returns whether a body that the end of the connection ends is complete: its peer closed in
  /// order after the whole request had reached it.
  [[nodiscard]] bool CompleteAtEnd()
  {
    return requestDone_ && !closedEarly_ && EndedInOrder(stream_.socket().native_handle());
  }

  void Begin(RequestHeader aHeader)
  {
    head_ = aHeader.method() == http::verb::head;
    requestDone_ = false;
    sendFailed_ = false;
    closedEarly_ = false;
    anySent_ = false;
    interim_ = 0;
    parser_.reset();
    serializer_.reset();
    request_.emplace(std::move(aHeader));
    request_->version(11);
    serializer_.emplace(*request_);
  }

  HttpResult<Unit> Write(Timeout aTimeout)
  {
    // The head of a streamed request is out already, so that the peer may close before the rest.
    closedEarly_ = closedEarly_ || (anySent_ && PeerHasClosed(stream_.socket().native_handle()));
    anySent_ = true;
    auto written = impl::WriteBodyPart(stream_, *serializer_, aTimeout);
    if (!written) {
      // The failed call has taken the connection's error; later reads report an orderly end.
      sendFailed_ = true;
      return written.Error();
    }
    bytes_ += *written;
    return Unit{};
  }

  impl::TcpStream stream_;
  impl::beast::flat_buffer buffer_{ impl::kMostBuffered };
  std::optional<http::request<http::buffer_body>> request_;
  std::optional<http::request_serializer<http::buffer_body>> serializer_;
  std::optional<http::response_parser<http::buffer_body>> parser_;
  impl::BodyCursor body_;
  Timeout stallTimeout_{ 30000 };
  std::optional<Timeout> idleLimit_;
  std::uint64_t bytes_ = 0;
  bool head_ = false;
  bool requestDone_ = false;
  bool sendFailed_ = false;
  /// The peer closed its side before the request was sent whole.
  bool closedEarly_ = false;
  bool anySent_ = false;
  /// Of the current exchange.
  std::size_t interim_ = 0;
};

} // namespace

HttpResult<HttpConnectionPtr> HttpConnection::Connect(IoContext& aIo,
                                                      const model::Address& aAddress,
                                                      Timeout aTimeout,
                                                      const std::string& aLocalIp)
{
  auto connection = std::make_unique<ClientConnection>(aIo);
  if (auto opened = connection->Open(aAddress, aTimeout, aLocalIp); !opened) {
    return opened.Error();
  }
  return HttpConnectionPtr(std::move(connection));
}

HttpConnectionPool::HttpConnectionPool(IoContextPtr aIo,
                                       std::size_t aIdlePerAddress,
                                       std::chrono::milliseconds aIdleTime,
                                       std::string aLocalIp)
  : io_(std::move(aIo))
  , idlePerAddress_(aIdlePerAddress)
  , idleTime_(aIdleTime)
  , localIp_(std::move(aLocalIp))
{
}

const char* ToString(OpenReason aReason) noexcept
{
  switch (aReason) {
    case OpenReason::NoneIdle:
      return "none-idle";
    case OpenReason::Expired:
      return "expired";
    case OpenReason::ClosedByPeer:
      return "closed-by-peer";
  }
  return "unknown";
}

HttpResult<HttpConnectionPtr> HttpConnectionPool::Acquire(const model::Address& aAddress,
                                                          HttpConnection::Timeout aConnectTimeout)
{
  auto& idle = idle_[aAddress];
  const auto now = std::chrono::steady_clock::now();
  auto reason = OpenReason::NoneIdle;
  while (!idle.empty()) {
    IdleConnection candidate = std::move(idle.back());
    idle.pop_back();
    if (now >= candidate.until_) {
      reason = OpenReason::Expired;
    } else if (candidate.connection_->Idle()) {
      return std::move(candidate.connection_);
    } else {
      reason = OpenReason::ClosedByPeer;
    }
  }
  if (onOpen_) {
    onOpen_(reason);
  }
  return HttpConnection::Connect(*io_, aAddress, aConnectTimeout, localIp_);
}

void HttpConnectionPool::Release(const model::Address& aAddress, HttpConnectionPtr aConnection)
{
  if (!aConnection || !aConnection->Reusable()) {
    return;
  }
  aConnection->Trim();
  auto& idle = idle_[aAddress];
  if (idle.size() >= idlePerAddress_) {
    idle.pop_front();
  }
  auto time = idleTime_;
  if (const auto limit = aConnection->IdleLimit()) {
    time = std::min(time, std::max(*limit - kIdleMargin, HttpConnection::Timeout(0)));
  }
  idle.push_back(IdleConnection{ std::move(aConnection), std::chrono::steady_clock::now() + time });
}

void HttpConnectionPool::DropExpired()
{
  const auto now = std::chrono::steady_clock::now();
  for (auto entry = idle_.begin(); entry != idle_.end();) {
    std::erase_if(entry->second,
                  [now](const IdleConnection& aIdle) { return now >= aIdle.until_; });
    entry = entry->second.empty() ? idle_.erase(entry) : std::next(entry);
  }
}

std::size_t HttpConnectionPool::IdleCount() const noexcept
{
  std::size_t count = 0;
  for (const auto& [address, idle] : idle_) {
    count += idle.size();
  }
  return count;
}

RequestHeader MakeRequest(http::verb aMethod, std::string_view aTarget, const model::Address& aHost)
{
  RequestHeader header;
  header.version(11);
  header.method(aMethod);
  header.target(boost::string_view(aTarget.data(), aTarget.size()));
  header.set(http::field::host, ToString(aHost));
  return header;
}

namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

/// Returns the time until the end of a call, rounded up; 0 or less when it is over.
std::chrono::milliseconds TimeLeft(SteadyTime aEnd)
{
  return std::chrono::ceil<std::chrono::milliseconds>(aEnd - std::chrono::steady_clock::now());
}

/// Reads the header of the final response; the peer may send interim ones until the time is over.
HttpResult<ResponseHeader> ReadFinalHeader(HttpConnection& aConnection, SteadyTime aEnd)
{
  while (true) {
    const auto left = TimeLeft(aEnd);
    if (left.count() <= 0) {
      return HttpError{ HttpErrorKind::TimedOut, "no final response within the time limit" };
    }
    auto header = aConnection.ReadHeader(left);
    if (!header || header->result_int() >= kLowestFinalStatus) {
      return header;
    }
  }
}

} // namespace

HttpResult<HttpResponse> Fetch(HttpConnectionPool& aPool,
                               const model::Address& aAddress,
                               RequestHeader aHeader,
                               std::string_view aBody,
                               std::chrono::milliseconds aTimeout,
                               std::size_t aBodyLimit)
{
  const auto end = std::chrono::steady_clock::now() + aTimeout;
  auto acquired = aPool.Acquire(aAddress, aTimeout);
  if (!acquired) {
    return acquired.Error();
  }
  HttpConnectionPtr connection = *std::move(acquired);
  if (auto sent = connection->Send(
        std::move(aHeader), aBody, std::max(TimeLeft(end), std::chrono::milliseconds(1)));
      !sent) {
    return sent.Error();
  }
  auto header = ReadFinalHeader(*connection, end);
  if (!header) {
    return header.Error();
  }
  HttpResponse response{ *std::move(header), {} };
  std::string part(kBodyPartBytes, '\0');
  while (true) {
    const auto left = TimeLeft(end);
    if (left.count() <= 0) {
      return HttpError{ HttpErrorKind::TimedOut, "the response did not end within the time limit" };
    }
    connection->SetStallTimeout(left);
    auto read = connection->Read(part.data(), part.size());
    if (!read) {
      return read.Error();
    }
    if (*read == 0) {
      break;
    }
    if (response.body_.size() + *read > aBodyLimit) {
      return HttpError{ HttpErrorKind::BodyTooLarge,
                        "the response body exceeds " + std::to_string(aBodyLimit) + " bytes" };
    }
    response.body_.append(part.data(), *read);
  }
  aPool.Release(aAddress, std::move(connection));
  return response;
}

} // namespace hemlockproxy::runtime
