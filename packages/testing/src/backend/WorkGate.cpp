#include "backend/WorkGate.h"

#include <algorithm>

namespace hemlockproxy::testing {

namespace {

/// How often a request that waits for a slot checks whether its peer is still there.
constexpr std::chrono::milliseconds kClosedCheckInterval{ 20 };

} // namespace

WorkGate::WorkGate(std::size_t aSlots, std::FILE* aRunsFile)
  : slots_(aSlots)
  , runsFile_(aRunsFile)
{
}

bool WorkGate::Enter(HttpConnection& aConnection)
{
  std::unique_lock lock(mutex_);
  ++waiting_;
  bool open = true;
  while (open &&
         !freed_.wait_for(lock, kClosedCheckInterval, [this] { return inProgress_ < slots_; })) {
    open = aConnection.WaitUnlessClosed(std::chrono::milliseconds(0));
  }
  --waiting_;
  if (open) {
    ++inProgress_;
    mostInProgress_ = std::max(mostInProgress_, inProgress_);
  }
  return open;
}

void WorkGate::Leave()
{
  const std::lock_guard lock(mutex_);
  --inProgress_;
  freed_.notify_one();
}

std::uint64_t WorkGate::CountRun(const std::string& aKey, const std::string& aTag)
{
  const std::lock_guard lock(mutex_);
  if (!aKey.empty()) {
    ++runsByKey_[aKey];
  }
  if (!aTag.empty()) {
    ++runsByTag_[aTag];
  }
  if (runsFile_ != nullptr) {
    // Flushed before the work, so that a crash of this process does not lose the run.
    std::fprintf(runsFile_, "key=%s tag=%s\n", aKey.c_str(), aTag.c_str());
    std::fflush(runsFile_);
  }
  return ++runs_;
}

void WorkGate::CountCancelled()
{
  const std::lock_guard lock(mutex_);
  ++cancelled_;
}

RequestFaults WorkGate::FaultsFor(const std::string& aPath, const std::string& aTag)
{
  const std::lock_guard lock(mutex_);
  return TakeFaults(faults_, aPath, aTag);
}

BackendFaults WorkGate::Faults() const
{
  const std::lock_guard lock(mutex_);
  return faults_;
}

void WorkGate::SetFaults(const BackendFaults& aFaults)
{
  const std::lock_guard lock(mutex_);
  faults_ = aFaults;
}

std::string WorkGate::LoadReport()
{
  const std::lock_guard lock(mutex_);
  const auto now = std::chrono::steady_clock::now();
  if (reportedLoad_.empty() || now - reportedAt_ >= std::chrono::milliseconds(faults_.loadLagMs_)) {
    reportedLoad_ = std::to_string(inProgress_ + waiting_);
    reportedAt_ = now;
  }
  return (faults_.loadReport_.empty() ? reportedLoad_ : faults_.loadReport_) + "/" +
         std::to_string(slots_);
}

std::string WorkGate::Runs(bool aByTag) const
{
  const std::lock_guard lock(mutex_);
  std::string text;
  for (const auto& [key, count] : aByTag ? runsByTag_ : runsByKey_) {
    text += key;
    text += ' ';
    text += std::to_string(count);
    text += '\n';
  }
  return text;
}

std::string WorkGate::Stats() const
{
  const std::lock_guard lock(mutex_);
  return "runs: " + std::to_string(runs_) + "\nin_progress: " + std::to_string(inProgress_) +
         "\nwaiting: " + std::to_string(waiting_) +
         "\nmost_in_progress: " + std::to_string(mostInProgress_) +
         "\ncancelled: " + std::to_string(cancelled_) + "\n";
}

} // namespace hemlockproxy::testing
