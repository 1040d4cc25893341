/// Replays two publishes that were prepared on the same version: the log's order decides, without a
/// lock.
///
///     first: accepted as version 1
///     second: rejected: ...

#include "hemlockproxy/decisions/ConfigReplay.h"

#include <cstdio>

using namespace hemlockproxy;

namespace {

model::PublishRecord MakePublish(const char* aId, std::uint64_t aQueuedRequests)
{
  const model::ServiceName service("bitacora");
  model::ServiceConfig config;
  config.name_ = service;
  config.limits_[model::LimitKind::QueuedRequests] = aQueuedRequests;
  model::PublishRecord record;
  record.id_ = model::PublicationId(aId);
  record.operator_ = "example";
  record.content_[service] = model::MakeResource(std::move(config));
  return record;
}

void Print(const char* aName, const decisions::ReplayOutcome& aOutcome)
{
  if (const auto* accepted = std::get_if<decisions::Accepted>(&aOutcome)) {
    std::printf("%s: accepted as version %llu\n",
                aName,
                static_cast<unsigned long long>(accepted->version_.Value()));
  } else if (const auto* rejected = std::get_if<decisions::Rejected>(&aOutcome)) {
    std::printf("%s: rejected: %s\n", aName, decisions::ToString(rejected->reason_).c_str());
  }
}

} // namespace

int main()
{
  decisions::ConfigReplay replay;
  Print("first", replay.Apply(model::LogOffset(0), model::ConfigRecord(MakePublish("first", 100))));
  Print("second",
        replay.Apply(model::LogOffset(1), model::ConfigRecord(MakePublish("second", 200))));
  return replay.Version() == model::ConfigVersion(1) ? 0 : 1;
}
