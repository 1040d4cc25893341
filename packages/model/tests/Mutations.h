#pragma once

#include <algorithm>
#include <array>
#include <string>
#include <string_view>

#include <rapidcheck.h>

/// Malformed messages for the fuzz tests of decoders.
namespace hemlockproxy::model::testing {

/// Texts that break decoders: numbers at the bounds of types, and bytes that have a meaning.
inline constexpr std::array<std::string_view, 14> kOddTexts = { "-1",
                                                                "0",
                                                                "65536",
                                                                "4294967296",
                                                                "9223372036854775808",
                                                                "18446744073709551616",
                                                                "1e3",
                                                                "1e308",
                                                                "null",
                                                                "\xff\xff\xff\xff\x7f",
                                                                "\x80\x80\x80\x80\x80\x80",
                                                                "\"",
                                                                "{}",
                                                                "[]" };

/// Returns a valid message with up to four changes: bytes replaced, cut out, repeated, put in odd
/// texts, or nested thousands of levels deep. Used inside of a property of RapidCheck.
[[nodiscard]] inline std::string Mutated(std::string aMessage)
{
  const auto below = [](std::size_t aBound) {
    return *rc::gen::inRange<std::size_t>(0, std::max<std::size_t>(aBound, 1));
  };
  for (std::size_t changes = 1 + below(4); changes > 0; --changes) {
    const std::size_t at = below(aMessage.size() + 1);
    const std::size_t length = std::min(below(20), aMessage.size() - at);
    switch (below(6)) {
      case 0:
        if (at < aMessage.size()) {
          aMessage[at] = *rc::gen::arbitrary<char>();
        }
        break;
      case 1:
        aMessage.erase(at, length);
        break;
      case 2:
        aMessage.resize(at);
        break;
      case 3:
        aMessage.insert(at, aMessage.substr(at, length));
        break;
      case 4:
        aMessage.replace(at, length, kOddTexts[below(kOddTexts.size())]);
        break;
      default:
        // A list in JSON, or bytes that open structs in the compact protocol of Thrift.
        aMessage.insert(at, std::string(below(20'000), below(2) == 0 ? '[' : '\x1c'));
        break;
    }
  }
  return aMessage;
}

} // namespace hemlockproxy::model::testing
