#include "hemlockproxy/daemon/ReadPace.h"

#include <algorithm>

namespace hemlockproxy::daemon {

bool ReadPace::Begin(model::TimePoint aNow) noexcept
{
  if (mode_ == Mode::Off || inFlight_ || aNow < notBefore_) {
    return false;
  }
  inFlight_ = true;
  return true;
}

void ReadPace::Succeeded(model::LogOffset aNext)
{
  if (!logAvailable_) {
    events_.Add(runtime::LogEvent::LogAvailable, "next offset " + std::to_string(aNext.Value()));
  }
  logAvailable_ = true;
  backoff_ = std::chrono::milliseconds(0);
}

void ReadPace::Failed(const runtime::LogError& aError,
                      model::TimePoint aNow,
                      model::RandomSource& aRandom)
{
  if (logAvailable_ || backoff_.count() == 0) {
    events_.Add(runtime::LogEvent::LogUnavailable, aError.message_);
  }
  logAvailable_ = false;
  backoff_ = std::clamp(backoff_ * 2, options_.first_, options_.most_);
  // Jitter keeps readers from returning together after an outage.
  std::uniform_int_distribution<std::int64_t> jitter(backoff_.count() / 2, backoff_.count());
  notBefore_ = aNow + std::chrono::milliseconds(jitter(aRandom));
}

} // namespace hemlockproxy::daemon
