#include "hemlockproxy/decisions/Drain.h"

namespace hemlockproxy::decisions {

using model::TimePoint;

model::Result<Drain, DrainError> Drain::Create(DrainOptions aOptions)
{
  if (aOptions.handOver_.count() < 0 || aOptions.notice_ < aOptions.handOver_) {
    return DrainError{ "drain notice: expected at least the handover period" };
  }
  if (aOptions.limit_ < aOptions.notice_) {
    return DrainError{ "drain limit: expected at least the notice period" };
  }
  return Drain(aOptions);
}

std::vector<DrainAction> Drain::Stop(TimePoint aNow, std::size_t aInProgress)
{
  std::vector<DrainAction> actions;
  if (state_ == DrainState::Serving) {
    state_ = DrainState::Leaving;
    stoppedAt_ = aNow;
    actions = { DrainAction::CloseIdleConnections };
  } else if (state_ != DrainState::Ended) {
    End(aInProgress, actions);
  }
  return actions;
}

std::vector<DrainAction> Drain::Tick(TimePoint aNow, std::size_t aInProgress)
{
  std::vector<DrainAction> actions;
  if (state_ == DrainState::Leaving && aNow >= HandOverAt()) {
    state_ = DrainState::HandingOver;
    actions = { DrainAction::AnnounceLeaving, DrainAction::RejectForwards };
  }
  if (state_ == DrainState::HandingOver && aNow >= stoppedAt_ + options_.notice_) {
    state_ = DrainState::Finishing;
    actions.push_back(DrainAction::RejectCallers);
  }
  const bool late = aNow >= stoppedAt_ + options_.limit_;
  if (state_ == DrainState::Finishing && (aInProgress == 0 || late)) {
    End(aInProgress, actions);
  }
  return actions;
}

void Drain::End(std::size_t aInProgress, std::vector<DrainAction>& aActions)
{
  state_ = DrainState::Ended;
  aActions.push_back(DrainAction::CloseListeners);
  aActions.push_back(DrainAction::LeaveMembership);
  aActions.push_back(aInProgress == 0 ? DrainAction::ExitClean : DrainAction::ExitInterrupted);
}

std::optional<TimePoint> Drain::NextTick() const noexcept
{
  switch (state_) {
    case DrainState::Leaving:
      return HandOverAt();
    case DrainState::HandingOver:
      return stoppedAt_ + options_.notice_;
    case DrainState::Finishing:
      return stoppedAt_ + options_.limit_;
    default:
      return std::nullopt;
  }
}

} // namespace hemlockproxy::decisions
