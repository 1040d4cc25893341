#pragma once

#include "hemlockproxy/daemon/Upstream.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace hemlockproxy::daemon {

/// The part of a representation that a response carries, and how to ask for the rest of it.
struct ResumePoint
{
  /// The entity tag, which is strong.
  std::string validator_;
  /// The first and last byte of the representation that the response carries.
  std::uint64_t first_ = 0;
  std::uint64_t last_ = 0;
};

/// Returns how a response can be resumed, or nothing: it needs status 200 or 206, a length, a
/// strong entity tag and Accept-Ranges or Content-Range.
[[nodiscard]] std::optional<ResumePoint> FindResumePoint(const runtime::ResponseHeader& aHeader);

/// Returns whether a response continues the representation at a byte.
[[nodiscard]] bool Continues(const runtime::ResponseHeader& aHeader,
                             const ResumePoint& aPoint,
                             std::uint64_t aNext);

/// What to ask another endpoint for.
struct ResumeRequest
{
  /// The values of the Range and If-Range fields.
  std::string range_;
  std::string validator_;
  /// Whether the endpoint that broke off had delivered anything. If so, resuming repeats no work.
  bool progressed_ = false;
  /// Whether the endpoint fell silent, rather than broke off.
  bool stalled_ = false;
};

/// A response body that is continued from another endpoint by a range request when it breaks off or
/// stalls.
class ResumingBody final : public UpstreamBody
{
public:
  /// Asks another endpoint for the rest of the representation.
  using Resume = std::function<UpstreamReply(const ResumeRequest& aRequest)>;

  ResumingBody(std::unique_ptr<UpstreamBody> aBody, ResumePoint aPoint, Resume aResume);

  [[nodiscard]] runtime::HttpResult<std::size_t> Read(char* aBuffer, std::size_t aSize) override;
  void SetStallTimeout(std::chrono::milliseconds aTimeout) override;

private:
  [[nodiscard]] bool TryResume(const runtime::HttpError& aError);

  std::unique_ptr<UpstreamBody> body_;
  ResumePoint point_;
  Resume resume_;
  std::uint64_t next_;
  std::uint64_t resumedAt_;
  std::chrono::milliseconds stallTimeout_{ 0 };
};

} // namespace hemlockproxy::daemon
