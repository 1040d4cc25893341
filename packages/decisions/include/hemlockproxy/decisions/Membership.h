#pragma once

#include "hemlockproxy/decisions/MembershipMessages.h"
#include "hemlockproxy/model/Clock.h"
#include "hemlockproxy/model/Result.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hemlockproxy::decisions {

namespace impl {
class MembershipEngine;
} // namespace impl

/// The settings of Membership.
struct MembershipOptions
{
  model::DaemonId id_;
  model::Region region_;
  model::FailureDomain domain_;
  model::Address control_;
  model::Address forward_;
  std::vector<model::Address> seeds_;

  /// One member is probed per period.
  std::chrono::milliseconds probePeriod_{ 1000 };
  /// Time for a direct Ack; round trips between domains take about 8 ms.
  std::chrono::milliseconds ackTimeout_{ 300 };
  std::size_t indirectProbes_ = 3;
  /// Suspicion lasts this many periods times log10(members), and at least this many periods.
  std::size_t suspicionPeriods_ = 4;
  /// Each update is sent this many times log10(members).
  std::size_t retransmitFactor_ = 4;
  std::size_t datagramBytes_ = 1200;
  /// Sustained rate and burst of piggybacked updates that one daemon sends, counted by
  /// EncodedSizeBound, which is about twice the encoded size.
  std::size_t gossipBytesPerSecond_ = 900;
  std::size_t gossipBurstBytes_ = 4096;

  /// A change of this daemon's own record is sent straight to all members where there are at most
  /// this many; in larger fleets it spreads by gossip and relays.
  std::size_t directMembers_ = 64;
  /// Addresses from the log to which a starting daemon introduces itself at once.
  std::size_t introductions_ = 64;

  std::size_t relays_ = 2;
  std::chrono::milliseconds digestInterval_{ 3000 };
  /// Digest exchange with a random member of the own domain, which repairs lost updates.
  std::chrono::milliseconds repairInterval_{ 5000 };
  /// A domain that no relay has heard from for this time is unreachable.
  std::chrono::milliseconds domainTimeout_{ 15000 };
  /// More differing buckets than this are fetched by one full sync of the domain. A lost rack of
  /// 20 touches about 12 of the 16 buckets; its differences are smaller than the table.
  std::size_t syncBuckets_ = 14;

  std::chrono::milliseconds joinJitter_{ 1000 };
  std::chrono::milliseconds joinRetry_{ 500 };
  std::chrono::milliseconds joinRetryMax_{ 10000 };
  /// Joins that this daemon admits; others are told to come later.
  double joinsPerSecond_ = 10.0;
  std::size_t joinBurst_ = 5;
  /// Peers that must have reported a floor before a restarted daemon trusts it.
  std::size_t floorPeers_ = 8;
  /// A dead member, or an address without a member, is tried again at this interval.
  std::chrono::milliseconds reconnectInterval_{ 30000 };
  /// For startPhase_ after the start, an address without a member is tried at this interval:
  /// daemons that start together may join in groups that do not know each other.
  std::chrono::milliseconds startReconnectInterval_{ 1000 };
  std::chrono::milliseconds startPhase_{ 60000 };
  /// For greetFor_ after a member has died or left, each daemon pings one such member at this
  /// interval: it may have restarted without an address to join, as while the log is unavailable.
  std::chrono::milliseconds greetInterval_{ 500 };
  std::chrono::milliseconds greetFor_{ 60000 };
  /// Dead and left members are remembered longer than the longest expected partition (1 h), so
  /// that a peer from the other side cannot revive them.
  std::chrono::minutes forgetAfter_{ 120 };
};

/// Says which option is out of range.
struct MembershipError
{
  std::string message_;
};

/// @name Events
/// @{
struct DatagramReceived
{
  model::Address from_;
  Datagram datagram_;
};
struct SyncRequested
{
  model::Address from_;
  SyncRequest request_;
};
struct SyncResponded
{
  model::Address from_;
  SyncResponse response_;
};
struct SyncFailed
{
  model::Address to_;
};
struct MembershipTick
{};
struct LocalEndpointChanged
{
  std::optional<model::Endpoint> endpoint_;
};
/// The daemon enforces a new version; pings report it from now on.
struct LocalVersionChanged
{
  model::ConfigVersion version_;
};
/// The daemon holds a new version, enforced or not; see Distribution's VersionHeld.
struct LocalVersionHeld
{
  model::ConfigVersion version_;
};
/// Addresses from the log's `members` stream; some may belong to daemons that are gone.
struct AddressesLearned
{
  std::vector<model::Address> addresses_;
};
/// The daemon takes no new work but stays a member.
struct BeginLeaving
{};
/// The daemon leaves the membership; it must handle no further events.
struct Leave
{};
/// @}

