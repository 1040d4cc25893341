#include "hemlockproxy/daemon/PublishedConfigSource.h"

#include "hemlockproxy/wire/ConfigCodec.h"

#include <algorithm>

namespace hemlockproxy::daemon {

namespace {

using decisions::DistributionEvent;

constexpr const char* kStream = "config";
constexpr std::size_t kBatchRecords = 256;
constexpr ReadBackoff kBackoff{ std::chrono::milliseconds(200), std::chrono::milliseconds(5000) };

decisions::ConfigReplay::Input Decode(const std::string& aBytes)
{
  auto decoded = wire::DecodeConfigRecord(aBytes);
  if (!decoded) {
    return decisions::Undecodable{ decoded.Error().message_ };
  }
  return *std::move(decoded);
}

} // namespace

PublishedConfigSource::PublishedConfigSource(LogTicket aTicket,
                                             std::chrono::milliseconds aWait,
                                             runtime::EventRing& aEvents)
  : ticket_(aTicket)
  , wait_(aWait)
  , events_(aEvents)
  , pace_(kBackoff, aEvents)
{
}

void PublishedConfigSource::Start(const decisions::HandoverPtr& aHandover)
{
  TakePeerState(aHandover);
  pace_.Start();
}

void PublishedConfigSource::TakePeerState(const decisions::HandoverPtr& aHandover)
{
  if (!aHandover) {
    return;
  }
  if (replay_.TakePeerState(*aHandover) == decisions::PeerStateUse::Contradicting) {
    events_.Add(runtime::LogEvent::ConfigPeerStateContradicts,
                "version " + std::to_string(aHandover->version_.Value()));
  }
}

void PublishedConfigSource::RaiseFloor(model::ConfigVersion aFloor)
{
  replay_.RaiseVersionFloor(aFloor);
}

std::optional<LogCommand> PublishedConfigSource::NextRead(model::TimePoint aNow)
{
  if (!pace_.Begin(aNow)) {
    return std::nullopt;
  }
  // The first read after a failure returns at once, so that a recovered log is noticed without
  // waiting for a record.
  const bool waits = pace_.IsContinuous() && pace_.LogAvailable();
  const auto wait = waits ? tailTime_.WaitUntilAge(aNow, wait_) : std::chrono::milliseconds(0);
  tailTime_.Begin(aNow, wait);
  return LogReadCommand{ ticket_, kStream, replay_.NextOffset(), wait, kBatchRecords };
}

std::vector<DistributionEvent> PublishedConfigSource::Finish(
  const model::Result<runtime::LogBatch, runtime::LogError>& aResult,
  model::TimePoint aNow,
  model::WallTime aWallNow,
  model::RandomSource& aRandom)
{
  pace_.End();
  std::vector<DistributionEvent> events;
  if (aResult) {
    ApplyBatch(*aResult, aNow, aWallNow, events);
    pace_.Succeeded(aResult->next_);
    return events;
  }
  if (aResult.Error().kind_ == runtime::LogErrorKind::Trimmed) {
    events_.Add(runtime::LogEvent::ConfigHistoryTrimmed,
                "wanted offset " + std::to_string(replay_.NextOffset().Value()) +
                  ", first retained " + std::to_string(aResult.Error().first_.Value()));
    replay_.HistoryTrimmed(aResult.Error().first_);
    return events;
  }
  pace_.Failed(aResult.Error(), aNow, aRandom);
  events.emplace_back(decisions::LogReadFailed{});
  return events;
}

void PublishedConfigSource::ApplyBatch(const runtime::LogBatch& aBatch,
                                       model::TimePoint aNow,
                                       model::WallTime aWallNow,
                                       std::vector<DistributionEvent>& aEvents)
{
  for (const runtime::LogRecord& record : aBatch.records_) {
    ApplyRecord(record, aWallNow, aEvents);
  }
  replay_.ObserveTail(aBatch.next_);
  ReportVersion(aEvents);
  if (replay_.NextOffset() >= aBatch.next_ && !replay_.IsHistoryMissing()) {
    aEvents.emplace_back(decisions::LogTailReached{ tailTime_.End(aNow, aBatch.records_.empty()) });
    pace_.TailReached();
  }
}

void PublishedConfigSource::ApplyRecord(const runtime::LogRecord& aRecord,
                                        model::WallTime aWallNow,
                                        std::vector<DistributionEvent>& aEvents)
{
  const auto outcome = replay_.Apply(aRecord.offset_, Decode(aRecord.bytes_));
  const std::string at = "offset " + std::to_string(aRecord.offset_.Value());
  if (const auto* accepted = std::get_if<decisions::Accepted>(&outcome)) {
    events_.Add(runtime::LogEvent::ConfigAccepted,
                at + ", version " + std::to_string(accepted->version_.Value()) + ", publication " +
                  accepted->id_.Value());
    aEvents.emplace_back(decisions::LogRecordsRead{ 1 });
  } else if (const auto* rejected = std::get_if<decisions::Rejected>(&outcome)) {
    events_.Add(runtime::LogEvent::ConfigRejected,
                at + ": " + decisions::ToString(rejected->reason_));
    aEvents.emplace_back(decisions::LogRecordsRead{ 1 });
  } else if (const auto* checkpoint = std::get_if<decisions::CheckpointOutcome>(&outcome)) {
    if (checkpoint->use_ == decisions::CheckpointUse::Adopted ||
        checkpoint->use_ == decisions::CheckpointUse::Confirmed) {
      aEvents.emplace_back(
        decisions::CheckpointRead{ std::max(aWallNow - aRecord.appendedAt_, {}) });
    } else {
      events_.Add(runtime::LogEvent::ConfigCheckpointNotUsed,
                  at + ", version " + std::to_string(checkpoint->version_.Value()));
    }
  }
}

void PublishedConfigSource::ReportVersion(std::vector<DistributionEvent>& aEvents)
{
  const model::ConfigurationPtr enforceable = replay_.Enforceable();
  if (!enforceable || enforceable->version_ <= reported_) {
    return;
  }
  auto checkpoint = replay_.MakeCheckpoint();
  if (!checkpoint) {
    return;
  }
  reported_ = enforceable->version_;
  aEvents.emplace_back(decisions::LogVersionAccepted{
    enforceable, std::make_shared<const model::CheckpointRecord>(*std::move(checkpoint)) });
}

} // namespace hemlockproxy::daemon
