#include "hemlockproxy/model/Config.h"

#include <algorithm>
#include <array>

namespace hemlockproxy::model {

namespace {

struct LimitInfo
{
  LimitKind kind_;
  const char* key_;
  std::uint64_t default_;
};

constexpr std::uint64_t kDefaultQueuedRequests = 64;
constexpr std::uint64_t kDefaultBodyBytes = 8ULL * 1024 * 1024;

constexpr std::array<LimitInfo, 4> kLimits = { {
  { LimitKind::ConcurrentRequests, "concurrent_requests", 0 },
  { LimitKind::QueuedRequests, "queued_requests", kDefaultQueuedRequests },
  { LimitKind::RequestsPerSecond, "requests_per_second", 0 },
  { LimitKind::BodyBytes, "body_bytes", kDefaultBodyBytes },
} };

const LimitInfo* FindLimit(LimitKind aKind) noexcept
{
  const auto* found = std::find_if(kLimits.begin(), kLimits.end(), [aKind](const LimitInfo& aInfo) {
    return aInfo.kind_ == aKind;
  });
  return found == kLimits.end() ? nullptr : found;
}

/// Appends a field so that no two different field lists give the same text.
void AppendField(std::string& aText, std::string_view aField)
{
  aText += std::to_string(aField.size());
  aText += ':';
  aText += aField;
}

std::string CanonicalText(const ServiceConfig& aConfig)
{
  std::string text;
  AppendField(text, aConfig.name_.Value());
  for (const RouteRule& route : aConfig.routes_) {
    AppendField(text, "route");
    AppendField(text, route.prefix_);
    AppendField(text, std::to_string(route.methods_.size()));
    for (const std::string& method : route.methods_) {
      AppendField(text, method);
    }
    AppendField(text, route.target_.Value());
    AppendField(text, route.repeatable_ ? (*route.repeatable_ ? "yes" : "no") : "by-method");
    AppendField(text, route.keyRequired_ ? "key" : "");
    AppendField(text, std::to_string(route.timeout_.count()));
    AppendField(text, route.host_);
    AppendField(text, route.name_);
    AppendField(text, std::to_string(route.split_.size()));
    for (const auto& [service, weight] : route.split_) {
      AppendField(text, service.Value());
      AppendField(text, std::to_string(weight));
    }
    AppendField(text, std::to_string(route.priority_));
    AppendField(text, std::to_string(route.latencyTarget_.count()));
    AppendField(text, std::to_string(route.attempts_));
    if (route.public_) {
      // Left out elsewhere, so that daemons that do not know it compute the same digest.
      AppendField(text, "public");
    }
  }
  for (const auto& [kind, value] : aConfig.limits_) {
    AppendField(text, LimitKey(kind));
    AppendField(text, std::to_string(value));
  }
  AppendField(text, std::to_string(aConfig.retries_.attempts_));
  AppendField(text, std::to_string(aConfig.retries_.budgetPercent_));
  AppendField(text, aConfig.healthPath_);
  AppendField(text, std::to_string(aConfig.connections_));
  return text;
}

} // namespace

const char* LimitKey(LimitKind aKind) noexcept
{
  const LimitInfo* info = FindLimit(aKind);
  return info == nullptr ? "unknown" : info->key_;
}

std::uint64_t DefaultLimit(LimitKind aKind) noexcept
{
  const LimitInfo* info = FindLimit(aKind);
  return info == nullptr ? 0 : info->default_;
}

ServiceResourcePtr MakeResource(ServiceConfig aConfig)
{
  const Digest digest = HashBytes(CanonicalText(aConfig));
  return std::make_shared<const ServiceResource>(ServiceResource{ std::move(aConfig), digest });
}

bool IsRepeatable(const RouteRule& aRule, std::string_view aMethod) noexcept
{
  if (aRule.repeatable_) {
    return *aRule.repeatable_;
  }
  constexpr std::array<std::string_view, 5> kIdempotentMethods = {
    "GET", "HEAD", "OPTIONS", "PUT", "DELETE"
  };
  return std::find(kIdempotentMethods.begin(), kIdempotentMethods.end(), aMethod) !=
         kIdempotentMethods.end();
}

std::uint64_t BodyLimit(const LimitSet& aLimits, const CallerLimits& aCallerLimits) noexcept
{
  if (aCallerLimits.bodyBytes_ == 0) {
    return EffectiveLimit(aLimits, LimitKind::BodyBytes);
  }
  const auto stated = aLimits.find(LimitKind::BodyBytes);
  return stated == aLimits.end() ? aCallerLimits.bodyBytes_
                                 : std::min(stated->second, aCallerLimits.bodyBytes_);
}

std::uint64_t EffectiveLimit(const LimitSet& aLimits, LimitKind aKind) noexcept
{
  const auto found = aLimits.find(aKind);
  return found == aLimits.end() ? DefaultLimit(aKind) : found->second;
}

} // namespace hemlockproxy::model
