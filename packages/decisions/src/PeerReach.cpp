#include "hemlockproxy/decisions/PeerReach.h"

#include <algorithm>
#include <utility>

namespace hemlockproxy::decisions {

using model::DaemonId;
using model::TimePoint;

void PeerReach::SetPeers(const std::vector<DaemonId>& aPeers)
{
  std::unordered_map<DaemonId, State> kept;
  for (const DaemonId& id : aPeers) {
    kept.emplace(id, states_[id]);
  }
  states_ = std::move(kept);
}

void PeerReach::Started(TimePoint aNow, const DaemonId& aPeer)
{
  if (const auto found = states_.find(aPeer); found != states_.end()) {
    State& state = found->second;
    if (state.exchanges_++ == 0) {
      state.quietSince_ = aNow;
    }
  }
}

void PeerReach::Ended(TimePoint aNow, const DaemonId& aPeer, PeerSign aSign)
{
  const auto found = states_.find(aPeer);
  if (found == states_.end()) {
    return;
  }
  State& state = found->second;
  // An exchange may have begun before the peer was forgotten and listed again.
  state.exchanges_ -= state.exchanges_ > 0 ? 1 : 0;
  switch (aSign) {
    case PeerSign::Heard:
      Heard(aNow, aPeer, state);
      break;
    case PeerSign::ConnectFailed:
      SetPath(aPeer, state, std::max(state.path_, PeerPath::Doubtful));
      state.probeAt_ = state.probeAt_.value_or(aNow);
      break;
    case PeerSign::NotHeard:
      state.probeAt_ = state.probeAt_.value_or(aNow);
      break;
    case PeerSign::Nothing:
      break;
  }
}

std::vector<DaemonId> PeerReach::TakeProbes(TimePoint aNow)
{
  std::vector<DaemonId> due;
  for (auto& [id, state] : states_) {
    if (!state.probing_ && IsProbeDue(aNow, state)) {
      state.probing_ = true;
      state.probeAt_.reset();
      due.push_back(id);
    }
  }
  return due;
}

bool PeerReach::IsProbeDue(TimePoint aNow, const State& aState) const
{
  if (aState.probeAt_) {
    return aNow >= *aState.probeAt_;
  }
  return aState.exchanges_ > 0 && aNow - aState.quietSince_ >= options_.silence_;
}

void PeerReach::ProbeEnded(TimePoint aNow, const DaemonId& aPeer, bool aAnswered)
{
  const auto found = states_.find(aPeer);
  if (found == states_.end()) {
    return;
  }
  State& state = found->second;
  state.probing_ = false;
  if (aAnswered) {
    Heard(aNow, aPeer, state);
    return;
  }
  ++state.lostProbes_;
  if (state.lostProbes_ >= options_.probesLost_) {
    SetPath(aPeer, state, PeerPath::Silent);
    state.probeAt_ = aNow + options_.probeInterval_;
  } else {
    state.probeAt_ = aNow;
  }
}

void PeerReach::Heard(TimePoint aNow, const DaemonId& aPeer, State& aState)
{
  aState.quietSince_ = aNow;
  aState.lostProbes_ = 0;
  aState.probeAt_.reset();
  SetPath(aPeer, aState, PeerPath::Open);
}

void PeerReach::SetPath(const DaemonId& aPeer, State& aState, PeerPath aPath)
{
  if (std::exchange(aState.path_, aPath) != aPath) {
    changes_.push_back({ aPeer, aPath });
  }
}

std::vector<PeerChange> PeerReach::TakeChanges()
{
  return std::exchange(changes_, {});
}

PeerPath PeerReach::PathTo(const DaemonId& aPeer) const
{
  const auto found = states_.find(aPeer);
  return found == states_.end() ? PeerPath::Open : found->second.path_;
}

std::size_t PeerReach::ClosedCount() const
{
  return static_cast<std::size_t>(
    std::count_if(states_.begin(), states_.end(), [](const auto& aEntry) {
      return !IsOpen(aEntry.second.path_);
    }));
}

} // namespace hemlockproxy::decisions
