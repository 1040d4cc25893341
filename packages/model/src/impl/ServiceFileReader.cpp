#include "impl/ServiceFileReader.h"

#include "hemlockproxy/model/Duration.h"

#include "hemlockproxy/model/ConfigBounds.h"

#include <algorithm>
#include <charconv>

namespace hemlockproxy::model::impl {

namespace {

/// yaml-cpp gives plain scalars this tag and quoted ones "!".
constexpr const char* kPlainTag = "?";

constexpr const char* kServiceNameForm =
  "a service name of 1 to 63 lower-case letters, digits and hyphens that begins with a letter";

std::string Describe(const YAML::Node& aNode)
{
  switch (aNode.Type()) {
    case YAML::NodeType::Scalar:
      return (aNode.Tag() == kPlainTag ? "" : "the string ") + Quote(aNode.Scalar());
    case YAML::NodeType::Sequence:
      return "a list";
    case YAML::NodeType::Map:
      return "a map";
    default:
      return "no value";
  }
}

std::string Join(std::span<const std::string_view> aTexts)
{
  std::string text;
  for (const std::string_view one : aTexts) {
    text += (text.empty() ? "" : ", ") + std::string(one);
  }
  return text;
}

std::string RangeText(std::uint64_t aMin, std::uint64_t aMax)
{
  return "a whole number from " + std::to_string(aMin) + " to " + std::to_string(aMax);
}

std::string MethodNames(const RouteRule& aRule)
{
  if (aRule.methods_.empty()) {
    return "all methods";
  }
  return Join(std::vector<std::string_view>(aRule.methods_.begin(), aRule.methods_.end()));
}

} // namespace

SourcePosition ServiceFileReader::Position(const YAML::Mark& aMark) const
{
  if (aMark.is_null()) {
    return SourcePosition{ path_ };
  }
  return SourcePosition{ path_, aMark.line + 1, aMark.column + 1 };
}

void ServiceFileReader::AddError(const YAML::Mark& aMark, std::string aFound, std::string aExpected)
{
  errors_.push_back(FileError{ Position(aMark), std::move(aFound), std::move(aExpected) });
}

void ServiceFileReader::ReadDocuments(const std::vector<YAML::Node>& aDocuments)
{
  static constexpr std::array<KeyRule<ServiceFile>, 4> kRules = {
    { { "service", &ServiceFileReader::ReadService },
      { "routes", &ServiceFileReader::ReadRoutes },
      { "limits", &ServiceFileReader::ReadLimits },
      { "retries", &ServiceFileReader::ReadRetries } }
  };
  if (aDocuments.size() != 1) {
    const YAML::Mark mark = aDocuments.empty() ? YAML::Mark::null_mark() : aDocuments[1].Mark();
    AddError(mark, std::to_string(aDocuments.size()) + " YAML documents", "one document");
    return;
  }
  const std::set<std::string> seen =
    ReadMap<ServiceFile>(aDocuments[0], "a map with the key 'service'", kRules, file_);
  if (aDocuments[0].IsMap() && !seen.contains("service")) {
    AddError(aDocuments[0].Mark(), "no key 'service'", "the key 'service' with the service's name");
  }
  FillDefaultTargets();
  CheckDuplicateRoutes();
}

template <typename Target>
std::set<std::string> ServiceFileReader::ReadMap(const YAML::Node& aNode,
                                                 std::string_view aWhat,
                                                 std::span<const KeyRule<Target>> aRules,
                                                 Target& aTarget)
{
  std::set<std::string> seen;
  if (!aNode.IsMap()) {
    AddError(aNode.Mark(), Describe(aNode), std::string(aWhat));
    return seen;
  }
  std::vector<std::string_view> known;
  for (const KeyRule<Target>& rule : aRules) {
    known.push_back(rule.key_);
  }
  for (const auto& entry : aNode) {
    const YAML::Node& key = entry.first;
    const YAML::Node& value = entry.second;
    if (!key.IsScalar()) {
      AddError(key.Mark(), Describe(key) + " as a key", "one of " + Join(known));
      continue;
    }
    const std::string& name = key.Scalar();
    const auto* rule = std::find_if(aRules.data(),
                                    aRules.data() + aRules.size(),
                                    [&name](const auto& aRule) { return aRule.key_ == name; });
    if (rule == aRules.data() + aRules.size()) {
      AddError(key.Mark(),
               "unknown key " + Quote(name),
               "a known key, the nearest is '" + std::string(NearestKey(name, known)) +
                 "' (known: " + Join(known) + ")");
    } else if (!seen.insert(name).second) {
      AddError(key.Mark(), "key " + Quote(name) + " a second time", "each key once");
    } else {
      (this->*rule->read_)(value, aTarget);
    }
  }
  return seen;
}

void ServiceFileReader::ReadService(const YAML::Node& aNode, ServiceFile& aFile)
{
  aFile.position_ = Position(aNode.Mark());
  if (!aNode.IsScalar() || !IsServiceName(aNode.Scalar())) {
    AddError(aNode.Mark(), Describe(aNode), kServiceNameForm);
    return;
  }
  aFile.config_.name_ = ServiceName(aNode.Scalar());
}

void ServiceFileReader::ReadRoutes(const YAML::Node& aNode, ServiceFile& aFile)
{
  if (!aNode.IsSequence()) {
    AddError(aNode.Mark(), Describe(aNode), "a list of routes");
    return;
  }
  if (aNode.size() > kMaxRoutesPerService) {
    AddError(aNode.Mark(),
             std::to_string(aNode.size()) + " routes",
             "at most " + std::to_string(kMaxRoutesPerService) + " routes");
  }
  for (const YAML::Node& route : aNode) {
    ReadRoute(route, aFile);
  }
}

void ServiceFileReader::ReadRoute(const YAML::Node& aNode, ServiceFile& aFile)
{
  static constexpr std::array<KeyRule<RouteDraft>, 6> kRules = {
    { { "prefix", &ServiceFileReader::ReadPrefix },
      { "methods", &ServiceFileReader::ReadMethods },
      { "target", &ServiceFileReader::ReadTarget },
      { "repeatable", &ServiceFileReader::ReadRepeatable },
      { "idempotency_key", &ServiceFileReader::ReadIdempotencyKey },
      { "timeout", &ServiceFileReader::ReadTimeout } }
  };
  RouteDraft route;
  route.position_ = RoutePosition{ Position(aNode.Mark()), Position(aNode.Mark()) };
  const std::set<std::string> seen =
    ReadMap<RouteDraft>(aNode, "a route: a map with the key 'prefix'", kRules, route);
  if (aNode.IsMap() && !seen.contains("prefix")) {
    AddError(aNode.Mark(), "a route without a prefix", "the key 'prefix' with a path");
  }
  aFile.config_.routes_.push_back(std::move(route.rule_));
  aFile.routes_.push_back(std::move(route.position_));
}

void ServiceFileReader::ReadPrefix(const YAML::Node& aNode, RouteDraft& aRoute)
{
  aRoute.position_.prefix_ = Position(aNode.Mark());
  if (!aNode.IsScalar() || !IsRoutePrefix(aNode.Scalar())) {
    AddError(aNode.Mark(),
             Describe(aNode),
             "a path that begins with a slash, of at most " + std::to_string(kMaxPrefixLength) +
               " visible ASCII characters without '?' and '#'");
    return;
  }
  aRoute.rule_.prefix_ = aNode.Scalar();
}

void ServiceFileReader::ReadMethods(const YAML::Node& aNode, RouteDraft& aRoute)
{
  if (!aNode.IsSequence() || aNode.size() == 0) {
    AddError(aNode.Mark(),
             aNode.IsSequence() ? "an empty list" : Describe(aNode),
             "a list of methods such as [GET, HEAD]; without the key all methods match");
    return;
  }
  std::vector<std::string>& methods = aRoute.rule_.methods_;
  for (const YAML::Node& method : aNode) {
    if (!method.IsScalar() || !IsMethod(method.Scalar())) {
      AddError(method.Mark(), Describe(method), "one of " + Join(kMethods));
    } else if (std::find(methods.begin(), methods.end(), method.Scalar()) != methods.end()) {
      AddError(method.Mark(), Describe(method) + " a second time", "each method once");
    } else {
      methods.push_back(method.Scalar());
    }
  }
}

void ServiceFileReader::ReadTarget(const YAML::Node& aNode, RouteDraft& aRoute)
{
  aRoute.position_.target_ = Position(aNode.Mark());
  if (!aNode.IsScalar() || !IsServiceName(aNode.Scalar())) {
    AddError(aNode.Mark(), Describe(aNode), kServiceNameForm);
    return;
  }
  aRoute.rule_.target_ = ServiceName(aNode.Scalar());
}

void ServiceFileReader::ReadRepeatable(const YAML::Node& aNode, RouteDraft& aRoute)
{
  const bool plain = aNode.IsScalar() && aNode.Tag() == kPlainTag;
  if (!plain || (aNode.Scalar() != "true" && aNode.Scalar() != "false")) {
    AddError(aNode.Mark(), Describe(aNode), "true or false");
    return;
  }
  aRoute.rule_.repeatable_ = aNode.Scalar() == "true";
}

void ServiceFileReader::ReadIdempotencyKey(const YAML::Node& aNode, RouteDraft& aRoute)
{
  if (!aNode.IsScalar() || (aNode.Scalar() != "required" && aNode.Scalar() != "optional")) {
    AddError(aNode.Mark(), Describe(aNode), "required or optional");
    return;
  }
  aRoute.rule_.keyRequired_ = aNode.Scalar() == "required";
}

void ServiceFileReader::ReadTimeout(const YAML::Node& aNode, RouteDraft& aRoute)
{
  // Service files keep to whole numbers of short units.
  const bool plain = aNode.IsScalar() && aNode.Scalar().find_first_of(".h") == std::string::npos;
  const auto timeout = plain ? ParseDuration(aNode.Scalar()) : std::nullopt;
  if (!timeout || *timeout < kMinRouteTimeout || *timeout > kMaxRouteTimeout) {
    AddError(aNode.Mark(),
             Describe(aNode),
             "a duration from 1ms to 60m: a whole number with the unit ms, s or m, such as 250ms");
    return;
  }
  aRoute.rule_.timeout_ = *timeout;
}

std::optional<std::uint64_t> ServiceFileReader::ReadNumber(const YAML::Node& aNode,
                                                           std::uint64_t aMin,
                                                           std::uint64_t aMax)
{
  if (aNode.IsScalar() && aNode.Tag() == kPlainTag) {
    const std::string& text = aNode.Scalar();
    std::uint64_t value = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure == std::errc() && end == text.data() + text.size() && value >= aMin &&
        value <= aMax) {
      return value;
    }
  }
  AddError(aNode.Mark(), Describe(aNode), RangeText(aMin, aMax));
  return std::nullopt;
}

