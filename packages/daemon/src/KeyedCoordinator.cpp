#include "hemlockproxy/daemon/KeyedCoordinator.h"

#include "impl/HeldBody.h"

#include <boost/fiber/buffered_channel.hpp>
#include <boost/fiber/operations.hpp>

namespace hemlockproxy::daemon {

namespace {

using model::RequestOutcome;
namespace http = runtime::http;

constexpr std::size_t kIdleConnections = 4;
constexpr std::chrono::milliseconds kIdleTime{ 10000 };
constexpr std::chrono::milliseconds kTick{ 20 };
constexpr std::size_t kReplyBytes = 4096;
/// A response up to this size is held whole before it is delivered, so that it can be stored.
constexpr std::size_t kStorableBytes = 64UL * 1024;
/// A request is told of at most a claim, a few forwards and an end.
constexpr std::size_t kPendingActions = 16;

model::ClaimAnswer AnswerOf(wire::ClaimStatus aStatus) noexcept
{
  switch (aStatus) {
    case wire::ClaimStatus::Granted:
      return model::ClaimAnswer::Granted;
    case wire::ClaimStatus::Duplicate:
      return model::ClaimAnswer::Duplicate;
    case wire::ClaimStatus::NotClaimed:
      return model::ClaimAnswer::NotClaimed;
    default:
      return model::ClaimAnswer::Unavailable;
  }
}

} // namespace

struct KeyedCoordinator::StoredResponse
{
  runtime::ResponseHeader header_;
  std::string body_;
};

struct KeyedCoordinator::Pending
{
  boost::fibers::buffered_channel<decisions::KeyedAction> actions_{ kPendingActions };
  /// The response of the last forward, for StoreResponse.
  std::shared_ptr<const StoredResponse> response_;
};

KeyedCoordinator::KeyedCoordinator(runtime::IoContextPtr aIo,
                                   std::string aLocalIp,
                                   const TrafficViewSlot& aViews,
                                   runtime::Metrics& aMetrics)
  : views_(aViews)
  , metrics_(aMetrics)
  , pool_(std::move(aIo), kIdleConnections, kIdleTime, std::move(aLocalIp))
  , random_(std::random_device()())
{
}

KeyedCoordinator::~KeyedCoordinator() = default;

UpstreamReply KeyedCoordinator::Run(KeyedCall aCall)
{
  const model::AttemptId attempt{ random_(), random_() };
  Pending pending;
  pending_[attempt] = &pending;
  if (aCall.cancel_ != nullptr) {
    aCall.cancel_->SetAction([this, attempt] { Feed(decisions::CallerGone{ attempt }); });
  }
  StartTicker();
  Feed(decisions::KeyedArrived{ aCall.key_, aCall.fingerprint_, attempt, aCall.deadline_ });
  UpstreamReply reply = Refused(RequestOutcome::NotRun, model::RefusalReason::ClaimUnavailable);
  decisions::KeyedAction action;
  while (pending.actions_.pop(action) == boost::fibers::channel_op_status::success) {
    if (const auto* forward = std::get_if<decisions::ForwardRequest>(&action)) {
      reply = ForwardOnce(aCall, attempt, forward->startBefore_);
      if (reply.outcome_ == RequestOutcome::Answered) {
        break;
      }
    } else if (const auto* refuse = std::get_if<decisions::RefuseRequest>(&action)) {
      reply = Refused(refuse->outcome_, refuse->reason_);
      break;
    } else if (const auto* replay = std::get_if<decisions::ReplayResponse>(&action)) {
      reply = Replay(replay->key_);
      break;
    }
  }
  pending_.erase(attempt);
  if (aCall.cancel_ != nullptr && reply.outcome_ != RequestOutcome::Answered) {
    aCall.cancel_->SetAction({});
  }
  return reply;
}

UpstreamReply KeyedCoordinator::ForwardOnce(KeyedCall& aCall,
                                            const model::AttemptId& aAttempt,
                                            model::TimePoint aStartBefore)
{
  ForwardResult result = aCall.forward_(aStartBefore);
  decisions::ForwardEnded ended;
  ended.attempt_ = aAttempt;
  ended.outcome_ = result.reply_.outcome_;
  ended.reason_ = result.reply_.reason_;
  ended.canTryElsewhere_ = result.canTryElsewhere_;
  if (result.reply_.outcome_ == RequestOutcome::Answered) {
    if (const auto length = impl::BodyLengthOf(result.reply_.header_);
        length && *length <= kStorableBytes) {
      auto whole = impl::ReadWhole(*result.reply_.body_, *length);
      if (!whole) {
        result.reply_ = Refused(RequestOutcome::Unknown, model::RefusalReason::UpstreamFailed);
        ended.outcome_ = RequestOutcome::Unknown;
        ended.reason_ = model::RefusalReason::UpstreamFailed;
      } else {
        ended.responseBytes_ = whole->size();
        pending_.at(aAttempt)->response_ =
          std::make_shared<const StoredResponse>(StoredResponse{ result.reply_.header_, *whole });
        result.reply_.body_ = std::make_unique<impl::HeldBody>(*std::move(whole));
      }
    }
  }
  Feed(ended);
  return std::move(result.reply_);
}

UpstreamReply KeyedCoordinator::Replay(const model::Digest& aKey) const
{
  const auto found = stored_.find(aKey);
  if (found == stored_.end()) {
    return Refused(RequestOutcome::Unknown, model::RefusalReason::AlreadyClaimed);
  }
  UpstreamReply reply;
  reply.outcome_ = RequestOutcome::Answered;
  reply.header_ = found->second->header_;
  reply.body_ = std::make_unique<impl::HeldBody>(found->second->body_);
  return reply;
}

void KeyedCoordinator::Feed(const decisions::KeyedEvent& aEvent)
{
  for (const auto& action : requests_.Handle(aEvent, std::chrono::steady_clock::now())) {
    Execute(action);
  }
}

void KeyedCoordinator::Execute(const decisions::KeyedAction& aAction)
{
  if (const auto* claim = std::get_if<decisions::SendClaim>(&aAction)) {
    CallResolver(wire::ClaimAction::Claim, claim->entry_, claim->deadline_, claim->try_);
    return;
  }
  if (const auto* release = std::get_if<decisions::SendRelease>(&aAction)) {
    CallResolver(wire::ClaimAction::Release, release->entry_, release->deadline_, release->try_);
    return;
  }
  if (const auto* drop = std::get_if<decisions::DropResponse>(&aAction)) {
    stored_.erase(drop->key_);
    return;
  }
  const auto attempt = std::visit(
    [](const auto& aOne) {
      if constexpr (requires { aOne.attempt_; }) {
        return aOne.attempt_;
      } else {
        return model::AttemptId{};
      }
    },
    aAction);
  const auto found = pending_.find(attempt);
  if (found == pending_.end()) {
    return;
  }
  if (const auto* store = std::get_if<decisions::StoreResponse>(&aAction)) {
    stored_[store->key_] = found->second->response_;
    return;
  }
  (void)found->second->actions_.try_push(aAction);
}

void KeyedCoordinator::CallResolver(wire::ClaimAction aAction,
                                    const model::ClaimEntry& aEntry,
                                    model::TimePoint aDeadline,
                                    std::uint32_t aTry)
{
  runtime::SpawnFiber([this, aAction, aEntry, aDeadline, aTry] {
    std::vector<model::DaemonId> live;
    for (const auto& member : views_.Load()->domainMembers_) {
      live.push_back(member->id_);
    }
    const auto resolvers = ChooseResolvers(model::ShardOf(aEntry.key_, kClaimShards), live);
    std::optional<wire::ClaimReply> reply;
    if (!resolvers.empty()) {
      const auto address = model::ParseAddress(resolvers[aTry % resolvers.size()].Value());
      const wire::ClaimCall call{
        aAction, aEntry, static_cast<std::uint16_t>(kClaimShards), TimeLeft(aDeadline)
      };
      auto response = runtime::Fetch(pool_,
                                     *address,
                                     runtime::MakeRequest(http::verb::post, kClaimsPath, *address),
                                     wire::EncodeClaimCall(call),
                                     TimeLeft(aDeadline),
                                     kReplyBytes);
      if (response && response->header_.result() == http::status::ok) {
        if (auto decoded = wire::DecodeClaimReply(response->body_)) {
          reply = *std::move(decoded);
        }
      }
    }
    if (aAction == wire::ClaimAction::Release) {
      Feed(decisions::ReleaseAnswered{ aEntry.attempt_,
                                       reply && reply->status_ == wire::ClaimStatus::Released });
    } else if (reply) {
      const auto answer = AnswerOf(reply->status_);
      metrics_.Add(answer == model::ClaimAnswer::Granted     ? runtime::Counter::ClaimsGranted
                   : answer == model::ClaimAnswer::Duplicate ? runtime::Counter::ClaimsDuplicate
                                                             : runtime::Counter::ClaimsUnavailable);
      Feed(decisions::ClaimAnswered{ aEntry.attempt_, answer });
    } else {
      metrics_.Add(runtime::Counter::ClaimsUnavailable);
      Feed(decisions::ClaimCallFailed{ aEntry.attempt_ });
    }
  });
}

void KeyedCoordinator::StartTicker()
{
  if (ticking_) {
    return;
  }
  ticking_ = true;
  runtime::SpawnFiber([this] {
    while (!stopping_ && requests_.NextTick() != model::TimePoint::max()) {
      boost::this_fiber::sleep_for(kTick);
      if (requests_.NextTick() <= std::chrono::steady_clock::now()) {
        Feed(decisions::KeyedTick{});
      }
    }
    ticking_ = false;
  });
}

} // namespace hemlockproxy::daemon
