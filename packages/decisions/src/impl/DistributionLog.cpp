#include "impl/DistributionEngine.h"

#include <algorithm>
#include <utility>

namespace hemlockproxy::decisions::impl {

void DistributionEngine::UpdateRole()
{
  const bool reader = roster_.ShouldRead(now_, reading_);
  if (!reader && reading_) {
    reading_ = false;
    tailAsOf_.reset();
    checkpointAt_.reset();
    out_.emplace_back(StopReading{});
  }
  // A starting daemon that does not know its peers yet would take itself for a reader.
  if (reader && !reading_ && (ready_ || now_ >= logAllowed_)) {
    reading_ = true;
    recordsSince_ = 0;
    lastCheckpoint_ = now_;
    out_.emplace_back(StartReading{ handover_ });
  }
}

void DistributionEngine::TickReport()
{
  if (!tailAsOf_) {
    return;
  }
  if (now_ - *tailAsOf_ > options_.logLost_) {
    On(LogReadFailed{});
  } else if (now_ >= nextReport_) {
    SendReports(now_ - *tailAsOf_);
  }
}

void DistributionEngine::SendReports(std::optional<model::Duration> aAge)
{
  nextReport_ = now_ + options_.reportInterval_;
  LogReport report{ options_.id_, HeldVersion(), std::nullopt, logEpoch_ };
  if (aAge) {
    report.age_ = std::chrono::ceil<std::chrono::milliseconds>(*aAge);
  }
  for (const model::DaemonId& id : roster_.Receivers()) {
    out_.emplace_back(SendLogReport{ id, report });
  }
}

void DistributionEngine::PassOn(const LogReport& aReport)
{
  // One of the readers' reports per interval is enough.
  if (now_ < nextPassOn_) {
    return;
  }
  nextPassOn_ = now_ + options_.reportInterval_ / 2;
  for (const model::DaemonId& id : roster_.Followers()) {
    out_.emplace_back(SendLogReport{ id, aReport });
  }
}

void DistributionEngine::NoteNewest(const Newest& aNewest)
{
  if (aNewest.asOf_ >= newest_.asOf_ && aNewest.version_ >= newest_.version_) {
    newest_ = aNewest;
    UpdateCurrentAsOf();
  }
}

void DistributionEngine::UpdateCurrentAsOf()
{
  if (enforced_ && enforced_->version_ >= newest_.version_) {
    currentAsOf_ = newest_.asOf_;
  }
}

void DistributionEngine::TickLog()
{
  if (ready_ || reading_ || now_ < nextTailRead_) {
    return;
  }
  nextTailRead_ = now_ + options_.logRetry_ / 2 + Jitter(options_.logRetry_);
  out_.emplace_back(ReadLogTail{});
}

void DistributionEngine::On(const LogVersionAccepted& aEvent)
{
  if (aEvent.configuration_->version_ <= HeldVersion()) {
    if (aEvent.configuration_->version_ == HeldVersion() && !handover_) {
      handover_ = aEvent.handover_;
    }
    return;
  }
  Hold(aEvent.configuration_, aEvent.handover_);
  if (ready_) {
    SendNotices(NeedsAcknowledgement(), nullptr);
  }
  TryEnforce();
}

void DistributionEngine::On(const LogTailReached& aEvent)
{
  tailReached_ = true;
  NoteNewest({ HeldVersion(), aEvent.asOf_ });
  TryEnforce();
  if (reading_) {
    const bool regained = !tailAsOf_;
    tailAsOf_ = aEvent.asOf_;
    nextReport_ = regained ? now_ : nextReport_;
    TickReport();
  }
}

void DistributionEngine::On(const LogReadFailed&)
{
  if (std::exchange(tailAsOf_, std::nullopt)) {
    SendReports(std::nullopt);
  }
}

void DistributionEngine::On(const LogEpochSeen& aEvent)
{
  NoteLogEpoch(aEvent.epoch_);
}

void DistributionEngine::NoteLogEpoch(model::LogEpoch aEpoch)
{
  if (logEpoch_ && aEpoch <= *logEpoch_) {
    return;
  }
  out_.emplace_back(LogEpochRaised{ aEpoch, std::exchange(logEpoch_, aEpoch) });
}

bool DistributionEngine::IsTailTrusted() const
{
  const bool everRestored = logEpoch_ && *logEpoch_ > model::kFirstLogEpoch;
  return !everRestored || floorSettled_ || now_ >= restoredLogTrusted_;
}

void DistributionEngine::On(const LogReportReceived& aEvent)
{
  const LogReport& report = aEvent.report_;
  if (report.epoch_) {
    NoteLogEpoch(*report.epoch_);
  }
  roster_.Reported(now_, report.from_, report.age_.has_value());
  NoteHolder(report.from_, report.version_);
  Want(report.from_, report.version_, options_.repairDelay_);
  if (report.age_) {
    NoteNewest({ report.version_, now_ - *report.age_ });
    PassOn(report);
  }
  UpdateRole();
  TryEnforce();
}

void DistributionEngine::On(const LogRecordsRead& aEvent)
{
  recordsSince_ += aEvent.count_;
}

void DistributionEngine::On(const CheckpointRead& aEvent)
{
  lastCheckpoint_ = std::max(lastCheckpoint_, now_ - aEvent.age_);
  recordsSince_ = 0;
  checkpointAt_.reset();
}

bool DistributionEngine::CheckpointDue() const
{
  constexpr int kRetentionShare = 3;
  return reading_ && ready_ && held_ &&
         (recordsSince_ >= options_.checkpointRecords_ ||
          now_ - lastCheckpoint_ >= options_.retention_ / kRetentionShare);
}

void DistributionEngine::TickCheckpoint()
{
  if (!CheckpointDue()) {
    checkpointAt_.reset();
    return;
  }
  if (!checkpointAt_) {
    checkpointAt_ = now_ + options_.checkpointJitter_ * static_cast<int>(roster_.Rank()) +
                    Jitter(options_.checkpointJitter_);
  }
  if (now_ >= *checkpointAt_) {
    checkpointAt_ = now_ + options_.checkpointRetry_ + Jitter(options_.checkpointJitter_);
    out_.emplace_back(AppendCheckpoint{});
  }
}

} // namespace hemlockproxy::decisions::impl
