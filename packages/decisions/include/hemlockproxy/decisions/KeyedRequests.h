#pragma once

#include "hemlockproxy/model/Claim.h"
#include "hemlockproxy/model/RequestOutcome.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace hemlockproxy::decisions {

/// A caller sent a non-repeatable request with an idempotency key.
struct KeyedArrived
{
  /// From model::MakeRequestKey.
  model::Digest key_;
  /// From model::MakeFingerprint.
  model::Digest fingerprint_;
  /// Fresh and random; names the request in all later events and actions.
  model::AttemptId attempt_;
  /// The caller's deadline.
  model::TimePoint deadline_;
};

/// A resolver answered a claim call.
struct ClaimAnswered
{
  model::AttemptId attempt_;
  model::ClaimAnswer answer_ = model::ClaimAnswer::Unavailable;
};

/// A claim call ended without an answer; the resolver may have acted on it.
struct ClaimCallFailed
{
  model::AttemptId attempt_;
};

/// A forwarded attempt ended.
struct ForwardEnded
{
  model::AttemptId attempt_;
  model::RequestOutcome outcome_ = model::RequestOutcome::Unknown;
  /// Returned to the caller unless the outcome is Answered.
  model::RefusalReason reason_ = model::RefusalReason::None;
  /// For NotRun: whether another endpoint may be tried.
  bool canTryElsewhere_ = false;
  /// For Answered: the size of the whole response in bytes, if it can be stored.
  std::optional<std::size_t> responseBytes_;
};

/// The caller's connection closed before the response was complete.
struct CallerGone
{
  model::AttemptId attempt_;
};

/// A release call ended; recorded_ is false when its effect is not certain.
struct ReleaseAnswered
{
  model::AttemptId attempt_;
  bool recorded_ = false;
};

/// Time has passed; see KeyedRequests::NextTick.
struct KeyedTick
{};

using KeyedEvent = std::variant<KeyedArrived,
                                ClaimAnswered,
                                ClaimCallFailed,
                                ForwardEnded,
                                CallerGone,
                                ReleaseAnswered,
                                KeyedTick>;

/// Call the shard's resolver. The caller reports ClaimAnswered or ClaimCallFailed.
struct SendClaim
{
  model::ClaimEntry entry_;
  model::TimePoint deadline_;
  /// Counts from 0; a repeated call should go to another resolver.
  std::uint32_t try_ = 0;
};

/// Forward the request. No byte of it may be written after startBefore_; if that passes first, the
/// caller reports NotRun. The caller reports ForwardEnded in any case.
struct ForwardRequest
{
  model::AttemptId attempt_;
  model::TimePoint startBefore_;
};

/// Call the shard's resolver to release the attempt. The caller reports ReleaseAnswered.
struct SendRelease
{
  model::ClaimEntry entry_;
  model::TimePoint deadline_;
  std::uint32_t try_ = 0;
};

/// Answer the caller with an outcome other than Answered.
struct RefuseRequest
{
  model::AttemptId attempt_;
  model::RequestOutcome outcome_ = model::RequestOutcome::NotRun;
  model::RefusalReason reason_ = model::RefusalReason::None;
};

/// Answer the caller with the response stored for the key.
struct ReplayResponse
{
  model::AttemptId attempt_;
  model::Digest key_;
};

/// Store the response of the attempt under its key until DropResponse.
struct StoreResponse
{
  model::AttemptId attempt_;
  model::Digest key_;
};

struct DropResponse
{
  model::Digest key_;
};

using KeyedAction = std::variant<SendClaim,
                                 ForwardRequest,
                                 SendRelease,
                                 RefuseRequest,
                                 ReplayResponse,
                                 StoreResponse,
                                 DropResponse>;

struct KeyedRequestsLimits
{
  /// How long a request waits for its claim.
  std::chrono::milliseconds claimTime_{ 2000 };
  /// How long after its first claim call an attempt may be forwarded, by the entry's monotonic
  /// clock. It bounds the age of a grant: far below the claims' window of 24 hours, so that an
  /// entry that was paused does not use a grant that others consider expired.
  std::chrono::seconds grantTime_{ 60 };
  std::uint32_t maxClaimCalls_ = 3;
  std::uint32_t maxForwards_ = 3;
  std::size_t maxActive_ = 16384;
  std::size_t maxReleases_ = 4096;
  /// How long a release is tried.
  std::chrono::seconds releaseTime_{ 300 };
  std::chrono::milliseconds releaseCallTime_{ 2000 };
  std::chrono::milliseconds releaseBackoff_{ 500 };
  std::chrono::milliseconds maxReleaseBackoff_{ 30000 };
  /// How long and how many finished keys are remembered.
  std::chrono::seconds finishedTime_{ 60 };
  std::size_t maxFinished_ = 4096;
  /// Largest response stored and the bytes stored in all.
  std::size_t maxResponseBytes_ = 64UL * 1024;
  std::size_t maxStoredBytes_ = 16UL * 1024 * 1024;
};

