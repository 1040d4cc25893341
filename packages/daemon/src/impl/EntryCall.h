#pragma once

#include "hemlockproxy/daemon/EntryService.h"
#include "impl/EntryBodies.h"
#include "impl/RequestLog.h"

#include <boost/fiber/future/promise.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hemlockproxy::daemon {

/// An attempt of a request and what came of it.
struct EntryService::Attempt
{
  model::DaemonId endpoint_;
  model::TimePoint started_;
  UpstreamReply reply_;
};

/// A second attempt that runs beside one that goes without a response, in a fiber of its own.
struct EntryService::SecondAttempt
{
  Attempt attempt_;
  UpstreamRequest request_;
  /// The request's whole body.
  std::string body_;
  CancelSource cancel_;
  /// The first attempt was answered, and nobody waits for this one.
  bool abandoned_ = false;
  bool hasEnded_ = false;
  boost::fibers::promise<void> ended_;
};

/// One request on its way through the entry.
struct EntryService::Call
{
  UpstreamRequest request_;
  /// The body after prefix_; nothing when the body is held whole.
  std::optional<impl::TrackedBody> rest_;
  std::optional<impl::LimitedBody> limited_;
  /// The longest request body, in bytes.
  std::uint64_t bodyLimit_ = 0;
  std::string prefix_;
  CancelSource cancel_;
  decisions::Repeatable repeatable_ = decisions::Repeatable::No;
  Target* target_ = nullptr;
  std::vector<model::DaemonId> tried_;
  /// The endpoint of the last attempt.
  std::optional<model::DaemonId> endpoint_;
  std::uint32_t resumes_ = 0;
  /// The deadline of the request before its response was resumed.
  std::optional<model::TimePoint> firstDeadline_;
  decisions::AttemptState state_;
  /// Learns from all attempts on the route of this request.
  std::shared_ptr<decisions::AttemptTimeout> timeout_;
  /// Runs beside the current attempt, or has answered in its place.
  std::shared_ptr<SecondAttempt> second_;
  /// All second attempts: the body of a response may use what belongs to an earlier one.
  std::vector<std::shared_ptr<SecondAttempt>> seconds_;
  /// The shortest wait that an owner told when it rejected the request.
  std::optional<model::Duration> expectedWait_;
  /// Whether the caller had left before the request was handled.
  bool unread_ = false;
  /// Whether there was a second attempt beside another one.
  bool hadSecond_ = false;
  model::TimePoint started_;

  /// The hash of the key without which the request may not run; nothing where it needs none.
  std::optional<model::Digest> neededKey_;

  /// The configuration version by which the request is handled.
  model::ConfigVersion version_;

  [[nodiscard]] impl::RequestFacts Facts(model::TimePoint aNow) const
  {
    impl::RequestFacts facts;
    facts.id_ = request_.id_;
    facts.route_ = request_.work_.label_;
    facts.service_ = request_.service_.Value();
    facts.endpoint_ = endpoint_ ? std::string_view(endpoint_->Value()) : std::string_view();
    facts.attempts_ = state_.attempts_;
    facts.redirects_ = state_.redirects_;
    facts.elapsed_ = aNow - started_;
    facts.version_ = version_;
    return facts;
  }

  /// Returns whether a part of the body was taken that cannot be sent again.
  [[nodiscard]] bool BodyUsed() const noexcept { return rest_ && rest_->Used(); }
};

} // namespace hemlockproxy::daemon
