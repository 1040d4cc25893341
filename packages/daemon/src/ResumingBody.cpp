#include "hemlockproxy/daemon/ResumingBody.h"

#include "hemlockproxy/model/Number.h"

namespace hemlockproxy::daemon {

namespace {

namespace http = runtime::http;

std::string_view Field(const runtime::ResponseHeader& aHeader, http::field aField)
{
  const auto value = aHeader[aField];
  return { value.data(), value.size() };
}

/// Parses "bytes FIRST-LAST/TOTAL".
std::optional<std::pair<std::uint64_t, std::uint64_t>> ParseContentRange(std::string_view aText)
{
  constexpr std::string_view kUnit = "bytes ";
  if (!aText.starts_with(kUnit)) {
    return std::nullopt;
  }
  aText.remove_prefix(kUnit.size());
  const std::size_t dash = aText.find('-');
  const std::size_t slash = aText.find('/');
  if (dash == std::string_view::npos || slash == std::string_view::npos || slash < dash) {
    return std::nullopt;
  }
  const auto first = model::ParseNumber<std::uint64_t>(aText.substr(0, dash));
  const auto last = model::ParseNumber<std::uint64_t>(aText.substr(dash + 1, slash - dash - 1));
  if (!first || !last || *last < *first) {
    return std::nullopt;
  }
  return std::pair(*first, *last);
}

} // namespace

std::optional<ResumePoint> FindResumePoint(const runtime::ResponseHeader& aHeader)
{
  const std::string_view tag = Field(aHeader, http::field::etag);
  if (!tag.starts_with('"')) {
    return std::nullopt;
  }
  ResumePoint point;
  point.validator_ = tag;
  if (aHeader.result() == http::status::partial_content) {
    const auto range = ParseContentRange(Field(aHeader, http::field::content_range));
    if (!range) {
      return std::nullopt;
    }
    point.first_ = range->first;
    point.last_ = range->second;
    return point;
  }
  const auto length =
    model::ParseNumber<std::uint64_t>(Field(aHeader, http::field::content_length));
  if (aHeader.result() != http::status::ok ||
      Field(aHeader, http::field::accept_ranges) != "bytes" || !length || *length == 0) {
    return std::nullopt;
  }
  point.last_ = *length - 1;
  return point;
}

bool Continues(const runtime::ResponseHeader& aHeader,
               const ResumePoint& aPoint,
               std::uint64_t aNext)
{
  const auto range = ParseContentRange(Field(aHeader, http::field::content_range));
  return aHeader.result() == http::status::partial_content && range && range->first == aNext &&
         range->second == aPoint.last_ && Field(aHeader, http::field::etag) == aPoint.validator_;
}

ResumingBody::ResumingBody(std::unique_ptr<UpstreamBody> aBody, ResumePoint aPoint, Resume aResume)
  : body_(std::move(aBody))
  , point_(std::move(aPoint))
  , resume_(std::move(aResume))
  , next_(point_.first_)
  , resumedAt_(point_.first_)
{
}

void ResumingBody::SetStallTimeout(std::chrono::milliseconds aTimeout)
{
  stallTimeout_ = aTimeout;
  body_->SetStallTimeout(aTimeout);
}

runtime::HttpResult<std::size_t> ResumingBody::Read(char* aBuffer, std::size_t aSize)
{
  while (true) {
    auto read = body_->Read(aBuffer, aSize);
    if (read) {
      next_ += *read;
      return read;
    }
    if (next_ > point_.last_ || !TryResume(read.Error())) {
      return read;
    }
  }
}

bool ResumingBody::TryResume(const runtime::HttpError& aError)
{
  const ResumeRequest request{ "bytes=" + std::to_string(next_) + "-" +
                                 std::to_string(point_.last_),
                               point_.validator_,
                               next_ > resumedAt_,
                               aError.kind_ == runtime::HttpErrorKind::TimedOut };
  resumedAt_ = next_;
  // Frees the broken upstream's connection and slot first.
  body_ = nullptr;
  UpstreamReply reply = resume_(request);
  if (reply.outcome_ != model::RequestOutcome::Answered ||
      !Continues(reply.header_, point_, next_)) {
    // Keeps a body that fails again, so that later reads report the failure.
    class BrokenBody final : public UpstreamBody
    {
    public:
      [[nodiscard]] runtime::HttpResult<std::size_t> Read(char* /*aBuffer*/,
                                                          std::size_t /*aSize*/) override
      {
        return runtime::HttpError{ runtime::HttpErrorKind::Broken,
                                   "the response could not be resumed" };
      }
      void SetStallTimeout(std::chrono::milliseconds /*aTimeout*/) override {}
    };
    body_ = std::make_unique<BrokenBody>();
    return false;
  }
  body_ = std::move(reply.body_);
  body_->SetStallTimeout(stallTimeout_);
  return true;
}

} // namespace hemlockproxy::daemon
