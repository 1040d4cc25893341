#include "hemlockproxy/ctl/Explain.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <optional>
#include <set>

namespace hemlockproxy::ctl {

namespace {

using std::chrono::milliseconds;

/// Changes that are older than this at the end of a request seldom explain it.
constexpr milliseconds kContext{ 5000 };

struct ParsedLine
{
  std::string time_;
  std::int64_t ms_ = 0;
  std::string daemon_;
  std::string event_;
  /// Empty in lines that belong to no request.
  std::string id_;
  /// All other fields as "name=value".
  std::string fields_;
};

std::string TextOf(const rapidjson::Value& aObject, const char* aName)
{
  const auto found = aObject.FindMember(aName);
  return found != aObject.MemberEnd() && found->value.IsString() ? found->value.GetString() : "";
}

/// Returns the milliseconds since the Unix epoch of a time such as 2026-12-04T08:00:00.123Z.
std::optional<std::int64_t> MillisecondsOf(const std::string& aTime)
{
  std::tm utc{};
  const char* rest = strptime(aTime.c_str(), "%Y-%m-%dT%H:%M:%S", &utc);
  int ms = 0;
  if (rest == nullptr || std::sscanf(rest, ".%dZ", &ms) != 1) {
    return std::nullopt;
  }
  constexpr std::int64_t kPerSecond = 1000;
  return static_cast<std::int64_t>(timegm(&utc)) * kPerSecond + ms;
}

std::string ValueText(const rapidjson::Value& aValue)
{
  if (aValue.IsString()) {
    return aValue.GetString();
  }
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  aValue.Accept(writer);
  return buffer.GetString();
}

/// Returns a structured line; nothing for other text. Sets aBroken when the line begins like one.
std::optional<ParsedLine> ParseLine(std::string_view aText, bool& aBroken)
{
  const std::size_t start = aText.find("{\"t\":");
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view json = aText.substr(start);
  rapidjson::Document document;
  document.Parse(json.data(), json.size());
  const auto ms = document.IsObject() ? MillisecondsOf(TextOf(document, "t")) : std::nullopt;
  if (!ms) {
    aBroken = true;
    return std::nullopt;
  }
  ParsedLine line{ TextOf(document, "t"),      *ms,
                   TextOf(document, "daemon"), TextOf(document, "event"),
                   TextOf(document, "id"),     {} };
  const std::set<std::string_view> shown{ "t", "daemon", "event", "id" };
  for (const auto& member : document.GetObject()) {
    const std::string_view name(member.name.GetString(), member.name.GetStringLength());
    if (!shown.contains(name)) {
      line.fields_.append(" ").append(name).append("=").append(ValueText(member.value));
    }
  }
  return line;
}

std::vector<ParsedLine> ParseFiles(const std::vector<LogFile>& aFiles, std::string& aErrors)
{
  std::vector<ParsedLine> lines;
  for (const LogFile& file : aFiles) {
    std::string_view rest = file.text_;
    for (std::size_t number = 1; !rest.empty(); ++number) {
      const std::size_t end = std::min(rest.find('\n'), rest.size());
      bool broken = false;
      if (auto line = ParseLine(rest.substr(0, end), broken)) {
        lines.push_back(*std::move(line));
      } else if (broken) {
        aErrors += file.name_ + ":" + std::to_string(number) +
                   ": a structured line is cut or damaged; skipped\n";
      }
      rest.remove_prefix(std::min(end + 1, rest.size()));
    }
  }
  std::stable_sort(
    lines.begin(), lines.end(), [](const ParsedLine& aLeft, const ParsedLine& aRight) {
      return aLeft.ms_ < aRight.ms_;
    });
  return lines;
}

} // namespace

FleetReport ExplainRequest(std::string_view aRequestId, const std::vector<LogFile>& aFiles)
{
  FleetReport report;
  const std::vector<ParsedLine> lines = ParseFiles(aFiles, report.errors_);
  std::set<std::string> daemons;
  std::int64_t last = 0;
  for (const ParsedLine& line : lines) {
    if (line.id_ == aRequestId) {
      daemons.insert(line.daemon_);
      last = std::max(last, line.ms_);
    }
  }
  if (daemons.empty()) {
    report.code_ = ExitCode::NotFound;
    report.errors_ += "no line has the id " + std::string(aRequestId) +
                      "; it may have been answered (answers are sampled), or its lines were "
                      "dropped (log.lines-dropped)\n";
    return report;
  }
  for (const ParsedLine& line : lines) {
    const bool own = line.id_ == aRequestId;
    const bool context = line.id_.empty() && daemons.contains(line.daemon_) && line.ms_ <= last &&
                         line.ms_ >= last - kContext.count();
    if (own || context) {
      report.text_ +=
        line.time_ + (own ? " * " : "   ") + line.daemon_ + " " + line.event_ + line.fields_ + "\n";
    }
  }
  return report;
}

} // namespace hemlockproxy::ctl
