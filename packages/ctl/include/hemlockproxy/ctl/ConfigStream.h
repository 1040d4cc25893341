#pragma once

#include "hemlockproxy/decisions/ConfigReplay.h"
#include "hemlockproxy/model/Clock.h"
#include "hemlockproxy/runtime/Log.h"

#include <map>

namespace hemlockproxy::ctl {

/// Name of the log stream that holds the configuration.
inline constexpr const char* kConfigStream = "config";

/// One retained record and what replay made of it.
struct HistoryEntry
{
  model::WallTime appendedAt_;
  /// Empty for other records than publish records.
  model::PublicationId id_;
  std::string operator_;
  model::ConfigVersion base_;
  decisions::ReplayOutcome outcome_;
};

using History = std::map<model::LogOffset, HistoryEntry>;

/// Reads the config stream and replays it.
class ConfigStream
{
public:
  explicit ConfigStream(runtime::LogPort& aLog)
    : log_(aLog)
  {
  }

  /// Reads to the end of the stream; waits for a first record for aWait at most.
  model::Result<model::Unit, runtime::LogError> ReadToTail(std::chrono::milliseconds aWait = {});

  [[nodiscard]] const decisions::ConfigReplay& Replay() const noexcept { return replay_; }
  [[nodiscard]] const History& Entries() const noexcept { return entries_; }

private:
  void Apply(const runtime::LogBatch& aBatch);

  runtime::LogPort& log_;
  decisions::ConfigReplay replay_;
  History entries_;
};

} // namespace hemlockproxy::ctl
