#include "hemlockproxy/ctl/Publisher.h"

#include "hemlockproxy/wire/ConfigCodec.h"

#include <algorithm>

namespace hemlockproxy::ctl {

using decisions::ConfigReplay;
using model::ConfigVersion;
using model::PublicationId;
using model::PublishRecord;
using runtime::LogErrorKind;

namespace {

/// A further append is harmless, since replay accepts a publication id once.
constexpr int kMaxAppends = 3;
/// Reads of one second each that wait for the appended record.
constexpr int kMaxReads = 10;
constexpr std::chrono::milliseconds kReadWait{ 1000 };

std::string VersionText(ConfigVersion aVersion)
{
  return "version " + std::to_string(aVersion.Value());
}

model::SourcePosition PositionOf(const model::ServiceFile& aFile, model::LimitKind aKind)
{
  const auto stated = aFile.limits_.find(aKind);
  return stated == aFile.limits_.end() ? aFile.position_ : stated->second;
}

std::string LoweredText(const model::ServiceFolder& aFolder,
                        const std::vector<decisions::LoweredLimit>& aLowered)
{
  std::string text;
  for (const decisions::LoweredLimit& limit : aLowered) {
    const model::ServiceFile& file = aFolder.files_.at(limit.service_);
    const bool stated = file.limits_.contains(limit.limit_);
    text += ToString(PositionOf(file, limit.limit_)) + ": found " + model::LimitKey(limit.limit_) +
            " of " + std::to_string(limit.offered_) + (stated ? "" : " (its default)") +
            "; expected at least the value in effect, " + std::to_string(limit.floor_) + "\n";
  }
  return text;
}

struct RejectCode
{
  ExitCode operator()(const decisions::LoweredLimits&) const { return ExitCode::LimitLowered; }
  ExitCode operator()(const decisions::InvalidContent&) const { return ExitCode::InvalidFiles; }
  ExitCode operator()(const decisions::Undecodable&) const { return ExitCode::InvalidFiles; }
  ExitCode operator()(const decisions::StaleBase&) const { return ExitCode::Lost; }
  ExitCode operator()(const decisions::RepeatedId&) const { return ExitCode::Done; }
};

} // namespace

PublicationId DefaultPublicationId(const model::ConfigContent& aContent, ConfigVersion aBase)
{
  std::string text = std::to_string(aBase.Value());
  for (const auto& [name, resource] : aContent) {
    text += ' ' + name.Value() + ' ' + ToString(resource->digest_);
  }
  return PublicationId(ToString(model::HashBytes(text)));
}

PublishReport Publisher::Run(const model::ServiceFolder& aFolder, const PublishOptions& aOptions)
{
  if (const auto read = stream_.ReadToTail(); !read) {
    return { ExitCode::LogUnavailable,
             "log: " + read.Error().message_ + "; nothing was appended\n" };
  }
  const ConfigReplay& replay = stream_.Replay();
  if (replay.IsHistoryMissing()) {
    return { ExitCode::LogUnavailable,
             "log: records have expired and no checkpoint covers them; nothing was appended\n" };
  }
  const ConfigVersion base = aOptions.base_.value_or(replay.Version());
  const PublishRecord record{ aOptions.id_.value_or(DefaultPublicationId(aFolder.content_, base)),
                              base,
                              aOptions.operator_,
                              aFolder.content_ };
  if (auto earlier = FindEarlierOutcome(aFolder, aOptions, record)) {
    return *earlier;
  }
  if (auto valid = decisions::ValidateContent(record.content_); !valid) {
    return { ExitCode::InvalidFiles, valid.Error().message_ + "; nothing was appended\n" };
  }
  const auto lowered = decisions::CheckLimits(record.content_, replay.Floors());
  if (!lowered.empty()) {
    return { ExitCode::LimitLowered,
             LoweredText(aFolder, lowered) + "limits are only raised; nothing was appended\n" };
  }
  return AppendAndResolve(record);
}

std::optional<PublishReport> Publisher::FindEarlierOutcome(const model::ServiceFolder& aFolder,
                                                           const PublishOptions& aOptions,
                                                           const PublishRecord& aRecord) const
{
  const ConfigReplay& replay = stream_.Replay();
  const auto known =
    std::find_if(replay.Recent().begin(), replay.Recent().end(), [&aRecord](const auto& aOne) {
      return aOne.first == aRecord.id_;
    });
  if (known != replay.Recent().end()) {
    return Accepted(known->second);
  }
  if (!aOptions.id_ && !aOptions.base_) {
    if (replay.Version() > ConfigVersion() &&
        decisions::SameContent(aFolder.content_, replay.Content())) {
      return PublishReport{ ExitCode::Done,
                            "the content is in effect as " + VersionText(replay.Version()) +
                              "; nothing was appended\n" };
    }
    if (const auto earlier = FindEarlierRun(aFolder.content_)) {
      return PublishReport{ ExitCode::Lost,
                            *earlier + "; " + VersionText(replay.Version()) +
                              " is in effect; to publish the content on top of it, give --base " +
                              std::to_string(replay.Version().Value()) +
                              "; nothing was appended\n" };
    }
  }
  if (aRecord.base_ != replay.Version()) {
    const decisions::RejectReason stale = decisions::StaleBase{
      aRecord.base_, replay.Version(), replay.PublicationOf(aRecord.base_.Next())
    };
    return PublishReport{ ExitCode::Lost, decisions::ToString(stale) + "; nothing was appended\n" };
  }
  return std::nullopt;
}

std::optional<std::string> Publisher::FindEarlierRun(const model::ConfigContent& aContent) const
{
  for (const auto& [id, version] : stream_.Replay().Recent()) {
    if (id == DefaultPublicationId(aContent, ConfigVersion(version.Value() - 1))) {
      return "this content was accepted as " + VersionText(version) + " and has been replaced";
    }
  }
  for (const auto& [offset, entry] : stream_.Entries()) {
    const auto* rejected = std::get_if<decisions::Rejected>(&entry.outcome_);
    if (rejected != nullptr && std::holds_alternative<decisions::StaleBase>(rejected->reason_) &&
        entry.id_ == DefaultPublicationId(aContent, entry.base_)) {
      return "this content was rejected: " + decisions::ToString(rejected->reason_);
    }
  }
  return std::nullopt;
}

PublishReport Publisher::AppendAndResolve(const PublishRecord& aRecord)
{
  PublishReport unknown{ ExitCode::OutcomeUnknown,
                         "log: the outcome of publication '" + aRecord.id_.Value() +
                           "' is unknown; run the command again with --base " +
                           std::to_string(aRecord.base_.Value()) + " --id " + aRecord.id_.Value() +
                           "\n" };
  const std::string bytes = wire::EncodeConfigRecord(aRecord);
  bool mayBeAppended = false;
  for (int append = 0; append < kMaxAppends; ++append) {
    const auto appended = log_.Append(kConfigStream, bytes);
    const bool refused = !appended && (appended.Error().kind_ == LogErrorKind::Unavailable ||
                                       appended.Error().kind_ == LogErrorKind::RateLimited);
    if (refused && !mayBeAppended) {
      return { ExitCode::LogUnavailable,
               "log: " + appended.Error().message_ + "; nothing was appended\n" };
    }
    mayBeAppended = true;
    // After a lost response one read to the tail shows whether the record was appended.
    const int reads = appended ? kMaxReads : 1;
    for (int read = 0; read < reads; ++read) {
      if (!stream_.ReadToTail(kReadWait)) {
        return unknown;
      }
      if (auto report = FindOwnRecord(aRecord)) {
        return *report;
      }
    }
  }
  return unknown;
}

std::optional<PublishReport> Publisher::FindOwnRecord(const PublishRecord& aRecord) const
{
  std::optional<PublishReport> report;
  for (const auto& [offset, entry] : stream_.Entries()) {
    // The same id may have been tried earlier on another base.
    if (entry.id_ != aRecord.id_ || entry.base_ != aRecord.base_) {
      continue;
    }
    if (const auto* accepted = std::get_if<decisions::Accepted>(&entry.outcome_)) {
      return Accepted(accepted->version_);
    }
    if (const auto* rejected = std::get_if<decisions::Rejected>(&entry.outcome_)) {
      const auto* repeated = std::get_if<decisions::RepeatedId>(&rejected->reason_);
      report = repeated != nullptr
                 ? Accepted(repeated->version_)
                 : PublishReport{ std::visit(RejectCode(), rejected->reason_),
                                  "publication '" + aRecord.id_.Value() + "' was rejected: " +
                                    decisions::ToString(rejected->reason_) + "\n" };
    }
  }
  return report;
}

PublishReport Publisher::Accepted(ConfigVersion aVersion) const
{
  const ConfigVersion current = stream_.Replay().Version();
  return { ExitCode::Done,
           "accepted as " + VersionText(aVersion) +
             (current > aVersion ? "; replaced since, " + VersionText(current) + " is in effect"
                                 : "") +
             "\n" };
}

} // namespace hemlockproxy::ctl
