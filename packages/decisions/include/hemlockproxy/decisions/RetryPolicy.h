#pragma once

#include "hemlockproxy/decisions/RetryBudget.h"
#include "hemlockproxy/model/Clock.h"
#include "hemlockproxy/model/Config.h"
#include "hemlockproxy/model/RequestOutcome.h"
#include "hemlockproxy/model/Result.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>

namespace hemlockproxy::decisions {

/// Whether a request may run more than once.
enum class Repeatable : std::uint8_t
{
  No,
  Yes,
};

struct RetryPolicyOptions
{
  model::RetryRule rule_;
  /// Redirects as a percentage of requests. A redirect follows a refusal that costs no backend
  /// server anything (leaving, connection refused), and must work while a whole failure domain is
  /// lost, so that it does not share the budget of other retries.
  double redirectPercent_ = 100;
  /// Redirects for one request, in addition to the attempts of the rule.
  std::uint32_t redirects_ = 3;
  /// The wait before a retry is random, at most this for the first retry and doubled for each
  /// further one up to maximumBackoff_.
  std::chrono::milliseconds baseBackoff_{ 10 };
  std::chrono::milliseconds maximumBackoff_{ 200 };
  /// Mean latencies that half of the time left must hold for an attempt to be given up at half
  /// time. With half of 200 ms against a mean of 50 ms, 1% of requests failed on endpoints that
  /// were well.
  double latenciesPerAttempt_ = 4;
  /// Null means the rule's percentage with a small burst.
  std::unique_ptr<RetryBudget> budget_;
};

struct RetryPolicyError
{
  std::string message_;
};

/// The state of a request after an attempt.
struct AttemptState
{
  model::RequestOutcome outcome_ = model::RequestOutcome::Answered;
  model::RefusalReason reason_ = model::RefusalReason::None;
  Repeatable repeatable_ = Repeatable::No;
  /// Attempts so far without redirected ones, this one included unless it is redirected.
  std::uint32_t attempts_ = 1;
  std::uint32_t redirects_ = 0;
  /// Attempts that the route allows; 0 means those of the rule.
  std::uint32_t mostAttempts_ = 0;
  /// Whether an earlier attempt may have run.
  bool mayHaveRun_ = false;
  model::TimePoint deadline_;
  /// The time that the next attempt is expected to take.
  model::Duration expectedLatency_{};
};

/// Send the request to another endpoint after the wait.
struct RetryElsewhere
{
  model::Duration wait_{};
  /// Counts as a redirect rather than as an attempt.
  bool redirect_ = false;
};

/// Why a request is not retried.
enum class GiveUpReason : std::uint8_t
{
  /// The response is complete; also a server error is final. The caller of a service in a chain
  /// then gets an answer, so that only the entry next to a failure retries and retries do not
  /// multiply along the chain.
  Answered,
  /// It may have run and must not run twice.
  NotRepeatable,
  /// The refusal would be the same everywhere.
  SameEverywhere,
  NoAttemptsLeft,
  DeadlineTooShort,
  BudgetUsedUp,
};

/// Return the outcome of the attempt to the caller.
struct GiveUp
{
  GiveUpReason reason_ = GiveUpReason::Answered;
};

/// Returns what is certain about a request after its last attempt: an attempt that did not run says
/// nothing of earlier ones that may have.
[[nodiscard]] model::RequestOutcome OutcomeOfAll(const AttemptState& aState,
                                                 model::RequestOutcome aLast) noexcept;

using RetryDecision = std::variant<RetryElsewhere, GiveUp>;

/// Decides after each attempt of an entry's request to one service whether to try another endpoint.
///
///     policy.CountRequest(now);
///     ...
///     RetryDecision decision = policy.Decide(now, state, random);
class RetryPolicy
{
public:
  /// Fails when the rule allows no attempt.
  [[nodiscard]] static model::Result<RetryPolicy, RetryPolicyError> Create(
    RetryPolicyOptions aOptions);

  /// Counts a new request, which fills the budget of redirects.
  void CountRequest(model::TimePoint aNow) noexcept;
  /// Passes the allowance on to the budget of retries.
  /// Returns how many retries the budget allows now.
  [[nodiscard]] double RetriesLeft(model::TimePoint aNow) const noexcept
  {
    return options_.budget_->Left(aNow);
  }
  void SetExtra(double aExtra) noexcept;
  /// Decides on a request whose attempt has ended; takes from the budget if it is retried. Call it
  /// also for answered attempts, since they fill the budget of retries: requests that are only
  /// rejected must not, or an overload of three times the capacity would allow retries of 30% of
  /// the capacity.
  [[nodiscard]] RetryDecision Decide(model::TimePoint aNow,
                                     const AttemptState& aState,
                                     model::RandomSource& aRandom);

  /// Returns how long an attempt that starts now may take, which the owner is told as its deadline.
  /// aState describes the request before the attempt; its outcome is not used.
  [[nodiscard]] model::Duration AttemptTime(model::TimePoint aNow,
                                            const AttemptState& aState) const noexcept;

  /// Returns whether a refusal says that nothing was asked of a backend server.
  [[nodiscard]] static bool IsRedirect(model::RequestOutcome aOutcome,
                                       model::RefusalReason aReason) noexcept;

private:
  explicit RetryPolicy(RetryPolicyOptions aOptions);

  [[nodiscard]] model::Duration Backoff(std::uint32_t aAttempts,
                                        model::RandomSource& aRandom) const;

  RetryPolicyOptions options_;
  std::unique_ptr<RetryBudget> redirectBudget_;
};

} // namespace hemlockproxy::decisions
