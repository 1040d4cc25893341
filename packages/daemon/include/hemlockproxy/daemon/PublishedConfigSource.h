#pragma once

#include "hemlockproxy/daemon/ConfigSource.h"
#include "hemlockproxy/daemon/ReadPace.h"
#include "hemlockproxy/daemon/TailTime.h"
#include "hemlockproxy/decisions/ConfigReplay.h"
#include "hemlockproxy/decisions/Distribution.h"
#include "hemlockproxy/model/Clock.h"
#include "hemlockproxy/runtime/EventRing.h"

#include <chrono>
#include <optional>
#include <vector>

namespace hemlockproxy::daemon {

/// Replays the stream of configurations that hemlockctl publishes.
class PublishedConfigSource final : public ConfigSource
{
public:
  /// A read waits for a new record for aWait. The ring must outlive the source.
  PublishedConfigSource(LogTicket aTicket,
                        std::chrono::milliseconds aWait,
                        runtime::EventRing& aEvents);

  void Start(const decisions::HandoverPtr& aHandover) override;
  void Stop() override { pace_.Stop(); }
  void ReadTail() override { pace_.ReadTail(); }
  void TakePeerState(const decisions::HandoverPtr& aHandover) override;
  void RaiseFloor(model::ConfigVersion aFloor) override;
  [[nodiscard]] std::optional<LogCommand> NextRead(model::TimePoint aNow) override;
  void ReadNotSubmitted() noexcept override { pace_.End(); }
  [[nodiscard]] std::vector<decisions::DistributionEvent> Finish(
    const model::Result<runtime::LogBatch, runtime::LogError>& aResult,
    model::TimePoint aNow,
    model::WallTime aWallNow,
    model::RandomSource& aRandom) override;
  [[nodiscard]] std::optional<model::CheckpointRecord> MakeCheckpoint() const override
  {
    return replay_.MakeCheckpoint();
  }
  [[nodiscard]] model::LogOffset NextOffset() const noexcept override
  {
    return replay_.NextOffset();
  }
  [[nodiscard]] bool LogAvailable() const noexcept override { return pace_.LogAvailable(); }

private:
  void ApplyBatch(const runtime::LogBatch& aBatch,
                  model::TimePoint aNow,
                  model::WallTime aWallNow,
                  std::vector<decisions::DistributionEvent>& aEvents);
  void ApplyRecord(const runtime::LogRecord& aRecord,
                   model::WallTime aWallNow,
                   std::vector<decisions::DistributionEvent>& aEvents);
  void ReportVersion(std::vector<decisions::DistributionEvent>& aEvents);

  LogTicket ticket_;
  std::chrono::milliseconds wait_;
  runtime::EventRing& events_;
  decisions::ConfigReplay replay_;
  ReadPace pace_;
  TailTime tailTime_;
  model::ConfigVersion reported_;
};

} // namespace hemlockproxy::daemon
