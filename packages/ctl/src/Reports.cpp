#include "hemlockproxy/ctl/Reports.h"

#include "hemlockproxy/model/ConfigBounds.h"
#include "impl/Text.h"

#include <algorithm>

namespace hemlockproxy::ctl {

using model::ConfigContent;
using model::RouteRule;
using model::ServiceConfig;

namespace {

std::string RouteText(const RouteRule& aRule)
{
  std::string methods;
  for (const std::string& method : aRule.methods_) {
    methods += (methods.empty() ? "" : ",") + method;
  }
  std::string text = aRule.prefix_ + " [" + (methods.empty() ? "all" : methods) + "] to " +
                     aRule.target_.Value() + ", timeout " + std::to_string(aRule.timeout_.count()) +
                     "ms";
  if (aRule.repeatable_) {
    text += *aRule.repeatable_ ? ", repeatable" : ", not repeatable";
  }
  return text + (aRule.keyRequired_ ? ", idempotency key required" : "");
}

/// Returns the routes of one list that are not in the other, one line each.
std::string RoutesOnlyIn(const std::vector<RouteRule>& aRoutes,
                         const std::vector<RouteRule>& aOther,
                         const std::string& aPrefix)
{
  std::string text;
  for (const RouteRule& rule : aRoutes) {
    if (std::find(aOther.begin(), aOther.end(), rule) == aOther.end()) {
      text += aPrefix + RouteText(rule) + "\n";
    }
  }
  return text;
}

std::string LimitText(const model::LimitSet& aLimits, model::LimitKind aKind)
{
  const auto found = aLimits.find(aKind);
  return found == aLimits.end() ? "not stated" : std::to_string(found->second);
}

std::string ServiceDiff(const ServiceConfig& aCurrent, const ServiceConfig& aOffered)
{
  const std::string name = aOffered.name_.Value();
  std::string text = RoutesOnlyIn(aCurrent.routes_, aOffered.routes_, name + ": - route ") +
                     RoutesOnlyIn(aOffered.routes_, aCurrent.routes_, name + ": + route ");
  for (const model::LimitKind kind : model::kLimitKinds) {
    const std::string before = LimitText(aCurrent.limits_, kind);
    const std::string after = LimitText(aOffered.limits_, kind);
    if (before != after) {
      text.append(name).append(": ").append(model::LimitKey(kind)).append(" ");
      text.append(before).append(" -> ").append(after).append("\n");
    }
  }
  if (aCurrent.retries_ != aOffered.retries_) {
    text += name + ": retries " + std::to_string(aCurrent.retries_.attempts_) + " attempts, " +
            std::to_string(aCurrent.retries_.budgetPercent_) + "% -> " +
            std::to_string(aOffered.retries_.attempts_) + " attempts, " +
            std::to_string(aOffered.retries_.budgetPercent_) + "%\n";
  }
  return text.empty() ? name + ": order of routes\n" : text;
}

const char* UseText(decisions::CheckpointUse aUse)
{
  switch (aUse) {
    case decisions::CheckpointUse::Adopted:
      return "adopted";
    case decisions::CheckpointUse::Confirmed:
      return "confirmed";
    case decisions::CheckpointUse::Ignored:
      return "older";
    case decisions::CheckpointUse::Untrusted:
      return "untrusted";
    case decisions::CheckpointUse::Invalid:
      return "invalid";
    case decisions::CheckpointUse::Contradicting:
      return "contradicting";
  }
  return "unknown";
}

struct OutcomeText
{
  std::string operator()(const decisions::Accepted& aOutcome) const
  {
    return "accepted as version " + std::to_string(aOutcome.version_.Value());
  }
  std::string operator()(const decisions::Rejected& aOutcome) const
  {
    return "rejected: " + decisions::ToString(aOutcome.reason_);
  }
  std::string operator()(const decisions::CheckpointOutcome& aOutcome) const
  {
    return "checkpoint of version " + std::to_string(aOutcome.version_.Value()) + ", " +
           UseText(aOutcome.use_);
  }
  std::string operator()(const decisions::Skipped&) const
  {
    return "not judged: records before it have expired";
  }
};

} // namespace

std::string ErrorText(const model::FileErrors& aErrors)
{
  std::string text;
  for (const model::FileError& error : aErrors) {
    text += ToString(error) + "\n";
  }
  return text;
}

std::string DiffText(const ConfigContent& aCurrent, const ConfigContent& aOffered)
{
  std::string text;
  for (const auto& [name, resource] : aCurrent) {
    if (!aOffered.contains(name)) {
      text += name.Value() + ": - service\n";
    }
  }
  for (const auto& [name, resource] : aOffered) {
    const auto current = aCurrent.find(name);
    if (current == aCurrent.end()) {
      text += name.Value() + ": + service\n";
    } else if (current->second->digest_ != resource->digest_) {
      text += ServiceDiff(current->second->config_, resource->config_);
    }
  }
  return text;
}

std::string HistoryText(const History& aEntries)
{
  std::string text;
  for (const auto& [offset, entry] : aEntries) {
    text += std::to_string(offset.Value()) + " " +
            impl::TimeText(entry.appendedAt_, impl::TimePrecision::Seconds) + " ";
    if (!entry.id_.Empty()) {
      text += "publication " + entry.id_.Value() + " by " + entry.operator_ + " on version " +
              std::to_string(entry.base_.Value()) + ": ";
    }
    text += std::visit(OutcomeText(), entry.outcome_) + "\n";
  }
  return text;
}

} // namespace hemlockproxy::ctl
