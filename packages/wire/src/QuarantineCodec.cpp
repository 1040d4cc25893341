#include "hemlockproxy/wire/QuarantineCodec.h"

#include "quarantine_types.h"

namespace hemlockproxy::wire {

namespace {

using std::chrono::milliseconds;

gen::QuarantineRecord ToThrift(const decisions::QuarantineRecord& aRecord)
{
  gen::QuarantineRecord out;
  out.fingerprint_high = static_cast<std::int64_t>(aRecord.fingerprint_.digest_.high_);
  out.fingerprint_low = static_cast<std::int64_t>(aRecord.fingerprint_.digest_.low_);
  for (const decisions::CrashEvidence& crash : aRecord.crashes_) {
    gen::CrashEvidence evidence;
    evidence.server = crash.server_.Value();
    evidence.age_ms = crash.age_.count();
    out.crashes.push_back(std::move(evidence));
  }
  if (aRecord.clearedAge_) {
    out.__set_cleared_age_ms(aRecord.clearedAge_->count());
  }
  if (aRecord.rejectedAge_) {
    out.__set_rejected_age_ms(aRecord.rejectedAge_->count());
  }
  out.rejections = static_cast<std::int32_t>(aRecord.rejections_);
  return out;
}

model::Result<decisions::QuarantineRecord, DecodeError> FromThrift(
  const gen::QuarantineRecord& aRecord)
{
  const bool negativeAge = (aRecord.__isset.cleared_age_ms && aRecord.cleared_age_ms < 0) ||
                           (aRecord.__isset.rejected_age_ms && aRecord.rejected_age_ms < 0) ||
                           aRecord.rejections < 0;
  if (negativeAge || aRecord.crashes.size() > decisions::kMaximumCrashes) {
    return DecodeError{ "a quarantine record is out of range" };
  }
  decisions::QuarantineRecord out;
  out.fingerprint_.digest_.high_ = static_cast<std::uint64_t>(aRecord.fingerprint_high);
  out.fingerprint_.digest_.low_ = static_cast<std::uint64_t>(aRecord.fingerprint_low);
  for (const gen::CrashEvidence& crash : aRecord.crashes) {
    if (crash.age_ms < 0) {
      return DecodeError{ "a crash has a negative age" };
    }
    out.crashes_.push_back({ model::DaemonId(crash.server), milliseconds(crash.age_ms) });
  }
  if (aRecord.__isset.cleared_age_ms) {
    out.clearedAge_ = milliseconds(aRecord.cleared_age_ms);
  }
  if (aRecord.__isset.rejected_age_ms) {
    out.rejectedAge_ = milliseconds(aRecord.rejected_age_ms);
  }
  out.rejections_ = static_cast<std::uint32_t>(aRecord.rejections);
  return out;
}

} // namespace

std::string EncodeQuarantineReport(const QuarantineRecords& aRecords)
{
  gen::QuarantineReport report;
  for (const decisions::QuarantineRecord& record : aRecords) {
    report.records.push_back(ToThrift(record));
  }
  return EncodeThrift(report);
}

model::Result<QuarantineRecords, DecodeError> DecodeQuarantineReport(std::string_view aBytes)
{
  auto report = DecodeThrift<gen::QuarantineReport>(aBytes);
  if (!report) {
    return report.Error();
  }
  QuarantineRecords records;
  for (const gen::QuarantineRecord& record : report->records) {
    auto decoded = FromThrift(record);
    if (!decoded) {
      return decoded.Error();
    }
    records.push_back(*std::move(decoded));
  }
  return records;
}

} // namespace hemlockproxy::wire