using MembershipEvent = std::variant<DatagramReceived,
                                     SyncRequested,
                                     SyncResponded,
                                     SyncFailed,
                                     MembershipTick,
                                     LocalEndpointChanged,
                                     LocalVersionChanged,
                                     LocalVersionHeld,
                                     AddressesLearned,
                                     BeginLeaving,
                                     Leave>;

/// @name Actions
/// @{
struct SendDatagram
{
  model::Address to_;
  Datagram datagram_;
};
/// Send a sync request over HTTP; the outcome comes back as SyncResponded or SyncFailed.
struct SendSync
{
  model::Address to_;
  SyncRequest request_;
};
/// The response to the SyncRequested event that returned this action.
struct ReplySync
{
  SyncResponse response_;
};
/// A member is new or its record changed; the state is in the record.
struct MemberChanged
{
  MemberRecordPtr member_;
};
struct MemberForgotten
{
  model::DaemonId id_;
};
struct DomainReachabilityChanged
{
  model::FailureDomain domain_;
  bool reachable_ = true;
};
/// The live members of the own domain or the relays changed; see Membership::Live and Relays.
struct RolesChanged
{};
/// A peer reported a higher version than before.
struct PeerVersionSeen
{
  model::DaemonId id_;
  model::ConfigVersion version_;
};
/// A version below which this daemon must not start to serve: what its address has reported to a
/// peer, or what the peer holds and may have acknowledged to it.
struct FloorRaised
{
  model::ConfigVersion floor_;
};
/// Enough peers have reported the floor, or there is none to ask.
struct FloorSettled
{};
/// @}

using MembershipAction = std::variant<SendDatagram,
                                      SendSync,
                                      ReplySync,
                                      MemberChanged,
                                      MemberForgotten,
                                      DomainReachabilityChanged,
                                      RolesChanged,
                                      PeerVersionSeen,
                                      FloorRaised,
                                      FloorSettled>;
using MembershipActions = std::vector<MembershipAction>;

/// Keeps the member table: SWIM inside the failure domain, digest exchange by relays between
/// domains. Deterministic; performs no I/O.
///
///     auto membership = Membership::Create(options);
///     for (auto& action : membership->Handle(MembershipTick{}, now, random)) { Execute(action); }
class Membership
{
public:
  /// Fails when a required option is missing or out of range.
  [[nodiscard]] static model::Result<Membership, MembershipError> Create(
    MembershipOptions aOptions);

  Membership(Membership&&) noexcept;
  Membership& operator=(Membership&&) noexcept;
  ~Membership();

  /// Handles one event and returns the actions in the order in which to execute them. Ticks are
  /// due about every 100 ms.
  [[nodiscard]] MembershipActions Handle(const MembershipEvent& aEvent,
                                         model::TimePoint aNow,
                                         model::RandomSource& aRandom);

  /// Returns this daemon's own record.
  [[nodiscard]] const MemberRecordPtr& Self() const noexcept;
  /// Returns all known members, this daemon included, in order of id.
  [[nodiscard]] std::vector<MemberRecordPtr> Members() const;
  /// Returns the ids of alive and suspect members of a domain, this daemon included, in order.
  [[nodiscard]] std::vector<model::DaemonId> Live(const model::FailureDomain& aDomain) const;
  /// Returns the relays of a domain in order of preference.
  [[nodiscard]] std::vector<model::DaemonId> Relays(const model::FailureDomain& aDomain) const;
  /// Returns all domains of which a member is known.
  [[nodiscard]] std::vector<model::FailureDomain> Domains() const;
  /// Returns whether the relays of the own domain can reach the domain.
  [[nodiscard]] bool Reachable(const model::FailureDomain& aDomain) const;
  /// Returns the highest version that the address is known to have reported.
  [[nodiscard]] std::optional<model::ConfigVersion> Floor(const model::DaemonId& aId) const;
  /// Returns the digest of the live members of a domain; equal tables have equal digests.
  [[nodiscard]] std::uint64_t Digest(const model::FailureDomain& aDomain) const;

private:
  explicit Membership(std::unique_ptr<impl::MembershipEngine> aEngine) noexcept;

  std::unique_ptr<impl::MembershipEngine> engine_;
};

} // namespace hemlockproxy::decisions
