#include "impl/GossipQueue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hemlockproxy::decisions::impl {

GossipQueue::Subject GossipQueue::SubjectOf(const Update& aUpdate)
{
  if (const auto* record = std::get_if<MemberRecordPtr>(&aUpdate)) {
    return { false, (*record)->id_ };
  }
  if (const auto* claim = std::get_if<StateClaim>(&aUpdate)) {
    return { false, claim->id_ };
  }
  return { true, std::get<DomainView>(aUpdate).observer_ };
}

void GossipQueue::Add(Update aUpdate)
{
  Subject subject = SubjectOf(aUpdate);
  Drop(subject);
  entries_.push_front(Entry{ std::move(aUpdate) });
  bySubject_[std::move(subject)] = entries_.begin();
}

void GossipQueue::Drop(const model::DaemonId& aId)
{
  Drop(Subject{ false, aId });
}

void GossipQueue::Drop(const Subject& aSubject)
{
  if (const auto found = bySubject_.find(aSubject); found != bySubject_.end()) {
    entries_.erase(found->second);
    bySubject_.erase(found);
  }
}

void GossipQueue::Take(std::size_t aBytes,
                       std::size_t aLimit,
                       model::TimePoint aNow,
                       std::vector<Update>& aOut)
{
  if (entries_.empty()) {
    return;
  }
  Refill(aNow);
  std::size_t room = std::min(aBytes, static_cast<std::size_t>(std::max(tokens_, 0.0)));
  std::list<Entry> taken;
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const std::size_t size = EncodedSizeBound(entry->update_);
    if (size > room) {
      break;
    }
    room -= size;
    tokens_ -= static_cast<double>(size);
    aOut.push_back(entry->update_);
    const auto next = std::next(entry);
    if (++entry->sent_ < aLimit) {
      taken.splice(taken.end(), entries_, entry);
    } else {
      bySubject_.erase(SubjectOf(entry->update_));
      entries_.erase(entry);
    }
    entry = next;
  }
  entries_.merge(
    taken, [](const Entry& aLeft, const Entry& aRight) { return aLeft.sent_ < aRight.sent_; });
}

void GossipQueue::Refill(model::TimePoint aNow)
{
  const std::chrono::duration<double> passed = aNow - refilled_;
  refilled_ = aNow;
  tokens_ = std::min(burst_, tokens_ + passed.count() * bytesPerSecond_);
}

} // namespace hemlockproxy::decisions::impl
