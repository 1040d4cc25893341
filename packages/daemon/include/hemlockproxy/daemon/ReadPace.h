#pragma once

#include "hemlockproxy/model/Clock.h"
#include "hemlockproxy/runtime/EventRing.h"
#include "hemlockproxy/runtime/Log.h"

#include <chrono>
#include <cstdint>

namespace hemlockproxy::daemon {

/// The pauses after reads that failed: doubled for each from the first to the longest one, with
/// jitter down to half.
struct ReadBackoff
{
  std::chrono::milliseconds first_;
  std::chrono::milliseconds most_;
};

/// Says when a stream of the log is read, one read at a time, and reports when the log is lost or
/// regained.
class ReadPace
{
public:
  /// The ring must outlive the pace.
  ReadPace(ReadBackoff aBackoff, runtime::EventRing& aEvents)
    : options_(aBackoff)
    , events_(aEvents)
  {
  }

  /// Reads on without end.
  void Start() noexcept { mode_ = Mode::Continuous; }
  void Stop() noexcept { mode_ = Mode::Off; }
  /// Reads once up to the end of the stream, unless it is read without end.
  void ReadTail() noexcept { mode_ = mode_ == Mode::Off ? Mode::Tail : mode_; }
  [[nodiscard]] bool IsContinuous() const noexcept { return mode_ == Mode::Continuous; }

  /// Returns whether a read is due; it is then in flight until End.
  [[nodiscard]] bool Begin(model::TimePoint aNow) noexcept;
  void End() noexcept { inFlight_ = false; }
  /// The read that ended has reached the end of the stream.
  void TailReached() noexcept { mode_ = mode_ == Mode::Tail ? Mode::Off : mode_; }
  /// No read begins until then.
  void PauseUntil(model::TimePoint aTime) noexcept { notBefore_ = aTime; }

  /// The read that ended succeeded; aNext is the offset after the last record of the stream.
  void Succeeded(model::LogOffset aNext);
  /// The read that ended failed; the next one is put off.
  void Failed(const runtime::LogError& aError, model::TimePoint aNow, model::RandomSource& aRandom);
  /// Returns whether the last read succeeded.
  [[nodiscard]] bool LogAvailable() const noexcept { return logAvailable_; }

private:
  enum class Mode : std::uint8_t
  {
    Off,
    Tail,
    Continuous,
  };

  ReadBackoff options_;
  runtime::EventRing& events_;
  Mode mode_ = Mode::Off;
  bool inFlight_ = false;
  bool logAvailable_ = false;
  model::TimePoint notBefore_{};
  std::chrono::milliseconds backoff_{ 0 };
};

} // namespace hemlockproxy::daemon
