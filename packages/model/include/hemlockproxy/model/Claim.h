#pragma once

#include "hemlockproxy/model/Clock.h"
#include "hemlockproxy/model/Digest.h"
#include "hemlockproxy/model/Ids.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockproxy::model {

/// The hash of an idempotency key as stored in the claims streams. Two keys with the same hash
/// exclude each other; at 64 bits that is expected for fewer than 1 key in 10^11 per window.
using ClaimKey = StrongNumber<struct ClaimKeyTag>;

/// Identifies one attempt to run a keyed request; random, 128 bits, never reused.
struct AttemptId
{
  std::uint64_t high_ = 0;
  std::uint64_t low_ = 0;

  friend auto operator<=>(const AttemptId&, const AttemptId&) = default;
  friend bool operator==(const AttemptId&, const AttemptId&) = default;
};

/// A key and the attempt that claims or releases it.
struct ClaimEntry
{
  ClaimKey key_;
  AttemptId attempt_;

  friend bool operator==(const ClaimEntry&, const ClaimEntry&) = default;
};

/// A record of a claims stream. Its releases take effect before its claims.
struct ClaimRecord
{
  std::vector<ClaimEntry> releases_;
  std::vector<ClaimEntry> claims_;

  friend bool operator==(const ClaimRecord&, const ClaimRecord&) = default;
};

/// A claim record as read from the log.
struct LoggedClaims
{
  LogOffset offset_;
  /// Append time by the log's clock.
  WallTime appended_;
  ClaimRecord record_;
};

/// What a resolver answers to a claim request.
enum class ClaimAnswer : std::uint8_t
{
  /// The attempt holds the key.
  Granted,
  /// Another attempt holds the key and may have run.
  Duplicate,
  /// Nothing was decided, and the claim may be in the log or reach it later. The entry must not run
  /// the attempt and should release it.
  Unavailable,
  /// Nothing was decided, and this resolver has not appended the claim and will not.
  NotClaimed,
};

/// Evidence of a grant.
struct ClaimGrant
{
  /// The stream was read up to this offset (exclusive) when the grant was given.
  LogOffset readTo_;
  /// Append time of the claim by the log's clock, rounded up to a second.
  WallTime appended_;

  friend bool operator==(const ClaimGrant&, const ClaimGrant&) = default;
};

/// The hash of a service and an idempotency key, by which an entry remembers keyed requests.
[[nodiscard]] Digest MakeRequestKey(const ServiceName& aService, const IdempotencyKey& aKey);

/// Returns the part of a request key that is stored in the claims streams.
[[nodiscard]] ClaimKey ToClaimKey(const Digest& aRequestKey) noexcept;

/// Returns the shard of a key, below aShards (at least 1).
[[nodiscard]] std::size_t ShardOf(ClaimKey aKey, std::size_t aShards) noexcept;

/// The hash by which two requests with the same key are compared.
[[nodiscard]] Digest MakeFingerprint(std::string_view aMethod,
                                     std::string_view aPath,
                                     const Digest& aBodyHash);

/// Returns 32 hexadecimal digits.
[[nodiscard]] std::string ToString(const AttemptId& aAttempt);

} // namespace hemlockproxy::model
