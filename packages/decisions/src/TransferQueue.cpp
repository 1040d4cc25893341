#include "hemlockproxy/decisions/TransferQueue.h"

#include <algorithm>
#include <chrono>

namespace hemlockproxy::decisions {

using model::Duration;
using model::TimePoint;

namespace {

/// The weight of a new size; the mean follows a change within about 20 responses.
constexpr double kSizeWeight = 0.1;
/// The size of a response's header with the headers of its packets; it counts for short bodies.
constexpr double kHeaderBytes = 500;
/// A deployment has a few kinds of requests for each service.
constexpr std::size_t kMostLabels = 256;

} // namespace

model::Result<TransferQueue, TransferQueueError> TransferQueue::Create(
  const TransferQueueOptions& aOptions)
{
  if (!(aOptions.share_ > 0 && aOptions.share_ <= 1)) {
    return TransferQueueError{ "share: expected more than 0 and at most 1" };
  }
  if (!(aOptions.sendShare_ > 0 && aOptions.sendShare_ <= 1)) {
    return TransferQueueError{ "share of all responses: expected more than 0 and at most 1" };
  }
  if (!(aOptions.leastShare_ > 0 && aOptions.leastShare_ <= aOptions.sendShare_)) {
    return TransferQueueError{
      "least share: expected more than 0 and at most the share of all responses"
    };
  }
  if (aOptions.atOnce_ == 0) {
    return TransferQueueError{ "transfers at once: found 0, expected at least 1" };
  }
  return TransferQueue(aOptions);
}

double TransferQueue::ExpectedBytes(const std::string& aLabel) const
{
  const auto mean = meanBytes_.find(aLabel);
  const bool isLong =
    mean != meanBytes_.end() && mean->second > static_cast<double>(options_.shortBytes_);
  return isLong ? mean->second : 0;
}

Duration TransferQueue::TimeFor(double aBytes, double aShare) const
{
  if (options_.bytesPerSecond_ == 0) {
    return {};
  }
  const double rate = static_cast<double>(options_.bytesPerSecond_) * aShare;
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aBytes / rate));
}

Duration TransferQueue::Backlog(TimePoint aNow) const
{
  double bytes = 0;
  for (const auto& [id, transfer] : transfers_) {
    if (transfer.stalled_) {
      continue;
    }
    double left = transfer.bytes_;
    if (transfer.sending_) {
      const std::chrono::duration<double> since = aNow - transfer.since_;
      left -= since.count() * Rate() / static_cast<double>(sending_);
    }
    bytes += std::max(0.0, left);
  }
  return TimeFor(bytes, options_.share_);
}

bool TransferQueue::Fits(TimePoint aNow, const TransferDemand& aDemand) const
{
  const double bytes = ExpectedBytes(aDemand.label_);
  if (bytes <= 0) {
    return true;
  }
  const Duration backlog = Backlog(aNow);
  return backlog == Duration{} ||
         std::max(aDemand.ready_, aNow + backlog) + TimeFor(bytes, options_.share_) <
           aDemand.target_;
}

void TransferQueue::Reserve(RequestId aId, const std::string& aLabel)
{
  transfers_[aId].bytes_ = ExpectedBytes(aLabel);
}

TransferQueue::Turn TransferQueue::Arrive(TimePoint aNow,
                                          RequestId aId,
                                          const std::string& aLabel,
                                          std::optional<std::uint64_t> aBytes)
{
  if (aBytes) {
    Learn(aLabel, static_cast<double>(*aBytes));
  }
  const double bytes = aBytes ? static_cast<double>(*aBytes) : ExpectedBytes(aLabel);
  Transfer& transfer = transfers_[aId];
  if (bytes <= static_cast<double>(options_.shortBytes_) || options_.bytesPerSecond_ == 0) {
    transfer.bytes_ = 0;
    sentAt_ = std::max(aNow, sentAt_) + TimeFor(bytes + kHeaderBytes, options_.sendShare_);
    return Turn::Now;
  }
  transfer.bytes_ = bytes;
  if (sending_ < options_.atOnce_) {
    Start(aNow, transfer);
    return Turn::Now;
  }
  waiting_.push_back(aId);
  return Turn::Later;
}

void TransferQueue::Learn(const std::string& aLabel, double aBytes)
{
  if (meanBytes_.size() >= kMostLabels && !meanBytes_.contains(aLabel)) {
    meanBytes_.clear();
  }
  double& mean = meanBytes_.emplace(aLabel, aBytes).first->second;
  mean += kSizeWeight * (aBytes - mean);
}

void TransferQueue::Start(TimePoint aNow, Transfer& aTransfer)
{
  aTransfer.sending_ = true;
  aTransfer.since_ = aNow;
  aTransfer.lastPart_ = aNow;
  ++sending_;
}

TimePoint TransferQueue::SchedulePart(TimePoint aNow, RequestId aId, std::size_t aBytes)
{
  const auto bytes = static_cast<double>(aBytes);
  const TimePoint at = std::max(aNow, std::min(sentAt_, partsSentAt_));
  partsSentAt_ = at + TimeFor(bytes, options_.leastShare_);
  sentAt_ = std::max(at, sentAt_) + TimeFor(bytes, options_.sendShare_);
  if (const auto found = transfers_.find(aId); found != transfers_.end()) {
    Transfer& transfer = found->second;
    transfer.lastPart_ = at;
    sending_ += transfer.stalled_ ? 1 : 0;
    transfer.stalled_ = false;
  }
  return at;
}

std::vector<RequestId> TransferQueue::Tick(TimePoint aNow)
{
  for (auto& [id, transfer] : transfers_) {
    if (transfer.sending_ && !transfer.stalled_ &&
        aNow - transfer.lastPart_ > options_.stalledAfter_) {
      transfer.stalled_ = true;
      --sending_;
    }
  }
  return StartWaiting(aNow);
}

bool TransferQueue::IsSending(RequestId aId) const
{
  const auto found = transfers_.find(aId);
  return found != transfers_.end() && found->second.sending_;
}

std::vector<RequestId> TransferQueue::Finish(TimePoint aNow, RequestId aId)
{
  const auto found = transfers_.find(aId);
  if (found == transfers_.end()) {
    return {};
  }
  if (found->second.sending_) {
    sending_ -= found->second.stalled_ ? 0 : 1;
  } else {
    std::erase(waiting_, aId);
  }
  transfers_.erase(found);
  return StartWaiting(aNow);
}

std::vector<RequestId> TransferQueue::StartWaiting(TimePoint aNow)
{
  std::vector<RequestId> started;
  while (sending_ < options_.atOnce_ && !waiting_.empty()) {
    started.push_back(waiting_.front());
    waiting_.pop_front();
    Start(aNow, transfers_[started.back()]);
  }
  return started;
}

} // namespace hemlockproxy::decisions
