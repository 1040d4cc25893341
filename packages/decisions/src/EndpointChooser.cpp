#include "hemlockproxy/decisions/EndpointChooser.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hemlockproxy::decisions {

using model::DaemonId;
using model::Duration;
using model::RandomSource;
using model::RefusalReason;
using model::TimePoint;

namespace {

constexpr double kLatencyWeight = 0.05;
// A report decides between endpoints that have equal work of our own, and hardly otherwise. All
// entries follow the same reports, so that late ones with full weight make the load swing between
// endpoints: in the model with reports 3 s late a weight of 1 failed 2% to 5% of the requests, and
// 0 failed 0.05% to 0.4%. A weight of 0 would be blind at entries that have little work of their
// own.
constexpr double kOthersWeight = 0.02;
constexpr double kColdShare = 0.1;
// Bounds the weight of latency, so that a slow endpoint still gets some requests and can show that
// it has recovered.
constexpr double kMaximumRelativeLatency = 4;
constexpr std::size_t kMaximumHeldFailures = 64;

double Nanoseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::nano>(aDuration).count();
}

} // namespace

model::Result<EndpointChooser, EndpointChooserError> EndpointChooser::Create(
  EndpointChooserOptions aOptions)
{
  std::optional<OutlierEjection> ejection;
  if (aOptions.ejection_) {
    auto created = OutlierEjection::Create(*aOptions.ejection_);
    if (!created) {
      return EndpointChooserError{ "ejection: " + created.Error().message_ };
    }
    ejection = std::move(*created);
  }
  if (!aOptions.picker_) {
    aOptions.picker_ = MakeTwoChoices();
  }
  if (!aOptions.score_) {
    aOptions.score_ = MakeLatencyAwareScore(kOthersWeight);
  }
  return EndpointChooser(std::move(aOptions), std::move(ejection));
}

EndpointChooser::EndpointChooser(EndpointChooserOptions aOptions,
                                 std::optional<OutlierEjection> aEjection)
  : options_(std::move(aOptions))
  , ejection_(std::move(aEjection))
{
}

EndpointChooser::State EndpointChooser::MakeState(TimePoint aNow, const EndpointEntry& aEntry) const
{
  State state;
  state.own_ = aEntry.domain_ == options_.ownDomain_;
  state.warmSince_ = aNow;
  state.warm_ = !listed_;
  if (!state.own_) {
    const auto link = options_.links_.find(aEntry.domain_);
    state.link_ = link == options_.links_.end() ? options_.defaultLink_ : link->second;
  }
  return state;
}

void EndpointChooser::SetEndpoints(TimePoint aNow, const std::vector<EndpointEntry>& aEndpoints)
{
  std::map<DaemonId, State> next;
  std::vector<DaemonId> ids;
  for (const EndpointEntry& entry : aEndpoints) {
    const auto known = states_.find(entry.id_);
    State state = known == states_.end() ? MakeState(aNow, entry) : std::move(known->second);
    if (entry.takesWork_ && !state.entry_.takesWork_) {
      // The member table knew that the endpoint was leaving, and now knows that it is back.
      state.leavingUntil_ = {};
    }
    state.entry_ = entry;
    next.insert_or_assign(entry.id_, std::move(state));
    ids.push_back(entry.id_);
  }
  states_ = std::move(next);
  listed_ = listed_ || !aEndpoints.empty();
  if (ejection_) {
    ejection_->SetEndpoints(ids);
  }
}

void EndpointChooser::SetReachable(const DaemonId& aEndpoint, bool aReachable)
{
  if (const auto found = states_.find(aEndpoint); found != states_.end()) {
    found->second.reachable_ = aReachable;
  }
}

bool EndpointChooser::IsOpen(TimePoint aNow, const State& aState) noexcept
{
  return aState.entry_.takesWork_ && aState.reachable_ && aNow >= aState.leavingUntil_;
}

model::Result<EndpointChoice, RefusalReason>
EndpointChooser::Choose(TimePoint aNow, RandomSource& aRandom, const std::vector<DaemonId>& aTried)
{
  const StateList candidates = Candidates(aNow, aTried);
  if (candidates.empty()) {
    return RefusalReason::NoEndpoint;
  }
  State* chosen = options_.domainRule_ == DomainRule::Ignore
                    ? PickFrom(aNow, aRandom, candidates)
                    : PickByDomain(aNow, aRandom, candidates);
  ++chosen->inProgress_;
  return EndpointChoice{ chosen->entry_.id_, !chosen->own_ };
}

bool EndpointChooser::CanChoose(TimePoint aNow, const std::vector<DaemonId>& aTried) const
{
  return std::any_of(states_.begin(), states_.end(), [&](const auto& aEntry) {
    const auto& [id, state] = aEntry;
    return IsOpen(aNow, state) && std::find(aTried.begin(), aTried.end(), id) == aTried.end();
  });
}

EndpointChooser::StateList EndpointChooser::Candidates(TimePoint aNow,
                                                       const std::vector<DaemonId>& aTried)
{
  std::size_t taking = 0;
  std::size_t notEjected = 0;
  StateList all;
  StateList healthy;
  for (auto& [id, state] : states_) {
    if (!IsOpen(aNow, state)) {
      continue;
    }
    ++taking;
    const bool ejected = ejection_ && ejection_->IsEjected(aNow, id);
    notEjected += ejected ? 0 : 1;
    if (std::find(aTried.begin(), aTried.end(), id) != aTried.end()) {
      continue;
    }
    all.push_back(&state);
    if (!ejected) {
      healthy.push_back(&state);
    }
  }
  // When most endpoints look broken the observations are more likely to be wrong, or the rest
  // would be overloaded.
  const bool panic =
    static_cast<double>(notEjected) < options_.panicShare_ * static_cast<double>(taking);
  return panic || healthy.empty() ? all : healthy;
}

