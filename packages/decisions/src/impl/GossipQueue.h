#pragma once

#include "hemlockproxy/decisions/MembershipMessages.h"
#include "hemlockproxy/model/Clock.h"

#include <cstdint>
#include <list>
#include <map>
#include <utility>
#include <vector>

namespace hemlockproxy::decisions::impl {

/// Updates that wait to be piggybacked, each a bounded number of times, within a byte rate.
class GossipQueue
{
public:
  GossipQueue(std::size_t aBytesPerSecond, std::size_t aBurst)
    : bytesPerSecond_(static_cast<double>(aBytesPerSecond))
    , burst_(static_cast<double>(aBurst))
    , tokens_(burst_)
  {
  }

  /// Adds an update; it replaces the update about the same subject that is still queued.
  void Add(Update aUpdate);
  /// Drops the update about a member, if one is queued.
  void Drop(const model::DaemonId& aId);
  /// Moves updates that were sent least often into aOut, up to aBytes and the byte rate, and
  /// forgets those that were sent aLimit times.
  void Take(std::size_t aBytes,
            std::size_t aLimit,
            model::TimePoint aNow,
            std::vector<Update>& aOut);
  [[nodiscard]] std::size_t Size() const noexcept { return entries_.size(); }

private:
  struct Entry
  {
    Update update_;
    std::size_t sent_ = 0;
  };

  /// Views and records of one member are separate subjects.
  using Subject = std::pair<bool, model::DaemonId>;

  [[nodiscard]] static Subject SubjectOf(const Update& aUpdate);
  void Drop(const Subject& aSubject);
  void Refill(model::TimePoint aNow);

  /// In order of transmissions, newest first among equals.
  std::list<Entry> entries_;
  std::map<Subject, std::list<Entry>::iterator> bySubject_;
  double bytesPerSecond_;
  double burst_;
  double tokens_;
  model::TimePoint refilled_{};
};

} // namespace hemlockproxy::decisions::impl
