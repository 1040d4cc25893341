#pragma once

#include "hemlockproxy/decisions/RequestId.h"
#include "hemlockproxy/model/Clock.h"
#include "hemlockproxy/model/Result.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace hemlockproxy::decisions {

struct TransferQueueOptions
{
  /// The rate of the instance's link; 0 means that it is not known, and nothing waits or is
  /// rejected.
  std::uint64_t bytesPerSecond_ = 0;
  /// The share of the link that is promised to long bodies. The rest is left for short responses,
  /// which may take a third of the link where backend servers call the service
  /// (docs/decisions/link.md).
  double share_ = 0.7;
  /// The share that responses of all sizes may take. The rest is left for what is not counted here:
  /// requests, responses to callers of this instance, and the headers of packets.
  double sendShare_ = 0.9;
  /// The share that long bodies get at least, however many short ones there are: a download that
  /// stands still is given up by its caller.
  double leastShare_ = 0.25;
  /// Transfers at a time: more than one, so that a slow receiver does not leave the link idle, and
  /// few, since all else that leaves the instance waits behind what they have in flight.
  std::size_t atOnce_ = 2;
  /// A transfer without a new part for this time stands still: its receiver takes nothing. About
  /// ten times what a part takes at the least share of 12 Mbit/s.
  std::chrono::milliseconds stalledAfter_{ 500 };
  /// A body up to this size does not wait, in bytes.
  std::size_t shortBytes_ = 16UL * 1024;
};

/// The size of the parts in which long bodies are sent, in bytes. A short response waits behind one
/// of them: 11 ms on a link of 12 Mbit/s.
inline constexpr std::size_t kTransferPartBytes = 16UL * 1024;

struct TransferQueueError
{
  std::string message_;
};

/// What a request asks of the link.
struct TransferDemand
{
  /// Requests with the same label have bodies of about the same size.
  std::string label_;
  /// When its response is expected to be complete in memory.
  model::TimePoint ready_;
  /// When a response is still of full use.
  model::TimePoint target_;
};

/// Decides which long response bodies go onto the instance's link, and rejects requests whose body
/// could not be sent in time.
///
/// Answers the load of downloads that together exceed the link. Sent all at once, each of them gets
/// a small part of it and all are late, while every other packet of the instance waits behind them;
/// here a few go at a time, in parts spaced by the link, and what does not fit is rejected before
/// it runs.
///
///     if (!transfers.Fits(now, demand)) { return QueueFull; }
///     transfers.Reserve(id, label);
///     ...
///     if (transfers.Arrive(now, id, label, bytes) == Turn::Now) { Send(id); }
///     ... // before each part:
///     SleepUntil(transfers.SchedulePart(now, id, partBytes));
///     for (RequestId next : transfers.Finish(now, id)) { Send(next); }
class TransferQueue
{
public:
  enum class Turn : std::uint8_t
  {
    Now,
    /// A later call of Finish returns the id.
    Later,
  };

  /// Fails on a share that is not above 0 and at most 1, and on no transfer at once.
  [[nodiscard]] static model::Result<TransferQueue, TransferQueueError> Create(
    const TransferQueueOptions& aOptions);

  /// Returns whether a request's body would be sent by its target, behind those that are reserved.
  /// Where nothing is reserved it always fits: no other order would serve it better.
  [[nodiscard]] bool Fits(model::TimePoint aNow, const TransferDemand& aDemand) const;
  /// Counts the expected body of a request that was admitted; Finish must follow.
  void Reserve(RequestId aId, const std::string& aLabel);
  /// Takes in that a request's response is there. A body whose size is not known counts like others
  /// of its kind.
  [[nodiscard]] Turn Arrive(model::TimePoint aNow,
                            RequestId aId,
                            const std::string& aLabel,
                            std::optional<std::uint64_t> aBytes);
  /// Returns when the next part of a long body may be sent, and counts it as sent then. Long bodies
  /// get what short ones leave, so that the link holds about one part of them, and a least share.
  [[nodiscard]] model::TimePoint SchedulePart(model::TimePoint aNow,
                                              RequestId aId,
                                              std::size_t aBytes);
  /// Gives the places of transfers that stand still, as those to an instance that was cut off, to
  /// others; returns those that start now. To be called a few times within stalledAfter_.
  [[nodiscard]] std::vector<RequestId> Tick(model::TimePoint aNow);
  /// Returns whether a request's body is a long one that is being sent.
  [[nodiscard]] bool IsSending(RequestId aId) const;
  /// Ends a request, whatever became of it; returns the transfers that start now. Unknown ids are
  /// ignored.
  [[nodiscard]] std::vector<RequestId> Finish(model::TimePoint aNow, RequestId aId);

  /// Returns how long a body of this kind would wait for the link; a short one does not.
  [[nodiscard]] model::Duration ExpectedWait(model::TimePoint aNow, const std::string& aLabel) const
  {
    return ExpectedBytes(aLabel) > 0 ? Backlog(aNow) : model::Duration{};
  }
  /// Returns how long the link needs for all that is reserved.
  [[nodiscard]] model::Duration Backlog(model::TimePoint aNow) const;
  [[nodiscard]] std::size_t Sending() const noexcept { return sending_; }
  [[nodiscard]] std::size_t Waiting() const noexcept { return waiting_.size(); }

private:
  struct Transfer
  {
    double bytes_ = 0;
    bool sending_ = false;
    /// It is being sent, but takes no place.
    bool stalled_ = false;
    model::TimePoint since_{};
    /// When its last part was sent, or will be.
    model::TimePoint lastPart_{};
  };

  explicit TransferQueue(const TransferQueueOptions& aOptions)
    : options_(aOptions)
  {
  }

  /// Returns the rate of long bodies, in bytes per second.
  [[nodiscard]] double Rate() const noexcept
  {
    return static_cast<double>(options_.bytesPerSecond_) * options_.share_;
  }
  [[nodiscard]] double ExpectedBytes(const std::string& aLabel) const;
  /// Returns how long a share of the link needs for some bytes.
  [[nodiscard]] model::Duration TimeFor(double aBytes, double aShare) const;
  void Learn(const std::string& aLabel, double aBytes);
  void Start(model::TimePoint aNow, Transfer& aTransfer);
  [[nodiscard]] std::vector<RequestId> StartWaiting(model::TimePoint aNow);

  TransferQueueOptions options_;
  std::unordered_map<RequestId, Transfer> transfers_;
  std::deque<RequestId> waiting_;
  std::size_t sending_ = 0;
  /// When all responses that were sent or scheduled have left.
  model::TimePoint sentAt_{};
  /// When the parts that were scheduled have left at the least share.
  model::TimePoint partsSentAt_{};
  /// Mean sizes of bodies, in bytes.
  std::unordered_map<std::string, double> meanBytes_;
};

} // namespace hemlockproxy::decisions
