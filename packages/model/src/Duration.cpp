#include "hemlockproxy/model/Duration.h"

#include <array>
#include <charconv>

namespace hemlockproxy::model {

namespace {

struct Unit
{
  std::string_view suffix_;
  double milliseconds_;
};

constexpr std::array<Unit, 4> kUnits = {
  { { "ms", 1 }, { "s", 1000 }, { "m", 60'000 }, { "h", 3'600'000 } }
};

/// Far above every bound in use; a double holds it exactly.
constexpr double kMostMilliseconds = 1e12;

} // namespace

std::optional<std::chrono::milliseconds> ParseDuration(std::string_view aText)
{
  double count = 0;
  const auto [end, failure] =
    std::from_chars(aText.data(), aText.data() + aText.size(), count, std::chars_format::general);
  if (failure != std::errc() || !(count >= 0)) {
    return std::nullopt;
  }
  const std::string_view suffix = aText.substr(static_cast<std::size_t>(end - aText.data()));
  for (const Unit& unit : kUnits) {
    if (suffix == unit.suffix_ && count * unit.milliseconds_ <= kMostMilliseconds) {
      return std::chrono::milliseconds(static_cast<std::int64_t>(count * unit.milliseconds_));
    }
  }
  return std::nullopt;
}

std::string ToString(std::chrono::milliseconds aDuration)
{
  constexpr std::int64_t kPerSecond = 1000;
  const std::int64_t count = aDuration.count();
  return count % kPerSecond == 0 ? std::to_string(count / kPerSecond) + "s"
                                 : std::to_string(count) + "ms";
}

} // namespace hemlockproxy::model
