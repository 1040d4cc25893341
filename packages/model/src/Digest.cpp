#include "hemlockproxy/model/Digest.h"

#include <cstdio>
#include <xxhash.h>

namespace hemlockproxy::model {

Digest HashBytes(std::string_view aBytes) noexcept
{
  const XXH128_hash_t hash = XXH3_128bits(aBytes.data(), aBytes.size());
  return Digest{ hash.high64, hash.low64 };
}

std::uint64_t Hash64(std::string_view aBytes, std::uint64_t aSeed) noexcept
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

std::string ToString(const Digest& aDigest)
{
  constexpr std::size_t kHexDigits = 32;
  char text[kHexDigits + 1];
  std::snprintf(text,
                sizeof text,
                "%016llx%016llx",
                static_cast<unsigned long long>(aDigest.high_),
                static_cast<unsigned long long>(aDigest.low_));
  return std::string(text, kHexDigits);
}

} // namespace hemlockproxy::model
