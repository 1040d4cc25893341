#include "hemlockproxy/decisions/DepartureBook.h"

#include <algorithm>

namespace hemlockproxy::decisions {

using model::DaemonId;
using model::TimePoint;
using std::chrono::milliseconds;

void DepartureBook::Take(TimePoint aNow, const DepartureReport& aReport)
{
  Forget(aNow);
  if (aReport.records_.empty() ||
      (owners_.size() >= kMostOwners && !owners_.contains(aReport.owner_))) {
    return;
  }
  auto& known = owners_[aReport.owner_];
  for (const DepartureRecord& record : aReport.records_) {
    const auto same = std::find_if(known.begin(), known.end(), [&](const Departure& aOne) {
      return aOne.id_ == record.id_ && aOne.startedAt_ == record.startedAt_;
    });
    if (same != known.end()) {
      same->at_ = std::max(same->at_, aNow - record.age_);
      continue;
    }
    known.push_back({ record.id_, record.startedAt_, aNow - record.age_ });
    if (known.size() > kMostRecords) {
      known.pop_front();
    }
  }
}

DepartureReport DepartureBook::Of(TimePoint aNow, const DaemonId& aOwner) const
{
  DepartureReport report{ aOwner, {} };
  if (const auto found = owners_.find(aOwner); found != owners_.end()) {
    for (const Departure& one : found->second) {
      const auto age = std::chrono::floor<milliseconds>(aNow - one.at_);
      if (age < kMemory) {
        report.records_.push_back({ one.id_, one.startedAt_, std::max(age, milliseconds(0)) });
      }
    }
  }
  return report;
}

void DepartureBook::Forget(TimePoint aNow)
{
  if (aNow < nextForget_) {
    return;
  }
  nextForget_ = aNow + std::chrono::minutes(1);
  for (auto owner = owners_.begin(); owner != owners_.end();) {
    std::erase_if(owner->second,
                  [aNow](const Departure& aOne) { return aNow - aOne.at_ >= kMemory; });
    owner = owner->second.empty() ? owners_.erase(owner) : std::next(owner);
  }
}

} // namespace hemlockproxy::decisions
