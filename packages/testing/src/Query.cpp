#include "hemlockproxy/testing/Query.h"

#include <charconv>

namespace hemlockproxy::testing {

namespace {

std::string Decode(std::string_view aText)
{
  constexpr int kHex = 16;
  std::string decoded;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    unsigned value = 0;
    if (aText[i] == '%' && i + 2 < aText.size() &&
        std::from_chars(aText.data() + i + 1, aText.data() + i + 3, value, kHex).ptr ==
          aText.data() + i + 3) {
      decoded.push_back(static_cast<char>(value));
      i += 2;
    } else {
      decoded.push_back(aText[i] == '+' ? ' ' : aText[i]);
    }
  }
  return decoded;
}

} // namespace

Target ParseTarget(std::string_view aTarget)
{
  const std::size_t mark = aTarget.find('?');
  Target target{ std::string(aTarget.substr(0, mark)), {} };
  std::string_view rest =
    mark == std::string_view::npos ? std::string_view() : aTarget.substr(mark + 1);
  while (!rest.empty()) {
    const std::size_t end = rest.find('&');
    const std::string_view pair = rest.substr(0, end);
    const std::size_t equals = pair.find('=');
    target.parameters_[Decode(pair.substr(0, equals))] =
      equals == std::string_view::npos ? std::string() : Decode(pair.substr(equals + 1));
    rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
  }
  return target;
}

} // namespace hemlockproxy::testing
