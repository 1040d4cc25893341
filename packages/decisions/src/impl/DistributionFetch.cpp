#include "impl/DistributionEngine.h"

#include <algorithm>
#include <utility>

namespace hemlockproxy::decisions::impl {

void DistributionEngine::Want(const model::DaemonId& aSource,
                              model::ConfigVersion aVersion,
                              std::chrono::milliseconds aDelay)
{
  if (aVersion <= HeldVersion()) {
    return;
  }
  const bool waiting = !sources_.empty();
  auto& version = sources_[aSource];
  if (version < aVersion) {
    version = aVersion;
    // The source has something new, so an earlier failure says nothing about it.
    failed_.erase(aSource);
  }
  if (failed_.contains(aSource)) {
    // Repeated reports must not shorten the wait after a failure.
    return;
  }
  const model::TimePoint due = now_ + aDelay;
  nextFetch_ = waiting ? std::min(nextFetch_, due) : due;
}

void DistributionEngine::TickFetch()
{
  if (fetch_ && now_ >= fetch_->deadline_) {
    FailFetch(fetch_->from_);
  }
  if (fetch_ || sources_.empty() || now_ < nextFetch_) {
    return;
  }
  const auto source = ChooseSource();
  if (!source) {
    return;
  }
  FetchRequest request;
  if (held_) {
    for (const auto& [name, resource] : held_->content_) {
      request.held_.push_back(resource->digest_);
    }
    if (held_->customers_) {
      request.held_.push_back(held_->customers_->digest_);
    }
  }
  // Only log readers need the replay state, and it is far larger than a change.
  request.handoverWanted_ = reading_ || roster_.Rank() < options_.logReaders_;
  fetch_ = Fetch{ *source, now_ + options_.fetchTimeout_ };
  out_.emplace_back(SendFetch{ *source, std::move(request) });
}

std::optional<model::DaemonId> DistributionEngine::ChooseSource()
{
  std::vector<model::DaemonId> known;
  for (const auto& [id, version] : sources_) {
    if (!failed_.contains(id)) {
      known.push_back(id);
    }
  }
  if (known.empty()) {
    // All sources failed: any other peer may hold the version by now.
    for (const model::DaemonId& id : NoticePeers()) {
      if (!failed_.contains(id)) {
        known.push_back(id);
      }
    }
  }
  if (known.empty()) {
    failed_.clear();
    for (const auto& [id, version] : sources_) {
      known.push_back(id);
    }
  }
  if (known.empty()) {
    return std::nullopt;
  }
  return known[(*random_)() % known.size()];
}

void DistributionEngine::FailFetch(const model::DaemonId& aFrom)
{
  fetch_.reset();
  failed_.insert(aFrom);
  fetchBackoff_ = std::clamp(fetchBackoff_ * 2, options_.fetchRetry_, options_.fetchRetryMax_);
  nextFetch_ = now_ + fetchBackoff_ / 2 + Jitter(fetchBackoff_);
}

void DistributionEngine::On(const FetchFailed& aEvent)
{
  if (fetch_ && fetch_->from_ == aEvent.from_) {
    FailFetch(aEvent.from_);
  }
}

void DistributionEngine::On(const FetchRequested& aEvent)
{
  FetchResponse response;
  if (held_) {
    response.version_ = held_->version_;
    response.callerLimits_ = held_->callerLimits_;
    const auto lacks = [&known = aEvent.request_.held_](const model::Digest& aDigest) {
      return std::find(known.begin(), known.end(), aDigest) == known.end();
    };
    for (const auto& [name, resource] : held_->content_) {
      response.manifest_.emplace_back(name, resource->digest_);
      if (lacks(resource->digest_)) {
        response.resources_.push_back(resource);
      }
    }
    if (const auto& customers = held_->customers_) {
      response.customersDigest_ = customers->digest_;
      response.customers_ = lacks(customers->digest_) ? customers : nullptr;
    }
    if (aEvent.request_.handoverWanted_) {
      response.handover_ = handover_;
    }
  }
  out_.emplace_back(ReplyFetch{ std::move(response) });
}

void DistributionEngine::On(const FetchResponded& aEvent)
{
  const bool expected = fetch_ && fetch_->from_ == aEvent.from_;
  if (aEvent.response_.version_ <= HeldVersion()) {
    if (expected) {
      sources_.erase(aEvent.from_);
      FailFetch(aEvent.from_);
    }
    return;
  }
  model::ConfigurationPtr configuration = Assemble(aEvent.response_);
  if (!configuration) {
    if (expected) {
      FailFetch(aEvent.from_);
    }
    return;
  }
  if (expected) {
    fetch_.reset();
  }
  NoteHolder(aEvent.from_, configuration->version_);
  heldFromPeer_ = true;
  Hold(std::move(configuration), aEvent.response_.handover_);
  SendNotices(NeedsAcknowledgement(), &aEvent.from_);
  TryEnforce();
}

model::ConfigurationPtr DistributionEngine::Assemble(const FetchResponse& aResponse) const
{
  std::map<model::Digest, model::ServiceResourcePtr> available;
  if (held_) {
    for (const auto& [name, resource] : held_->content_) {
      available.emplace(resource->digest_, resource);
    }
  }
  for (const model::ServiceResourcePtr& resource : aResponse.resources_) {
    available.emplace(resource->digest_, resource);
  }
  auto configuration = std::make_shared<model::Configuration>();
  configuration->version_ = aResponse.version_;
  configuration->callerLimits_ = aResponse.callerLimits_;
  if (aResponse.customersDigest_) {
    configuration->customers_ = aResponse.customers_ ? aResponse.customers_
                                : held_              ? held_->customers_
                                                     : nullptr;
    if (!configuration->customers_ ||
        configuration->customers_->digest_ != *aResponse.customersDigest_) {
      return nullptr;
    }
  }
  for (const auto& [name, digest] : aResponse.manifest_) {
    const auto found = available.find(digest);
    if (found == available.end() || found->second->config_.name_ != name) {
      return nullptr;
    }
    configuration->content_.emplace(name, found->second);
  }
  return configuration;
}

} // namespace hemlockproxy::decisions::impl
