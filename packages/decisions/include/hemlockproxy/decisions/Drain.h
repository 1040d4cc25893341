#pragma once

#include "hemlockproxy/model/Clock.h"
#include "hemlockproxy/model/Result.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hemlockproxy::decisions {

struct DrainOptions
{
  /// How long callers' requests are still served after the stop signal, so that callers hear that
  /// the daemon leaves before it rejects them.
  std::chrono::milliseconds notice_{ 2000 };
  /// The last part of the notice, in which entries hear that the daemon leaves. Forwards are
  /// accepted until then: the backend server may stay, and would have no work.
  std::chrono::milliseconds handOver_{ 400 };
  /// The longest wait for requests in progress, from the stop signal on.
  std::chrono::milliseconds limit_{ 30000 };
};

struct DrainError
{
  std::string message_;
};

enum class DrainState : std::uint8_t
{
  Serving,
  /// Callers are told to connect elsewhere; everything is still accepted.
  Leaving,
  /// Forwards from entries are rejected; callers' requests still go to other endpoints.
  HandingOver,
  /// All new requests are rejected; requests in progress go on.
  Finishing,
  /// The process is to end.
  Ended,
};

[[nodiscard]] constexpr bool AcceptsForwards(DrainState aState) noexcept
{
  return aState == DrainState::Serving || aState == DrainState::Leaving;
}

[[nodiscard]] constexpr bool AcceptsCallers(DrainState aState) noexcept
{
  return AcceptsForwards(aState) || aState == DrainState::HandingOver;
}

/// What the daemon has to do, in this order.
enum class DrainAction : std::uint8_t
{
  /// Add "Connection: close" to responses, so that callers connect elsewhere.
  CloseIdleConnections,
  /// Mark the own member record as leaving and send it.
  AnnounceLeaving,
  /// Admission::StartDraining; reject forwards as not run with reason Leaving.
  RejectForwards,
  /// Reject callers' requests as not run with reason Leaving; the listeners stay open.
  RejectCallers,
  CloseListeners,
  /// Mark the own member record as left and send it.
  LeaveMembership,
  /// Exit with status 0: no request was interrupted.
  ExitClean,
  /// Exit with a status that says that requests were interrupted.
  ExitInterrupted,
};

/// The graceful shutdown sequence of a daemon.
///
/// Work in progress is passed in with each event: requests that run or wait at this daemon, as
/// entry or as owner.
class Drain
{
public:
  /// Fails when the limit is shorter than the notice, or the notice than the handover.
  [[nodiscard]] static model::Result<Drain, DrainError> Create(DrainOptions aOptions);

  /// A stop signal. The second one ends the process at once.
  [[nodiscard]] std::vector<DrainAction> Stop(model::TimePoint aNow, std::size_t aInProgress);
  /// Call it when work in progress ends and at NextTick.
  [[nodiscard]] std::vector<DrainAction> Tick(model::TimePoint aNow, std::size_t aInProgress);

  [[nodiscard]] DrainState State() const noexcept { return state_; }
  /// Returns when Tick has something to do even if no work ends.
  [[nodiscard]] std::optional<model::TimePoint> NextTick() const noexcept;

private:
  explicit Drain(const DrainOptions& aOptions)
    : options_(aOptions)
  {
  }

  void End(std::size_t aInProgress, std::vector<DrainAction>& aActions);
  [[nodiscard]] model::TimePoint HandOverAt() const noexcept
  {
    return stoppedAt_ + options_.notice_ - options_.handOver_;
  }

  DrainOptions options_;
  DrainState state_ = DrainState::Serving;
  model::TimePoint stoppedAt_{};
};

} // namespace hemlockproxy::decisions
