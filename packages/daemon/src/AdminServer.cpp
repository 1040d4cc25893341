#include "hemlockproxy/daemon/AdminServer.h"

#include "impl/Delivery.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <ostream>

namespace hemlockproxy::daemon {

namespace {

namespace http = runtime::http;
constexpr std::size_t kAnnouncementBytes = 4096;

void EmitMember(YAML::Emitter& aOut, const model::MemberRecord& aMember)
{
  aOut << YAML::Flow << YAML::BeginMap;
  aOut << YAML::Key << "id" << YAML::Value << aMember.id_.Value();
  aOut << YAML::Key << "domain" << YAML::Value << aMember.domain_.Value();
  aOut << YAML::Key << "state" << YAML::Value << ToString(aMember.state_);
  aOut << YAML::Key << "leaving" << YAML::Value << aMember.leaving_;
  if (aMember.endpoint_) {
    aOut << YAML::Key << "service" << YAML::Value << aMember.endpoint_->service_.Value();
    aOut << YAML::Key << "slots" << YAML::Value << aMember.endpoint_->slots_;
    aOut << YAML::Key << "draining" << YAML::Value << aMember.endpoint_->draining_;
  }
  aOut << YAML::EndMap;
}

std::string StatusText(const std::string& aName, const Status& aStatus)
{
  YAML::Emitter out;
  out << YAML::BeginMap;
  out << YAML::Key << "name" << YAML::Value << aName;
  out << YAML::Key << "ready" << YAML::Value << aStatus.ready_;
  out << YAML::Key << "leaving" << YAML::Value << aStatus.leaving_;
  out << YAML::Key << "version" << YAML::Value << aStatus.version_.Value();
  out << YAML::Key << "version_floor" << YAML::Value << aStatus.floor_.Value();
  out << YAML::Key << "log_reader" << YAML::Value << aStatus.logReader_;
  out << YAML::Key << "log_available" << YAML::Value << aStatus.logAvailable_;
  out << YAML::Key << "next_offset" << YAML::Value << aStatus.nextOffset_.Value();
  out << YAML::Key << "relay" << YAML::Value << aStatus.relay_;
  out << YAML::Key << "unreachable_domains" << YAML::Value << YAML::Flow << YAML::BeginSeq;
  for (const auto& domain : aStatus.unreachable_) {
    out << domain.Value();
  }
  out << YAML::EndSeq;
  out << YAML::Key << "members" << YAML::Value << YAML::BeginSeq;
  for (const auto& member : aStatus.members_) {
    EmitMember(out, *member);
  }
  out << YAML::EndSeq << YAML::EndMap;
  return std::string(out.c_str()) + "\n";
}

/// Parses "after=WALL_MS.COUNTER"; the start of time where there is none.
model::HybridTimestamp AfterOf(std::string_view aTarget)
{
  model::HybridTimestamp stamp;
  constexpr std::string_view kParameter = "after=";
  const std::size_t start = aTarget.find(kParameter);
  if (start == std::string_view::npos) {
    return stamp;
  }
  const std::string_view text = aTarget.substr(start + kParameter.size());
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, stamp.wallMs_);
  if (error == std::errc() && end != last && *end == '.') {
    std::from_chars(end + 1, last, stamp.counter_);
  }
  return stamp;
}

void HandleReady(const AdminPorts& aPorts, runtime::HttpExchange& aExchange)
{
  const bool ready = aPorts.status_->Load()->ready_;
  (void)aExchange.SendResponse(ready ? http::status::ok : http::status::service_unavailable,
                               ready ? "ready\n"
                                     : "not ready: no configuration version is in effect\n");
}

void HandleStatus(const AdminPorts& aPorts, runtime::HttpExchange& aExchange)
{
  (void)aExchange.SendResponse(
    http::status::ok, StatusText(aPorts.name_, *aPorts.status_->Load()), "application/yaml");
}

void HandleMetrics(const AdminPorts& aPorts, runtime::HttpExchange& aExchange)
{
  using runtime::LogClass;
  // The log counts its dropped lines itself, since its thread also reports them as a line.
  for (const auto& [logClass, label] : { std::pair(LogClass::Change, "change"),
                                         std::pair(LogClass::Failure, "failure"),
                                         std::pair(LogClass::Success, "success") }) {
    aPorts.metrics_->Set(runtime::Family::LinesDropped,
                         { label },
                         static_cast<double>(aPorts.lines_->Dropped(logClass)));
  }
  aPorts.metrics_->Set(
    runtime::Family::LinesDropped, { "message" }, static_cast<double>(runtime::LogLinesDropped()));
  (void)aExchange.SendResponse(
    http::status::ok, aPorts.metrics_->PrometheusText(), "text/plain; version=0.0.4");
}

void HandleEvents(const AdminPorts& aPorts, runtime::HttpExchange& aExchange)
{
  const auto target = aExchange.Request().target();
  const auto events = aPorts.events_->After(AfterOf({ target.data(), target.size() }));
  (void)aExchange.SendResponse(http::status::ok, EventLines(events), "text/tab-separated-values");
}

void HandleAnnounce(const AdminPorts& aPorts, runtime::HttpExchange& aExchange)
{
  std::string body;
  if (!impl::ReadPrefix(aExchange, body, kAnnouncementBytes)) {
    aExchange.Abort();
    return;
  }
  auto backend = ParseAnnouncement(body);
  if (!backend) {
    (void)aExchange.SendResponse(http::status::bad_request, backend.Error().message_ + "\n");
  } else if (!aPorts.announce_(*std::move(backend))) {
    (void)aExchange.SendResponse(http::status::service_unavailable,
                                 "the control thread is busy; announce again\n");
  } else {
    (void)aExchange.SendResponse(http::status::ok, "announced\n");
  }
}

struct AdminRoute
{
  http::verb method_;
  std::string_view path_;
  void (*handle_)(const AdminPorts&, runtime::HttpExchange&);
};

constexpr std::array<AdminRoute, 5> kRoutes = { {
  { http::verb::get, "/ready", HandleReady },
  { http::verb::get, "/status", HandleStatus },
  { http::verb::get, "/metrics", HandleMetrics },
  { http::verb::get, "/events", HandleEvents },
  { http::verb::post, "/announce", HandleAnnounce },
} };

} // namespace

