#pragma once

#include "hemlockproxy/runtime/FiberLoop.h"
#include "hemlockproxy/runtime/Http.h"

#include "impl/Await.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cstring>
#include <limits>
#include <optional>

namespace hemlockproxy::runtime::impl {

namespace asio = boost::asio;
namespace beast = boost::beast;

using TcpStream = beast::basic_stream<asio::ip::tcp, IoContext::executor_type>;

/// Turns off the body limit of a parser. Boost 1.74 rejects every body with a length when the limit
/// is boost::none.
inline constexpr std::uint64_t kUnlimitedBody = std::numeric_limits<std::uint64_t>::max();

/// Bounds what is buffered of a message before its reader takes it: a head of the greatest size
/// with the start of a body, or a chunk header with its extensions.
inline constexpr std::size_t kMostBuffered = 128UL * 1024;

/// Converts an error of the libraries below.
[[nodiscard]] HttpError ToHttpError(const boost::system::error_code& aError);

/// Returns whether the peer has closed the connection in either way, without taking bytes from it.
[[nodiscard]] bool PeerClosed(asio::ip::tcp::socket::native_handle_type aSocket) noexcept;

/// Reads the next part of a buffer body through a parser; returns the number of bytes, 0 at the
/// end.
template <typename Parser>
[[nodiscard]] HttpResult<std::size_t> ReadBodyPart(TcpStream& aStream,
                                                   beast::flat_buffer& aBuffer,
                                                   Parser& aParser,
                                                   char* aData,
                                                   std::size_t aSize,
                                                   std::chrono::milliseconds aTimeout)
{
  auto& body = aParser.get().body();
  // Bytes that are not of the body are no progress: a chunk header may be long.
  aStream.expires_after(aTimeout);
  while (!aParser.is_done()) {
    body.data = aData;
    body.size = aSize;
    const IoCompletion done = Await([&](auto aHandler) {
      http::async_read_some(aStream, aBuffer, aParser, std::move(aHandler));
    });
    const std::size_t taken = aSize - body.size;
    if (done.error_ && done.error_ != http::error::need_buffer) {
      return ToHttpError(done.error_);
    }
    if (taken > 0) {
      return taken;
    }
  }
  return std::size_t{ 0 };
}

/// Reads a message body whose header a parser has read.
///
/// A body of known length goes from the socket straight into the reader's buffer: Beast's parser
/// reads 512 bytes at a time through a buffer of its own, which costs a system call each.
class BodyCursor
{
public:
  /// Begins with the body that follows the header.
  template <typename Parser>
  void Start(const Parser& aParser)
  {
    const auto length = aParser.content_length();
    left_.reset();
    if (length && !aParser.chunked()) {
      left_ = aParser.is_done() ? 0 : *length;
    }
  }

  template <typename Parser>
  [[nodiscard]] bool Done(const Parser& aParser) const
  {
    return left_ ? *left_ == 0 : aParser.is_done();
  }

  /// Reads the next part; returns the number of bytes, 0 at the end.
  template <typename Parser>
  [[nodiscard]] HttpResult<std::size_t> Read(TcpStream& aStream,
                                             beast::flat_buffer& aBuffer,
                                             Parser& aParser,
                                             char* aData,
                                             std::size_t aSize,
                                             std::chrono::milliseconds aTimeout)
  {
    if (!left_) {
      // Fewer, larger reads; a chunk header and its data usually come together.
      aBuffer.reserve(std::min(aBuffer.size() + kParserReadBytes, aBuffer.max_size()));
      return ReadBodyPart(aStream, aBuffer, aParser, aData, aSize, aTimeout);
    }
    const std::size_t wanted = static_cast<std::size_t>(std::min<std::uint64_t>(aSize, *left_));
    if (wanted == 0) {
      return std::size_t{ 0 };
    }
    if (aBuffer.size() > 0) {
      const std::size_t taken = std::min(wanted, aBuffer.size());
      std::memcpy(aData, aBuffer.data().data(), taken);
      aBuffer.consume(taken);
      *left_ -= taken;
      return taken;
    }
    aStream.expires_after(aTimeout);
    const IoCompletion done = Await([&](auto aHandler) {
      aStream.async_read_some(asio::buffer(aData, wanted), std::move(aHandler));
    });
    if (done.bytes_ > 0) {
      *left_ -= done.bytes_;
      return done.bytes_;
    }
    return done.error_ == asio::error::eof ? ToHttpError(http::error::partial_message)
                                           : ToHttpError(done.error_);
  }

private:
  static constexpr std::size_t kParserReadBytes = 16UL * 1024;

  /// Bytes of a body of known length that are still to come.
  std::optional<std::uint64_t> left_;
};

/// Writes what the serializer holds; a body that wants more data is no error.
///
/// What the system takes at once is written without a wait: an asynchronous write that completes
/// immediately still wakes the loop, which costs more system calls than the write.
template <typename Serializer>
[[nodiscard]] HttpResult<std::size_t> WriteBodyPart(TcpStream& aStream,
                                                    Serializer& aSerializer,
                                                    std::chrono::milliseconds aTimeout)
{
  IoCompletion done;
  if (!aStream.socket().non_blocking()) {
    aStream.socket().non_blocking(true, done.error_);
  }
  while (!done.error_ && !aSerializer.is_done()) {
    done.bytes_ += http::write_some(aStream.socket(), aSerializer, done.error_);
  }
  if (done.error_ == asio::error::would_block) {
    aStream.expires_after(aTimeout);
    const IoCompletion rest =
      Await([&](auto aHandler) { http::async_write(aStream, aSerializer, std::move(aHandler)); });
    done.error_ = rest.error_;
    done.bytes_ += rest.bytes_;
  }
  if (done.error_ && done.error_ != http::error::need_buffer) {
    return ToHttpError(done.error_);
  }
  return done.bytes_;
}

/// Sets the next part of a buffer body; an empty part ends the body.
inline void SetBodyPart(http::buffer_body::value_type& aBody, std::string_view aPart) noexcept
{
  // The serializer only reads the bytes; Beast's type takes them as mutable.
  aBody.data = aPart.empty() ? nullptr : const_cast<char*>(aPart.data());
  aBody.size = aPart.size();
  aBody.more = !aPart.empty();
}

} // namespace hemlockproxy::runtime::impl