/// The entry's side of at-most-once: claim, forward once, keep or release the claim.
///
/// This class alone decides whether an attempt is run: an attempt that it gave up is never
/// forwarded, whatever is answered later, and it is released only after that. An attempt whose
/// outcome is Answered or Unknown is never released.
///
/// It remembers the keys that it finished for a short time. The same request gets the stored
/// response, or AlreadyClaimed where none was stored; a different request with the same key gets
/// KeyMismatch, never another request's response. Other entries do not know the fingerprint and
/// answer AlreadyClaimed in both cases.
///
/// What remains: a process that is paused between the check of startBefore_ and the first write
/// for longer than the window, and a machine whose monotonic clock stood still that long, can run
/// an attempt whose claim has expired.
class KeyedRequests
{
public:
  explicit KeyedRequests(KeyedRequestsLimits aLimits = {});

  /// Takes an event and returns what to do, in order. Events for unknown attempts are ignored.
  [[nodiscard]] std::vector<KeyedAction> Handle(const KeyedEvent& aEvent, model::TimePoint aNow);

  /// Returns when Handle(KeyedTick) is due next; TimePoint::max() when nothing waits for time.
  [[nodiscard]] model::TimePoint NextTick() const noexcept;

  [[nodiscard]] std::size_t Active() const noexcept { return requests_.size(); }
  [[nodiscard]] std::size_t Finished() const noexcept { return finished_.size(); }
  [[nodiscard]] std::size_t StoredBytes() const noexcept { return storedBytes_; }

private:
  using Actions = std::vector<KeyedAction>;

  enum class Stage : std::uint8_t
  {
    Claiming,
    Forwarding,
  };

  struct Request
  {
    model::AttemptId attempt_;
    model::Digest fingerprint_;
    model::TimePoint claimBefore_;
    model::TimePoint startBefore_;
    Stage stage_ = Stage::Claiming;
    std::uint32_t claimCalls_ = 0;
    std::uint32_t forwards_ = 0;
    bool callerGone_ = false;
  };

  struct FinishedRequest
  {
    model::Digest key_;
    model::Digest fingerprint_;
    model::TimePoint forgetAt_;
    std::optional<std::size_t> storedBytes_;
  };

  struct Release
  {
    model::ClaimEntry entry_;
    model::TimePoint until_;
    model::TimePoint nextTry_;
    std::uint32_t tries_ = 0;
    bool calling_ = false;
  };

  using RequestMap = std::map<model::Digest, Request>;

  void On(const KeyedArrived& aEvent, model::TimePoint aNow, Actions& aOut);
  void On(const ClaimAnswered& aEvent, model::TimePoint aNow, Actions& aOut);
  void On(const ClaimCallFailed& aEvent, model::TimePoint aNow, Actions& aOut);
  void On(const ForwardEnded& aEvent, model::TimePoint aNow, Actions& aOut);
  void On(const CallerGone& aEvent, model::TimePoint aNow, Actions& aOut);
  void On(const ReleaseAnswered& aEvent, model::TimePoint aNow, Actions& aOut);
  void On(const KeyedTick& aEvent, model::TimePoint aNow, Actions& aOut);

  /// Returns the request of an attempt at a stage, or requests_.end().
  [[nodiscard]] RequestMap::iterator Find(const model::AttemptId& aAttempt, Stage aStage);
  void CallResolver(RequestMap::iterator aRequest, Actions& aOut);
  void Forward(RequestMap::iterator aRequest, Actions& aOut);
  /// Ends a request that has not run, so that it never will.
  void Abandon(RequestMap::iterator aRequest,
               model::RequestOutcome aOutcome,
               model::RefusalReason aReason,
               bool aRelease,
               model::TimePoint aNow,
               Actions& aOut);
  /// Ends a request that ran or may have run.
  void Finish(RequestMap::iterator aRequest,
              const ForwardEnded& aEvent,
              model::TimePoint aNow,
              Actions& aOut);
  void Refuse(const Request& aRequest,
              model::RequestOutcome aOutcome,
              model::RefusalReason aReason,
              Actions& aOut) const;
  void RunTimers(model::TimePoint aNow, Actions& aOut);
  void RunReleases(model::TimePoint aNow, Actions& aOut);
  void ForgetOldest(Actions& aOut);

  KeyedRequestsLimits limits_;
  RequestMap requests_;
  std::map<model::AttemptId, model::Digest> keys_;
  /// Finished keys in the order in which they are forgotten, and their place in it.
  std::deque<FinishedRequest> finished_;
  std::map<model::Digest, std::uint64_t> finishedPlace_;
  std::uint64_t forgotten_ = 0;
  std::size_t storedBytes_ = 0;
  std::map<model::AttemptId, Release> releases_;
  /// No claim deadline and no release call is due before these times.
  model::TimePoint nextClaimTimer_ = model::TimePoint::max();
  model::TimePoint nextRelease_ = model::TimePoint::max();
};

} // namespace hemlockproxy::decisions