double EndpointChooser::Warmth(TimePoint aNow, const State& aState) const
{
  TimePoint since = aState.warmSince_;
  bool warm = aState.warm_;
  if (const auto until = ejection_ ? ejection_->EjectedUntil(aState.entry_.id_) : std::nullopt) {
    since = std::max(since, *until);
    warm = false;
  }
  if (warm || options_.warmUp_.count() <= 0) {
    return 1;
  }
  const double share = Nanoseconds(aNow - since) / Nanoseconds(options_.warmUp_);
  return std::clamp(share, kColdShare, 1.0);
}

EndpointLoad EndpointChooser::LoadOf(TimePoint aNow, State& aState) const
{
  while (!aState.held_.empty() && aState.held_.front() <= aNow) {
    aState.held_.pop_front();
  }
  EndpointLoad load;
  load.own_ = aState.inProgress_ + static_cast<double>(aState.held_.size());
  load.reported_ = aState.reported_;
  if (aState.reportedAt_) {
    const double age = Nanoseconds(aNow - *aState.reportedAt_);
    load.others_ = aState.othersAtReport_ * std::exp2(-age / Nanoseconds(options_.reportHalfLife_));
  }
  load.slots_ = std::max(1U, aState.entry_.slots_) * Warmth(aNow, aState);
  if (ejection_) {
    load.relativeLatency_ =
      std::clamp(ejection_->RelativeLatency(aState.entry_.id_), 1.0, kMaximumRelativeLatency);
  }
  return load;
}

EndpointChooser::State* EndpointChooser::PickFrom(TimePoint aNow,
                                                  RandomSource& aRandom,
                                                  const StateList& aStates)
{
  std::vector<double> scores;
  scores.reserve(aStates.size());
  for (State* state : aStates) {
    scores.push_back(options_.score_->Score(LoadOf(aNow, *state)));
  }
  return aStates[options_.picker_->Pick(scores, aRandom)];
}

EndpointChooser::State* EndpointChooser::PickByDomain(TimePoint aNow,
                                                      RandomSource& aRandom,
                                                      const StateList& aStates)
{
  StateList own;
  StateList others;
  for (State* state : aStates) {
    (state->own_ ? own : others).push_back(state);
  }
  if (own.empty()) {
    return PickFrom(aNow, aRandom, others);
  }
  State* local = PickFrom(aNow, aRandom, own);
  const double localPrice = PriceNs(aNow, *local);
  if (others.empty() || localPrice <= 0) {
    return local;
  }
  State* remote = PickFrom(aNow, aRandom, others);
  return PriceNs(aNow, *remote) < localPrice ? remote : local;
}

double EndpointChooser::PriceNs(TimePoint aNow, State& aState) const
{
  const double link = 2 * Nanoseconds(aState.link_.oneWayDelay_) * aState.link_.factor_;
  const double queued = std::max(0.0, Occupancy(LoadOf(aNow, aState)) - 1);
  return (aState.own_ ? 0 : link) + queued * meanLatencyNs_.value_or(0);
}

void EndpointChooser::Hold(State& aState, TimePoint aUntil)
{
  auto& held = aState.held_;
  held.insert(std::upper_bound(held.begin(), held.end(), aUntil), aUntil);
  if (held.size() > kMaximumHeldFailures) {
    held.pop_front();
  }
}

void EndpointChooser::Finish(TimePoint aNow, const AttemptResult& aResult)
{
  const auto found = states_.find(aResult.endpoint_);
  if (found == states_.end()) {
    return;
  }
  State& state = found->second;
  state.inProgress_ -= state.inProgress_ > 0 ? 1 : 0;
  if (aResult.load_) {
    state.reported_ = aResult.load_->inProgress_;
    state.othersAtReport_ = std::max(0.0, state.reported_ - state.inProgress_);
    state.reportedAt_ = aNow - aResult.load_->age_;
  }
  if (aResult.verdict_ == AttemptVerdict::Failure) {
    Hold(state, aNow + options_.failureHold_);
  } else if (aResult.verdict_ == AttemptVerdict::Refused) {
    Hold(state, aNow + options_.refusalHold_);
  }
  if (aResult.verdict_ == AttemptVerdict::Leaving) {
    state.leavingUntil_ = aNow + options_.leavingHold_;
  }
  const Duration link = state.own_ ? Duration{} : Duration(2 * state.link_.oneWayDelay_);
  const Duration latency = std::max(Duration{}, aResult.latency_ - link);
  if (aResult.verdict_ == AttemptVerdict::Success) {
    const double mean = meanLatencyNs_.value_or(Nanoseconds(latency));
    meanLatencyNs_ = mean + kLatencyWeight * (Nanoseconds(latency) - mean);
  }
  if (ejection_) {
    // A cold endpoint is slow for a while and would be ejected for it.
    const bool comparable = Warmth(aNow, state) >= 1;
    ejection_->Observe(aNow,
                       aResult.endpoint_,
                       aResult.verdict_,
                       comparable ? std::optional(latency) : std::nullopt);
  }
}

std::size_t EndpointChooser::EjectedCount(TimePoint aNow) const
{
  return ejection_ ? ejection_->EjectedCount(aNow) : 0;
}

Duration EndpointChooser::MeanLatency() const noexcept
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::nano>(meanLatencyNs_.value_or(0)));
}

} // namespace hemlockproxy::decisions
