#include "hemlockproxy/decisions/ConfigRules.h"

#include "hemlockproxy/model/ConfigBounds.h"

#include <algorithm>
#include <optional>
#include <string_view>

namespace hemlockproxy::decisions {

using model::ConfigContent;
using model::LimitKind;
using model::RouteRule;
using model::ServiceConfig;

namespace {

using RoutesByPrefix = std::map<std::string_view, std::vector<const RouteRule*>>;

std::string RouteText(const RouteRule& aRule)
{
  return "route '" + aRule.prefix_ + "' ";
}

std::optional<std::string> FindRouteFault(const RouteRule& aRule, const ConfigContent& aContent)
{
  if (!model::IsRoutePrefix(aRule.prefix_)) {
    return RouteText(aRule) + "is not a path";
  }
  if (!std::all_of(aRule.methods_.begin(), aRule.methods_.end(), model::IsMethod)) {
    return RouteText(aRule) + "has an unknown method";
  }
  if (aRule.timeout_ < model::kMinRouteTimeout || aRule.timeout_ > model::kMaxRouteTimeout) {
    return RouteText(aRule) + "has a timeout out of range";
  }
  if (!aContent.contains(aRule.target_)) {
    return RouteText(aRule) + "has the target service '" + aRule.target_.Value() +
           "', which is not in the content";
  }
  return std::nullopt;
}

std::optional<std::string> FindValueFault(const ServiceConfig& aConfig)
{
  for (const auto& [kind, value] : aConfig.limits_) {
    if (!model::LimitBounds(kind).Holds(value)) {
      return std::string("limit ") + model::LimitKey(kind) +
             " is out of range: " + std::to_string(value);
    }
  }
  const model::RetryRule& retries = aConfig.retries_;
  if (retries.attempts_ < model::kMinAttempts || retries.attempts_ > model::kMaxAttempts ||
      retries.budgetPercent_ > model::kMaxBudgetPercent) {
    return "the retry rule is out of range";
  }
  if (aConfig.routes_.size() > model::kMaxRoutesPerService) {
    return std::to_string(aConfig.routes_.size()) + " routes exceed the bound";
  }
  return std::nullopt;
}

std::optional<std::string> FindServiceFault(const ServiceConfig& aConfig,
                                            const ConfigContent& aContent,
                                            RoutesByPrefix& aDeclared)
{
  if (!model::IsServiceName(aConfig.name_.Value())) {
    return "the service name is malformed";
  }
  if (auto fault = FindValueFault(aConfig)) {
    return fault;
  }
  for (const RouteRule& rule : aConfig.routes_) {
    if (auto fault = FindRouteFault(rule, aContent)) {
      return fault;
    }
    std::vector<const RouteRule*>& samePrefix = aDeclared[rule.prefix_];
    if (std::any_of(samePrefix.begin(), samePrefix.end(), [&rule](const RouteRule* aOther) {
          return model::RoutesOverlap(*aOther, rule);
        })) {
      return RouteText(rule) + "is declared twice for the same method";
    }
    samePrefix.push_back(&rule);
  }
  return std::nullopt;
}

/// Returns the value that counts against the floor; nothing where configuration sets no bound.
std::optional<std::uint64_t> OfferedLimit(const model::LimitSet& aLimits, LimitKind aKind)
{
  const std::uint64_t value = model::EffectiveLimit(aLimits, aKind);
  const bool unbounded = !aLimits.contains(aKind) && model::DefaultLimit(aKind) == 0;
  return unbounded ? std::nullopt : std::optional(value);
}

} // namespace

model::Result<model::Unit, ContentError> ValidateContent(const ConfigContent& aContent)
{
  if (aContent.empty()) {
    return ContentError{ model::ServiceName(), "the content has no service" };
  }
  RoutesByPrefix declared;
  for (const auto& [name, resource] : aContent) {
    if (resource == nullptr || resource->config_.name_ != name) {
      return ContentError{ name, "the resource is missing or has another service's name" };
    }
    if (auto fault = FindServiceFault(resource->config_, aContent, declared)) {
      return ContentError{ name, std::move(*fault) };
    }
  }
  return model::Unit();
}

std::vector<LoweredLimit> CheckLimits(const ConfigContent& aContent,
                                      const model::LimitFloors& aFloors)
{
  std::vector<LoweredLimit> lowered;
  for (const auto& [limit, floor] : aFloors) {
    const auto& [name, kind] = limit;
    const auto found = aContent.find(name);
    if (found == aContent.end()) {
      continue;
    }
    const auto offered = OfferedLimit(found->second->config_.limits_, kind);
    if (offered && *offered < floor) {
      lowered.push_back(LoweredLimit{ name, kind, floor, *offered });
    }
  }
  return lowered;
}

void RaiseFloors(const ConfigContent& aContent, model::LimitFloors& aFloors)
{
  for (const auto& [name, resource] : aContent) {
    const model::LimitSet& limits = resource->config_.limits_;
    for (const LimitKind kind : model::kLimitKinds) {
      const auto key = std::make_pair(name, kind);
      const auto offered = OfferedLimit(limits, kind);
      if (offered && (limits.contains(kind) || aFloors.contains(key))) {
        std::uint64_t& floor = aFloors[key];
        floor = std::max(floor, *offered);
      }
    }
  }
}

bool SameContent(const ConfigContent& aLeft, const ConfigContent& aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](const auto& aOne, const auto& aOther) {
                      return aOne.first == aOther.first &&
                             aOne.second->digest_ == aOther.second->digest_;
                    });
}

} // namespace hemlockproxy::decisions
