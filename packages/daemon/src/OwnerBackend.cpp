// What the owner knows of its backend server, from its reports and its responses.

#include "hemlockproxy/daemon/OwnerService.h"

#include <boost/fiber/future/promise.hpp>

#include <algorithm>
#include <cmath>

namespace hemlockproxy::daemon {

namespace {

namespace http = runtime::http;

/// A health check waits for a slot like a request.
constexpr std::chrono::milliseconds kHealthTimeout{ 1000 };
constexpr std::size_t kMostHealthBytes = 64UL * 1024;
/// A backend server expects the answer to a report or departure within a second.
constexpr std::chrono::milliseconds kDepartureWait{ 700 };

} // namespace

bool OwnerService::Report(const model::BackendReport& aReport)
{
  // The current backend server goes on although its service has just been removed, and one that
  // only says that it leaves is told that it was heard.
  const auto routes = views_.Load()->routes_;
  const bool displaces = !IsCurrent(aReport) && (!aReport.draining_ || registry_.Current());
  if (routes && !routes->Configuration().content_.contains(aReport.service_) && displaces) {
    events_.Add(runtime::LogEvent::EndpointRejected,
                aReport.id_.Value() + ": the configuration has no service '" +
                  aReport.service_.Value() + "'");
    return false;
  }
  const bool drained = registry_.Current() && registry_.Current()->draining_;
  const bool sameStart = IsCurrent(aReport);
  if (registry_.Report(std::chrono::steady_clock::now(), aReport) ==
      decisions::ReportUse::Changed) {
    if (!sameStart && limit_.PerSecond()) {
      limit_ = {};
      ApplyRequestLimit(std::chrono::steady_clock::now());
    }
    BackendChanged(!drained && registry_.Current()->draining_
                     ? runtime::LogEvent::EndpointDraining
                     : runtime::LogEvent::EndpointAnnounced);
    if (registry_.Current()->draining_ && !(sameStart && drained)) {
      RememberDeparture(aReport.id_, aReport.startedAt_);
    }
  }
  return true;
}

void OwnerService::BackendLeaves(const model::BackendId& aId)
{
  const auto& current = registry_.Current();
  const auto startedAt =
    current && current->id_ == aId ? std::optional(current->startedAt_) : std::nullopt;
  if (registry_.Leave(std::chrono::steady_clock::now(), aId)) {
    BackendChanged(runtime::LogEvent::EndpointLeft);
  }
  RememberDeparture(aId, startedAt);
}

void OwnerService::RememberDeparture(const model::BackendId& aId,
                                     std::optional<model::WallTime> aStartedAt)
{
  if (!keepDeparture_ || aId.Empty()) {
    return;
  }
  const auto done = std::make_shared<boost::fibers::promise<void>>();
  auto remembered = done->get_future();
  keepDeparture_({ aId, aStartedAt, {} }, [done] { done->set_value(); });
  (void)remembered.wait_for(kDepartureWait);
}

void OwnerService::RestoreDepartures(const std::vector<decisions::DepartureRecord>& aRecords,
                                     std::optional<std::chrono::milliseconds> aLongestMemory)
{
  if (registry_.Restore(std::chrono::steady_clock::now(), aRecords)) {
    BackendChanged(runtime::LogEvent::EndpointLeft);
  }
  if (aLongestMemory) {
    registry_.PeersHeard(*aLongestMemory);
  }
}

void OwnerService::BackendChanged(runtime::LogEvent aEvent)
{
  const auto& backend = registry_.Current();
  events_.Add(aEvent,
              backend ? backend->service_.Value() + " at " + ToString(backend->address_)
                      : service_.Value());
  ApplyState();
  onEndpoint_(CurrentEndpoint());
}

void OwnerService::ConfirmIfDue()
{
  if (!registry_.AwaitsConfirmation() || !seen_ || !seen_->routes_ ||
      !registry_.MayConfirm(std::chrono::steady_clock::now())) {
    return;
  }
  const model::BackendReport backend = *registry_.Current();
  const auto& content = seen_->routes_->Configuration().content_;
  const auto service = content.find(backend.service_);
  const auto start = std::pair(backend.id_, backend.startedAt_);
  const auto now = std::chrono::steady_clock::now();
  if ((checked_ == start && now < nextCheck_) || service == content.end() ||
      service->second->config_.healthPath_.empty()) {
    return;
  }
  checked_ = start;
  nextCheck_ = now + std::max(options_.reportInterval_, kHealthTimeout);
  runtime::SpawnFiber([this, backend, path = service->second->config_.healthPath_] {
    auto response = runtime::Fetch(pool_,
                                   backend.address_,
                                   runtime::MakeRequest(http::verb::get, path, backend.address_),
                                   {},
                                   kHealthTimeout,
                                   kMostHealthBytes);
    // Without a good answer a report or a later check confirms.
    const bool healthy =
      response && options_.dialect_->ReadHealth(response->header_) == backend.id_;
    if (healthy && registry_.Confirm(backend.id_, backend.startedAt_)) {
      BackendChanged(runtime::LogEvent::EndpointAnnounced);
    }
  });
}

std::optional<model::Endpoint> OwnerService::CurrentEndpoint() const
{
  const auto& backend = registry_.Current();
  if (!backend) {
    return std::nullopt;
  }
  model::Endpoint endpoint;
  endpoint.service_ = backend->service_;
  endpoint.slots_ = backend->slots_;
  endpoint.connections_ = std::max<std::uint32_t>(1, backend->connections_);
  endpoint.draining_ = !registry_.TakesWork();
  endpoint.id_ = backend->id_;
  return endpoint;
}

void OwnerService::NoteStatus(const model::BackendReport& aBackend,
                              const BackendStatus& aStatus,
                              model::TimePoint aSent)
{
  if (aStatus.leaving_ && registry_.SaysItLeaves(aBackend.id_, aBackend.startedAt_)) {
    BackendChanged(runtime::LogEvent::EndpointDraining);
    // The response must not wait for peers.
    runtime::SpawnFiber([this, id = aBackend.id_, startedAt = aBackend.startedAt_] {
      RememberDeparture(id, startedAt);
    });
  }
  const auto now = std::chrono::steady_clock::now();
  if (aStatus.hasInvalidLoad_) {
    metrics_.Add(runtime::Counter::BackendLoadsInvalid);
  }
  if (IsCurrent(aBackend) && admission_ && aStatus.load_ && aStatus.load_->slowdown_) {
    admission_->ObserveSlowdown(now, *aStatus.load_->slowdown_);
  }
  const bool limited = limit_.PerSecond().has_value();
  if (!IsCurrent(aBackend) || !limit_.Observe(aSent, now, aStatus.requestLimit_)) {
    return;
  }
  if (limited != limit_.PerSecond().has_value()) {
    events_.Add(runtime::LogEvent::RequestLimit,
                limited ? "none" : std::to_string(*limit_.PerSecond()) + " requests per second");
  }
  ApplyRequestLimit(now);
}

void OwnerService::ApplyRequestLimit(model::TimePoint aNow)
{
  const auto perSecond = limit_.PerSecond();
  metrics_.Set(runtime::Gauge::OwnerRequestLimit,
               static_cast<std::uint64_t>(std::ceil(perSecond.value_or(0))));
  if (admission_) {
    Dispatch(admission_->SetPace(aNow, perSecond));
  }
}

bool OwnerService::IsCurrent(const model::BackendReport& aBackend) const
{
  const auto& current = registry_.Current();
  return current && current->id_ == aBackend.id_ && current->startedAt_ == aBackend.startedAt_;
}

} // namespace hemlockproxy::daemon
