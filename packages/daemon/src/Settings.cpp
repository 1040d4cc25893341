#include "hemlockproxy/daemon/Settings.h"

#include "hemlockproxy/model/Duration.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <limits>
#include <optional>
#include <set>
#include <sstream>

namespace hemlockproxy::daemon {

namespace {

using model::Address;

/// Parses one file and collects its faults.
class SettingsParser
{
public:
  explicit SettingsParser(std::string aPath)
    : path_(std::move(aPath))
  {
  }

  model::Result<Settings, SettingsErrors> Parse(std::string_view aText);

private:
  enum class Need : std::uint8_t
  {
    Required,
    Optional,
  };

  struct Key
  {
    const char* name_;
    Need need_;
    void (SettingsParser::*set_)(const YAML::Node& aValue);
  };

  /// A duration key with its bounds.
  struct DurationKey
  {
    std::chrono::milliseconds Settings::*member_;
    std::chrono::milliseconds least_;
    std::chrono::milliseconds most_;
  };

  static const std::array<Key, 35> kKeys;

  void Add(const YAML::Mark& aMark, std::string aMessage)
  {
    errors_.push_back(
      SettingsError{ { path_, aMark.line + 1, aMark.column + 1 }, std::move(aMessage) });
  }

  void ApplyKeys(const YAML::Node& aRoot);

  std::string Text(const YAML::Node& aValue)
  {
    if (!aValue.IsScalar() || aValue.Scalar().empty()) {
      Add(aValue.Mark(), "expected a text");
      return {};
    }
    return aValue.Scalar();
  }

  void SetAddress(const YAML::Node& aValue, Address& aOut)
  {
    const std::string text = Text(aValue);
    if (text.empty()) {
      return;
    }
    if (auto parsed = model::ParseAddress(text); parsed) {
      aOut = *parsed;
    } else {
      Add(aValue.Mark(), parsed.Error().message_);
    }
  }

  void SetDuration(const YAML::Node& aValue, const DurationKey& aKey);

  void SetName(const YAML::Node& aValue) { settings_.name_ = Text(aValue); }
  void SetRegion(const YAML::Node& aValue) { settings_.region_ = model::Region(Text(aValue)); }
  void SetDomain(const YAML::Node& aValue)
  {
    settings_.domain_ = model::FailureDomain(Text(aValue));
  }
  void SetCaller(const YAML::Node& aValue) { SetAddress(aValue, settings_.caller_); }
  void SetForward(const YAML::Node& aValue) { SetAddress(aValue, settings_.forward_); }
  void SetControl(const YAML::Node& aValue) { SetAddress(aValue, settings_.control_); }
  void SetAdvertiseForward(const YAML::Node& aValue)
  {
    SetAddress(aValue, settings_.advertiseForward_);
  }
  void SetAdvertiseControl(const YAML::Node& aValue)
  {
    SetAddress(aValue, settings_.advertiseControl_);
  }
  void SetAdmin(const YAML::Node& aValue)
  {
    SetAddress(aValue, settings_.admin_);
    if (!settings_.admin_.ip_.empty() && !settings_.admin_.ip_.starts_with("127.")) {
      Add(aValue.Mark(),
          "found '" + settings_.admin_.ip_ +
            "'; expected a loopback address, as the admin port has no authentication");
    }
  }
  void SetLog(const YAML::Node& aValue) { SetAddress(aValue, settings_.log_); }
  void SetReady(const YAML::Node& aValue) { SetAddress(aValue, settings_.ready_); }
  void SetReports(const YAML::Node& aValue) { SetAddress(aValue, settings_.reports_); }
  void SetMetrics(const YAML::Node& aValue) { SetAddress(aValue, settings_.metrics_); }
  void SetCallerService(const YAML::Node& aValue)
  {
    settings_.callerService_ = model::ServiceName(Text(aValue));
  }
  void SetInterface(const YAML::Node& aValue);
  void SetApplyWithin(const YAML::Node& aValue);
  void SetRetryShare(const YAML::Node& aValue);
  void SetRetryWindow(const YAML::Node& aValue);
  void SetRetryExtra(const YAML::Node& aValue);
  void SetTrafficSpin(const YAML::Node& aValue);
  void SetAllowanceLending(const YAML::Node& aValue);
  void SetLinkRate(const YAML::Node& aValue);
  void SetMemory(const YAML::Node& aValue) { SetMegabytes(aValue, &Settings::memoryBytes_); }
  void SetDescriptors(const YAML::Node& aValue) { SetNumber(aValue, &Settings::descriptors_); }
  void SetConnections(const YAML::Node& aValue) { SetNumber(aValue, &Settings::connections_); }
  void SetConnectionMemory(const YAML::Node& aValue)
  {
    SetMegabytes(aValue, &Settings::connectionMemoryBytes_);
  }
  void SetMegabytes(const YAML::Node& aValue, std::uint64_t Settings::*aMember);
  void SetNumber(const YAML::Node& aValue, std::uint64_t Settings::*aMember);
  void SetHangFactor(const YAML::Node& aValue);
  void SetSeeds(const YAML::Node& aValue);
  void SetProfile(const YAML::Node& aValue);
  void SetLogLevel(const YAML::Node& aValue);
  void SetDrainLimit(const YAML::Node& aValue);
  void SetAnnounceInterval(const YAML::Node& aValue);
  void SetStallTimeout(const YAML::Node& aValue);
  void SetLogTimeout(const YAML::Node& aValue);
  void SetLogRetention(const YAML::Node& aValue);

