#include "impl/ReaderRoster.h"

#include "hemlockproxy/decisions/RendezvousHash.h"

#include <algorithm>

namespace hemlockproxy::decisions::impl {

void ReaderRoster::SetMembers(model::TimePoint aNow, const std::vector<model::DaemonId>& aMembers)
{
  ranking_ = ChooseByRendezvous("log-reader", aMembers, options_.reportedTo_);
  rank_ = static_cast<std::size_t>(std::find(ranking_.begin(), ranking_.end(), options_.id_) -
                                   ranking_.begin());
  std::erase_if(readers_, [this](const auto& aEntry) {
    return std::find(ranking_.begin(), ranking_.end(), aEntry.first) == ranking_.end();
  });
  for (const model::DaemonId& id : ranking_) {
    readers_.try_emplace(id, Reader{ aNow + options_.takeover_, false });
  }
  AssignFollowers(aMembers);
}

void ReaderRoster::AssignFollowers(const std::vector<model::DaemonId>& aMembers)
{
  followers_.clear();
  const std::size_t ranks = ranking_.size();
  std::size_t place = 0;
  for (const model::DaemonId& id : aMembers) {
    if (std::find(ranking_.begin(), ranking_.end(), id) == ranking_.end()) {
      if (place % ranks == rank_ || (place + ranks / 2) % ranks == rank_) {
        followers_.push_back(id);
      }
      ++place;
    }
  }
}

void ReaderRoster::Reported(model::TimePoint aNow, const model::DaemonId& aId, bool aReads)
{
  if (const auto found = readers_.find(aId); found != readers_.end()) {
    found->second = Reader{ aReads ? aNow + options_.takeover_ : aNow, true };
  }
}

bool ReaderRoster::ShouldRead(model::TimePoint aNow, bool aReading) const
{
  if (rank_ >= ranking_.size()) {
    return false;
  }
  const std::size_t waits = rank_ - std::min(rank_, options_.logReaders_);
  // Members take over one after the other, so that the first one's report spares the rest the read.
  const auto delay = aReading ? model::Duration{} : options_.takeoverStep_ * waits;
  const auto others = std::count_if(
    ranking_.begin(), ranking_.begin() + static_cast<std::ptrdiff_t>(rank_), [&](const auto& aId) {
      const Reader& reader = readers_.at(aId);
      // A daemon that reads goes on until its successor has reported.
      return (reader.reported_ || !aReading) && aNow < reader.until_ + delay;
    });
  return static_cast<std::size_t>(others) < options_.logReaders_;
}

std::vector<model::DaemonId> ReaderRoster::Receivers() const
{
  std::vector<model::DaemonId> receivers = ranking_;
  std::erase(receivers, options_.id_);
  receivers.insert(receivers.end(), followers_.begin(), followers_.end());
  return receivers;
}

} // namespace hemlockproxy::decisions::impl
