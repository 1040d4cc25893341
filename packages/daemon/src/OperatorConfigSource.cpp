#include "hemlockproxy/daemon/OperatorConfigSource.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace hemlockproxy::daemon {

namespace {

using decisions::DistributionEvent;

constexpr const char* kStream = "operator";
constexpr std::size_t kBatchRecords = 4096;
/// Versions may follow each other within milliseconds, and only the newest counts.
constexpr std::chrono::milliseconds kReadGap{ 150 };
/// The mean pause between reads until there is a first configuration.
constexpr std::chrono::milliseconds kFirstPause{ 500 };
/// A log that returns must be noticed in time for a version that was written just before.
constexpr ReadBackoff kBackoff{ std::chrono::milliseconds(100), std::chrono::milliseconds(500) };

} // namespace

OperatorConfigSource::OperatorConfigSource(OperatorConfigOptions aOptions,
                                           decltype(Adapters::decodeConfiguration_) aDecode,
                                           runtime::EventRing& aEvents)
  : options_(aOptions)
  , decode_(std::move(aDecode))
  , events_(aEvents)
  , pace_(kBackoff, aEvents)
{
}

std::optional<LogCommand> OperatorConfigSource::NextRead(model::TimePoint aNow)
{
  if (!pace_.Begin(aNow)) {
    return std::nullopt;
  }
  if (!positioned_) {
    tailTime_.Begin(aNow, {});
    return LogCommand(LogNewestCommand{ options_.ticket_, kStream });
  }
  // The first read after a failure returns at once, so that a recovered log is noticed without
  // waiting for a record.
  // Neither does one before the first configuration: each daemon of a fleet that starts would hold
  // a read at the log.
  const bool waits = pace_.LogAvailable() && newest_;
  const auto wait =
    waits ? tailTime_.WaitUntilAge(aNow, options_.wait_) : std::chrono::milliseconds(0);
  tailTime_.Begin(aNow, wait);
  return LogCommand(LogReadCommand{ options_.ticket_, kStream, next_, wait, kBatchRecords });
}

std::vector<DistributionEvent> OperatorConfigSource::Finish(
  const model::Result<runtime::LogBatch, runtime::LogError>& aResult,
  model::TimePoint aNow,
  model::WallTime /*aWallNow*/,
  model::RandomSource& aRandom)
{
  pace_.End();
  if (!aResult) {
    if (aResult.Error().kind_ == runtime::LogErrorKind::Trimmed) {
      // The newest record of each key outlives the others.
      positioned_ = false;
      return {};
    }
    pace_.Failed(aResult.Error(), aNow, aRandom);
    return { decisions::LogReadFailed{} };
  }
  pace_.Succeeded(aResult->next_);
  if (positioned_ && aResult->epoch_ != epoch_) {
    // The records that were written since the restore may stand before the offset of this read.
    positioned_ = false;
    return {};
  }
  positioned_ = true;
  epoch_ = aResult->epoch_;
  next_ = aResult->resume_;
  // Versions rise with the offsets, so that only the last usable record needs decoding.
  const auto& records = aResult->records_;
  (void)std::any_of(records.rbegin(), records.rend(), [this](const runtime::LogRecord& aRecord) {
    return TakeRecord(aRecord);
  });
  const bool atEnd = next_ >= aResult->next_;
  if (!atEnd) {
    // Only the newest version counts, and records may be written faster than they are read.
    positioned_ = false;
  } else if (!aResult->records_.empty()) {
    pace_.PauseUntil(aNow + kReadGap);
  }
  std::vector<DistributionEvent> out;
  if (newest_ && newest_->version_ > reported_) {
    reported_ = newest_->version_;
    out.emplace_back(decisions::LogVersionAccepted{ newest_, nullptr });
  }
  if (atEnd && newest_) {
    out.emplace_back(decisions::LogTailReached{ tailTime_.End(aNow, aResult->records_.empty()) });
    pace_.TailReached();
  } else if (!newest_) {
    std::uniform_int_distribution<std::int64_t> pause(kFirstPause.count() / 2,
                                                      kFirstPause.count() * 3 / 2);
    pace_.PauseUntil(aNow + std::chrono::milliseconds(pause(aRandom)));
  }
  return out;
}

bool OperatorConfigSource::TakeRecord(const runtime::LogRecord& aRecord)
{
  auto decoded = decode_(aRecord);
  const std::string at = "offset " + std::to_string(aRecord.offset_.Value());
  if (!decoded) {
    events_.Add(runtime::LogEvent::ConfigRejected, at + ": " + decoded.Error().message_);
    return false;
  }
  if (!*decoded) {
    return false;
  }
  if (!newest_ || (*decoded)->version_ > newest_->version_) {
    newest_ = std::make_shared<const model::Configuration>(**std::move(decoded));
    events_.Add(runtime::LogEvent::ConfigAccepted,
                at + ", version " + std::to_string(newest_->version_.Value()));
  }
  return true;
}

} // namespace hemlockproxy::daemon
