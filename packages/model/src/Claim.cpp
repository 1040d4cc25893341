#include "hemlockproxy/model/Claim.h"

#include <string>

namespace hemlockproxy::model {

namespace {

/// Appends a length-prefixed text, so that ("ab", "c") and ("a", "bc") hash differently.
void AppendField(std::string& aOut, std::string_view aText)
{
  aOut += std::to_string(aText.size());
  aOut += ':';
  aOut += aText;
}

} // namespace

Digest MakeRequestKey(const ServiceName& aService, const IdempotencyKey& aKey)
{
  std::string text;
  AppendField(text, aService.Value());
  AppendField(text, aKey.Value());
  return HashBytes(text);
}

ClaimKey ToClaimKey(const Digest& aRequestKey) noexcept
{
  return ClaimKey(aRequestKey.low_);
}

std::size_t ShardOf(ClaimKey aKey, std::size_t aShards) noexcept
{
  // The ledger's table uses the low bits, so the shard takes the high ones.
  constexpr unsigned kLowBits = 32;
  return static_cast<std::size_t>(aKey.Value() >> kLowBits) % aShards;
}

Digest MakeFingerprint(std::string_view aMethod, std::string_view aPath, const Digest& aBodyHash)
{
  std::string text;
  AppendField(text, aMethod);
  AppendField(text, aPath);
  text += ToString(aBodyHash);
  return HashBytes(text);
}

std::string ToString(const AttemptId& aAttempt)
{
  return ToString(Digest{ aAttempt.high_, aAttempt.low_ });
}

} // namespace hemlockproxy::model
