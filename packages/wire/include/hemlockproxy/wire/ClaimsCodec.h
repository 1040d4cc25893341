#pragma once

#include "hemlockproxy/model/Claim.h"
#include "hemlockproxy/wire/ThriftCodec.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockproxy::wire {

enum class ClaimAction : std::uint8_t
{
  Claim,
  Release,
};

/// A message from an entry to a resolver.
struct ClaimCall
{
  ClaimAction action_ = ClaimAction::Claim;
  model::ClaimEntry entry_;
  /// The number of shards by the sender's settings.
  std::uint16_t shards_ = 1;
  /// How long the sender waits for the reply.
  std::chrono::milliseconds wait_{ 0 };

  friend bool operator==(const ClaimCall&, const ClaimCall&) = default;
};

enum class ClaimStatus : std::uint8_t
{
  Granted,
  Duplicate,
  Unavailable,
  Released,
  NotClaimed,
};

/// The reply to a ClaimCall. A release that was not recorded is replied to with Unavailable.
struct ClaimReply
{
  ClaimStatus status_ = ClaimStatus::Unavailable;
  /// Set if and only if the status is Granted.
  std::optional<model::ClaimGrant> grant_;

  friend bool operator==(const ClaimReply&, const ClaimReply&) = default;
};

/// Returns the bytes of a claims stream record: 24 per claim or release and at most 9 in all.
[[nodiscard]] std::string EncodeClaimRecord(const model::ClaimRecord& aRecord);

/// Reads a claims stream record; fails on malformed bytes and on entries that are cut short.
[[nodiscard]] model::Result<model::ClaimRecord, DecodeError> DecodeClaimRecord(
  std::string_view aBytes);

[[nodiscard]] std::string EncodeClaimCall(const ClaimCall& aCall);

/// Reads a claim call; fails on unknown actions, shard counts below 1 and negative waits.
[[nodiscard]] model::Result<ClaimCall, DecodeError> DecodeClaimCall(std::string_view aBytes);

[[nodiscard]] std::string EncodeClaimReply(const ClaimReply& aReply);

/// Reads a claim reply; fails on unknown states and on a grant that is missing or surplus.
[[nodiscard]] model::Result<ClaimReply, DecodeError> DecodeClaimReply(std::string_view aBytes);

} // namespace hemlockproxy::wire