template <LimitKind Kind>
void ServiceFileReader::ReadLimit(const YAML::Node& aNode, ServiceFile& aFile)
{
  const LimitRange range = LimitBounds(Kind);
  if (const auto value = ReadNumber(aNode, range.min_, range.max_)) {
    aFile.config_.limits_[Kind] = *value;
    aFile.limits_[Kind] = Position(aNode.Mark());
  }
}

void ServiceFileReader::ReadLimits(const YAML::Node& aNode, ServiceFile& aFile)
{
  static const std::array<KeyRule<ServiceFile>, kLimitKinds.size()> kRules = {
    { { LimitKey(LimitKind::ConcurrentRequests),
        &ServiceFileReader::ReadLimit<LimitKind::ConcurrentRequests> },
      { LimitKey(LimitKind::QueuedRequests),
        &ServiceFileReader::ReadLimit<LimitKind::QueuedRequests> },
      { LimitKey(LimitKind::RequestsPerSecond),
        &ServiceFileReader::ReadLimit<LimitKind::RequestsPerSecond> },
      { LimitKey(LimitKind::BodyBytes), &ServiceFileReader::ReadLimit<LimitKind::BodyBytes> } }
  };
  ReadMap<ServiceFile>(aNode, "a map of limits", kRules, aFile);
}

