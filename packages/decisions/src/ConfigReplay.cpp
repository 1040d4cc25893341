#include "hemlockproxy/decisions/ConfigReplay.h"

#include <algorithm>

namespace hemlockproxy::decisions {

using model::CheckpointRecord;
using model::ConfigVersion;
using model::LogOffset;
using model::PublicationId;
using model::PublishRecord;

namespace {

/// Ids are stored in every checkpoint, so their size is bounded.
constexpr std::size_t kMaxPublicationIdLength = 128;

bool BaseIsCurrent(ConfigVersion aBase, ConfigVersion aCurrent)
{
  return aBase == aCurrent;
}

bool ReachesFirstRetained(LogOffset aCovered, LogOffset aFirstRetained)
{
  return aCovered.Next() >= aFirstRetained;
}

bool IsValidState(const CheckpointRecord& aState)
{
  if (aState.version_ == ConfigVersion()) {
    return aState.content_.empty();
  }
  return ValidateContent(aState.content_).Ok() &&
         CheckLimits(aState.content_, aState.floors_).empty() &&
         aState.recent_.size() <= model::kRecentPublications;
}

struct ReasonText
{
  std::string operator()(const Undecodable& aReason) const
  {
    return "the record cannot be decoded: " + aReason.message_;
  }
  std::string operator()(const RepeatedId& aReason) const
  {
    return "the publication was accepted before as version " +
           std::to_string(aReason.version_.Value());
  }
  std::string operator()(const StaleBase& aReason) const
  {
    return "base version " + std::to_string(aReason.base_.Value()) +
           " is not the current version " + std::to_string(aReason.current_.Value()) +
           (aReason.winner_.Empty()
              ? ""
              : "; publication '" + aReason.winner_.Value() + "' was accepted on that base");
  }
  std::string operator()(const InvalidContent& aReason) const
  {
    const std::string& service = aReason.error_.service_.Value();
    return (service.empty() ? "" : "service '" + service + "': ") + aReason.error_.message_;
  }
  std::string operator()(const LoweredLimits& aReason) const
  {
    std::string text;
    for (const LoweredLimit& limit : aReason.limits_) {
      text += (text.empty() ? "service '" : "; service '") + limit.service_.Value() + "' lowers " +
              model::LimitKey(limit.limit_) + " from " + std::to_string(limit.floor_) + " to " +
              std::to_string(limit.offered_);
    }
    return text;
  }
};

} // namespace

std::string ToString(const RejectReason& aReason)
{
  return std::visit(ReasonText(), aReason);
}

ReplayRules StandardRules() noexcept
{
  return ReplayRules{ &BaseIsCurrent, &ReachesFirstRetained };
}

ReplayOutcome ConfigReplay::Apply(LogOffset aOffset, const Input& aInput)
{
  if (aOffset != next_) {
    return Skipped{ aOffset < next_ ? SkipReason::AlreadyApplied : SkipReason::OutOfOrder };
  }
  next_ = next_.Next();
  const auto* checkpoint = aInput ? std::get_if<CheckpointRecord>(&*aInput) : nullptr;
  if (historyMissing_ && checkpoint == nullptr) {
    return Skipped{ SkipReason::HistoryMissing };
  }
  if (!historyMissing_) {
    stateNext_ = next_;
  }
  if (checkpoint != nullptr) {
    const CheckpointUse use = JudgeCheckpoint(aOffset, *checkpoint);
    if (use == CheckpointUse::Adopted) {
      SetState(*checkpoint);
      // Under the standard rules the checkpoint reaches the first retained record already.
      stateNext_ = std::max(stateNext_, firstRetained_);
      next_ = stateNext_;
      historyMissing_ = false;
    }
    return CheckpointOutcome{ checkpoint->version_, use };
  }
  if (!aInput) {
    return Rejected{ PublicationId(), aInput.Error() };
  }
  return ApplyPublish(std::get<PublishRecord>(*aInput));
}

ReplayOutcome ConfigReplay::ApplyPublish(const PublishRecord& aRecord)
{
  if (auto reason = FindRejectReason(aRecord)) {
    return Rejected{ aRecord.id_, std::move(*reason) };
  }
  AcceptContent(aRecord);
  return Accepted{ aRecord.id_, state_.version_ };
}

std::optional<RejectReason> ConfigReplay::FindRejectReason(const PublishRecord& aRecord) const
{
  // The id comes first: a repeated append has a stale base too, but its publisher must learn that
  // the first one was accepted.
  const auto known =
    std::find_if(state_.recent_.rbegin(), state_.recent_.rend(), [&aRecord](const auto& aOne) {
      return aOne.first == aRecord.id_;
    });
  if (known != state_.recent_.rend()) {
    return RepeatedId{ known->second };
  }
  if (!rules_.mayFollow_(aRecord.base_, state_.version_)) {
    return StaleBase{ aRecord.base_, state_.version_, PublicationOf(aRecord.base_.Next()) };
  }
  if (aRecord.id_.Empty() || aRecord.id_.Value().size() > kMaxPublicationIdLength) {
    return InvalidContent{ { model::ServiceName(), "the publication id is empty or too long" } };
  }
  if (auto valid = ValidateContent(aRecord.content_); !valid) {
    return InvalidContent{ valid.Error() };
  }
  if (auto lowered = CheckLimits(aRecord.content_, state_.floors_); !lowered.empty()) {
    return LoweredLimits{ std::move(lowered) };
  }
  return std::nullopt;
}

void ConfigReplay::AcceptContent(const PublishRecord& aRecord)
{
  model::ConfigContent content = aRecord.content_;
  for (auto& [name, resource] : content) {
    // Unchanged resources are shared with the previous version to save memory.
    const auto held = state_.content_.find(name);
    if (held != state_.content_.end() && held->second->digest_ == resource->digest_) {
      resource = held->second;
    }
  }
  state_.version_ = state_.version_.Next();
  state_.content_ = std::move(content);
  RaiseFloors(state_.content_, state_.floors_);
  state_.recent_.emplace_back(aRecord.id_, state_.version_);
  if (state_.recent_.size() > model::kRecentPublications) {
    state_.recent_.erase(state_.recent_.begin());
  }
  configuration_ = std::make_shared<const model::Configuration>(
    model::Configuration{ state_.version_, state_.content_ });
}

CheckpointUse ConfigReplay::JudgeCheckpoint(LogOffset aOffset,
                                            const CheckpointRecord& aRecord) const
{
  if (aRecord.covered_ >= aOffset || !IsValidState(aRecord)) {
    return CheckpointUse::Invalid;
  }
  if (historyMissing_) {
    if (!rules_.trustsCheckpoint_(aRecord.covered_, firstRetained_)) {
      return CheckpointUse::Untrusted;
    }
    return Contradicts(aRecord) ? CheckpointUse::Contradicting : CheckpointUse::Adopted;
  }
  if (aRecord.version_ < state_.version_) {
    return CheckpointUse::Ignored;
  }
  if (aRecord.version_ > state_.version_ || Contradicts(aRecord) ||
      aRecord.floors_ != state_.floors_) {
    return CheckpointUse::Contradicting;
  }
  return CheckpointUse::Confirmed;
}

bool ConfigReplay::Contradicts(const CheckpointRecord& aState) const
{
  return aState.version_ < state_.version_ ||
         (aState.version_ == state_.version_ && !SameContent(aState.content_, state_.content_));
}

void ConfigReplay::SetState(const CheckpointRecord& aState)
{
  const bool newVersion = aState.version_ != state_.version_;
  state_ = aState;
  RaiseFloors(state_.content_, state_.floors_);
  stateNext_ = aState.covered_.Next();
  if (newVersion) {
    configuration_ = std::make_shared<const model::Configuration>(
      model::Configuration{ state_.version_, state_.content_ });
  }
}

void ConfigReplay::HistoryTrimmed(LogOffset aFirstRetained)
{
  if (aFirstRetained <= next_) {
    return;
  }
  historyMissing_ = true;
  firstRetained_ = aFirstRetained;
  next_ = aFirstRetained;
}

void ConfigReplay::ObserveTail(LogOffset aLogNext)
{
  if (!historyMissing_ && next_ >= aLogNext) {
    wasCurrent_ = true;
  }
}

PeerStateUse ConfigReplay::TakePeerState(const CheckpointRecord& aState)
{
  if (aState.covered_.Next() <= stateNext_) {
    return PeerStateUse::NotNewer;
  }
  if (!IsValidState(aState)) {
    return PeerStateUse::Invalid;
  }
  if (Contradicts(aState)) {
    return PeerStateUse::Contradicting;
  }
  SetState(aState);
  wasCurrent_ = true;
  if (!historyMissing_ || stateNext_ >= firstRetained_) {
    historyMissing_ = false;
    next_ = stateNext_;
  }
  return PeerStateUse::Adopted;
}

void ConfigReplay::RaiseVersionFloor(ConfigVersion aFloor) noexcept
{
  versionFloor_ = std::max(versionFloor_, aFloor);
}

std::optional<CheckpointRecord> ConfigReplay::MakeCheckpoint() const
{
  if (stateNext_ == LogOffset()) {
    return std::nullopt;
  }
  CheckpointRecord record = state_;
  record.covered_ = LogOffset(stateNext_.Value() - 1);
  return record;
}

model::ConfigurationPtr ConfigReplay::Enforceable() const
{
  return wasCurrent_ && state_.version_ >= versionFloor_ ? configuration_ : nullptr;
}

PublicationId ConfigReplay::PublicationOf(ConfigVersion aVersion) const
{
  const auto found = std::find_if(state_.recent_.rbegin(),
                                  state_.recent_.rend(),
                                  [aVersion](const auto& aOne) { return aOne.second == aVersion; });
  return found == state_.recent_.rend() ? PublicationId() : found->first;
}

} // namespace hemlockproxy::decisions
