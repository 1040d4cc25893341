#include "hemlockproxy/testing/Content.h"

#include "hemlockproxy/model/Digest.h"

#include <random>

namespace hemlockproxy::testing {

std::string DeterministicBytes(std::size_t aSize, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::string bytes;
  bytes.reserve(aSize + sizeof(std::uint64_t));
  while (bytes.size() < aSize) {
    std::uint64_t word = random();
    for (std::size_t i = 0; i < sizeof word; ++i) {
      bytes.push_back(static_cast<char>(word & 0xff));
      word >>= 8;
    }
  }
  bytes.resize(aSize);
  return bytes;
}

std::string ContentHash(std::string_view aBody)
{
  return ToString(model::HashBytes(aBody));
}

} // namespace hemlockproxy::testing
