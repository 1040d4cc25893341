#include "hemlockproxy/wire/ConfigCodec.h"

#include "config_types.h"

#include <optional>

namespace hemlockproxy::wire {

namespace {

using model::LimitKind;

/// Sets the fields that only some routes use; a record without them is one of an older daemon.
void SetOptionalFields(gen::Route& aRoute, const model::RouteRule& aRule)
{
  const model::RouteRule defaults;
  if (!aRule.host_.empty()) {
    aRoute.__set_host(aRule.host_);
  }
  if (!aRule.name_.empty()) {
    aRoute.__set_name(aRule.name_);
  }
  if (!aRule.split_.empty()) {
    std::vector<gen::WeightedTarget> split;
    for (const auto& [service, weight] : aRule.split_) {
      gen::WeightedTarget& target = split.emplace_back();
      target.service_name = service.Value();
      target.weight = static_cast<std::int32_t>(weight);
    }
    aRoute.__set_split(split);
  }
  if (aRule.priority_ != defaults.priority_) {
    aRoute.__set_priority(static_cast<std::int32_t>(aRule.priority_));
  }
  if (aRule.latencyTarget_ != defaults.latencyTarget_) {
    aRoute.__set_latency_target_ms(aRule.latencyTarget_.count());
  }
  if (aRule.attempts_ != defaults.attempts_) {
    aRoute.__set_attempts(static_cast<std::int32_t>(aRule.attempts_));
  }
  if (aRule.public_) {
    aRoute.__set_is_public(true);
  }
}

/// Reads the fields that SetOptionalFields sets; returns what is wrong with them, if anything.
std::optional<std::string> ReadOptionalFields(const gen::Route& aRoute, model::RouteRule& aRule)
{
  aRule.host_ = aRoute.host;
  aRule.name_ = aRoute.name;
  for (const gen::WeightedTarget& target : aRoute.split) {
    if (target.weight <= 0) {
      return "a weight that is not positive";
    }
    aRule.split_.push_back(
      { model::ServiceName(target.service_name), static_cast<std::uint32_t>(target.weight) });
  }
  if (aRoute.priority < 0 || aRoute.latency_target_ms < 0 || aRoute.attempts < 0) {
    return "a negative priority, latency target or number of attempts";
  }
  if (aRoute.__isset.priority) {
    aRule.priority_ = static_cast<std::uint32_t>(aRoute.priority);
  }
  aRule.latencyTarget_ = std::chrono::milliseconds(aRoute.latency_target_ms);
  aRule.attempts_ = static_cast<std::uint32_t>(aRoute.attempts);
  aRule.public_ = aRoute.is_public;
  return std::nullopt;
}

gen::Resource ToThrift(const model::ServiceResource& aResource)
{
  gen::Resource out;
  const model::ServiceConfig& config = aResource.config_;
  out.service_name = config.name_.Value();
  for (const model::RouteRule& rule : config.routes_) {
    gen::Route route;
    route.prefix = rule.prefix_;
    route.methods = rule.methods_;
    route.target = rule.target_.Value();
    if (rule.repeatable_) {
      route.__set_repeatable(*rule.repeatable_);
    }
    route.key_required = rule.keyRequired_;
    route.timeout_ms = rule.timeout_.count();
    SetOptionalFields(route, rule);
    out.routes.push_back(std::move(route));
  }
  for (const auto& [kind, value] : config.limits_) {
    out.limits[static_cast<std::int8_t>(kind)] = static_cast<std::int64_t>(value);
  }
  out.retry_attempts = static_cast<std::int32_t>(config.retries_.attempts_);
  out.retry_budget_percent = static_cast<std::int32_t>(config.retries_.budgetPercent_);
  if (!config.healthPath_.empty()) {
    out.__set_health_path(config.healthPath_);
  }
  if (config.connections_ > 0) {
    out.__set_connections(static_cast<std::int32_t>(config.connections_));
  }
  return out;
}

std::vector<gen::Resource> ToThrift(const model::ConfigContent& aContent)
{
  std::vector<gen::Resource> out;
  out.reserve(aContent.size());
  for (const auto& [name, resource] : aContent) {
    out.push_back(ToThrift(*resource));
  }
  return out;
}

bool IsLimitKind(std::int8_t aKind) noexcept
{
  return aKind >= static_cast<std::int8_t>(LimitKind::ConcurrentRequests) &&
         aKind <= static_cast<std::int8_t>(LimitKind::BodyBytes);
}

model::Result<model::ServiceResourcePtr, DecodeError> FromThrift(const gen::Resource& aResource)
{
  const std::string where = "service '" + aResource.service_name + "': ";
  model::ServiceConfig config;
  config.name_ = model::ServiceName(aResource.service_name);
  for (const gen::Route& route : aResource.routes) {
    if (route.timeout_ms <= 0) {
      return DecodeError{ where + "route '" + route.prefix +
                          "' has a timeout that is not positive" };
    }
    model::RouteRule rule;
    rule.prefix_ = route.prefix;
    rule.methods_ = route.methods;
    rule.target_ = model::ServiceName(route.target);
    if (route.__isset.repeatable) {
      rule.repeatable_ = route.repeatable;
    }
    rule.keyRequired_ = route.key_required;
    rule.timeout_ = std::chrono::milliseconds(route.timeout_ms);
    if (const auto fault = ReadOptionalFields(route, rule)) {
      return DecodeError{ where + "route '" + route.prefix + "' has " + *fault };
    }
    config.routes_.push_back(std::move(rule));
  }
  for (const auto& [kind, value] : aResource.limits) {
    if (!IsLimitKind(kind) || value < 0) {
      return DecodeError{ where + "limit " + std::to_string(kind) + " is unknown or negative" };
    }
    config.limits_[static_cast<LimitKind>(kind)] = static_cast<std::uint64_t>(value);
  }
  if (aResource.retry_attempts < 1 || aResource.retry_budget_percent < 0) {
    return DecodeError{ where + "retry rule is out of range" };
  }
  if (aResource.connections < 0) {
    return DecodeError{ where + "the number of connections is negative" };
  }
  config.healthPath_ = aResource.health_path;
  config.connections_ = static_cast<std::uint32_t>(aResource.connections);
  config.retries_.attempts_ = static_cast<std::uint32_t>(aResource.retry_attempts);
  config.retries_.budgetPercent_ = static_cast<std::uint32_t>(aResource.retry_budget_percent);
  return model::MakeResource(std::move(config));
}

model::Result<model::ConfigContent, DecodeError> FromThrift(
  const std::vector<gen::Resource>& aResources)
{
  model::ConfigContent content;
  for (const gen::Resource& resource : aResources) {
    auto decoded = FromThrift(resource);
    if (!decoded) {
      return decoded.Error();
    }
    if (!content.emplace(model::ServiceName(resource.service_name), *decoded).second) {
      return DecodeError{ "service '" + resource.service_name + "' appears twice" };
    }
  }
  return content;
}

gen::ConfigRecord ToThrift(const model::PublishRecord& aRecord)
{
  gen::Publish publish;
  publish.id = aRecord.id_.Value();
  publish.base_version = static_cast<std::int64_t>(aRecord.base_.Value());
  publish.publisher = aRecord.operator_;
  publish.resources = ToThrift(aRecord.content_);
  gen::ConfigRecord out;
  out.__set_publish(publish);
  return out;
}

gen::ConfigRecord ToThrift(const model::CheckpointRecord& aRecord)
{
  gen::Checkpoint checkpoint;
  checkpoint.covered_offset = static_cast<std::int64_t>(aRecord.covered_.Value());
  checkpoint.version = static_cast<std::int64_t>(aRecord.version_.Value());
  checkpoint.resources = ToThrift(aRecord.content_);
  for (const auto& [limit, value] : aRecord.floors_) {
    gen::LimitFloor floor;
    floor.service_name = limit.first.Value();
    floor.kind = static_cast<std::int8_t>(limit.second);
    floor.value = static_cast<std::int64_t>(value);
    checkpoint.floors.push_back(std::move(floor));
  }
  for (const auto& [id, version] : aRecord.recent_) {
    gen::Publication publication;
    publication.id = id.Value();
    publication.version = static_cast<std::int64_t>(version.Value());
    checkpoint.recent.push_back(std::move(publication));
  }
  gen::ConfigRecord out;
  out.__set_checkpoint(checkpoint);
  return out;
}

model::Result<model::ConfigRecord, DecodeError> FromThrift(const gen::Publish& aPublish)
{
  if (aPublish.base_version < 0) {
    return DecodeError{ "the base version is negative" };
  }
  auto content = FromThrift(aPublish.resources);
  if (!content) {
    return content.Error();
  }
  return model::ConfigRecord(
    model::PublishRecord{ model::PublicationId(aPublish.id),
                          model::ConfigVersion(static_cast<std::uint64_t>(aPublish.base_version)),
                          aPublish.publisher,
                          std::move(*content) });
}

model::Result<model::ConfigRecord, DecodeError> FromThrift(const gen::Checkpoint& aCheckpoint)
{
  if (aCheckpoint.covered_offset < 0 || aCheckpoint.version < 0) {
    return DecodeError{ "the covered offset or the version is negative" };
  }
  auto content = FromThrift(aCheckpoint.resources);
  if (!content) {
    return content.Error();
  }
  model::CheckpointRecord record;
  record.covered_ = model::LogOffset(static_cast<std::uint64_t>(aCheckpoint.covered_offset));
  record.version_ = model::ConfigVersion(static_cast<std::uint64_t>(aCheckpoint.version));
  record.content_ = std::move(*content);
  for (const gen::LimitFloor& floor : aCheckpoint.floors) {
    if (!IsLimitKind(floor.kind) || floor.value < 0) {
      return DecodeError{ "a limit floor of service '" + floor.service_name +
                          "' is unknown or negative" };
    }
    record.floors_[{ model::ServiceName(floor.service_name), static_cast<LimitKind>(floor.kind) }] =
      static_cast<std::uint64_t>(floor.value);
  }
  for (const gen::Publication& publication : aCheckpoint.recent) {
    if (publication.version < 0) {
      return DecodeError{ "publication '" + publication.id + "' has a negative version" };
    }
    record.recent_.emplace_back(
      model::PublicationId(publication.id),
      model::ConfigVersion(static_cast<std::uint64_t>(publication.version)));
  }
  return model::ConfigRecord(std::move(record));
}

} // namespace

std::string EncodeConfigRecord(const model::ConfigRecord& aRecord)
{
  return std::visit([](const auto& aOne) { return EncodeThrift(ToThrift(aOne)); }, aRecord);
}

model::Result<model::ConfigRecord, DecodeError> DecodeConfigRecord(std::string_view aBytes)
{
  auto decoded = DecodeThrift<gen::ConfigRecord>(aBytes);
  if (!decoded) {
    return decoded.Error();
  }
  if (decoded->__isset.publish) {
    return FromThrift(decoded->publish);
  }
  if (decoded->__isset.checkpoint) {
    return FromThrift(decoded->checkpoint);
  }
  return DecodeError{ "the record is neither a publish nor a checkpoint" };
}

std::string EncodeResource(const model::ServiceResource& aResource)
{
  return EncodeThrift(ToThrift(aResource));
}

model::Result<model::ServiceResourcePtr, DecodeError> DecodeResource(std::string_view aBytes)
{
  auto decoded = DecodeThrift<gen::Resource>(aBytes);
  if (!decoded) {
    return decoded.Error();
  }
  return FromThrift(*decoded);
}

} // namespace hemlockproxy::wire
