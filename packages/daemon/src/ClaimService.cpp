#include "hemlockproxy/daemon/ClaimService.h"

#include "hemlockproxy/decisions/RendezvousHash.h"

#include <boost/fiber/future/promise.hpp>
#include <boost/fiber/operations.hpp>

#include <algorithm>

namespace hemlockproxy::daemon {

namespace {

constexpr std::size_t kReadRecords = 1024;
/// Interval of ticks while a call waits; the control thread's own ticks are too coarse for batches.
constexpr std::chrono::milliseconds kWaitingTick{ 10 };
/// Ticket banks: reads, then appends.
constexpr std::size_t kReadBank = 0;
constexpr std::size_t kAppendBank = 1;
constexpr std::size_t kBanks = 2;
/// Tickets of one generation of resolvers.
constexpr std::size_t kTickets = kBanks * kClaimShards;

std::string StreamOf(std::size_t aShard)
{
  return "claims-" + std::to_string(aShard);
}

wire::ClaimStatus StatusOf(model::ClaimAnswer aAnswer) noexcept
{
  switch (aAnswer) {
    case model::ClaimAnswer::Granted:
      return wire::ClaimStatus::Granted;
    case model::ClaimAnswer::Duplicate:
      return wire::ClaimStatus::Duplicate;
    case model::ClaimAnswer::NotClaimed:
      return wire::ClaimStatus::NotClaimed;
    case model::ClaimAnswer::Unavailable:
      break;
  }
  return wire::ClaimStatus::Unavailable;
}

using ReplyPromise = boost::fibers::promise<wire::ClaimReply>;
using Waiters = std::multimap<model::AttemptId, ReplyPromise*>;

void Answer(Waiters& aWaiters, const model::AttemptId& aAttempt, const wire::ClaimReply& aReply)
{
  const auto [first, last] = aWaiters.equal_range(aAttempt);
  std::vector<ReplyPromise*> answered;
  for (auto waiter = first; waiter != last; ++waiter) {
    answered.push_back(waiter->second);
  }
  aWaiters.erase(first, last);
  for (ReplyPromise* promise : answered) {
    promise->set_value(aReply);
  }
}

decisions::RecordsRead ToEvent(const runtime::LogBatch& aBatch)
{
  decisions::RecordsRead event{ aBatch.first_, aBatch.next_, {} };
  for (const runtime::LogRecord& record : aBatch.records_) {
    auto decoded = wire::DecodeClaimRecord(record.bytes_);
    event.records_.push_back(
      { record.offset_, record.appendedAt_, decoded ? *std::move(decoded) : model::ClaimRecord{} });
  }
  return event;
}

} // namespace

struct ClaimService::Shard
{
  decisions::ClaimResolver resolver_;
  Waiters claims_;
  Waiters releases_;
  std::uint64_t generation_ = 0;
};

std::vector<model::DaemonId> ChooseResolvers(std::size_t aShard,
                                             const std::vector<model::DaemonId>& aLive)
{
  constexpr std::size_t kCandidates = 3;
  return decisions::ChooseByRendezvous(StreamOf(aShard), aLive, kCandidates);
}

ClaimService::ClaimService(LogTicket aFirstTicket, Submit aSubmit)
  : firstTicket_(aFirstTicket)
  , submit_(std::move(aSubmit))
{
}

ClaimService::~ClaimService() = default;

void ClaimService::AssignShards(const model::DaemonId& aSelf,
                                const std::vector<model::DaemonId>& aLive)
{
  for (std::size_t shard = 0; shard < kClaimShards; ++shard) {
    const auto chosen = ChooseResolvers(shard, aLive);
    const auto found = shards_.find(shard);
    if (!chosen.empty() && chosen.front() == aSelf) {
      (void)Open(shard);
    } else if (found != shards_.end() && found->second->claims_.empty() &&
               found->second->releases_.empty()) {
      // The result of an operation in flight is dropped by its generation.
      shards_.erase(found);
    }
  }
}

ClaimService::Shard& ClaimService::Open(std::size_t aShard)
{
  auto& shard = shards_[aShard];
  if (!shard) {
    shard = std::make_unique<Shard>();
    shard->generation_ = generation_++;
    Feed(aShard, decisions::ResolverTick{});
  }
  return *shard;
}

std::optional<std::string> ClaimService::HandleCall(const std::string& aBody)
{
  const auto call = wire::DecodeClaimCall(aBody);
  if (!call || call->shards_ != kClaimShards) {
    return std::nullopt;
  }
  const std::size_t index = model::ShardOf(call->entry_.key_, kClaimShards);
  Shard& shard = Open(index);
  const auto deadline = std::chrono::steady_clock::now() + call->wait_;
  ReplyPromise promise;
  auto future = promise.get_future();
  if (call->action_ == wire::ClaimAction::Claim) {
    shard.claims_.emplace(call->entry_.attempt_, &promise);
    Feed(index, decisions::ClaimRequested{ call->entry_, deadline });
  } else {
    shard.releases_.emplace(call->entry_.attempt_, &promise);
    Feed(index, decisions::ReleaseRequested{ call->entry_, deadline });
  }
  StartTicker();
  return wire::EncodeClaimReply(future.get());
}

void ClaimService::StartTicker()
{
  if (ticking_) {
    return;
  }
  ticking_ = true;
  runtime::SpawnFiber([this] {
    while (Waiting()) {
      boost::this_fiber::sleep_for(kWaitingTick);
      Tick(std::chrono::steady_clock::now());
    }
    ticking_ = false;
  });
}

bool ClaimService::Waiting() const noexcept
{
  return std::any_of(shards_.begin(), shards_.end(), [](const auto& aShard) {
    return !aShard.second->claims_.empty() || !aShard.second->releases_.empty();
  });
}

void ClaimService::Feed(std::size_t aShard, const decisions::ResolverEvent& aEvent)
{
  const auto found = shards_.find(aShard);
  if (found == shards_.end()) {
    return;
  }
  for (const auto& action :
       found->second->resolver_.Handle(aEvent, std::chrono::steady_clock::now())) {
    Execute(aShard, action);
  }
}

void ClaimService::Execute(std::size_t aShard, const decisions::ResolverAction& aAction)
{
  Shard& shard = *shards_.at(aShard);
  if (const auto* append = std::get_if<decisions::AppendBatch>(&aAction)) {
    const LogTicket ticket = TicketOf(aShard, kAppendBank);
    if (!submit_(
          LogAppendCommand{ ticket, StreamOf(aShard), wire::EncodeClaimRecord(append->record_) })) {
      Feed(aShard, decisions::AppendFailed{});
    }
  } else if (const auto* read = std::get_if<decisions::ReadRecords>(&aAction)) {
    const LogTicket ticket = TicketOf(aShard, kReadBank);
    if (!submit_(
          LogReadCommand{ ticket, StreamOf(aShard), read->offset_, read->wait_, kReadRecords })) {
      Feed(aShard, decisions::ReadFailed{});
    }
  } else if (const auto* answer = std::get_if<decisions::AnswerClaim>(&aAction)) {
    Answer(shard.claims_, answer->entry_.attempt_, { StatusOf(answer->answer_), answer->grant_ });
  } else if (const auto* released = std::get_if<decisions::AnswerRelease>(&aAction)) {
    const auto status =
      released->recorded_ ? wire::ClaimStatus::Released : wire::ClaimStatus::Unavailable;
    Answer(shard.releases_, released->entry_.attempt_, { status, std::nullopt });
  }
}

std::optional<std::size_t> ClaimService::ShardOfTicket(LogTicket aTicket,
                                                       std::size_t aBank) const noexcept
{
  if (aTicket < firstTicket_) {
    return std::nullopt;
  }
  const std::size_t place = (aTicket - firstTicket_) % kTickets;
  if (place / kClaimShards != aBank) {
    return std::nullopt;
  }
  return place % kClaimShards;
}

LogTicket ClaimService::TicketOf(std::size_t aShard, std::size_t aBank) const noexcept
{
  return firstTicket_ + shards_.at(aShard)->generation_ * kTickets + aBank * kClaimShards + aShard;
}

bool ClaimService::IsCurrent(LogTicket aTicket, std::size_t aShard) const noexcept
{
  const auto found = shards_.find(aShard);
  return found != shards_.end() &&
         (aTicket - firstTicket_) / kTickets == found->second->generation_;
}

bool ClaimService::Finish(const LogReadResult& aResult)
{
  const auto shard = ShardOfTicket(aResult.ticket_, kReadBank);
  if (!shard) {
    return false;
  }
  if (!IsCurrent(aResult.ticket_, *shard)) {
    return true;
  }
  if (aResult.result_) {
    Feed(*shard, ToEvent(*aResult.result_));
  } else if (aResult.result_.Error().kind_ == runtime::LogErrorKind::Trimmed) {
    Feed(*shard,
         decisions::ReadTrimmed{ aResult.result_.Error().first_, aResult.result_.Error().next_ });
  } else {
    Feed(*shard, decisions::ReadFailed{});
  }
  return true;
}

bool ClaimService::Finish(const LogAppendResult& aResult)
{
  const auto shard = ShardOfTicket(aResult.ticket_, kAppendBank);
  if (!shard) {
    return false;
  }
  if (!IsCurrent(aResult.ticket_, *shard)) {
    return true;
  }
  if (aResult.result_) {
    Feed(*shard, decisions::AppendSucceeded{ aResult.result_->offset_ });
    return true;
  }
  const auto kind = aResult.result_.Error().kind_;
  if (kind == runtime::LogErrorKind::OutcomeUnknown || kind == runtime::LogErrorKind::Malformed) {
    Feed(*shard, decisions::AppendUnknown{});
  } else {
    Feed(*shard, decisions::AppendFailed{});
  }
  return true;
}

void ClaimService::Tick(model::TimePoint aNow)
{
  std::vector<std::size_t> due;
  for (const auto& [index, shard] : shards_) {
    if (shard->resolver_.NextTick(aNow) <= aNow) {
      due.push_back(index);
    }
  }
  for (const std::size_t index : due) {
    Feed(index, decisions::ResolverTick{});
  }
}

} // namespace hemlockproxy::daemon
