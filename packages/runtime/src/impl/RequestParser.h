#pragma once

#include "hemlockproxy/runtime/Http.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <cstdint>

namespace hemlockproxy::runtime::impl {

/// Parses a request and counts what it costs. Beast's own limit covers the lines of one read only:
/// a head whose lines come one by one, a trailer and chunk extensions have no bound there.
class RequestParser final : public http::request_parser<http::buffer_body>
{
public:
  /// Takes a head, and behind it chunk extensions and trailer together, of this many bytes each.
  explicit RequestParser(std::uint32_t aLimit)
    : limit_(aLimit)
  {
    header_limit(aLimit);
  }

  /// Returns the number of header lines.
  [[nodiscard]] std::size_t Lines() const noexcept { return lines_; }

private:
  // A line has a colon, and CR and LF at its end.
  static constexpr std::size_t kLineBytes = 3;

  void on_field_impl(http::field aField,
                     boost::beast::string_view aName,
                     boost::beast::string_view aValue,
                     boost::beast::error_code& aError) override
  {
    if (headDone_) {
      // Nothing reads the trailer, so that it is not kept.
      CountBodyLine(aName.size() + aValue.size() + kLineBytes, aError);
      return;
    }
    ++lines_;
    get().insert(aField, aName, aValue);
  }

  void on_header_impl(boost::beast::error_code& aError) override
  {
    headDone_ = true;
    aError = {};
  }

  void on_chunk_header_impl(std::uint64_t /*aSize*/,
                            boost::beast::string_view aExtensions,
                            boost::beast::error_code& aError) override
  {
    CountBodyLine(aExtensions.size(), aError);
  }

  void CountBodyLine(std::size_t aBytes, boost::beast::error_code& aError)
  {
    bodyLines_ += aBytes;
    if (bodyLines_ > limit_) {
      aError = http::error::header_limit;
    }
  }

  std::uint32_t limit_;
  std::size_t lines_ = 0;
  std::size_t bodyLines_ = 0;
  bool headDone_ = false;
};

} // namespace hemlockproxy::runtime::impl
