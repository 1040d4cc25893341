#include "hemlockproxy/wire/DepartureCodec.h"

#include "departures_types.h"

namespace hemlockproxy::wire {

using std::chrono::milliseconds;

std::string EncodeDepartureReport(const decisions::DepartureReport& aReport)
{
  gen::DepartureReport out;
  out.owner = aReport.owner_.Value();
  for (const decisions::DepartureRecord& record : aReport.records_) {
    gen::DepartureRecord one;
    one.backend = record.id_.Value();
    if (record.startedAt_) {
      one.__set_started_at_ms(
        std::chrono::floor<milliseconds>(record.startedAt_->time_since_epoch()).count());
    }
    one.age_ms = record.age_.count();
    out.records.push_back(std::move(one));
  }
  if (aReport.memory_.count() > 0) {
    out.__set_memory_ms(aReport.memory_.count());
  }
  return EncodeThrift(out);
}

model::Result<decisions::DepartureReport, DecodeError> DecodeDepartureReport(
  std::string_view aBytes)
{
  auto report = DecodeThrift<gen::DepartureReport>(aBytes);
  if (!report) {
    return report.Error();
  }
  if (report->owner.empty() || report->records.size() > decisions::DepartureBook::kMostRecords ||
      report->memory_ms < 0) {
    return DecodeError{ "a departure report is out of range" };
  }
  decisions::DepartureReport out{ model::DaemonId(report->owner),
                                  {},
                                  milliseconds(report->memory_ms) };
  // A greater age has no meaning and would overflow the clock's count of nanoseconds.
  constexpr std::chrono::milliseconds kMostAge = std::chrono::hours(24 * 365);
  for (const gen::DepartureRecord& record : report->records) {
    if (record.backend.empty() || record.age_ms < 0 || record.age_ms > kMostAge.count()) {
      return DecodeError{ "a departure record is out of range" };
    }
    decisions::DepartureRecord one{ model::BackendId(record.backend),
                                    std::nullopt,
                                    milliseconds(record.age_ms) };
    if (record.__isset.started_at_ms) {
      one.startedAt_ = model::WallTime(milliseconds(record.started_at_ms));
    }
    out.records_.push_back(std::move(one));
  }
  return out;
}

} // namespace hemlockproxy::wire
