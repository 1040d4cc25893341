#include "hemlockproxy/decisions/Distribution.h"

#include "impl/DistributionEngine.h"

#include <algorithm>
#include <array>
#include <utility>

namespace hemlockproxy::decisions {

namespace {

/// What a profile changes.
struct ProfileRow
{
  std::size_t fanout_;
  std::chrono::milliseconds repairDelay_;
  std::chrono::milliseconds foreignRepairDelay_;
};

constexpr std::array kProfiles{
  // Profile::Fast
  ProfileRow{ 3, std::chrono::milliseconds(100), std::chrono::milliseconds(1000) },
  // Profile::Frugal
  ProfileRow{ 1, std::chrono::milliseconds(500), std::chrono::milliseconds(3000) },
};

/// A version may wait this part of its time for a peer to hold it; the replacement of a silent log
/// reader may have taken twice as much before.
constexpr int kAcknowledgementPart = 4;
/// One peer may take this part of it, so that a version is fetched from a second one in time.
constexpr int kFetchPart = 5;
/// Two reports may be late or lost before a log reader is replaced, and what remains of the time
/// is enough to read the log, to get the version acknowledged and to spread it.
constexpr int kReportPart = 6;
constexpr double kTakeoverShare = 0.375;
constexpr int kTakeoverStepPart = 20;
/// Longer than the longest wait of a read, and short enough for another member to read in time.
constexpr double kLogLostShare = 0.75;

std::chrono::milliseconds Share(std::chrono::milliseconds aTime, double aShare)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime * aShare);
}

} // namespace

DistributionOptions DistributionOptions::ForProfile(Profile aProfile)
{
  const ProfileRow& row = kProfiles[static_cast<std::size_t>(aProfile)];
  DistributionOptions options;
  options.fanout_ = row.fanout_;
  options.repairDelay_ = row.repairDelay_;
  options.foreignRepairDelay_ = row.foreignRepairDelay_;
  return options;
}

void DistributionOptions::ApplyWithin(std::chrono::milliseconds aTime)
{
  acknowledgementLimit_ = aTime / kAcknowledgementPart;
  fetchTimeout_ = std::max(fetchRetry_, std::min(fetchTimeout_, aTime / kFetchPart));
  fetchRetryMax_ = std::max(fetchRetry_, std::min(fetchRetryMax_, aTime / kFetchPart));
  reportInterval_ = aTime / kReportPart;
  takeover_ = Share(aTime, kTakeoverShare);
  takeoverStep_ = aTime / kTakeoverStepPart;
  logLost_ = Share(aTime, kLogLostShare);
}

model::Result<Distribution, DistributionError> Distribution::Create(DistributionOptions aOptions)
{
  if (aOptions.id_.Empty()) {
    return DistributionError{ "the id must be set" };
  }
  if (aOptions.logReaders_ == 0 || aOptions.fanout_ == 0 || aOptions.checkpointRecords_ == 0 ||
      aOptions.reportedTo_ < aOptions.logReaders_) {
    return DistributionError{ "log readers, fanout and checkpoint records must be positive, and "
                              "reports go to at least the log readers" };
  }
  if (aOptions.noticeRetry_.count() <= 0 || aOptions.fetchRetry_.count() <= 0 ||
      aOptions.fetchRetryMax_ < aOptions.fetchRetry_ || aOptions.fetchTimeout_.count() <= 0 ||
      aOptions.logRetry_.count() <= 0 || aOptions.retention_.count() <= 0 ||
      aOptions.reportInterval_.count() <= 0 || aOptions.takeover_ < aOptions.reportInterval_) {
    return DistributionError{
      "intervals must be positive, and takeover at least a report interval"
    };
  }
  return Distribution(std::make_unique<impl::DistributionEngine>(std::move(aOptions)));
}

Distribution::Distribution(std::unique_ptr<impl::DistributionEngine> aEngine) noexcept
  : engine_(std::move(aEngine))
{
}

Distribution::Distribution(Distribution&&) noexcept = default;
Distribution& Distribution::operator=(Distribution&&) noexcept = default;
Distribution::~Distribution() = default;

DistributionActions Distribution::Handle(const DistributionEvent& aEvent,
                                         model::TimePoint aNow,
                                         model::RandomSource& aRandom)
{
  return engine_->Handle(aEvent, aNow, aRandom);
}

const model::ConfigurationPtr& Distribution::Enforced() const noexcept
{
  return engine_->Enforced();
}

model::ConfigVersion Distribution::HeldVersion() const noexcept
{
  return engine_->HeldVersion();
}

bool Distribution::Ready() const noexcept
{
  return engine_->Ready();
}

std::optional<model::TimePoint> Distribution::CurrentAsOf() const noexcept
{
  return engine_->CurrentAsOf();
}

std::optional<model::LogEpoch> Distribution::LogEpoch() const noexcept
{
  return engine_->LogEpoch();
}

bool Distribution::IsLogReader() const noexcept
{
  return engine_->IsLogReader();
}

} // namespace hemlockproxy::decisions
