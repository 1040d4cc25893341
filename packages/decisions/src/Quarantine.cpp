#include "hemlockproxy/decisions/Quarantine.h"

#include <algorithm>
#include <string>

namespace hemlockproxy::decisions {

using model::DaemonId;
using model::Duration;
using model::TimePoint;
using std::chrono::milliseconds;

namespace {

constexpr std::uint32_t kMaximumDoublings = 16;

milliseconds AgeOf(TimePoint aNow, TimePoint aAt)
{
  return std::chrono::duration_cast<milliseconds>(std::max(Duration{}, aNow - aAt));
}

} // namespace

Fingerprint MakeFingerprint(std::string_view aMethod,
                            std::string_view aPath,
                            std::string_view aContent)
{
  std::string text;
  text.reserve(aMethod.size() + aPath.size() + aContent.size() + 2);
  text.append(aMethod).append(1, '\n').append(aPath).append(1, '\n').append(aContent);
  return { model::HashBytes(text) };
}

model::Result<Quarantine, QuarantineError> Quarantine::Create(QuarantineOptions aOptions)
{
  if (aOptions.crashesBeforeIsolation_ == 0 || aOptions.crashesBeforeRejection_ == 0) {
    return QuarantineError{ "crashes: expected at least 1" };
  }
  if (aOptions.crashesBeforeIsolation_ > kMaximumCrashes ||
      aOptions.crashesBeforeRejection_ > kMaximumCrashes) {
    return QuarantineError{ "crashes: expected at most " + std::to_string(kMaximumCrashes) };
  }
  if (aOptions.baseRejection_.count() <= 0 || aOptions.maximumSuspects_ == 0) {
    return QuarantineError{ "rejection time and suspects: expected more than 0" };
  }
  return Quarantine(aOptions);
}

QuarantineVerdict Quarantine::Consider(TimePoint aNow, const Fingerprint& aFingerprint) const
{
  const auto found = suspects_.find(aFingerprint);
  if (found == suspects_.end()) {
    return RunShared{};
  }
  const Suspect& suspect = found->second;
  if (suspect.rejectedAt_) {
    const TimePoint until = RejectedUntil(suspect);
    // After the rejection the request gets one trial alone.
    return aNow < until ? QuarantineVerdict(RejectQuarantined{ until }) : RunAlone{};
  }
  const bool isolates = options_.conviction_ == Conviction::ByCrashAlone;
  if (isolates && suspect.crashes_.size() >= options_.crashesBeforeIsolation_) {
    return RunAlone{};
  }
  return RunShared{};
}

void Quarantine::Started(RequestId aId,
                         const Fingerprint& aFingerprint,
                         const DaemonId& aServer,
                         RunKind aKind)
{
  running_.insert_or_assign(aId, Run{ aFingerprint, aServer, aKind });
}

std::optional<QuarantineRecord> Quarantine::Finished(TimePoint aNow, RequestId aId, RunEnd aEnd)
{
  const auto run = running_.find(aId);
  if (run == running_.end()) {
    return std::nullopt;
  }
  const Fingerprint fingerprint = run->second.fingerprint_;
  running_.erase(run);
  const auto found = suspects_.find(fingerprint);
  if (aEnd != RunEnd::Completed || found == suspects_.end() ||
      options_.exoneration_ == Exoneration::None) {
    return std::nullopt;
  }
  Suspect& suspect = found->second;
  const bool suspected = !suspect.crashes_.empty() || suspect.rejectedAt_;
  Clear(suspect, aNow);
  return suspected ? std::optional(ToRecord(aNow, fingerprint, suspect)) : std::nullopt;
}

std::vector<QuarantineRecord> Quarantine::Crashed(TimePoint aNow, const DaemonId& aServer)
{
  std::map<Fingerprint, RunKind> involved;
  for (auto run = running_.begin(); run != running_.end();) {
    if (run->second.server_ != aServer) {
      ++run;
      continue;
    }
    RunKind& kind = involved.try_emplace(run->second.fingerprint_, run->second.kind_).first->second;
    kind = run->second.kind_ == RunKind::Shared ? RunKind::Shared : kind;
    run = running_.erase(run);
  }
  std::vector<QuarantineRecord> records;
  records.reserve(involved.size());
  for (const auto& [fingerprint, kind] : involved) {
    if (!suspects_.contains(fingerprint)) {
      Evict();
    }
    Suspect& suspect = suspects_[fingerprint];
    AddCrash(suspect, { aServer, aNow });
    const bool convicted = options_.conviction_ == Conviction::ByCrashAlone
                             ? kind == RunKind::Alone && involved.size() == 1
                             : suspect.crashes_.size() >= options_.crashesBeforeRejection_;
    if (convicted) {
      Reject(suspect, aNow);
    }
    records.push_back(ToRecord(aNow, fingerprint, suspect));
  }
  return records;
}

void Quarantine::AddCrash(Suspect& aSuspect, const Crash& aCrash) const
{
  if (aSuspect.clearedAt_ && aCrash.at_ <= *aSuspect.clearedAt_) {
    return;
  }
  const bool known =
    std::any_of(aSuspect.crashes_.begin(), aSuspect.crashes_.end(), [&](const Crash& aKnown) {
      return aKnown.server_ == aCrash.server_ &&
             std::chrono::abs(aKnown.at_ - aCrash.at_) <= options_.sameCrash_;
    });
  if (known) {
    return;
  }
  aSuspect.crashes_.push_back(aCrash);
  std::sort(aSuspect.crashes_.begin(),
            aSuspect.crashes_.end(),
            [](const Crash& aLeft, const Crash& aRight) { return aLeft.at_ < aRight.at_; });
  if (aSuspect.crashes_.size() > kMaximumCrashes) {
    aSuspect.crashes_.erase(aSuspect.crashes_.begin());
  }
}

void Quarantine::Clear(Suspect& aSuspect, TimePoint aAt)
{
  const TimePoint cleared = std::max(aAt, aSuspect.clearedAt_.value_or(aAt));
  aSuspect.clearedAt_ = cleared;
  std::erase_if(aSuspect.crashes_,
                [cleared](const Crash& aCrash) { return aCrash.at_ <= cleared; });
  if (aSuspect.rejectedAt_ && *aSuspect.rejectedAt_ <= cleared) {
    aSuspect.rejectedAt_.reset();
    aSuspect.rejections_ = 0;
  }
}

void Quarantine::Reject(Suspect& aSuspect, TimePoint aNow)
{
  ++aSuspect.rejections_;
  aSuspect.rejectedAt_ = aNow;
}

TimePoint Quarantine::RejectedUntil(const Suspect& aSuspect) const
{
  const std::uint32_t doublings =
    std::min(kMaximumDoublings, std::max(1U, aSuspect.rejections_) - 1);
  return aSuspect.rejectedAt_.value_or(TimePoint{}) +
         std::min(options_.maximumRejection_,
                  options_.baseRejection_ * (std::int64_t{ 1 } << doublings));
}

void Quarantine::Merge(TimePoint aNow, const std::vector<QuarantineRecord>& aRecords)
{
  for (const QuarantineRecord& record : aRecords) {
    MergeOne(aNow, record);
  }
}

void Quarantine::MergeOne(TimePoint aNow, const QuarantineRecord& aRecord)
{
  if (!suspects_.contains(aRecord.fingerprint_)) {
    // A cleared request that is unknown here needs no entry.
    if (aRecord.crashes_.empty() && !aRecord.rejectedAge_) {
      return;
    }
    Evict();
  }
  Suspect& suspect = suspects_[aRecord.fingerprint_];
  // Ages grow by the transit time with each exchange; without this tolerance two peers would move
  // the time on by telling each other the same news.
  if (aRecord.clearedAge_) {
    const TimePoint at = aNow - *aRecord.clearedAge_;
    if (!suspect.clearedAt_ || at > *suspect.clearedAt_ + options_.sameCrash_) {
      Clear(suspect, at);
    }
  }
  for (const CrashEvidence& crash : aRecord.crashes_) {
    AddCrash(suspect, { crash.server_, aNow - crash.age_ });
  }
  if (!aRecord.rejectedAge_) {
    return;
  }
  const TimePoint rejectedAt = aNow - *aRecord.rejectedAge_;
  if (suspect.clearedAt_ && rejectedAt <= *suspect.clearedAt_) {
    return;
  }
  const bool newer =
    !suspect.rejectedAt_ || rejectedAt > *suspect.rejectedAt_ + options_.sameCrash_;
  suspect.rejectedAt_ = newer ? rejectedAt : *suspect.rejectedAt_;
  suspect.rejections_ = std::max(suspect.rejections_, aRecord.rejections_);
}

std::vector<QuarantineRecord> Quarantine::Records(TimePoint aNow) const
{
  std::vector<QuarantineRecord> records;
  records.reserve(suspects_.size());
  for (const auto& [fingerprint, suspect] : suspects_) {
    records.push_back(ToRecord(aNow, fingerprint, suspect));
  }
  return records;
}

QuarantineRecord Quarantine::ToRecord(TimePoint aNow,
                                      const Fingerprint& aFingerprint,
                                      const Suspect& aSuspect) const
{
  QuarantineRecord record{ .fingerprint_ = aFingerprint, .rejections_ = aSuspect.rejections_ };
  for (const Crash& crash : aSuspect.crashes_) {
    record.crashes_.push_back({ crash.server_, AgeOf(aNow, crash.at_) });
  }
  if (aSuspect.clearedAt_) {
    record.clearedAge_ = AgeOf(aNow, *aSuspect.clearedAt_);
  }
  if (aSuspect.rejectedAt_) {
    record.rejectedAge_ = AgeOf(aNow, *aSuspect.rejectedAt_);
  }
  return record;
}

TimePoint Quarantine::LastNews(const Suspect& aSuspect) const
{
  TimePoint last = aSuspect.rejectedAt_ ? RejectedUntil(aSuspect) : TimePoint::min();
  last = std::max(last, aSuspect.clearedAt_.value_or(TimePoint::min()));
  return aSuspect.crashes_.empty() ? last : std::max(last, aSuspect.crashes_.back().at_);
}

void Quarantine::Tick(TimePoint aNow)
{
  std::erase_if(suspects_, [this, aNow](const auto& aEntry) {
    return aNow - options_.memory_ > LastNews(aEntry.second);
  });
}

void Quarantine::Evict()
{
  if (suspects_.size() < options_.maximumSuspects_) {
    return;
  }
  // Rejected requests stay longest, since forgetting one costs up to three servers again.
  const auto importance = [this](const Suspect& aSuspect) {
    const std::size_t weight =
      aSuspect.rejectedAt_ ? kMaximumCrashes + 1 : aSuspect.crashes_.size();
    return std::pair(weight, LastNews(aSuspect));
  };
  suspects_.erase(std::min_element(
    suspects_.begin(), suspects_.end(), [&importance](const auto& aLeft, const auto& aRight) {
      return importance(aLeft.second) < importance(aRight.second);
    }));
}

} // namespace hemlockproxy::decisions
