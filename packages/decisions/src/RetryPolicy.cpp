#include "hemlockproxy/decisions/RetryPolicy.h"

#include <algorithm>
#include <random>
#include <utility>

namespace hemlockproxy::decisions {

using model::Duration;
using model::RandomSource;
using model::RefusalReason;
using model::RequestOutcome;
using model::TimePoint;

namespace {

// Retries that may be saved up. A burst this small cannot overload an endpoint of 10 slots.
constexpr double kRetryBurst = 10;
// Redirects that may be saved up: the requests in progress at one lost endpoint.
constexpr double kRedirectBurst = 100;
constexpr std::uint32_t kMaximumDoublings = 16;

/// A refusal that every endpoint would repeat, or that the entry itself decided.
bool IsSameEverywhere(RefusalReason aReason) noexcept
{
  switch (aReason) {
    case RefusalReason::NoConfiguration:
    case RefusalReason::NoRoute:
    case RefusalReason::ConfigurationOutdated:
    case RefusalReason::KeyRequired:
    case RefusalReason::ClaimUnavailable:
    case RefusalReason::AlreadyClaimed:
    case RefusalReason::Quarantined:
    case RefusalReason::BodyTooLarge:
    case RefusalReason::MalformedBody:
    case RefusalReason::CallerFailed:
    case RefusalReason::CallerSlow:
    case RefusalReason::CallerLeft:
      return true;
    default:
      return false;
  }
}

} // namespace

RequestOutcome OutcomeOfAll(const AttemptState& aState, RequestOutcome aLast) noexcept
{
  return aLast == RequestOutcome::NotRun && aState.mayHaveRun_ ? RequestOutcome::Unknown : aLast;
}

model::Result<RetryPolicy, RetryPolicyError> RetryPolicy::Create(RetryPolicyOptions aOptions)
{
  if (aOptions.rule_.attempts_ == 0) {
    return RetryPolicyError{ "attempts: found 0, expected at least 1" };
  }
  if (!aOptions.budget_) {
    aOptions.budget_ = MakePercentBudget(aOptions.rule_.budgetPercent_, kRetryBurst);
  }
  return RetryPolicy(std::move(aOptions));
}

RetryPolicy::RetryPolicy(RetryPolicyOptions aOptions)
  : options_(std::move(aOptions))
  , redirectBudget_(MakePercentBudget(options_.redirectPercent_, kRedirectBurst))
{
}

void RetryPolicy::CountRequest(TimePoint aNow) noexcept
{
  redirectBudget_->CountRequest(aNow);
}

void RetryPolicy::SetExtra(double aExtra) noexcept
{
  options_.budget_->SetExtra(aExtra);
}

Duration RetryPolicy::AttemptTime(TimePoint aNow, const AttemptState& aState) const noexcept
{
  const Duration left = std::max(Duration{}, aState.deadline_ - aNow);
  const bool last =
    aState.repeatable_ == Repeatable::No || aState.attempts_ + 1 >= options_.rule_.attempts_;
  const bool halfIsEnough = left / 2 >= options_.latenciesPerAttempt_ * aState.expectedLatency_;
  return last || !halfIsEnough ? left : left / 2;
}

bool RetryPolicy::IsRedirect(RequestOutcome aOutcome, RefusalReason aReason) noexcept
{
  if (aOutcome != RequestOutcome::NotRun) {
    return false;
  }
  switch (aReason) {
    case RefusalReason::Leaving:
    case RefusalReason::ConnectFailed:
    case RefusalReason::NoEndpoint:
    // An owner refuses by its own queue and speed; another one may have a free slot.
    case RefusalReason::QueueFull:
    case RefusalReason::DeadlineTooShort:
      return true;
    default:
      return false;
  }
}

RetryDecision RetryPolicy::Decide(TimePoint aNow, const AttemptState& aState, RandomSource& aRandom)
{
  if (aState.outcome_ == RequestOutcome::Answered) {
    options_.budget_->CountRequest(aNow);
    return GiveUp{ GiveUpReason::Answered };
  }
  if (aState.outcome_ == RequestOutcome::Unknown && aState.repeatable_ == Repeatable::No) {
    return GiveUp{ GiveUpReason::NotRepeatable };
  }
  if (IsSameEverywhere(aState.reason_)) {
    return GiveUp{ GiveUpReason::SameEverywhere };
  }
  const bool redirect = IsRedirect(aState.outcome_, aState.reason_);
  const std::uint32_t most =
    aState.mostAttempts_ > 0 ? aState.mostAttempts_ : options_.rule_.attempts_;
  if (redirect ? aState.redirects_ >= options_.redirects_ : aState.attempts_ >= most) {
    return GiveUp{ GiveUpReason::NoAttemptsLeft };
  }
  const Duration wait = redirect ? Duration{} : Backoff(aState.attempts_, aRandom);
  if (aNow + wait + aState.expectedLatency_ >= aState.deadline_) {
    return GiveUp{ GiveUpReason::DeadlineTooShort };
  }
  // Last, so that a request that is not retried uses no token.
  if (!(redirect ? redirectBudget_ : options_.budget_)->TakeRetry(aNow)) {
    return GiveUp{ GiveUpReason::BudgetUsedUp };
  }
  return RetryElsewhere{ wait, redirect };
}

Duration RetryPolicy::Backoff(std::uint32_t aAttempts, RandomSource& aRandom) const
{
  const std::uint32_t doublings = std::min(kMaximumDoublings, std::max(1U, aAttempts) - 1);
  const Duration most = std::min<Duration>(
    options_.maximumBackoff_, options_.baseBackoff_ * (std::int64_t{ 1 } << doublings));
  return Duration(std::uniform_int_distribution<Duration::rep>(0, most.count())(aRandom));
}

} // namespace hemlockproxy::decisions
