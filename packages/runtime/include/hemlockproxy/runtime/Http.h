#pragma once

#include <utility>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include "hemlockproxy/model/Result.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace hemlockproxy::runtime {

namespace http = boost::beast::http;

using RequestHeader = http::request_header<>;
using ResponseHeader = http::response_header<>;

/// Why an HTTP exchange failed.
enum class HttpErrorKind : std::uint8_t
{
  ConnectFailed,
  /// The peer closed the connection in good order before the first byte of a message.
  Closed,
  /// The connection broke or ended inside a message.
  Broken,
  TimedOut,
  /// The bytes received are not a valid message.
  Malformed,
  HeaderTooLarge,
  BodyTooLarge,
};

/// The error type of the HTTP layer.
struct HttpError
{
  HttpErrorKind kind_ = HttpErrorKind::Broken;
  std::string message_;
};

template <typename T>
using HttpResult = model::Result<T, HttpError>;

/// The source of a message body.
class BodySource
{
public:
  virtual ~BodySource() = default;

  /// Reads the next part into the buffer; returns the number of bytes, 0 at the end of the body.
  [[nodiscard]] virtual HttpResult<std::size_t> Read(char* aBuffer, std::size_t aSize) = 0;
};

/// A body held in memory.
class StringBody final : public BodySource
{
public:
  explicit StringBody(std::string_view aBody) noexcept
    : rest_(aBody)
  {
  }

  [[nodiscard]] HttpResult<std::size_t> Read(char* aBuffer, std::size_t aSize) override
  {
    const std::size_t taken = rest_.copy(aBuffer, aSize);
    rest_.remove_prefix(taken);
    return taken;
  }

  /// Returns what was not read yet.
  [[nodiscard]] std::string_view Left() const noexcept { return rest_; }

private:
  std::string_view rest_;
};

/// The size of the parts in which bodies are streamed, in bytes.
inline constexpr std::size_t kBodyPartBytes = 64UL * 1024;

/// Removes the header fields that apply to one connection only (Connection and those it names,
/// Keep-Alive, Proxy-Connection, TE, Trailer, Upgrade); Transfer-Encoding is kept, as it tells how
/// the body is delimited.
void RemoveHopByHopFields(http::fields& aFields);

} // namespace hemlockproxy::runtime
