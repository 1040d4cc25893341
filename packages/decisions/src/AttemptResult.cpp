#include "hemlockproxy/decisions/AttemptResult.h"

namespace hemlockproxy::decisions {

using model::RefusalReason;
using model::RequestOutcome;

AttemptVerdict JudgeAttempt(RequestOutcome aOutcome,
                            RefusalReason aReason,
                            ResponseKind aResponse) noexcept
{
  if (aReason == RefusalReason::MalformedBody || aReason == RefusalReason::CallerFailed ||
      aReason == RefusalReason::CallerSlow || aReason == RefusalReason::BodyTooLarge ||
      aReason == RefusalReason::CallerLeft) {
    // What the caller does says nothing of the endpoint.
    return AttemptVerdict::Cancelled;
  }
  if (aOutcome == RequestOutcome::Unknown) {
    return AttemptVerdict::Failure;
  }
  if (aOutcome == RequestOutcome::Answered) {
    return aResponse == ResponseKind::ServerError ? AttemptVerdict::Failure
                                                  : AttemptVerdict::Success;
  }
  switch (aReason) {
    case RefusalReason::None:
    case RefusalReason::ConnectFailed:
    case RefusalReason::UpstreamFailed:
    case RefusalReason::UpstreamTimeout:
      return AttemptVerdict::Failure;
    case RefusalReason::Leaving:
      return AttemptVerdict::Leaving;
    default:
      return AttemptVerdict::Refused;
  }
}

} // namespace hemlockproxy::decisions
