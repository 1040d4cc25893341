#pragma once

#include "hemlockproxy/decisions/RequestId.h"
#include "hemlockproxy/model/Clock.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <string>

namespace hemlockproxy::decisions {

/// A request that waits for a slot.
struct QueuedRequest
{
  RequestId id_;
  model::TimePoint arrived_;
  model::TimePoint deadline_;
  /// When a response is still of full use to the caller; at most the deadline.
  model::TimePoint target_;
  /// Requests with the same label take about the same time.
  std::string label_;
  /// 0 is the most urgent.
  std::uint32_t priority_ = 1;
};

/// The position of a request in the queue: lowest first, equal ranks by arrival.
struct QueueRank
{
  std::int64_t rank_ = 0;
  std::uint64_t arrival_ = 0;

  friend auto operator<=>(const QueueRank&, const QueueRank&) = default;
  friend bool operator==(const QueueRank&, const QueueRank&) = default;
};

/// Which end of the queue is served next.
enum class QueueEnd : std::uint8_t
{
  Front,
  Back,
};

/// Decides the order in which queued requests start.
class QueueOrder
{
public:
  virtual ~QueueOrder() = default;

  [[nodiscard]] virtual const char* Name() const noexcept = 0;
  /// Returns the rank of the request that arrives as number aArrival; it is fixed while it waits.
  [[nodiscard]] virtual std::int64_t Rank(const QueuedRequest& aRequest,
                                          std::uint64_t aArrival) const noexcept = 0;
  /// Returns the end to serve, given how long the request at the front has waited.
  [[nodiscard]] virtual QueueEnd NextEnd(model::TimePoint aNow, model::Duration aFrontWait) = 0;
};

/// First come, first served.
[[nodiscard]] std::unique_ptr<QueueOrder> MakeFifoOrder();
/// Newest first.
[[nodiscard]] std::unique_ptr<QueueOrder> MakeLifoOrder();
/// Earliest deadline first, where a deadline counts as at most aLongest after the arrival. Without
/// this bound requests with long deadlines wait until they are nearly due whenever there is a
/// queue.
[[nodiscard]] std::unique_ptr<QueueOrder> MakeDeadlineOrder(model::Duration aLongest);
/// First come, first served until the wait has exceeded aTarget for aInterval; newest first from
/// then on until it falls below aTarget (after CoDel's rule for a standing queue).
[[nodiscard]] std::unique_ptr<QueueOrder> MakeAdaptiveOrder(model::Duration aTarget,
                                                            model::Duration aInterval);

} // namespace hemlockproxy::decisions
