#include "impl/FirstPart.h"

#include "impl/HeldBody.h"

namespace hemlockproxy::daemon::impl {

namespace {

/// Holds a usual response whole; a longer one costs one more copy of this part.
constexpr std::size_t kFirstPartBytes = 16UL * 1024;

/// A body whose first part has been read.
class StartedBody final : public UpstreamBody
{
public:
  StartedBody(std::string aFirst, std::unique_ptr<UpstreamBody> aRest)
    : first_(std::move(aFirst))
    , left_(first_)
    , rest_(std::move(aRest))
  {
  }
  StartedBody(const StartedBody&) = delete;
  StartedBody& operator=(const StartedBody&) = delete;

  [[nodiscard]] runtime::HttpResult<std::size_t> Read(char* aBuffer, std::size_t aSize) override
  {
    return left_.Left().empty() ? rest_->Read(aBuffer, aSize) : left_.Read(aBuffer, aSize);
  }
  void SetStallTimeout(std::chrono::milliseconds aTimeout) override
  {
    rest_->SetStallTimeout(aTimeout);
  }

private:
  std::string first_;
  runtime::StringBody left_;
  std::unique_ptr<UpstreamBody> rest_;
};

} // namespace

UpstreamReply WithFirstPart(UpstreamReply aReply)
{
  using model::RefusalReason;
  using model::RequestOutcome;
  if (aReply.outcome_ != RequestOutcome::Answered || aReply.body_->Held()) {
    return aReply;
  }
  std::string first(kFirstPartBytes, '\0');
  const auto read = aReply.body_->Read(first.data(), first.size());
  if (!read) {
    UpstreamReply failed = Refused(RequestOutcome::Unknown,
                                   read.Error().kind_ == runtime::HttpErrorKind::TimedOut
                                     ? RefusalReason::UpstreamTimeout
                                     : RefusalReason::UpstreamFailed);
    failed.load_ = aReply.load_;
    return failed;
  }
  if (*read == 0) {
    aReply.body_ = std::make_unique<HeldBody>(std::string());
    return aReply;
  }
  first.resize(*read);
  aReply.body_ = std::make_unique<StartedBody>(std::move(first), std::move(aReply.body_));
  return aReply;
}

} // namespace hemlockproxy::daemon::impl
