#include "hemlockproxy/daemon/Announcement.h"

#include <yaml-cpp/yaml.h>

#include <optional>

namespace hemlockproxy::daemon {

namespace {

constexpr std::uint32_t kMostSlots = 100'000;

AnnouncementError ErrorAt(const YAML::Mark& aMark, const std::string& aMessage)
{
  return AnnouncementError{ "announcement:" + std::to_string(aMark.line + 1) + ":" +
                            std::to_string(aMark.column + 1) + ": " + aMessage };
}

/// Reads a count; returns nothing when the value is out of range.
std::optional<std::uint32_t> CountOf(const YAML::Node& aValue)
{
  std::uint32_t count = 0;
  if (!YAML::convert<std::uint32_t>::decode(aValue, count) || count == 0 || count > kMostSlots) {
    return std::nullopt;
  }
  return count;
}

/// Applies one key; returns what is expected when the value is wrong, else an empty text.
std::string ApplyKey(const std::string& aKey,
                     const YAML::Node& aValue,
                     model::BackendReport& aBackend)
{
  if (aKey == "service") {
    aBackend.service_ = model::ServiceName(aValue.IsScalar() ? aValue.Scalar() : "");
    return aBackend.service_.Empty() ? "expected the name of a service" : "";
  }
  if (aKey == "address") {
    auto address = model::ParseAddress(aValue.IsScalar() ? aValue.Scalar() : "");
    if (!address) {
      return address.Error().message_;
    }
    aBackend.address_ = *address;
    return "";
  }
  if (aKey == "draining") {
    return YAML::convert<bool>::decode(aValue, aBackend.draining_) ? "" : "expected true or false";
  }
  if (aKey == "slots" || aKey == "connections") {
    const auto count = CountOf(aValue);
    if (!count) {
      return "expected a number from 1 to " + std::to_string(kMostSlots);
    }
    (aKey == "slots" ? aBackend.slots_ : aBackend.connections_) = *count;
    return "";
  }
  return "unknown key '" + aKey + "'; expected service, address, slots, connections or draining";
}

} // namespace

model::Result<model::BackendReport, AnnouncementError> ParseAnnouncement(std::string_view aText)
{
  model::BackendReport backend;
  backend.connections_ = 1;
  try {
    const YAML::Node root = YAML::Load(std::string(aText));
    if (!root.IsMap()) {
      return ErrorAt(root.Mark(), "expected a map with service, address and slots");
    }
    for (const auto& entry : root) {
      const std::string fault = ApplyKey(entry.first.Scalar(), entry.second, backend);
      if (!fault.empty()) {
        return ErrorAt(entry.second.Mark(), fault);
      }
    }
  } catch (const YAML::Exception& error) {
    return ErrorAt(error.mark, error.msg);
  }
  if (backend.service_.Empty() || backend.address_.ip_.empty()) {
    return AnnouncementError{ "announcement: the keys service and address are required" };
  }
  return backend;
}

} // namespace hemlockproxy::daemon