void HandleAdmin(const AdminPorts& aPorts, runtime::HttpExchange& aExchange)
{
  const auto target = aExchange.Request().target();
  const std::string_view path =
    std::string_view(target.data(), target.size()).substr(0, target.find('?'));
  const auto* found = std::find_if(kRoutes.begin(), kRoutes.end(), [&](const AdminRoute& aRoute) {
    return aRoute.path_ == path && aRoute.method_ == aExchange.Request().method();
  });
  if (found == kRoutes.end()) {
    (void)aExchange.SendResponse(
      http::status::not_found,
      "expected GET /ready, /status, /metrics, /events or POST /announce\n");
    return;
  }
  found->handle_(aPorts, aExchange);
}

void HandleMetricsPort(const AdminPorts& aPorts, runtime::HttpExchange& aExchange)
{
  const auto& request = aExchange.Request();
  if (request.method() != http::verb::get || request.target() != "/metrics") {
    (void)aExchange.SendResponse(http::status::not_found, "expected GET /metrics\n");
    return;
  }
  HandleMetrics(aPorts, aExchange);
}

std::string EventLines(const std::vector<model::Event>& aEvents)
{
  std::string lines;
  for (const model::Event& event : aEvents) {
    std::string detail = event.detail_;
    std::replace_if(
      detail.begin(), detail.end(), [](char aChar) { return aChar == '\n' || aChar == '\t'; }, ' ');
    lines += std::to_string(event.stamp_.wallMs_) + '\t' + std::to_string(event.stamp_.counter_) +
             '\t' + event.part_ + '\t' + event.kind_ + '\t' + detail + '\n';
  }
  return lines;
}

} // namespace hemlockproxy::daemon
