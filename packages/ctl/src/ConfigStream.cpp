#include "hemlockproxy/ctl/ConfigStream.h"

#include "hemlockproxy/wire/ConfigCodec.h"

#include <utility>

namespace hemlockproxy::ctl {

using decisions::ConfigReplay;
using model::LogOffset;
using runtime::LogError;
using runtime::LogErrorKind;

namespace {

constexpr std::size_t kRecordsPerRead = 256;

ConfigReplay::Input Decode(const std::string& aBytes)
{
  auto decoded = wire::DecodeConfigRecord(aBytes);
  if (!decoded) {
    return decisions::Undecodable{ decoded.Error().message_ };
  }
  return std::move(*decoded);
}

} // namespace

model::Result<model::Unit, LogError> ConfigStream::ReadToTail(std::chrono::milliseconds aWait)
{
  for (;;) {
    const LogOffset from = replay_.NextOffset();
    auto batch = log_.Read(kConfigStream, from, aWait, kRecordsPerRead);
    aWait = {};
    if (!batch && batch.Error().kind_ == LogErrorKind::Trimmed && batch.Error().first_ > from) {
      replay_.HistoryTrimmed(batch.Error().first_);
      continue;
    }
    if (!batch) {
      return batch.Error();
    }
    Apply(*batch);
    if (replay_.NextOffset() >= batch->next_) {
      replay_.ObserveTail(batch->next_);
      return model::Unit();
    }
    if (replay_.NextOffset() == from) {
      return LogError{ LogErrorKind::Malformed,
                       "the log returned no record at offset " + std::to_string(from.Value()) };
    }
  }
}

void ConfigStream::Apply(const runtime::LogBatch& aBatch)
{
  for (const runtime::LogRecord& record : aBatch.records_) {
    if (record.offset_ != replay_.NextOffset()) {
      // Adopting a checkpoint moved the offset back; the next read starts there.
      return;
    }
    const ConfigReplay::Input input = Decode(record.bytes_);
    HistoryEntry entry{ record.appendedAt_, {}, {}, {}, replay_.Apply(record.offset_, input) };
    const auto* publish = input ? std::get_if<model::PublishRecord>(&*input) : nullptr;
    if (publish != nullptr) {
      entry.id_ = publish->id_;
      entry.operator_ = publish->operator_;
      entry.base_ = publish->base_;
    }
    entries_.insert_or_assign(record.offset_, std::move(entry));
  }
}

} // namespace hemlockproxy::ctl
