#include "hemlockproxy/ctl/Fleet.h"

#include "impl/Text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <map>
#include <tuple>
#include <yaml-cpp/yaml.h>

namespace hemlockproxy::ctl {

namespace {

struct FleetEvent
{
  model::Event event_;
  std::string daemon_;
};

void AddError(FleetReport& aReport, const model::Address& aDaemon, const std::string& aMessage)
{
  aReport.code_ = ExitCode::DaemonUnreachable;
  aReport.errors_.append(ToString(aDaemon)).append(": ").append(aMessage).append("\n");
}

std::string Field(const YAML::Node& aStatus, const char* aKey)
{
  return aStatus[aKey] ? aStatus[aKey].as<std::string>() : "unknown";
}

/// Returns the status line of a daemon; counts its version.
std::string StatusLine(const std::string& aBody, std::map<std::string, int>& aVersions)
{
  const YAML::Node status = YAML::Load(aBody);
  const std::string version = Field(status, "version");
  ++aVersions[version];
  std::string line = Field(status, "name");
  line.append(" version ").append(version);
  for (const char* key :
       { "version_floor", "ready", "leaving", "log_reader", "relay", "log_available" }) {
    line.append(", ").append(key).append(" ").append(Field(status, key));
  }
  return line.append(", members ").append(std::to_string(status["members"].size()));
}

std::array<std::string_view, 5> SplitLine(std::string_view aLine)
{
  std::array<std::string_view, 5> fields;
  for (std::string_view& field : fields) {
    const std::size_t end = std::min(aLine.find('\t'), aLine.size());
    field = aLine.substr(0, end);
    aLine.remove_prefix(std::min(end + 1, aLine.size()));
  }
  return fields;
}

template <typename T>
bool ParseNumber(std::string_view aText, T& aNumber)
{
  const auto [end, failure] = std::from_chars(aText.data(), aText.data() + aText.size(), aNumber);
  return failure == std::errc() && end == aText.data() + aText.size();
}

/// Adds the events of a daemon; returns false when a line is malformed.
bool AddEvents(std::string_view aLines,
               const std::string& aDaemon,
               std::vector<FleetEvent>& aEvents)
{
  while (!aLines.empty()) {
    const std::size_t end = std::min(aLines.find('\n'), aLines.size());
    const auto [wall, counter, part, kind, detail] = SplitLine(aLines.substr(0, end));
    aLines.remove_prefix(std::min(end + 1, aLines.size()));
    model::HybridTimestamp stamp;
    if (!ParseNumber(wall, stamp.wallMs_) || !ParseNumber(counter, stamp.counter_)) {
      return false;
    }
    aEvents.push_back(
      FleetEvent{ { stamp, std::string(part), std::string(kind), std::string(detail) }, aDaemon });
  }
  return true;
}

std::string TextLine(const FleetEvent& aOne)
{
  const model::HybridTimestamp stamp = aOne.event_.stamp_;
  const model::WallTime time{ std::chrono::milliseconds(stamp.wallMs_) };
  std::string line = impl::TimeText(time, impl::TimePrecision::Milliseconds);
  line.append(" +").append(std::to_string(stamp.counter_)).append(" ").append(aOne.daemon_);
  line.append(" ").append(aOne.event_.part_).append(": ").append(aOne.event_.kind_);
  return line.append(aOne.event_.detail_.empty() ? "" : " ").append(aOne.event_.detail_);
}

std::string JsonObject(const FleetEvent& aOne)
{
  const model::Event& event = aOne.event_;
  std::string text = "{\"wall_ms\": " + std::to_string(event.stamp_.wallMs_);
  text.append(", \"counter\": ").append(std::to_string(event.stamp_.counter_));
  text.append(", \"daemon\": ").append(impl::JsonString(aOne.daemon_));
  text.append(", \"part\": ").append(impl::JsonString(event.part_));
  text.append(", \"kind\": ").append(impl::JsonString(event.kind_));
  return text.append(", \"detail\": ").append(impl::JsonString(event.detail_)).append("}");
}

std::string TimelineText(const std::vector<FleetEvent>& aEvents, TimelineFormat aFormat)
{
  std::string text = aFormat == TimelineFormat::Json ? "[" : "";
  for (const FleetEvent& one : aEvents) {
    if (aFormat == TimelineFormat::Json) {
      text.append(text.size() > 1 ? ",\n " : "").append(JsonObject(one));
    } else {
      text.append(TextLine(one)).append("\n");
    }
  }
  return aFormat == TimelineFormat::Json ? text + "]\n" : text;
}

} // namespace

FleetReport ReadStatus(AdminPort& aAdmin, const std::vector<model::Address>& aDaemons)
{
  FleetReport report;
  std::map<std::string, int> versions;
  for (const model::Address& daemon : aDaemons) {
    const auto body = aAdmin.Get(daemon, "/status");
    if (!body) {
      AddError(report, daemon, body.Error().message_);
      continue;
    }
    try {
      report.text_.append(ToString(daemon)).append(" ");
      report.text_.append(StatusLine(*body, versions)).append("\n");
    } catch (const YAML::Exception& error) {
      AddError(report, daemon, "malformed status: " + error.msg);
    }
  }
  for (const auto& [version, count] : versions) {
    report.text_.append("version ").append(version).append(" on ");
    report.text_.append(std::to_string(count)).append(" daemons\n");
  }
  return report;
}

FleetReport ReadTimeline(AdminPort& aAdmin,
                         const std::vector<model::Address>& aDaemons,
                         TimelineFormat aFormat)
{
  FleetReport report;
  std::vector<FleetEvent> events;
  for (const model::Address& daemon : aDaemons) {
    const auto body = aAdmin.Get(daemon, "/events");
    if (!body) {
      AddError(report, daemon, body.Error().message_);
    } else if (!AddEvents(*body, ToString(daemon), events)) {
      AddError(report, daemon, "malformed event line");
    }
  }
  std::stable_sort(
    events.begin(), events.end(), [](const FleetEvent& aLeft, const FleetEvent& aRight) {
      return std::tie(aLeft.event_.stamp_, aLeft.daemon_) <
             std::tie(aRight.event_.stamp_, aRight.daemon_);
    });
  report.text_ = TimelineText(events, aFormat);
  return report;
}

} // namespace hemlockproxy::ctl
