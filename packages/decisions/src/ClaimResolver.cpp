#include "hemlockproxy/decisions/ClaimResolver.h"

#include <algorithm>

namespace hemlockproxy::decisions {

using model::ClaimAnswer;
using model::ClaimEntry;
using model::LogOffset;
using model::TimePoint;

ClaimResolver::ClaimResolver(ClaimResolverLimits aLimits, ClaimLedgerLimits aLedgerLimits)
  : limits_(aLimits)
  , ledger_(aLedgerLimits)
{
}

std::vector<ResolverAction> ClaimResolver::Handle(const ResolverEvent& aEvent, TimePoint aNow)
{
  Actions out;
  std::visit([&](const auto& aOne) { On(aOne, aNow, out); }, aEvent);
  ExpireDeadlines(aNow, out);
  StartAppend(aNow, out);
  StartRead(aNow, out);
  return out;
}

TimePoint ClaimResolver::NextTick(TimePoint aNow) const noexcept
{
  TimePoint next = nextDeadline_;
  if (!appendInFlight_ && HasQueued() && endReachedBy_ >= appendAfterRead_) {
    next = std::min(next, AppendAllowedAt());
  }
  if (!readInFlight_) {
    next = std::min(next, std::max(readNotBefore_, ReadWanted(aNow) ? aNow : idleReadAt_));
  }
  return next;
}

void ClaimResolver::On(const ClaimRequested& aEvent, TimePoint aNow, Actions& aOut)
{
  const ClaimEntry& entry = aEvent.entry_;
  if (const auto verdict = ledger_.Find(entry)) {
    AnswerFromLedger(entry, *verdict, aOut);
    return;
  }
  if (const auto found = claims_.find(entry.attempt_); found != claims_.end()) {
    found->second.deadline_ = std::max(found->second.deadline_, aEvent.deadline_);
    return;
  }
  if (releases_.contains(entry.attempt_) || claims_.size() >= limits_.maxWaiting_) {
    aOut.push_back(AnswerClaim{ entry, ClaimAnswer::NotClaimed, {} });
    return;
  }
  PendingClaim claim{ entry, aEvent.deadline_, arrivals_++ };
  if (IsBlocked(entry, aNow)) {
    claim.stage_ = Stage::Checking;
    claim.checkedBy_ = reads_ + 1;
  }
  claims_.emplace(entry.attempt_, claim);
  NoteDeadline(aEvent.deadline_);
}

void ClaimResolver::On(const ReleaseRequested& aEvent, TimePoint, Actions& aOut)
{
  const ClaimEntry& entry = aEvent.entry_;
  if (claims_.erase(entry.attempt_) > 0) {
    aOut.push_back(AnswerClaim{ entry, ClaimAnswer::Unavailable, {} });
  }
  if (ledger_.Find(entry) == ClaimVerdict::Released) {
    aOut.push_back(AnswerRelease{ entry, true });
    return;
  }
  if (const auto found = releases_.find(entry.attempt_); found != releases_.end()) {
    found->second.answer_ = true;
    found->second.deadline_ = std::max(found->second.deadline_, aEvent.deadline_);
    return;
  }
  if (releases_.size() >= limits_.maxWaiting_) {
    aOut.push_back(AnswerRelease{ entry, false });
    return;
  }
  releases_.emplace(entry.attempt_, PendingRelease{ entry, aEvent.deadline_, Stage::Queued, true });
  NoteDeadline(aEvent.deadline_);
}

void ClaimResolver::On(const AppendSucceeded& aEvent, TimePoint, Actions&)
{
  appendInFlight_ = false;
  appendBackoff_ = {};
  known_ = std::max(known_, aEvent.offset_.Next());
  lastAppend_.offset_ = aEvent.offset_;
  MoveStage(Stage::Appending, Stage::Appended);
}

void ClaimResolver::On(const AppendFailed&, TimePoint aNow, Actions&)
{
  EndFailedAppend(aNow, false);
}

void ClaimResolver::On(const AppendUnknown&, TimePoint aNow, Actions&)
{
  EndFailedAppend(aNow, true);
  appendAfterRead_ = reads_ + 1;
}

void ClaimResolver::On(const RecordsRead& aEvent, TimePoint aNow, Actions& aOut)
{
  readInFlight_ = false;
  readBackoff_ = {};
  idleReadAt_ = aNow + limits_.idleReadInterval_;
  if (!started_) {
    Restart(aEvent.firstRetained_, aEvent.next_);
  }
  known_ = std::max(known_, aEvent.next_);
  for (const model::LoggedClaims& logged : aEvent.records_) {
    if (logged.offset_ < ledger_.Next()) {
      continue;
    }
    if (!ledger_.Apply(logged)) {
      Restart(aEvent.firstRetained_, aEvent.next_);
      return;
    }
    if (lastAppend_.offset_ == logged.offset_) {
      clock_ = ClockReading{ logged.appended_, lastAppend_.started_ };
    }
    AnswerRecord(logged, aNow, aOut);
  }
  if (ledger_.Next() >= aEvent.next_) {
    endReachedBy_ = reads_;
    FinishChecks(aNow, aOut);
  }
}

void ClaimResolver::On(const ReadTrimmed& aEvent, TimePoint, Actions&)
{
  readInFlight_ = false;
  Restart(aEvent.firstRetained_, aEvent.next_);
}

void ClaimResolver::On(const ReadFailed&, TimePoint aNow, Actions&)
{
  readInFlight_ = false;
  readBackoff_ = NextBackoff(readBackoff_);
  readNotBefore_ = aNow + readBackoff_;
}

void ClaimResolver::On(const ResolverTick&, TimePoint, Actions&) {}

void ClaimResolver::ExpireDeadlines(TimePoint aNow, Actions& aOut)
{
  if (aNow < nextDeadline_) {
    return;
  }
  nextDeadline_ = TimePoint::max();
  std::erase_if(claims_, [&](const auto& aPair) {
    if (aPair.second.deadline_ > aNow) {
      NoteDeadline(aPair.second.deadline_);
      return false;
    }
    const PendingClaim& claim = aPair.second;
    const bool maybeRecorded =
      claim.maybeRecorded_ || claim.stage_ == Stage::Appending || claim.stage_ == Stage::Appended;
    aOut.push_back(AnswerClaim{
      claim.entry_, maybeRecorded ? ClaimAnswer::Unavailable : ClaimAnswer::NotClaimed, {} });
    return true;
  });
  std::erase_if(releases_, [&](const auto& aPair) {
    if (aPair.second.deadline_ > aNow) {
      NoteDeadline(aPair.second.deadline_);
      return false;
    }
    if (aPair.second.answer_) {
      aOut.push_back(AnswerRelease{ aPair.second.entry_, false });
    }
    return true;
  });
}

void ClaimResolver::StartAppend(TimePoint aNow, Actions& aOut)
{
  // Before the ledger is ready no claim can be answered, so none is appended.
  if (appendInFlight_ || !ledger_.Ready() || aNow < AppendAllowedAt() ||
      endReachedBy_ < appendAfterRead_) {
    return;
  }
  model::ClaimRecord record;
  for (auto& [attempt, release] : releases_) {
    if (release.stage_ == Stage::Queued) {
      release.stage_ = Stage::Appending;
      record.releases_.push_back(release.entry_);
    }
  }
  std::vector<PendingClaim*> queued;
  for (auto& [attempt, claim] : claims_) {
    if (claim.stage_ == Stage::Queued) {
      claim.stage_ = Stage::Appending;
      queued.push_back(&claim);
    }
  }
  if (queued.empty() && record.releases_.empty()) {
    return;
  }
  std::ranges::sort(queued, {}, &PendingClaim::arrival_);
  for (const PendingClaim* claim : queued) {
    record.claims_.push_back(claim->entry_);
  }
  appendInFlight_ = true;
  lastAppend_ = { aNow, {} };
  bucketFullAt_ = std::max(bucketFullAt_, aNow) + limits_.appendInterval_;
  aOut.push_back(AppendBatch{ std::move(record) });
}

void ClaimResolver::StartRead(TimePoint aNow, Actions& aOut)
{
  if (readInFlight_ || aNow < readNotBefore_ || (!ReadWanted(aNow) && aNow < idleReadAt_)) {
    return;
  }
  const bool awaited = started_ && ledger_.Next() < known_;
  readInFlight_ = true;
  ++reads_;
  aOut.push_back(
    ReadRecords{ ledger_.Next(), awaited ? limits_.readWait_ : std::chrono::milliseconds(0) });
}

void ClaimResolver::Restart(LogOffset aFirstRetained, LogOffset aNext)
{
  started_ = true;
  ledger_.Start(aFirstRetained, aNext);
  known_ = std::max(known_, aNext);
}

void ClaimResolver::EndFailedAppend(TimePoint aNow, bool aMaybeRecorded)
{
  appendInFlight_ = false;
  appendBackoff_ = NextBackoff(appendBackoff_);
  appendNotBefore_ = aNow + appendBackoff_;
  if (aMaybeRecorded) {
    for (auto& [attempt, claim] : claims_) {
      claim.maybeRecorded_ = claim.maybeRecorded_ || claim.stage_ == Stage::Appending;
    }
  }
  MoveStage(Stage::Appending, Stage::Queued);
}

void ClaimResolver::MoveStage(Stage aOld, Stage aNew)
{
  for (auto& [attempt, claim] : claims_) {
    if (claim.stage_ == aOld) {
      claim.stage_ = aNew;
    }
  }
  for (auto& [attempt, release] : releases_) {
    if (release.stage_ == aOld) {
      release.stage_ = aNew;
    }
  }
}

void ClaimResolver::FinishChecks(TimePoint aNow, Actions& aOut)
{
  std::vector<ClaimEntry> blocked;
  for (auto& [attempt, claim] : claims_) {
    if (claim.stage_ != Stage::Checking || claim.checkedBy_ > endReachedBy_) {
      continue;
    }
    if (IsBlocked(claim.entry_, aNow)) {
      blocked.push_back(claim.entry_);
    } else {
      claim.stage_ = Stage::Queued;
    }
  }
  for (const ClaimEntry& entry : blocked) {
    claims_.erase(entry.attempt_);
    aOut.push_back(AnswerClaim{ entry, ClaimAnswer::Duplicate, {} });
  }
}

void ClaimResolver::AnswerFromLedger(const ClaimEntry& aEntry, ClaimVerdict aVerdict, Actions& aOut)
{
  AnswerClaim answer{ aEntry, ClaimAnswer::Unavailable, {} };
  if (aVerdict == ClaimVerdict::Granted) {
    answer.answer_ = ClaimAnswer::Granted;
    answer.grant_ = model::ClaimGrant{ ledger_.Next(), *ledger_.AppendTime(aEntry) };
  } else if (aVerdict == ClaimVerdict::Duplicate) {
    answer.answer_ = ClaimAnswer::Duplicate;
  }
  aOut.push_back(answer);
}

void ClaimResolver::AnswerRecord(const model::LoggedClaims& aLogged, TimePoint aNow, Actions& aOut)
{
  for (const ClaimEntry& entry : aLogged.record_.releases_) {
    const auto found = releases_.find(entry.attempt_);
    if (found == releases_.end()) {
      continue;
    }
    if (found->second.answer_) {
      aOut.push_back(AnswerRelease{ entry, true });
    }
    releases_.erase(found);
  }
  for (const ClaimEntry& entry : aLogged.record_.claims_) {
    if (claims_.erase(entry.attempt_) == 0) {
      continue;
    }
    const ClaimVerdict verdict = ledger_.Find(entry).value_or(ClaimVerdict::Uncertain);
    AnswerFromLedger(entry, verdict, aOut);
    if (verdict == ClaimVerdict::Duplicate && releases_.size() < limits_.maxWaiting_) {
      // A refused claim blocks its key as well, so it is released for the time after the holder.
      const TimePoint deadline = aNow + limits_.ownReleaseTime_;
      releases_.emplace(entry.attempt_, PendingRelease{ entry, deadline, Stage::Queued, false });
      NoteDeadline(deadline);
    }
  }
}

void ClaimResolver::NoteDeadline(TimePoint aDeadline) noexcept
{
  nextDeadline_ = std::min(nextDeadline_, aDeadline);
}

TimePoint ClaimResolver::AppendAllowedAt() const noexcept
{
  if (bucketFullAt_ == TimePoint::min()) {
    return appendNotBefore_;
  }
  return std::max(appendNotBefore_,
                  bucketFullAt_ - (limits_.appendBurst_ - 1) * limits_.appendInterval_);
}

bool ClaimResolver::HasQueued() const noexcept
{
  const auto queued = [](const auto& aPair) { return aPair.second.stage_ == Stage::Queued; };
  return ledger_.Ready() &&
         (std::ranges::any_of(claims_, queued) || std::ranges::any_of(releases_, queued));
}

bool ClaimResolver::IsBlocked(const ClaimEntry& aEntry, TimePoint aNow) const noexcept
{
  // The time of the last record says nothing about the present on a quiet stream, so the key may be
  // free by now; then the claim is appended and the log's clock decides.
  if (!clock_ || aNow - clock_->local_ > limits_.clockTrust_) {
    return false;
  }
  const auto elapsed = std::chrono::ceil<std::chrono::milliseconds>(aNow - clock_->local_);
  // A pending release of the key goes into the same batch as the claim and takes effect before it.
  return ledger_.IsBlocked(aEntry, clock_->log_ + elapsed) &&
         std::ranges::none_of(
           releases_, [&](const auto& aPair) { return aPair.second.entry_.key_ == aEntry.key_; });
}

bool ClaimResolver::ReadWanted(TimePoint aNow) const noexcept
{
  if (!started_ || ledger_.Next() < known_ || endReachedBy_ < appendAfterRead_ ||
      aNow >= idleReadAt_) {
    return true;
  }
  return std::ranges::any_of(claims_, [this](const auto& aPair) {
    return aPair.second.stage_ == Stage::Checking && aPair.second.checkedBy_ > endReachedBy_;
  });
}

std::chrono::milliseconds ClaimResolver::NextBackoff(std::chrono::milliseconds aLast) const
{
  return std::clamp(aLast * 2, limits_.firstBackoff_, limits_.maxBackoff_);
}

} // namespace hemlockproxy::decisions