  std::string path_;
  Settings settings_;
  SettingsErrors errors_;
};

const std::array<SettingsParser::Key, 35> SettingsParser::kKeys = { {
  { "name", Need::Required, &SettingsParser::SetName },
  { "region", Need::Required, &SettingsParser::SetRegion },
  { "failure_domain", Need::Required, &SettingsParser::SetDomain },
  { "caller", Need::Required, &SettingsParser::SetCaller },
  { "forward", Need::Required, &SettingsParser::SetForward },
  { "control", Need::Required, &SettingsParser::SetControl },
  { "admin", Need::Required, &SettingsParser::SetAdmin },
  { "log", Need::Required, &SettingsParser::SetLog },
  { "advertise_forward", Need::Optional, &SettingsParser::SetAdvertiseForward },
  { "advertise_control", Need::Optional, &SettingsParser::SetAdvertiseControl },
  { "seeds", Need::Optional, &SettingsParser::SetSeeds },
  { "profile", Need::Optional, &SettingsParser::SetProfile },
  { "drain_limit", Need::Optional, &SettingsParser::SetDrainLimit },
  { "announce_interval", Need::Optional, &SettingsParser::SetAnnounceInterval },
  { "stall_timeout", Need::Optional, &SettingsParser::SetStallTimeout },
  { "log_timeout", Need::Optional, &SettingsParser::SetLogTimeout },
  { "log_retention", Need::Optional, &SettingsParser::SetLogRetention },
  { "log_level", Need::Optional, &SettingsParser::SetLogLevel },
  { "interface", Need::Optional, &SettingsParser::SetInterface },
  { "ready", Need::Optional, &SettingsParser::SetReady },
  { "reports", Need::Optional, &SettingsParser::SetReports },
  { "metrics", Need::Optional, &SettingsParser::SetMetrics },
  { "caller_service", Need::Optional, &SettingsParser::SetCallerService },
  { "apply_within", Need::Optional, &SettingsParser::SetApplyWithin },
  { "retry_share", Need::Optional, &SettingsParser::SetRetryShare },
  { "retry_window", Need::Optional, &SettingsParser::SetRetryWindow },
  { "retry_extra", Need::Optional, &SettingsParser::SetRetryExtra },
  { "traffic_spin", Need::Optional, &SettingsParser::SetTrafficSpin },
  { "allowance_lending", Need::Optional, &SettingsParser::SetAllowanceLending },
  { "link_mbps", Need::Optional, &SettingsParser::SetLinkRate },
  { "memory_mb", Need::Optional, &SettingsParser::SetMemory },
  { "descriptors", Need::Optional, &SettingsParser::SetDescriptors },
  { "connections", Need::Optional, &SettingsParser::SetConnections },
  { "connection_memory_mb", Need::Optional, &SettingsParser::SetConnectionMemory },
  { "hang_factor", Need::Optional, &SettingsParser::SetHangFactor },
} };

void SettingsParser::SetDuration(const YAML::Node& aValue, const DurationKey& aKey)
{
  const std::string text = Text(aValue);
  if (text.empty()) {
    return;
  }
  const auto duration = model::ParseDuration(text);
  if (!duration || *duration < aKey.least_ || *duration > aKey.most_) {
    Add(aValue.Mark(),
        "found '" + text + "'; expected a duration such as 500ms, 2s or 1m from " +
          model::ToString(aKey.least_) + " to " + model::ToString(aKey.most_));
    return;
  }
  settings_.*(aKey.member_) = *duration;
}

void SettingsParser::SetDrainLimit(const YAML::Node& aValue)
{
  SetDuration(aValue, { &Settings::drainLimit_, std::chrono::seconds(0), std::chrono::hours(1) });
}

void SettingsParser::SetAnnounceInterval(const YAML::Node& aValue)
{
  SetDuration(
    aValue,
    { &Settings::announceInterval_, std::chrono::milliseconds(100), std::chrono::minutes(1) });
}

void SettingsParser::SetStallTimeout(const YAML::Node& aValue)
{
  SetDuration(
    aValue, { &Settings::stallTimeout_, std::chrono::milliseconds(100), std::chrono::minutes(10) });
}

void SettingsParser::SetLogTimeout(const YAML::Node& aValue)
{
  SetDuration(aValue,
              { &Settings::logTimeout_, std::chrono::milliseconds(100), std::chrono::minutes(1) });
}

void SettingsParser::SetLogRetention(const YAML::Node& aValue)
{
  SetDuration(aValue,
              { &Settings::logRetention_, std::chrono::seconds(3), std::chrono::hours(24 * 365) });
}

void SettingsParser::SetApplyWithin(const YAML::Node& aValue)
{
  SetDuration(
    aValue, { &Settings::applyWithin_, std::chrono::milliseconds(100), std::chrono::minutes(10) });
}

void SettingsParser::SetRetryWindow(const YAML::Node& aValue)
{
  SetDuration(
    aValue, { &Settings::retryWindow_, std::chrono::milliseconds(100), std::chrono::minutes(10) });
}

void SettingsParser::SetTrafficSpin(const YAML::Node& aValue)
{
  if (!YAML::convert<bool>::decode(aValue, settings_.trafficSpin_)) {
    Add(aValue.Mark(), "found '" + Text(aValue) + "'; expected true or false");
  }
}

void SettingsParser::SetAllowanceLending(const YAML::Node& aValue)
{
  if (!YAML::convert<bool>::decode(aValue, settings_.allowanceLending_)) {
    Add(aValue.Mark(), "found '" + Text(aValue) + "'; expected true or false");
  }
}

void SettingsParser::SetRetryShare(const YAML::Node& aValue)
{
  if (!YAML::convert<double>::decode(aValue, settings_.retryShare_) ||
      !(settings_.retryShare_ >= 0 && settings_.retryShare_ <= 1)) {
    Add(aValue.Mark(), "found '" + Text(aValue) + "'; expected a number from 0 to 1");
  }
}

void SettingsParser::SetRetryExtra(const YAML::Node& aValue)
{
  constexpr double kMost = std::numeric_limits<std::uint32_t>::max();
  double extra = 0;
  if (!YAML::convert<double>::decode(aValue, extra) || !(extra >= 0 && extra <= kMost)) {
    Add(aValue.Mark(), "found '" + Text(aValue) + "'; expected a number from 0 to 4294967295");
    return;
  }
  // A budget that is computed may be a fraction; no part of a retry is left over.
  settings_.retryExtra_ = static_cast<std::uint32_t>(extra);
}

void SettingsParser::SetLinkRate(const YAML::Node& aValue)
{
  constexpr double kBytesPerMegabit = 1e6 / 8;
  constexpr double kMostMegabits = 1e6;
  double megabits = 0;
  if (!YAML::convert<double>::decode(aValue, megabits) || !(megabits >= 0) ||
      megabits > kMostMegabits) {
    Add(aValue.Mark(), "found '" + Text(aValue) + "'; expected Mbit/s from 0 to 1000000");
    return;
  }
  settings_.linkBytesPerSecond_ = static_cast<std::uint64_t>(megabits * kBytesPerMegabit);
}

void SettingsParser::SetMegabytes(const YAML::Node& aValue, std::uint64_t Settings::*aMember)
{
  constexpr double kBytesPerMegabyte = 1e6;
  constexpr double kMostMegabytes = 1e7;
  double megabytes = 0;
  if (!YAML::convert<double>::decode(aValue, megabytes) ||
      !(megabytes >= 0 && megabytes <= kMostMegabytes)) {
    Add(aValue.Mark(), "found '" + Text(aValue) + "'; expected MB from 0 to 10000000");
    return;
  }
  settings_.*aMember = static_cast<std::uint64_t>(megabytes * kBytesPerMegabyte);
}

void SettingsParser::SetNumber(const YAML::Node& aValue, std::uint64_t Settings::*aMember)
{
  constexpr double kMost = 1e7;
  double number = 0;
  if (!YAML::convert<double>::decode(aValue, number) || !(number >= 0 && number <= kMost)) {
    Add(aValue.Mark(), "found '" + Text(aValue) + "'; expected a number from 0 to 10000000");
    return;
  }
  // A computed value may be a fraction, which is rounded to the strict side.
  settings_.*aMember = static_cast<std::uint64_t>(number);
}

void SettingsParser::SetHangFactor(const YAML::Node& aValue)
{
  // A smaller factor gives up requests that are only slow.
  constexpr double kLeast = 2;
  constexpr double kMost = 1000;
  double factor = 0;
  if (!YAML::convert<double>::decode(aValue, factor) ||
      (factor != 0 && !(factor >= kLeast && factor <= kMost))) {
    Add(aValue.Mark(), "found '" + Text(aValue) + "'; expected 0 or a number from 2 to 1000");
    return;
  }
  settings_.hangFactor_ = factor;
}

void SettingsParser::SetInterface(const YAML::Node& aValue)
{
  const std::string text = Text(aValue);
  if (text == "hemlock") {
    settings_.interface_ = Interface::Hemlock;
  } else if (text == "platform") {
    settings_.interface_ = Interface::Platform;
  } else if (!text.empty()) {
    Add(aValue.Mark(), "found '" + text + "'; expected hemlock or platform");
  }
}

void SettingsParser::SetSeeds(const YAML::Node& aValue)
{
  if (!aValue.IsSequence()) {
    Add(aValue.Mark(), "expected a list of control addresses IP:PORT");
    return;
  }
  for (const YAML::Node& seed : aValue) {
    Address address;
    SetAddress(seed, address);
    if (!address.ip_.empty()) {
      settings_.seeds_.push_back(address);
    }
  }
}

void SettingsParser::SetProfile(const YAML::Node& aValue)
{
  const std::string text = Text(aValue);
  if (text == "fast") {
    settings_.profile_ = Profile::Fast;
  } else if (text == "frugal") {
    settings_.profile_ = Profile::Frugal;
  } else if (!text.empty()) {
    Add(aValue.Mark(), "found '" + text + "'; expected fast or frugal");
  }
}

void SettingsParser::SetLogLevel(const YAML::Node& aValue)
{
  const std::string text = Text(aValue);
  constexpr std::array<std::string_view, 4> kLevels = { "debug", "info", "warn", "error" };
  if (std::find(kLevels.begin(), kLevels.end(), text) != kLevels.end()) {
    settings_.logLevel_ = text;
  } else if (!text.empty()) {
    Add(aValue.Mark(), "found '" + text + "'; expected debug, info, warn or error");
  }
}

void SettingsParser::ApplyKeys(const YAML::Node& aRoot)
{
  std::set<std::string> seen;
  for (const auto& entry : aRoot) {
    const std::string name = entry.first.IsScalar() ? entry.first.Scalar() : "";
    const auto* key = std::find_if(
      kKeys.begin(), kKeys.end(), [&name](const Key& aKey) { return name == aKey.name_; });
    if (key == kKeys.end()) {
      std::string expected;
      for (const Key& known : kKeys) {
        expected += std::string(expected.empty() ? "" : ", ") + known.name_;
      }
      std::string message = "unknown key '";
      message.append(name).append("'; expected one of ").append(expected);
      Add(entry.first.Mark(), std::move(message));
    } else if (!seen.insert(name).second) {
      Add(entry.first.Mark(), "the key '" + name + "' appears twice; expected it once");
    } else {
      (this->*(key->set_))(entry.second);
    }
  }
  for (const Key& key : kKeys) {
    if (key.need_ == Need::Required && !seen.contains(key.name_)) {
      errors_.push_back(
        SettingsError{ { path_, 0, 0 }, std::string("the key '") + key.name_ + "' is missing" });
    }
  }
}

model::Result<Settings, SettingsErrors> SettingsParser::Parse(std::string_view aText)
{
  try {
    const YAML::Node root = YAML::Load(std::string(aText));
    if (!root.IsMap()) {
      Add(root.Mark(), "expected a map of settings");
    } else {
      ApplyKeys(root);
    }
  } catch (const YAML::Exception& error) {
    Add(error.mark, error.msg);
  }
  if (!errors_.empty()) {
    return std::move(errors_);
  }
  if (settings_.advertiseForward_.ip_.empty()) {
    settings_.advertiseForward_ = settings_.forward_;
  }
  if (settings_.advertiseControl_.ip_.empty()) {
    settings_.advertiseControl_ = settings_.control_;
  }
  return std::move(settings_);
}

} // namespace

model::DaemonId IdOf(const Settings& aSettings)
{
  return model::DaemonId(ToString(aSettings.advertiseControl_));
}

std::string ToString(const SettingsError& aError)
{
  return ToString(aError.position_) + ": " + aError.message_;
}

model::Result<Settings, SettingsErrors> ParseSettings(std::string_view aText,
                                                      const std::string& aPath)
{
  return SettingsParser(aPath).Parse(aText);
}

model::Result<Settings, SettingsErrors> LoadSettings(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return SettingsErrors{ { { aPath, 0, 0 }, "cannot be read; expected a YAML settings file" } };
  }
  std::ostringstream text;
  text << file.rdbuf();
  auto settings = ParseSettings(text.str(), aPath);
  if (settings) {
    settings->path_ = aPath;
  }
  return settings;
}

} // namespace hemlockproxy::daemon
