#pragma once

#include "hemlockproxy/model/Event.h"
#include "hemlockproxy/model/Member.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace hemlockproxy::decisions {

using MemberRecordPtr = std::shared_ptr<const model::MemberRecord>;

/// Says that a member of known content is suspect, dead or has left.
struct StateClaim
{
  model::DaemonId id_;
  std::uint64_t incarnation_ = 0;
  model::MemberState state_ = model::MemberState::Suspect;

  friend bool operator==(const StateClaim&, const StateClaim&) = default;
};

/// The failure domains that one relay cannot reach.
struct DomainView
{
  model::DaemonId observer_;
  /// Orders the views of one observer: its incarnation, then a count.
  std::uint64_t incarnation_ = 0;
  std::uint64_t sequence_ = 0;
  std::vector<model::FailureDomain> unreachable_;

  friend bool operator==(const DomainView&, const DomainView&) = default;
};

/// A piece of membership news, piggybacked on probes.
using Update = std::variant<MemberRecordPtr, StateClaim, DomainView>;

/// Asks for an Ack with the same number.
struct Ping
{
  std::uint32_t number_ = 0;
  /// Asks for the version floor of the sender's address: the highest version that it reported to
  /// the receiver, or that the receiver holds.
  bool floorWanted_ = false;
};

/// Responds to a Ping, directly or through the member that sent it for a PingRequest.
struct Ack
{
  std::uint32_t number_ = 0;
  /// The member that is alive: the sender, or the target of a PingRequest.
  model::DaemonId subject_;
  std::optional<model::ConfigVersion> floor_;
};

/// Asks the receiver to ping the target and to pass its Ack on.
struct PingRequest
{
  std::uint32_t number_ = 0;
  model::DaemonId target_;
};

/// The digest of the live members of one failure domain.
struct DomainDigest
{
  model::FailureDomain domain_;
  std::uint64_t digest_ = 0;
};

/// Opens a digest exchange.
struct DigestOffer
{
  std::vector<DomainDigest> domains_;
};

/// Members of a failure domain are split into this many buckets by the hash of their id.
inline constexpr std::size_t kDigestBuckets = 16;
using BucketDigests = std::array<std::uint32_t, kDigestBuckets>;

/// Responds to a DigestOffer with the domains that differ; empty when all are equal.
struct DigestReply
{
  std::vector<std::pair<model::FailureDomain, BucketDigests>> domains_;
};

/// The position of one member record in its history.
struct MemberStamp
{
  model::DaemonId id_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t sequence_ = 0;
  model::MemberState state_ = model::MemberState::Alive;
};

/// Lists all member records that the sender holds in some buckets of one domain.
struct BucketEntries
{
  model::FailureDomain domain_;
  /// Bit n stands for bucket n.
  std::uint16_t buckets_ = 0;
  std::vector<MemberStamp> entries_;
};

/// Ends a digest exchange: records that the receiver lacks, and ids that the sender lacks.
struct RecordDelta
{
  std::vector<Update> records_;
  std::vector<model::DaemonId> wanted_;
};

using DatagramBody =
  std::variant<Ping, Ack, PingRequest, DigestOffer, DigestReply, BucketEntries, RecordDelta>;

/// One membership datagram.
struct Datagram
{
  model::DaemonId from_;
  /// The configuration version that the sender enforces.
  model::ConfigVersion version_;
  /// Set by the I/O layer just before encoding.
  model::HybridTimestamp stamp_;
  DatagramBody body_;
  std::vector<Update> updates_;
};

/// Asks for the member table; also announces the sender.
struct SyncRequest
{
  MemberRecordPtr self_;
  model::ConfigVersion version_;
  /// When set, only this domain's records are wanted and the sender is a member already.
  std::optional<model::FailureDomain> domain_;
};

/// The member table of the responder.
struct SyncTable
{
  model::DaemonId from_;
  model::ConfigVersion version_;
  std::vector<MemberRecordPtr> members_;
  std::vector<DomainView> views_;
  /// The incarnation under which the requester was known before.
  std::optional<std::uint64_t> previousIncarnation_;
  /// The version floor of the requester's address, as in Ping.
  std::optional<model::ConfigVersion> floor_;
};

/// The responder admits no join at the moment.
struct SyncLater
{
  std::chrono::milliseconds delay_{ 0 };
};

using SyncResponse = std::variant<SyncTable, SyncLater>;

/// Upper bounds of encoded sizes, which the codec's tests hold to.
inline constexpr std::size_t kDatagramHeaderBytes = 64;
inline constexpr std::size_t kStampBytes = 34;

/// Returns an upper bound of the encoded size of an update in bytes.
[[nodiscard]] std::size_t EncodedSizeBound(const Update& aUpdate) noexcept;

} // namespace hemlockproxy::decisions
