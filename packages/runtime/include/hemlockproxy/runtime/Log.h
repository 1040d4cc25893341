#pragma once

#include "hemlockproxy/model/Address.h"
#include "hemlockproxy/model/Clock.h"
#include "hemlockproxy/model/Ids.h"
#include "hemlockproxy/model/Result.h"
#include "hemlockproxy/runtime/FiberLoop.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockproxy::runtime {

/// Why a log operation failed.
enum class LogErrorKind : std::uint8_t
{
  /// The service rejected the operation or could not be reached; an append did not take effect.
  Unavailable,
  /// The append rate limit was reached; the append did not take effect.
  RateLimited,
  /// No response was received; an append may have taken effect.
  OutcomeUnknown,
  /// The offset is below the first retained one.
  Trimmed,
  /// The response is not a valid one.
  Malformed,
};

/// Returns the kind as a metric label, such as "rate-limited".
[[nodiscard]] const char* ToString(LogErrorKind aKind) noexcept;

struct LogError
{
  LogErrorKind kind_ = LogErrorKind::Unavailable;
  std::string message_;
  /// With Trimmed: the first retained offset.
  model::LogOffset first_;
  /// With Trimmed: the offset that the next append gets.
  model::LogOffset next_;
  /// The epoch in which the log responded; nothing without a response.
  std::optional<model::LogEpoch> epoch_;
};

/// Where a record stands in a stream.
struct LogPosition
{
  model::LogEpoch epoch_;
  model::LogOffset offset_;
};

struct LogRecord
{
  model::LogOffset offset_;
  model::WallTime appendedAt_;
  std::string bytes_;
  /// Empty in streams without keys.
  std::string key_;
};

/// What a read returned; records_ is empty when the wait ended without a record.
struct LogBatch
{
  model::LogOffset first_;
  model::LogOffset next_;
  std::vector<LogRecord> records_;
  /// Where to read on; later than the last record when records of other writers were skipped.
  model::LogOffset resume_;
  /// Records that were passed over because they could not be read.
  std::size_t skipped_ = 0;
  /// With a page of newest records: its last key, when there are more behind it.
  std::optional<std::string> moreAfter_;
  /// The epoch of all offsets of the batch.
  model::LogEpoch epoch_;
};

/// The platform's append-only log service. A stream either has keys, and then the newest record of
/// each key is retained for ever, or it has none, and its records expire.
///
/// The log may be restored from an older copy, after which records that it acknowledged are missing
/// and their offsets are given out again. Each result tells the epoch that it belongs to; a reader
/// must not go on from an offset of another epoch.
class LogPort
{
public:
  virtual ~LogPort() = default;

  /// Appends a record; returns its position.
  [[nodiscard]] virtual model::Result<LogPosition, LogError> Append(std::string_view aStream,
                                                                    std::string_view aBytes) = 0;

  /// Reads at most aMax records from an offset on; waits for the first one for aWait at most.
  [[nodiscard]] virtual model::Result<LogBatch, LogError> Read(std::string_view aStream,
                                                               model::LogOffset aFrom,
                                                               std::chrono::milliseconds aWait,
                                                               std::size_t aMax) = 0;

  /// Appends a record that replaces the earlier ones of its key; returns its position. Empty bytes
  /// remove the key.
  [[nodiscard]] virtual model::Result<LogPosition, LogError> Put(std::string_view aStream,
                                                                 std::string_view aKey,
                                                                 std::string_view aBytes) = 0;

  /// Returns the newest record of each key. It is no snapshot: records that are appended meanwhile
  /// may be missing, so a reader goes on at next_. Fails with Unavailable when the log was restored
  /// meanwhile.
  [[nodiscard]] virtual model::Result<LogBatch, LogError> ReadNewest(std::string_view aStream) = 0;

  /// Returns one page of the newest records, with the keys that follow aAfter in their order.
  [[nodiscard]] virtual model::Result<LogBatch, LogError> ReadNewestPage(
    std::string_view aStream,
    std::string_view aAfter) = 0;
};

/// Makes a client of the log service at an address. Calls suspend the calling fiber of the loop and
/// fail after aTimeout, for reads after aTimeout plus the wait. Connections are made from the local
/// IP number unless it is empty.
using LogFactory = std::function<std::unique_ptr<LogPort>(IoContextPtr aIo,
                                                          const model::Address& aAddress,
                                                          std::chrono::milliseconds aTimeout,
                                                          const std::string& aLocalIp)>;

} // namespace hemlockproxy::runtime
