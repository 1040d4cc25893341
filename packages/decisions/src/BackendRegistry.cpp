#include "hemlockproxy/decisions/BackendRegistry.h"

#include <algorithm>

namespace hemlockproxy::decisions {

using model::BackendId;
using model::BackendReport;
using model::TimePoint;

namespace {

/// Starts that are remembered after they have left; one instance rarely sees more in the time in
/// which reports arrive late.
constexpr std::size_t kMostDeparted = 16;
/// A backend server that started this long before the daemon may have left before the daemon
/// started; the processes of an instance that starts are up within less.
constexpr std::chrono::seconds kStartMargin{ 3 };

} // namespace

model::Result<BackendRegistry, BackendRegistryError> BackendRegistry::Create(
  BackendRegistryOptions aOptions)
{
  if (aOptions.interval_.count() <= 0 || aOptions.missedReports_ == 0) {
    return BackendRegistryError{ "report interval: expected more than 0" };
  }
  return BackendRegistry(aOptions);
}

ReportUse BackendRegistry::Report(TimePoint aNow, const BackendReport& aReport)
{
  const bool ordered = !aReport.id_.Empty();
  if (ordered && HasDeparted(aNow, aReport)) {
    return ReportUse::Late;
  }
  const bool sameStart =
    current_ && current_->id_ == aReport.id_ && current_->startedAt_ == aReport.startedAt_;
  if (ordered && current_) {
    const bool older = sameStart ? aReport.sequence_ <= current_->sequence_
                                 : aReport.startedAt_ < current_->startedAt_;
    if (older) {
      return ReportUse::Late;
    }
  }
  if (ordered && current_ && current_->id_ != aReport.id_ && !MayDisplace(aNow, aReport)) {
    return ReportUse::Late;
  }
  BackendReport next = aReport;
  if (ordered && sameStart) {
    next.draining_ = next.draining_ || current_->draining_;
  } else if (ordered && current_) {
    ForgetCurrent(aNow, Finality::Displaced);
  }
  const bool wasConfirmed = confirmed_;
  if (!sameStart) {
    confirmed_ = !ordered || options_.daemonStart_ == model::WallTime() ||
                 next.startedAt_ + kStartMargin > options_.daemonStart_;
    known_ = aNow;
  } else if (aNow - known_ >= options_.interval_ / 2 && PaceConfirms(aNow)) {
    // Reports that were held up arrive together; this one came at the pace of reports.
    confirmed_ = true;
  }
  const bool changed = !sameStart || confirmed_ != wasConfirmed ||
                       current_->draining_ != next.draining_ || current_->slots_ != next.slots_ ||
                       current_->address_ != next.address_ || current_->service_ != next.service_ ||
                       current_->connections_ != next.connections_;
  current_ = std::move(next);
  renewed_ = aNow;
  return changed ? ReportUse::Changed : ReportUse::Renewed;
}

bool BackendRegistry::Leave(TimePoint aNow, const BackendId& aId)
{
  if (!current_ || current_->id_ != aId) {
    for (Departed& one : departed_) {
      one.finality_ = one.id_ == aId ? Finality::Left : one.finality_;
    }
    RememberDeparture({ aId, std::nullopt, aNow });
    return false;
  }
  ForgetCurrent(aNow, Finality::Left);
  return true;
}

bool BackendRegistry::SaysItLeaves(const BackendId& aId, model::WallTime aStartedAt)
{
  const bool news =
    current_ && current_->id_ == aId && current_->startedAt_ == aStartedAt && !current_->draining_;
  if (news) {
    current_->draining_ = true;
  }
  return news;
}

bool BackendRegistry::Confirm(const BackendId& aId, model::WallTime aStartedAt)
{
  const bool news =
    !confirmed_ && current_ && current_->id_ == aId && current_->startedAt_ == aStartedAt;
  confirmed_ = confirmed_ || news;
  return news;
}

bool BackendRegistry::Tick(TimePoint aNow)
{
  if (!current_ || aNow < renewed_ + options_.interval_ * options_.missedReports_) {
    return false;
  }
  ForgetCurrent(aNow, Finality::Silent);
  return true;
}

void BackendRegistry::ForgetCurrent(TimePoint aNow, Finality aFinality)
{
  RememberDeparture({ current_->id_,
                      current_->startedAt_,
                      aNow,
                      current_->draining_ ? Finality::Left : aFinality,
                      current_->sequence_ });
  current_.reset();
}

bool BackendRegistry::MayDisplace(TimePoint aNow, const BackendReport& aReport)
{
  if (aNow - renewed_ >= options_.interval_) {
    return true;
  }
  // The current one reported a moment ago: one report may be an irregular one, a second one at the
  // pace of reports is of a backend server that is there.
  const bool known =
    candidate_ && candidate_->id_ == aReport.id_ && candidate_->startedAt_ == aReport.startedAt_;
  if (!known) {
    candidate_ = Candidate{ aReport.id_, aReport.startedAt_, aNow };
    return false;
  }
  return aNow - candidate_->at_ >= options_.interval_ / 2;
}

bool BackendRegistry::Restore(TimePoint aNow, const std::vector<DepartureRecord>& aRecords)
{
  for (const DepartureRecord& record : aRecords) {
    RememberDeparture({ record.id_, record.startedAt_, aNow - record.age_ });
  }
  const bool dropped = current_ && HasDeparted(aNow, *current_);
  if (dropped) {
    current_.reset();
  }
  return dropped;
}

bool BackendRegistry::PaceConfirms(TimePoint aNow) const noexcept
{
  // Reports that are equally late come at the pace of reports, too. What arrives this long after
  // the start of the daemon was sent after it, and so after all departures that the daemon's former
  // process has acknowledged. Peers that were restarted as well have forgotten these.
  return peersRemember_ || options_.daemonStart_ == model::WallTime() ||
         aNow >= options_.start_ + kLatestReport;
}

bool BackendRegistry::HasDeparted(TimePoint aNow, const BackendReport& aReport) const
{
  return std::any_of(departed_.begin(), departed_.end(), [&](const Departed& aOne) {
    if (aOne.id_ != aReport.id_) {
      return false;
    }
    if (aOne.startedAt_ && aReport.startedAt_ > *aOne.startedAt_) {
      return false;
    }
    // An earlier start has ended before, so that its reports are on their way no longer than this;
    // what still comes is a start after the clock was set back.
    if (const bool sameStart = aReport.startedAt_ == aOne.startedAt_;
        sameStart && aOne.finality_ != Finality::Displaced) {
      return aOne.finality_ == Finality::Left || aReport.sequence_ <= aOne.sequence_;
    }
    return aNow < aOne.at_ + kLatestReport;
  });
}

void BackendRegistry::RememberDeparture(Departed aDeparted)
{
  const auto same = std::find_if(departed_.begin(), departed_.end(), [&](const Departed& aOne) {
    return aOne.id_ == aDeparted.id_ && aOne.startedAt_ == aDeparted.startedAt_;
  });
  if (same != departed_.end()) {
    same->at_ = std::max(same->at_, aDeparted.at_);
    same->finality_ = std::max(same->finality_, aDeparted.finality_);
    same->sequence_ = std::max(same->sequence_, aDeparted.sequence_);
    return;
  }
  departed_.push_back(std::move(aDeparted));
  if (departed_.size() > kMostDeparted) {
    departed_.pop_front();
  }
}

} // namespace hemlockproxy::decisions
