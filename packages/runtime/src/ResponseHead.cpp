#include "hemlockproxy/runtime/ResponseHead.h"

#include "hemlockproxy/model/Number.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <optional>
#include <string>

namespace hemlockproxy::runtime {

namespace {

using model::Unit;

constexpr std::string_view kLineEnd = "\r\n";
/// "HTTP/1.1 200", without the reason.
constexpr std::size_t kShortestStatusLine = 12;
constexpr std::size_t kStatusAt = 9;
constexpr unsigned kLowestStatus = 100;
constexpr unsigned kHighestStatus = 599;
constexpr unsigned kNoContent = 204;

HttpError Malformed(std::string aMessage)
{
  return HttpError{ HttpErrorKind::Malformed, std::move(aMessage) };
}

constexpr bool IsDigit(char aByte) noexcept
{
  return aByte >= '0' && aByte <= '9';
}

bool IsTokenByte(char aByte) noexcept
{
  constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
  return IsDigit(aByte) || (aByte >= 'a' && aByte <= 'z') || (aByte >= 'A' && aByte <= 'Z') ||
         kOthers.find(aByte) != std::string_view::npos;
}

bool IsValueByte(char aByte) noexcept
{
  constexpr unsigned char kFirstVisible = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  const auto byte = static_cast<unsigned char>(aByte);
  return aByte == '\t' || (byte >= kFirstVisible && byte != kDelete);
}

std::string_view Trimmed(std::string_view aText) noexcept
{
  constexpr std::string_view kBlanks = " \t";
  const auto first = aText.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(kBlanks) - first + 1);
}

bool SameText(std::string_view aOne, std::string_view aOther) noexcept
{
  return boost::beast::iequals({ aOne.data(), aOne.size() }, { aOther.data(), aOther.size() });
}

/// What the head says of the length of the body.
struct BodyFraming
{
  std::optional<std::uint64_t> length_;
  /// The transfer codings in the order of the fields.
  std::optional<std::string> codings_;
};

/// Returns what is wrong with a line of the head, or nothing.
std::optional<HttpError> TakeField(std::string_view aLine, BodyFraming& aFraming)
{
  const auto colon = aLine.find(':');
  const std::string_view name = aLine.substr(0, colon);
  if (colon == std::string_view::npos || name.empty() ||
      !std::all_of(name.begin(), name.end(), IsTokenByte)) {
    return Malformed("found a field name that is no token");
  }
  const std::string_view value = Trimmed(aLine.substr(colon + 1));
  if (!std::all_of(value.begin(), value.end(), IsValueByte)) {
    return Malformed("found a control byte in the field " + std::string(name));
  }
  if (SameText(name, "Transfer-Encoding")) {
    aFraming.codings_ = aFraming.codings_ ? *aFraming.codings_ + "," : std::string();
    *aFraming.codings_ += value;
  }
  if (!SameText(name, "Content-Length")) {
    return std::nullopt;
  }
  const auto length = model::ParseNumber<std::uint64_t>(value);
  if (!length || !std::all_of(value.begin(), value.end(), IsDigit)) {
    return Malformed("found a Content-Length that is no number");
  }
  if (aFraming.length_.value_or(*length) != *length) {
    return Malformed("found two Content-Length values");
  }
  aFraming.length_ = length;
  return std::nullopt;
}

/// Returns whether the last coding, and only that one, is "chunked".
bool EndsInChunks(std::string_view aCodings)
{
  constexpr std::string_view kChunked = "chunked";
  std::size_t chunked = 0;
  bool last = false;
  while (!aCodings.empty()) {
    const auto comma = aCodings.find(',');
    last = SameText(Trimmed(aCodings.substr(0, comma)), kChunked);
    chunked += last ? 1 : 0;
    aCodings.remove_prefix(comma == std::string_view::npos ? aCodings.size() : comma + 1);
  }
  return last && chunked == 1;
}

HttpResult<Unit> CheckFraming(unsigned aStatus, bool aHttp10, const BodyFraming& aFraming)
{
  const bool coded = aFraming.codings_.has_value();
  if (coded && aFraming.length_) {
    return Malformed("found Content-Length together with Transfer-Encoding");
  }
  if (coded && (aHttp10 || !EndsInChunks(*aFraming.codings_))) {
    return Malformed("found Transfer-Encoding \"" + *aFraming.codings_ + "\", expected chunked");
  }
  if ((aStatus < 200 || aStatus == kNoContent) && (coded || aFraming.length_.value_or(0) > 0)) {
    return Malformed("found a body in a response with status " + std::to_string(aStatus));
  }
  return Unit{};
}

/// Returns the status of a status line; nothing when the line is none.
std::optional<unsigned> StatusOf(std::string_view aLine)
{
  if (aLine.size() < kShortestStatusLine ||
      !(aLine.starts_with("HTTP/1.1 ") || aLine.starts_with("HTTP/1.0 ")) ||
      !std::all_of(aLine.begin(), aLine.end(), IsValueByte) ||
      (aLine.size() > kShortestStatusLine && aLine[kShortestStatusLine] != ' ')) {
    return std::nullopt;
  }
  const std::string_view digits = aLine.substr(kStatusAt, kShortestStatusLine - kStatusAt);
  return std::all_of(digits.begin(), digits.end(), IsDigit) ? model::ParseNumber<unsigned>(digits)
                                                            : std::nullopt;
}

} // namespace

HttpResult<Unit> CheckResponseHead(std::string_view aHead)
{
  auto lineEnd = aHead.find(kLineEnd);
  const std::string_view statusLine = aHead.substr(0, lineEnd);
  const auto status = StatusOf(statusLine);
  if (!status) {
    return Malformed("found no status line");
  }
  if (*status < kLowestStatus || *status > kHighestStatus) {
    return Malformed("found status " + std::to_string(*status) + ", expected 100 to 599");
  }
  BodyFraming framing;
  while (lineEnd != std::string_view::npos) {
    aHead.remove_prefix(lineEnd + kLineEnd.size());
    lineEnd = aHead.find(kLineEnd);
    if (lineEnd == 0) {
      return CheckFraming(*status, statusLine.starts_with("HTTP/1.0"), framing);
    }
    if (lineEnd == std::string_view::npos) {
      break;
    }
    if (auto problem = TakeField(aHead.substr(0, lineEnd), framing); problem) {
      return *std::move(problem);
    }
  }
  return Malformed("found no end of the head");
}

} // namespace hemlockproxy::runtime
