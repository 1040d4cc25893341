#pragma once

#include "hemlockproxy/daemon/PlatformThread.h"
#include "hemlockproxy/decisions/Distribution.h"
#include "hemlockproxy/model/Clock.h"
#include "hemlockproxy/model/ConfigRecord.h"

#include <optional>
#include <vector>

namespace hemlockproxy::daemon {

/// Reads configurations from the log and tells Distribution what came of it. Used on the control
/// thread.
class ConfigSource
{
public:
  virtual ~ConfigSource() = default;

  /// Reads on without end, from the state handed over by a peer if there is one.
  virtual void Start(const decisions::HandoverPtr& aHandover) = 0;
  virtual void Stop() = 0;
  /// Reads once up to the log's end.
  virtual void ReadTail() = 0;
  /// Takes the state that belongs to a version which came from a peer.
  virtual void TakePeerState(const decisions::HandoverPtr& aHandover) = 0;
  virtual void RaiseFloor(model::ConfigVersion aFloor) = 0;

  /// Returns the read that is due, if any; at most one is in flight.
  [[nodiscard]] virtual std::optional<LogCommand> NextRead(model::TimePoint aNow) = 0;
  /// Tells that a read could not be handed over.
  virtual void ReadNotSubmitted() noexcept = 0;
  /// Takes in the result of a read; returns the events for Distribution in order.
  [[nodiscard]] virtual std::vector<decisions::DistributionEvent> Finish(
    const model::Result<runtime::LogBatch, runtime::LogError>& aResult,
    model::TimePoint aNow,
    model::WallTime aWallNow,
    model::RandomSource& aRandom) = 0;

  /// Returns the record to append as a checkpoint, if there is state to keep.
  [[nodiscard]] virtual std::optional<model::CheckpointRecord> MakeCheckpoint() const = 0;
  /// Returns the offset of the next record to read.
  [[nodiscard]] virtual model::LogOffset NextOffset() const noexcept = 0;
  [[nodiscard]] virtual bool LogAvailable() const noexcept = 0;
};

} // namespace hemlockproxy::daemon
