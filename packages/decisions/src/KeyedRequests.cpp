#include "hemlockproxy/decisions/KeyedRequests.h"

#include <algorithm>

namespace hemlockproxy::decisions {

using model::AttemptId;
using model::ClaimAnswer;
using model::RefusalReason;
using model::RequestOutcome;
using model::TimePoint;

KeyedRequests::KeyedRequests(KeyedRequestsLimits aLimits)
  : limits_(aLimits)
{
}

std::vector<KeyedAction> KeyedRequests::Handle(const KeyedEvent& aEvent, TimePoint aNow)
{
  Actions out;
  // Timers first: after a pause an answer must not overtake the deadline that passed before it.
  RunTimers(aNow, out);
  std::visit([&](const auto& aOne) { On(aOne, aNow, out); }, aEvent);
  RunReleases(aNow, out);
  return out;
}

TimePoint KeyedRequests::NextTick() const noexcept
{
  const TimePoint next = std::min(nextClaimTimer_, nextRelease_);
  return finished_.empty() ? next : std::min(next, finished_.front().forgetAt_);
}

void KeyedRequests::On(const KeyedArrived& aEvent, TimePoint aNow, Actions& aOut)
{
  const auto refuse = [&](RequestOutcome aOutcome, RefusalReason aReason) {
    aOut.push_back(RefuseRequest{ aEvent.attempt_, aOutcome, aReason });
  };
  if (const auto place = finishedPlace_.find(aEvent.key_); place != finishedPlace_.end()) {
    const FinishedRequest& finished = finished_[place->second - forgotten_];
    if (finished.fingerprint_ != aEvent.fingerprint_) {
      refuse(RequestOutcome::NotRun, RefusalReason::KeyMismatch);
    } else if (finished.storedBytes_) {
      aOut.push_back(ReplayResponse{ aEvent.attempt_, aEvent.key_ });
    } else {
      refuse(RequestOutcome::Unknown, RefusalReason::AlreadyClaimed);
    }
    return;
  }
  if (const auto found = requests_.find(aEvent.key_); found != requests_.end()) {
    if (found->second.fingerprint_ != aEvent.fingerprint_) {
      refuse(RequestOutcome::NotRun, RefusalReason::KeyMismatch);
    } else {
      refuse(RequestOutcome::Unknown, RefusalReason::AlreadyClaimed);
    }
    return;
  }
  if (requests_.size() >= limits_.maxActive_) {
    refuse(RequestOutcome::NotRun, RefusalReason::QueueFull);
    return;
  }
  if (aEvent.deadline_ <= aNow) {
    refuse(RequestOutcome::NotRun, RefusalReason::DeadlineTooShort);
    return;
  }
  Request request;
  request.attempt_ = aEvent.attempt_;
  request.fingerprint_ = aEvent.fingerprint_;
  request.claimBefore_ = std::min(aEvent.deadline_, aNow + limits_.claimTime_);
  request.startBefore_ = std::min(aEvent.deadline_, aNow + limits_.grantTime_);
  nextClaimTimer_ = std::min(nextClaimTimer_, request.claimBefore_);
  keys_.emplace(aEvent.attempt_, aEvent.key_);
  CallResolver(requests_.emplace(aEvent.key_, request).first, aOut);
}

void KeyedRequests::On(const ClaimAnswered& aEvent, TimePoint aNow, Actions& aOut)
{
  const auto found = Find(aEvent.attempt_, Stage::Claiming);
  if (found == requests_.end()) {
    return;
  }
  // With several calls, another resolver may have appended the claim or may still do so.
  const bool calledOnce = found->second.claimCalls_ == 1;
  switch (aEvent.answer_) {
    case ClaimAnswer::Granted:
      if (aNow < found->second.startBefore_) {
        Forward(found, aOut);
      } else {
        Abandon(found, RequestOutcome::NotRun, RefusalReason::DeadlineTooShort, true, aNow, aOut);
      }
      break;
    case ClaimAnswer::Duplicate:
      Abandon(
        found, RequestOutcome::Unknown, RefusalReason::AlreadyClaimed, !calledOnce, aNow, aOut);
      break;
    case ClaimAnswer::Unavailable:
      Abandon(found, RequestOutcome::NotRun, RefusalReason::ClaimUnavailable, true, aNow, aOut);
      break;
    case ClaimAnswer::NotClaimed:
      Abandon(
        found, RequestOutcome::NotRun, RefusalReason::ClaimUnavailable, !calledOnce, aNow, aOut);
      break;
  }
}

void KeyedRequests::On(const ClaimCallFailed& aEvent, TimePoint aNow, Actions& aOut)
{
  const auto found = Find(aEvent.attempt_, Stage::Claiming);
  if (found == requests_.end()) {
    return;
  }
  if (found->second.claimCalls_ < limits_.maxClaimCalls_) {
    CallResolver(found, aOut);
  } else {
    Abandon(found, RequestOutcome::NotRun, RefusalReason::ClaimUnavailable, true, aNow, aOut);
  }
}

void KeyedRequests::On(const ForwardEnded& aEvent, TimePoint aNow, Actions& aOut)
{
  const auto found = Find(aEvent.attempt_, Stage::Forwarding);
  if (found == requests_.end()) {
    return;
  }
  Request& request = found->second;
  if (aEvent.outcome_ != RequestOutcome::NotRun) {
    Finish(found, aEvent, aNow, aOut);
  } else if (aEvent.canTryElsewhere_ && !request.callerGone_ && aNow < request.startBefore_ &&
             request.forwards_ < limits_.maxForwards_) {
    Forward(found, aOut);
  } else {
    Abandon(found, RequestOutcome::NotRun, aEvent.reason_, true, aNow, aOut);
  }
}

void KeyedRequests::On(const CallerGone& aEvent, TimePoint aNow, Actions& aOut)
{
  const auto key = keys_.find(aEvent.attempt_);
  if (key == keys_.end()) {
    return;
  }
  const auto found = requests_.find(key->second);
  found->second.callerGone_ = true;
  if (found->second.stage_ == Stage::Claiming) {
    Abandon(found, RequestOutcome::NotRun, RefusalReason::None, true, aNow, aOut);
  }
}

void KeyedRequests::On(const ReleaseAnswered& aEvent, TimePoint aNow, Actions&)
{
  const auto found = releases_.find(aEvent.attempt_);
  if (found == releases_.end()) {
    return;
  }
  if (aEvent.recorded_) {
    releases_.erase(found);
    return;
  }
  // The shift is bounded so that it cannot overflow.
  constexpr std::uint32_t kMaxDoublings = 16;
  Release& release = found->second;
  release.calling_ = false;
  release.nextTry_ =
    aNow + std::min(limits_.maxReleaseBackoff_,
                    limits_.releaseBackoff_ * (1 << std::min(release.tries_, kMaxDoublings)));
  nextRelease_ = std::min(nextRelease_, release.nextTry_);
}

void KeyedRequests::On(const KeyedTick&, TimePoint, Actions&) {}

KeyedRequests::RequestMap::iterator KeyedRequests::Find(const AttemptId& aAttempt, Stage aStage)
{
  const auto key = keys_.find(aAttempt);
  if (key == keys_.end()) {
    return requests_.end();
  }
  const auto found = requests_.find(key->second);
  return found->second.stage_ == aStage ? found : requests_.end();
}

void KeyedRequests::CallResolver(RequestMap::iterator aRequest, Actions& aOut)
{
  Request& request = aRequest->second;
  aOut.push_back(SendClaim{ { model::ToClaimKey(aRequest->first), request.attempt_ },
                            request.claimBefore_,
                            request.claimCalls_++ });
}

void KeyedRequests::Forward(RequestMap::iterator aRequest, Actions& aOut)
{
  Request& request = aRequest->second;
  request.stage_ = Stage::Forwarding;
  ++request.forwards_;
  aOut.push_back(ForwardRequest{ request.attempt_, request.startBefore_ });
}

void KeyedRequests::Abandon(RequestMap::iterator aRequest,
                            RequestOutcome aOutcome,
                            RefusalReason aReason,
                            bool aRelease,
                            TimePoint aNow,
                            Actions& aOut)
{
  const Request& request = aRequest->second;
  Refuse(request, aOutcome, aReason, aOut);
  if (aRelease && releases_.size() < limits_.maxReleases_) {
    Release release;
    release.entry_ = { model::ToClaimKey(aRequest->first), request.attempt_ };
    release.until_ = aNow + limits_.releaseTime_;
    release.nextTry_ = aNow;
    nextRelease_ = aNow;
    releases_.emplace(request.attempt_, release);
  }
  keys_.erase(request.attempt_);
  requests_.erase(aRequest);
}

void KeyedRequests::Finish(RequestMap::iterator aRequest,
                           const ForwardEnded& aEvent,
                           TimePoint aNow,
                           Actions& aOut)
{
  const Request& request = aRequest->second;
  if (aEvent.outcome_ == RequestOutcome::Unknown) {
    Refuse(request, RequestOutcome::Unknown, aEvent.reason_, aOut);
  }
  FinishedRequest finished{
    aRequest->first, request.fingerprint_, aNow + limits_.finishedTime_, {}
  };
  if (aEvent.outcome_ == RequestOutcome::Answered && aEvent.responseBytes_ &&
      *aEvent.responseBytes_ <= std::min(limits_.maxResponseBytes_, limits_.maxStoredBytes_)) {
    finished.storedBytes_ = aEvent.responseBytes_;
    while (storedBytes_ + *finished.storedBytes_ > limits_.maxStoredBytes_) {
      ForgetOldest(aOut);
    }
    storedBytes_ += *finished.storedBytes_;
    aOut.push_back(StoreResponse{ request.attempt_, aRequest->first });
  }
  while (!finished_.empty() && finished_.size() >= limits_.maxFinished_) {
    ForgetOldest(aOut);
  }
  finishedPlace_.emplace(aRequest->first, forgotten_ + finished_.size());
  finished_.push_back(finished);
  keys_.erase(request.attempt_);
  requests_.erase(aRequest);
}

void KeyedRequests::Refuse(const Request& aRequest,
                           RequestOutcome aOutcome,
                           RefusalReason aReason,
                           Actions& aOut) const
{
  if (!aRequest.callerGone_) {
    aOut.push_back(RefuseRequest{ aRequest.attempt_, aOutcome, aReason });
  }
}

void KeyedRequests::RunTimers(TimePoint aNow, Actions& aOut)
{
  while (!finished_.empty() && finished_.front().forgetAt_ <= aNow) {
    ForgetOldest(aOut);
  }
  if (aNow < nextClaimTimer_) {
    return;
  }
  nextClaimTimer_ = TimePoint::max();
  for (auto next = requests_.begin(); next != requests_.end();) {
    const auto current = next++;
    if (current->second.stage_ != Stage::Claiming) {
      continue;
    }
    if (current->second.claimBefore_ <= aNow) {
      Abandon(current, RequestOutcome::NotRun, RefusalReason::ClaimUnavailable, true, aNow, aOut);
    } else {
      nextClaimTimer_ = std::min(nextClaimTimer_, current->second.claimBefore_);
    }
  }
}

void KeyedRequests::RunReleases(TimePoint aNow, Actions& aOut)
{
  if (aNow < nextRelease_) {
    return;
  }
  nextRelease_ = TimePoint::max();
  for (auto next = releases_.begin(); next != releases_.end();) {
    const auto current = next++;
    Release& release = current->second;
    if (release.calling_) {
      continue;
    }
    if (release.until_ <= aNow) {
      releases_.erase(current);
    } else if (release.nextTry_ <= aNow) {
      release.calling_ = true;
      aOut.push_back(
        SendRelease{ release.entry_, aNow + limits_.releaseCallTime_, release.tries_++ });
    } else {
      nextRelease_ = std::min(nextRelease_, release.nextTry_);
    }
  }
}

void KeyedRequests::ForgetOldest(Actions& aOut)
{
  const FinishedRequest& oldest = finished_.front();
  if (oldest.storedBytes_) {
    storedBytes_ -= *oldest.storedBytes_;
    aOut.push_back(DropResponse{ oldest.key_ });
  }
  finishedPlace_.erase(oldest.key_);
  finished_.pop_front();
  ++forgotten_;
}

} // namespace hemlockproxy::decisions
