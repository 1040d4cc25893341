#include "impl/HeldBody.h"

#include "hemlockproxy/model/Number.h"

#include <array>

namespace hemlockproxy::daemon::impl {

namespace http = runtime::http;

std::optional<std::size_t> BodyLengthOf(const runtime::ResponseHeader& aHeader)
{
  return model::ParseNumber<std::size_t>(aHeader[http::field::content_length]);
}

runtime::HttpResult<std::string> ReadWhole(runtime::BodySource& aBody, std::size_t aLength)
{
  // One byte more than the length, so that the end is found without another buffer.
  std::string body(aLength + 1, '\0');
  std::size_t held = 0;
  while (held <= aLength) {
    auto read = aBody.Read(body.data() + held, body.size() - held);
    if (!read) {
      return read.Error();
    }
    if (*read == 0) {
      break;
    }
    held += *read;
  }
  body.resize(held);
  return body;
}

void DropRest(runtime::BodySource& aBody)
{
  // A rejection says why in a line; another connection costs less than reading more than this.
  constexpr std::size_t kMostDropped = 4UL * 1024;
  std::array<char, 256> part{};
  for (std::size_t dropped = 0; dropped < kMostDropped;) {
    const auto read = aBody.Read(part.data(), part.size());
    if (!read || *read == 0) {
      return;
    }
    dropped += *read;
  }
}

} // namespace hemlockproxy::daemon::impl
