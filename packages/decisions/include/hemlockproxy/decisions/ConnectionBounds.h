#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <vector>

namespace hemlockproxy::decisions {

/// Who a connection comes from. Peers have a part of each bound to themselves.
enum class ConnectionParty : std::uint8_t
{
  Caller,
  Peer,
};

/// What a connection is used for now.
enum class ConnectionUse : std::uint8_t
{
  /// No byte of a request has been read.
  Idle,
  /// A head is read that has not arrived whole.
  ReadingHead,
  /// A request runs, or the last response is delivered. Never dropped.
  Running,
};

/// The bound that a connection met.
enum class ConnectionBound : std::uint8_t
{
  None,
  Connections,
  Memory,
  /// The part of the memory that heads of uncommon cost may take.
  CostlyHeads,
};

/// Returns the bound as a metric label, such as "memory".
[[nodiscard]] const char* ToString(ConnectionBound aBound) noexcept;

struct ConnectionBoundsOptions
{
  std::size_t connections_ = 4096;
  /// Estimated bytes that all connections may take together.
  std::size_t memory_ = 64UL * 1024 * 1024;
  /// Parts of the above that callers cannot take.
  std::size_t connectionsOfPeers_ = 0;
  std::size_t memoryOfPeers_ = 0;
  /// A request that takes more than this is costly: it drops nobody, and all of them together get
  /// half of the memory of their party.
  std::size_t ordinaryBytes_ = 256UL * 1024;

  /// Listeners, connections of the log and the control port, and open files of the process.
  static constexpr std::size_t kOwnDescriptors = 64;
  static constexpr std::size_t kLeastConnections = 16;
  /// Peers get one in this many connections, and one in this many bytes, to themselves.
  static constexpr std::size_t kPeersPart = 8;
  static constexpr std::size_t kPeersMemoryPart = 4;
  /// Lets a head of 16 KiB in the shortest lines pass when nothing else runs.
  static constexpr std::size_t kLeastMemory = 6UL * 1024 * 1024;

  /// Returns the bounds for an instance with this memory in bytes and this number of descriptors.
  [[nodiscard]] static ConnectionBoundsOptions For(std::size_t aMemory,
                                                   std::size_t aDescriptors) noexcept;
};

/// Decides which connections of a process are accepted, what they may take and which of them give
/// way. Responds to the load of connections and heads, not to requests that run.
///
/// Near a bound the connection that has been idle for longest is dropped first, then the most
/// recent head that is not yet read completely. A running request is never dropped. Callers never
/// cause a connection of a peer to be dropped. Each call takes constant time, and constant time for
/// each connection that it drops.
class ConnectionBounds
{
public:
  /// Chosen by the user of this class; returned for the connections to be dropped.
  using Id = std::uintptr_t;

private:
  struct Entry
  {
    Id id_;
    ConnectionParty party_;
    ConnectionUse use_;
    std::size_t memory_;
    /// Counted among the costly ones.
    bool costly_ = false;
    /// Dropped; counts no more, and is granted nothing.
    bool dropped_ = false;
  };
  using Entries = std::list<Entry>;

public:
  using Handle = Entries::iterator;

  /// The answer to a connection that wants more. The connections in drop_ have been taken out of
  /// the count already; the user closes them and calls Close for them later as usual.
  struct Answer
  {
    /// None when the wish is granted.
    ConnectionBound bound_ = ConnectionBound::None;
    std::vector<Id> drop_;
    /// The bound that the dropped connections had met.
    ConnectionBound dropBound_ = ConnectionBound::None;

    [[nodiscard]] bool Granted() const noexcept { return bound_ == ConnectionBound::None; }
  };

  explicit ConnectionBounds(const ConnectionBoundsOptions& aOptions) noexcept;

  /// Decides whether a connection is accepted, which is idle then. Sets the handle if it is.
  [[nodiscard]] Answer Open(Id aId, ConnectionParty aParty, std::size_t aMemory, Handle& aHandle);
  /// Decides whether a connection may use aMemory from now on, in place of what it used before. A
  /// refusal changes nothing. Less memory and the end of a use are always granted.
  [[nodiscard]] Answer Change(Handle aHandle, ConnectionUse aUse, std::size_t aMemory);
  /// The same for memory that is added to or given back by a running request.
  [[nodiscard]] Answer Add(Handle aHandle, std::size_t aMemory);
  void GiveBack(Handle aHandle, std::size_t aMemory) noexcept;
  /// Forgets a connection, which is valid once for each that was opened.
  void Close(Handle aHandle) noexcept;

  [[nodiscard]] std::size_t Connections() const noexcept { return all_.connections_; }
  [[nodiscard]] std::size_t Memory() const noexcept { return all_.memory_; }

private:
  struct Total
  {
    std::size_t connections_ = 0;
    std::size_t memory_ = 0;
  };

  /// The connections of one party in one use, in the order in which the use began.
  struct Group
  {
    Entries entries_;
    Total total_;
  };

  [[nodiscard]] ConnectionBound Exceeded(ConnectionParty aParty, const Total& aMore) const noexcept;
  [[nodiscard]] bool ExceedsCostly(const Entry& aEntry, std::size_t aMemory) const noexcept;
  /// Drops connections until more fits. Drops none when even all of them would not suffice.
  [[nodiscard]] Answer MakeRoom(ConnectionParty aParty, const Total& aMore, const Entry* aFor);
  [[nodiscard]] bool MayFit(ConnectionParty aParty, Total aMore) const noexcept;
  void Drop(Group& aGroup, Handle aHandle, std::vector<Id>& aDrop) noexcept;
  void Count(Entry& aEntry) noexcept;
  void Uncount(Entry& aEntry) noexcept;
  [[nodiscard]] Group& GroupOf(ConnectionParty aParty, ConnectionUse aUse) noexcept
  {
    return groups_[static_cast<std::size_t>(aParty)][static_cast<std::size_t>(aUse)];
  }
  [[nodiscard]] const Group& GroupOf(ConnectionParty aParty, ConnectionUse aUse) const noexcept
  {
    return groups_[static_cast<std::size_t>(aParty)][static_cast<std::size_t>(aUse)];
  }

  ConnectionBoundsOptions options_;
  Total all_;
  Total callers_;
  /// Memory of costly requests, by party.
  std::array<std::size_t, 2> costly_{};
  /// By party and use.
  std::array<std::array<Group, 3>, 2> groups_;
  /// Dropped connections that are not closed yet.
  Entries dropped_;
};

} // namespace hemlockproxy::decisions
