#include "hemlockproxy/decisions/ConnectionBounds.h"

#include <algorithm>
#include <iterator>

namespace hemlockproxy::decisions {

const char* ToString(ConnectionBound aBound) noexcept
{
  switch (aBound) {
    case ConnectionBound::None:
      return "none";
    case ConnectionBound::Connections:
      return "connections";
    case ConnectionBound::Memory:
      return "memory";
    case ConnectionBound::CostlyHeads:
      return "costly-heads";
  }
  return "unknown";
}

ConnectionBoundsOptions ConnectionBoundsOptions::For(std::size_t aMemory,
                                                     std::size_t aDescriptors) noexcept
{
  ConnectionBoundsOptions options;
  // Three eighths are for connections; the rest is for the program, the configuration, responses
  // that owners hold, and what the allocator does not return.
  options.memory_ = std::max(kLeastMemory, aMemory / 8 * 3);
  options.memoryOfPeers_ = options.memory_ / kPeersMemoryPart;
  // A request may need a second descriptor, for its connection to an owner or backend server.
  options.connections_ =
    std::max(kLeastConnections, (aDescriptors - std::min(aDescriptors, kOwnDescriptors)) / 2);
  options.connectionsOfPeers_ = options.connections_ / kPeersPart;
  return options;
}

ConnectionBounds::ConnectionBounds(const ConnectionBoundsOptions& aOptions) noexcept
  : options_(aOptions)
{
  options_.connectionsOfPeers_ = std::min(options_.connectionsOfPeers_, options_.connections_);
  options_.memoryOfPeers_ = std::min(options_.memoryOfPeers_, options_.memory_);
}

ConnectionBounds::Answer ConnectionBounds::Open(Id aId,
                                                ConnectionParty aParty,
                                                std::size_t aMemory,
                                                Handle& aHandle)
{
  Answer answer = MakeRoom(aParty, { 1, aMemory }, nullptr);
  if (answer.Granted()) {
    Entries& idle = GroupOf(aParty, ConnectionUse::Idle).entries_;
    idle.push_back({ aId, aParty, ConnectionUse::Idle, aMemory });
    Count(idle.back());
    aHandle = std::prev(idle.end());
  }
  return answer;
}

ConnectionBounds::Answer ConnectionBounds::Change(Handle aHandle,
                                                  ConnectionUse aUse,
                                                  std::size_t aMemory)
{
  Entry& entry = *aHandle;
  Answer answer;
  if (entry.dropped_) {
    answer.bound_ = ConnectionBound::Memory;
    return answer;
  }
  if (aMemory > entry.memory_) {
    const Total more{ 0, aMemory - entry.memory_ };
    if (aMemory <= options_.ordinaryBytes_) {
      answer = MakeRoom(entry.party_, more, &entry);
    } else if (ExceedsCostly(entry, aMemory)) {
      answer.bound_ = ConnectionBound::CostlyHeads;
    } else {
      answer.bound_ = Exceeded(entry.party_, more);
    }
    if (!answer.Granted()) {
      return answer;
    }
  }
  Uncount(entry);
  if (entry.use_ != aUse) {
    Entries& from = GroupOf(entry.party_, entry.use_).entries_;
    Entries& to = GroupOf(entry.party_, aUse).entries_;
    to.splice(to.end(), from, aHandle);
    entry.use_ = aUse;
  }
  entry.memory_ = aMemory;
  Count(entry);
  return answer;
}

ConnectionBounds::Answer ConnectionBounds::Add(Handle aHandle, std::size_t aMemory)
{
  return Change(aHandle, aHandle->use_, aHandle->memory_ + aMemory);
}

void ConnectionBounds::GiveBack(Handle aHandle, std::size_t aMemory) noexcept
{
  Entry& entry = *aHandle;
  if (!entry.dropped_) {
    Uncount(entry);
  }
  entry.memory_ -= std::min(aMemory, entry.memory_);
  if (!entry.dropped_) {
    Count(entry);
  }
}

void ConnectionBounds::Close(Handle aHandle) noexcept
{
  if (aHandle->dropped_) {
    dropped_.erase(aHandle);
    return;
  }
  Uncount(*aHandle);
  GroupOf(aHandle->party_, aHandle->use_).entries_.erase(aHandle);
}

ConnectionBound ConnectionBounds::Exceeded(ConnectionParty aParty,
                                           const Total& aMore) const noexcept
{
  const bool caller = aParty == ConnectionParty::Caller;
  const std::size_t connections = options_.connections_ - options_.connectionsOfPeers_;
  const std::size_t memory = options_.memory_ - options_.memoryOfPeers_;
  if (all_.connections_ + aMore.connections_ > options_.connections_ ||
      (caller && callers_.connections_ + aMore.connections_ > connections)) {
    return ConnectionBound::Connections;
  }
  if (all_.memory_ + aMore.memory_ > options_.memory_ ||
      (caller && callers_.memory_ + aMore.memory_ > memory)) {
    return ConnectionBound::Memory;
  }
  return ConnectionBound::None;
}

bool ConnectionBounds::ExceedsCostly(const Entry& aEntry, std::size_t aMemory) const noexcept
{
  const std::size_t reserved =
    aEntry.party_ == ConnectionParty::Caller ? options_.memoryOfPeers_ : 0;
  const std::size_t others =
    costly_[static_cast<std::size_t>(aEntry.party_)] - (aEntry.costly_ ? aEntry.memory_ : 0);
  return others + aMemory > (options_.memory_ - reserved) / 2;
}

bool ConnectionBounds::MayFit(ConnectionParty aParty, Total aMore) const noexcept
{
  // What may be dropped counts as given back, up to what is wanted.
  Total droppable;
  for (const ConnectionParty party : { ConnectionParty::Caller, ConnectionParty::Peer }) {
    if (party == ConnectionParty::Peer && aParty == ConnectionParty::Caller) {
      continue;
    }
    for (const ConnectionUse use : { ConnectionUse::Idle, ConnectionUse::ReadingHead }) {
      droppable.connections_ += GroupOf(party, use).total_.connections_;
      droppable.memory_ += GroupOf(party, use).total_.memory_;
    }
  }
  const bool caller = aParty == ConnectionParty::Caller;
  const Total& used = caller ? callers_ : all_;
  const std::size_t connections =
    options_.connections_ - (caller ? options_.connectionsOfPeers_ : 0);
  const std::size_t memory = options_.memory_ - (caller ? options_.memoryOfPeers_ : 0);
  return used.connections_ + aMore.connections_ <= connections + droppable.connections_ &&
         used.memory_ + aMore.memory_ <= memory + droppable.memory_ &&
         all_.connections_ + aMore.connections_ <= options_.connections_ + droppable.connections_ &&
         all_.memory_ + aMore.memory_ <= options_.memory_ + droppable.memory_;
}

ConnectionBounds::Answer ConnectionBounds::MakeRoom(ConnectionParty aParty,
                                                    const Total& aMore,
                                                    const Entry* aFor)
{
  Answer answer;
  answer.bound_ = Exceeded(aParty, aMore);
  if (answer.Granted() || !MayFit(aParty, aMore)) {
    return answer;
  }
  answer.dropBound_ = answer.bound_;
  const auto parties = aParty == ConnectionParty::Caller
                         ? std::vector{ ConnectionParty::Caller }
                         : std::vector{ ConnectionParty::Caller, ConnectionParty::Peer };
  for (const ConnectionParty party : parties) {
    Group& idle = GroupOf(party, ConnectionUse::Idle);
    auto next = idle.entries_.begin();
    while (!answer.Granted() && next != idle.entries_.end()) {
      const Handle oldest = next++;
      if (&*oldest != aFor) {
        Drop(idle, oldest, answer.drop_);
        answer.bound_ = Exceeded(aParty, aMore);
      }
    }
  }
  for (const ConnectionParty party : parties) {
    Group& reading = GroupOf(party, ConnectionUse::ReadingHead);
    // A head that is read itself is older than those behind it, which are dropped first.
    while (!answer.Granted() && !reading.entries_.empty() && &reading.entries_.back() != aFor) {
      Drop(reading, std::prev(reading.entries_.end()), answer.drop_);
      answer.bound_ = Exceeded(aParty, aMore);
    }
  }
  return answer;
}

void ConnectionBounds::Drop(Group& aGroup, Handle aHandle, std::vector<Id>& aDrop) noexcept
{
  Uncount(*aHandle);
  aHandle->dropped_ = true;
  aDrop.push_back(aHandle->id_);
  dropped_.splice(dropped_.end(), aGroup.entries_, aHandle);
}

void ConnectionBounds::Count(Entry& aEntry) noexcept
{
  const auto add = [&aEntry](Total& aTotal) {
    ++aTotal.connections_;
    aTotal.memory_ += aEntry.memory_;
  };
  add(all_);
  add(GroupOf(aEntry.party_, aEntry.use_).total_);
  if (aEntry.party_ == ConnectionParty::Caller) {
    add(callers_);
  }
  aEntry.costly_ = aEntry.memory_ > options_.ordinaryBytes_;
  if (aEntry.costly_) {
    costly_[static_cast<std::size_t>(aEntry.party_)] += aEntry.memory_;
  }
}

void ConnectionBounds::Uncount(Entry& aEntry) noexcept
{
  const auto remove = [&aEntry](Total& aTotal) {
    --aTotal.connections_;
    aTotal.memory_ -= aEntry.memory_;
  };
  remove(all_);
  remove(GroupOf(aEntry.party_, aEntry.use_).total_);
  if (aEntry.party_ == ConnectionParty::Caller) {
    remove(callers_);
  }
  if (aEntry.costly_) {
    costly_[static_cast<std::size_t>(aEntry.party_)] -= aEntry.memory_;
  }
}

} // namespace hemlockproxy::decisions
