#include "hemlockproxy/model/RequestOutcome.h"

namespace hemlockproxy::model {

const char* ToString(RefusalReason aReason) noexcept
{
  switch (aReason) {
    case RefusalReason::None:
      return "none";
    case RefusalReason::NoConfiguration:
      return "no-configuration";
    case RefusalReason::NoRoute:
      return "no-route";
    case RefusalReason::ConfigurationOutdated:
      return "configuration-outdated";
    case RefusalReason::NoEndpoint:
      return "no-endpoint";
    case RefusalReason::QueueFull:
      return "queue-full";
    case RefusalReason::RateLimited:
      return "rate-limited";
    case RefusalReason::DeadlineTooShort:
      return "deadline-too-short";
    case RefusalReason::Leaving:
      return "leaving";
    case RefusalReason::KeyRequired:
      return "key-required";
    case RefusalReason::ClaimUnavailable:
      return "claim-unavailable";
    case RefusalReason::AlreadyClaimed:
      return "already-claimed";
    case RefusalReason::KeyMismatch:
      return "key-mismatch";
    case RefusalReason::Quarantined:
      return "quarantined";
    case RefusalReason::ConnectFailed:
      return "connect-failed";
    case RefusalReason::UpstreamFailed:
      return "upstream-failed";
    case RefusalReason::UpstreamTimeout:
      return "upstream-timeout";
    case RefusalReason::BodyTooLarge:
      return "body-too-large";
    case RefusalReason::BackendRefused:
      return "backend-refused";
    case RefusalReason::OtherBackend:
      return "other-backend";
    case RefusalReason::MalformedBody:
      return "malformed-body";
    case RefusalReason::CallerFailed:
      return "caller-failed";
    case RefusalReason::CallerSlow:
      return "caller-slow";
    case RefusalReason::CallerLeft:
      return "caller-left";
    case RefusalReason::UnknownKey:
      return "unknown-key";
    case RefusalReason::AllowanceUsed:
      return "allowance-used";
  }
  return "unknown";
}

const char* ToString(RequestOutcome aOutcome) noexcept
{
  switch (aOutcome) {
    case RequestOutcome::Answered:
      return "answered";
    case RequestOutcome::NotRun:
      return "not-run";
    case RequestOutcome::Unknown:
      return "unknown";
  }
  return "unknown";
}

} // namespace hemlockproxy::model
