#include "impl/Text.h"

#include <cstdio>
#include <ctime>

namespace hemlockproxy::ctl::impl {

std::string TimeText(model::WallTime aTime, TimePrecision aPrecision)
{
  const auto seconds = std::chrono::floor<std::chrono::seconds>(aTime);
  const std::time_t since = seconds.time_since_epoch().count();
  std::tm parts{};
  gmtime_r(&since, &parts);
  char text[sizeof "2026-01-01T00:00:00"];
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
  if (aPrecision == TimePrecision::Seconds) {
    return std::string(text) + "Z";
  }
  const std::string fraction = std::to_string((aTime - seconds).count());
  constexpr std::size_t kDigits = 3;
  return std::string(text) + "." + std::string(kDigits - fraction.size(), '0') + fraction + "Z";
}

std::string JsonString(std::string_view aText)
{
  std::string text = "\"";
  for (const char c : aText) {
    if (c == '"' || c == '\\') {
      text.append({ '\\', c });
    } else if (static_cast<unsigned char>(c) < ' ') {
      char escape[sizeof "\\u0000"];
      std::snprintf(escape, sizeof escape, "\\u%04x", static_cast<unsigned>(c));
      text.append(escape);
    } else {
      text += c;
    }
  }
  return text + "\"";
}

} // namespace hemlockproxy::ctl::impl