void ServiceFileReader::ReadRetries(const YAML::Node& aNode, ServiceFile& aFile)
{
  static constexpr std::array<KeyRule<RetryRule>, 2> kRules = {
    { { "attempts", &ServiceFileReader::ReadAttempts },
      { "budget_percent", &ServiceFileReader::ReadBudgetPercent } }
  };
  ReadMap<RetryRule>(
    aNode, "a map with attempts and budget_percent", kRules, aFile.config_.retries_);
}

void ServiceFileReader::ReadAttempts(const YAML::Node& aNode, RetryRule& aRule)
{
  if (const auto value = ReadNumber(aNode, kMinAttempts, kMaxAttempts)) {
    aRule.attempts_ = static_cast<std::uint32_t>(*value);
  }
}

void ServiceFileReader::ReadBudgetPercent(const YAML::Node& aNode, RetryRule& aRule)
{
  if (const auto value = ReadNumber(aNode, 0, kMaxBudgetPercent)) {
    aRule.budgetPercent_ = static_cast<std::uint32_t>(*value);
  }
}

void ServiceFileReader::FillDefaultTargets()
{
  for (RouteRule& rule : file_.config_.routes_) {
    if (rule.target_.Empty()) {
      rule.target_ = file_.config_.name_;
    }
  }
}

void ServiceFileReader::CheckDuplicateRoutes()
{
  const std::vector<RouteRule>& routes = file_.config_.routes_;
  for (std::size_t later = 1; later < routes.size(); ++later) {
    for (std::size_t first = 0; first < later; ++first) {
      if (!routes[first].prefix_.empty() && RoutesOverlap(routes[first], routes[later])) {
        errors_.push_back(FileError{ file_.routes_[later].prefix_,
                                     "route " + Quote(routes[later].prefix_) + " for " +
                                       MethodNames(routes[later]) + " a second time",
                                     "each prefix and method once (first at " +
                                       ToString(file_.routes_[first].prefix_) + ")" });
        break;
      }
    }
  }
}

} // namespace hemlockproxy::model::impl
