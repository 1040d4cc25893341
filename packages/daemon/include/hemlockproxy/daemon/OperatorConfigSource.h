#pragma once

#include "hemlockproxy/daemon/Adapters.h"
#include "hemlockproxy/daemon/ConfigSource.h"
#include "hemlockproxy/daemon/ReadPace.h"
#include "hemlockproxy/daemon/TailTime.h"
#include "hemlockproxy/runtime/EventRing.h"

#include <chrono>

namespace hemlockproxy::daemon {

struct OperatorConfigOptions
{
  LogTicket ticket_ = 0;
  /// How long one read waits for a new configuration. A connection may go silent without a reset,
  /// so a read must end well before a new version has to be in force.
  std::chrono::milliseconds wait_{ 1500 };
};

/// Reads the configurations that the platform's operator writes, each complete with its version.
///
/// The log keeps the newest one for ever, and the platform accepts only valid ones with rising
/// versions, so that there is nothing to replay and no checkpoint to write. After a restore of the
/// log the newest one is read again; an older version than the one read before has no effect.
class OperatorConfigSource final : public ConfigSource
{
public:
  /// The decoder is that of Adapters. The ring must outlive the source.
  OperatorConfigSource(OperatorConfigOptions aOptions,
                       decltype(Adapters::decodeConfiguration_) aDecode,
                       runtime::EventRing& aEvents);

  void Start(const decisions::HandoverPtr& /*aHandover*/) override
  {
    // Whatever was written since an earlier Stop is in the newest configuration.
    positioned_ = false;
    pace_.Start();
  }
  void Stop() override { pace_.Stop(); }
  void ReadTail() override { pace_.ReadTail(); }
  void TakePeerState(const decisions::HandoverPtr& /*aHandover*/) override {}
  void RaiseFloor(model::ConfigVersion /*aFloor*/) override {}
  [[nodiscard]] std::optional<LogCommand> NextRead(model::TimePoint aNow) override;
  void ReadNotSubmitted() noexcept override { pace_.End(); }
  [[nodiscard]] std::vector<decisions::DistributionEvent> Finish(
    const model::Result<runtime::LogBatch, runtime::LogError>& aResult,
    model::TimePoint aNow,
    model::WallTime aWallNow,
    model::RandomSource& aRandom) override;
  [[nodiscard]] std::optional<model::CheckpointRecord> MakeCheckpoint() const override
  {
    return std::nullopt;
  }
  [[nodiscard]] model::LogOffset NextOffset() const noexcept override { return next_; }
  [[nodiscard]] bool LogAvailable() const noexcept override { return pace_.LogAvailable(); }

private:
  /// Returns whether the record holds a usable configuration.
  bool TakeRecord(const runtime::LogRecord& aRecord);

  OperatorConfigOptions options_;
  decltype(Adapters::decodeConfiguration_) decode_;
  runtime::EventRing& events_;
  ReadPace pace_;
  TailTime tailTime_;
  /// Whether next_ is known; if not, the newest record of each key is read.
  bool positioned_ = false;
  model::LogOffset next_;
  /// The epoch of next_.
  model::LogEpoch epoch_;
  /// The newest configuration read.
  model::ConfigurationPtr newest_;
  model::ConfigVersion reported_;
};

} // namespace hemlockproxy::daemon
