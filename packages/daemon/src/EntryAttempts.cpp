#include "hemlockproxy/daemon/EntryService.h"

#include "impl/AttemptTimer.h"
#include "impl/EntryCall.h"
#include "impl/HeldBody.h"
#include "impl/PeerProber.h"

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace hemlockproxy::daemon {

using decisions::AttemptResult;
using model::RefusalReason;
using model::RequestOutcome;
namespace http = runtime::http;
using impl::ObservedBody;

namespace {

/// Many round trips between failure domains. The system repeats a lost SYN after 1 s only; another
/// endpoint has taken the request by then.
constexpr std::chrono::milliseconds kForwardConnectTimeout{ 250 };
/// A response that can be resumed elsewhere is given up sooner than the stall timeout, since the
/// caller waits.
constexpr std::chrono::milliseconds kResumeStall{ 2000 };
constexpr std::chrono::milliseconds kResumeDeadline{ 5000 };
constexpr std::uint32_t kMostResumes = 8;

decisions::ResponseKind KindOf(const UpstreamReply& aReply)
{
  const bool serverError =
    aReply.outcome_ == RequestOutcome::Answered && aReply.header_.result_int() >= 500;
  return serverError ? decisions::ResponseKind::ServerError : decisions::ResponseKind::Normal;
}

/// Returns what the end of an exchange with another daemon says about the path to it.
decisions::PeerSign SignOf(const UpstreamReply& aReply) noexcept
{
  using decisions::PeerSign;
  if (aReply.outcome_ == RequestOutcome::Answered) {
    return PeerSign::Heard;
  }
  switch (aReply.reason_) {
    case RefusalReason::ConnectFailed:
      return PeerSign::ConnectFailed;
    case RefusalReason::UpstreamFailed:
    case RefusalReason::UpstreamTimeout:
      return PeerSign::NotHeard;
    default:
      return PeerSign::Nothing;
  }
}

/// Returns the number at the start of a field that another daemon wrote.
std::optional<std::uint32_t> CountIn(const runtime::ResponseHeader& aHeader, const char* aField)
{
  const auto text = aHeader[aField];
  std::uint32_t count = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
  return error == std::errc() ? std::optional(count) : std::nullopt;
}

} // namespace

UpstreamReply EntryService::RunAttempts(Call& aCall)
{
  while (true) {
    ForwardResult result = TryOnce(aCall);
    if (!result.canTryElsewhere_) {
      if (aCall.interrupted_ && result.reply_.outcome_ != RequestOutcome::Answered &&
          !aCall.cancel_.Cancelled()) {
        aCall.timeout_->ObserveLoss();
      }
      result.reply_.outcome_ = decisions::OutcomeOfAll(aCall.state_, result.reply_.outcome_);
      return std::move(result.reply_);
    }
  }
}

UpstreamReply EntryService::RunKeyed(runtime::HttpExchange& aExchange, Call& aCall)
{
  const runtime::RequestHeader& received = aExchange.Request();
  const auto method = received.method_string();
  const auto path = received.target();
  KeyedCall keyed;
  keyed.key_ = model::MakeRequestKey(aCall.request_.service_,
                                     model::IdempotencyKey(std::string(received[kKeyField])));
  keyed.fingerprint_ = model::MakeFingerprint({ method.data(), method.size() },
                                              { path.data(), path.size() },
                                              model::HashBytes(aCall.prefix_));
  keyed.deadline_ = aCall.request_.deadline_;
  keyed.cancel_ = &aCall.cancel_;
  keyed.forward_ = [this, &aCall](model::TimePoint aStartBefore) {
    aCall.request_.deadline_ = std::min(aCall.request_.deadline_, aStartBefore);
    return TryOnce(aCall);
  };
  return keyed_.Run(std::move(keyed));
}

ForwardResult EntryService::TryOnce(Call& aCall)
{
  Target& target = *aCall.target_;
  const auto started = std::chrono::steady_clock::now();
  if (aCall.cancel_.Cancelled()) {
    return { Refused(RequestOutcome::NotRun, RefusalReason::CallerLeft), false };
  }
  if (started >= aCall.request_.deadline_) {
    return { Refused(RequestOutcome::NotRun, RefusalReason::DeadlineTooShort), false };
  }
  auto choice = target.chooser_->Choose(started, random_, aCall.tried_);
  if (!choice) {
    return { Refused(RequestOutcome::NotRun, choice.Error()), false };
  }
  aCall.endpoint_ = choice->endpoint_;
  UpstreamReply reply = RunTimedAttempt(aCall, choice->endpoint_);
  const auto ended = std::chrono::steady_clock::now();
  metrics_.Add(
    runtime::Family::EntryAttempts,
    { aCall.request_.service_.Value(), ToString(reply.outcome_), ToString(reply.reason_) });
  AttemptResult result{ choice->endpoint_,
                        decisions::JudgeAttempt(reply.outcome_, reply.reason_, KindOf(reply)),
                        ended - started,
                        std::nullopt };
  if (aCall.cancel_.Cancelled()) {
    result.verdict_ = decisions::AttemptVerdict::Cancelled;
  }
  if (reply.load_) {
    result.load_ = decisions::LoadReport{ *reply.load_ };
  }
  ReportEnd(aCall, result, reply);
  if (reply.outcome_ == RequestOutcome::Answered) {
    // Fills the budget of retries.
    (void)target.retries_->Decide(ended, decisions::AttemptState{}, random_);
    // A server that fails at once says nothing of how long a response takes.
    if (KindOf(reply) == decisions::ResponseKind::Normal) {
      aCall.timeout_->Observe(ended - started);
    }
    return { std::move(reply), false };
  }
  aCall.tried_.push_back(choice->endpoint_);
  const bool mayHaveRun = reply.outcome_ == RequestOutcome::Unknown;
  if (reply.expectedWait_) {
    aCall.expectedWait_ =
      std::min(aCall.expectedWait_.value_or(*reply.expectedWait_), *reply.expectedWait_);
  }
  if (!reply.evidence_.empty()) {
    aCall.request_.evidence_ = reply.evidence_;
  }
  const auto retry = DecideRetry(aCall, reply);
  const char* next = !retry ? "none" : retry->redirect_ ? "redirect" : "retry";
  impl::LogAttemptFailed(
    options_.lines_, aCall.Facts(ended), reply, aCall.request_.deadline_ - ended, next);
  aCall.state_.mayHaveRun_ = aCall.state_.mayHaveRun_ || mayHaveRun;
  if (!retry) {
    return { std::move(reply), false };
  }
  aCall.state_.redirects_ += retry->redirect_ ? 1 : 0;
  metrics_.Add(runtime::Counter::Retries);
  boost::this_fiber::sleep_for(retry->wait_);
  return { std::move(reply), true };
}

std::optional<decisions::RetryElsewhere> EntryService::DecideRetry(Call& aCall,
                                                                   const UpstreamReply& aReply)
{
  const auto granted = std::exchange(aCall.granted_, std::nullopt);
  if (aCall.cancel_.Cancelled() || aCall.BodyUsed()) {
    return std::nullopt;
  }
  decisions::AttemptState& state = aCall.state_;
  state.outcome_ = aReply.outcome_;
  state.reason_ = aReply.reason_;
  state.expectedLatency_ = aCall.target_->chooser_->MeanLatency();
  state.attempts_ += decisions::RetryPolicy::IsRedirect(aReply.outcome_, aReply.reason_) ? 0 : 1;
  if (granted) {
    return granted;
  }
  const auto decision =
    aCall.target_->retries_->Decide(std::chrono::steady_clock::now(), state, random_);
  const auto* retry = std::get_if<decisions::RetryElsewhere>(&decision);
  return retry == nullptr ? std::nullopt : std::optional(*retry);
}

UpstreamReply EntryService::RunTimedAttempt(Call& aCall, const model::DaemonId& aEndpoint)
{
  aCall.cancel_.StartAttempt();
  aCall.granted_.reset();
  if (aCall.repeatable_ == decisions::Repeatable::No) {
    return RunAttempt(aCall, aEndpoint);
  }
  const auto left = aCall.request_.deadline_ - std::chrono::steady_clock::now();
  const impl::AttemptTimer timer(
    *io_, aCall.timeout_->AttemptTime(left), [this, &aCall] { return GiveUpAttempt(aCall); });
  const auto listed = repeatable_.emplace(aEndpoint, &aCall);
  UpstreamReply reply = RunAttempt(aCall, aEndpoint);
  repeatable_.erase(listed);
  if (aCall.granted_ && reply.outcome_ == RequestOutcome::Unknown) {
    reply.reason_ = RefusalReason::UpstreamTimeout;
  }
  return reply;
}

std::optional<model::Duration> EntryService::GiveUpAttempt(Call& aCall)
{
  if (stopping_) {
    // The daemon waits for what runs, and has little time left for another attempt.
    return std::nullopt;
  }
  const auto now = std::chrono::steady_clock::now();
  Target& target = *aCall.target_;
  auto tried = aCall.tried_;
  tried.push_back(*aCall.endpoint_);
  if (aCall.cancel_.HasAction() && !aCall.BodyUsed() && target.chooser_->CanChoose(now, tried)) {
    decisions::AttemptState state = aCall.state_;
    state.outcome_ = RequestOutcome::Unknown;
    state.reason_ = RefusalReason::UpstreamTimeout;
    state.expectedLatency_ = target.chooser_->MeanLatency();
    ++state.attempts_;
    const auto decision = target.retries_->Decide(now, state, random_);
    if (const auto* retry = std::get_if<decisions::RetryElsewhere>(&decision)) {
      metrics_.Add(runtime::Counter::AttemptsGivenUp);
      aCall.granted_ = *retry;
      aCall.interrupted_ = true;
      aCall.cancel_.Interrupt();
      return std::nullopt;
    }
  }
  const auto left = aCall.request_.deadline_ - now;
  const auto next = aCall.timeout_->AttemptTime(left);
  return next < left ? std::optional(next) : std::nullopt;
}

void EntryService::ReportEnd(Call& aCall, AttemptResult aResult, UpstreamReply& aReply)
{
  if (aReply.outcome_ != RequestOutcome::Answered) {
    aCall.target_->chooser_->Finish(std::chrono::steady_clock::now(), aResult);
    return;
  }
  // Targets are never removed, so that the pointer stays valid.
  Target* target = aCall.target_;
  const auto verdict = aResult.verdict_;
  aReply.body_ = std::make_unique<ObservedBody>(
    std::move(aReply.body_),
    verdict,
    [target, result = std::move(aResult)](decisions::AttemptVerdict aVerdict) mutable {
      result.verdict_ = aVerdict;
      target->chooser_->Finish(std::chrono::steady_clock::now(), result);
    });
}

UpstreamReply EntryService::RunAttempt(Call& aCall, const model::DaemonId& aEndpoint)
{
  aCall.request_.body_ = aCall.prefix_;
  aCall.request_.rest_ = aCall.rest_ ? &*aCall.rest_ : nullptr;
  if (aEndpoint == options_.self_) {
    return owner_.Execute(aCall.request_);
  }
  const auto found = aCall.target_->members_.find(aEndpoint);
  if (found == aCall.target_->members_.end()) {
    return Refused(RequestOutcome::NotRun, RefusalReason::NoEndpoint);
  }
  const std::shared_ptr<const model::MemberRecord> member = found->second;
  return Forward(aCall, *member);
}

void EntryService::PeerChanged(const decisions::PeerChange& aChange)
{
  if (options_.lines_ != nullptr) {
    const auto event =
      IsOpen(aChange.path_) ? runtime::LogEvent::PeerBack : runtime::LogEvent::PeerSilent;
    constexpr std::array<const char*, 3> kDetails = { "",
                                                      ", a connection failed",
                                                      ", probes lost" };
    options_.lines_->Write(options_.lines_->Line(event).Add(
      "detail", aChange.id_.Value() + kDetails[static_cast<std::size_t>(aChange.path_)]));
  }
  metrics_.Set(runtime::Gauge::PeersSilent, prober_->ClosedCount());
  for (auto& [service, target] : targets_) {
    if (target.chooser_) {
      target.chooser_->SetReachable(aChange.id_, IsOpen(aChange.path_));
    }
  }
  if (aChange.path_ != decisions::PeerPath::Silent) {
    return;
  }
  const auto [first, last] = repeatable_.equal_range(aChange.id_);
  std::vector<Call*> waiting;
  std::transform(
    first, last, std::back_inserter(waiting), [](const auto& aEntry) { return aEntry.second; });
  for (Call* call : waiting) {
    (void)GiveUpAttempt(*call);
  }
}

UpstreamReply EntryService::Forward(Call& aCall, const model::MemberRecord& aMember)
{
  metrics_.Add(runtime::Counter::RequestsForwarded);
  UpstreamRequest request = aCall.request_;
  request.header_.set(kServiceField, request.service_.Value());
  if (!request.callerService_.Empty()) {
    request.header_.set(kCallerField, request.callerService_.Value());
  }
  if (!request.evidence_.empty()) {
    request.header_.set(kQuarantineField, ToHex(request.evidence_));
  }
  request.header_.set(kDeadlineField, std::to_string(TimeLeft(request.deadline_).count()));
  request.header_.set(kClassField, ToField(request.work_, std::chrono::steady_clock::now()));
  ExchangeOptions options = options_.exchange_;
  options.offer_ = BodyOffer::AfterContinue;
  options.connectTimeout_ = kForwardConnectTimeout;
  prober_->Started(aMember.id_);
  UpstreamReply reply = RunExchange(pool_, aMember.forward_, request, options);
  prober_->Ended(aMember.id_,
                 aCall.cancel_.Stopped() ? decisions::PeerSign::Nothing : SignOf(reply));
  if (reply.outcome_ != RequestOutcome::Answered) {
    return reply;
  }
  const auto outcome = reply.header_[kOutcomeField];
  reply.load_ = CountIn(reply.header_, kLoadField);
  if (outcome != ToString(RequestOutcome::Answered)) {
    const auto reason = reply.header_[kReasonField];
    const bool notRun = outcome == ToString(RequestOutcome::NotRun);
    UpstreamReply refusal = Refused(notRun ? RequestOutcome::NotRun : RequestOutcome::Unknown,
                                    ParseReason({ reason.data(), reason.size() }));
    refusal.load_ = reply.load_;
    if (const auto wait = CountIn(reply.header_, kWaitField)) {
      refusal.expectedWait_ = std::chrono::milliseconds(*wait);
    }
    const auto evidence = reply.header_[kQuarantineField];
    refusal.evidence_ = FromHex({ evidence.data(), evidence.size() });
    impl::DropRest(*reply.body_);
    return refusal;
  }
  RemoveHemlockFields(reply.header_);
  return reply;
}

void EntryService::MakeResumable(Call& aCall, UpstreamReply& aReply)
{
  if (!options_.resumes_ || aCall.repeatable_ != decisions::Repeatable::Yes ||
      aCall.request_.header_.method() != http::verb::get) {
    return;
  }
  auto point = FindResumePoint(aReply.header_);
  if (!point) {
    return;
  }
  aReply.body_ = std::make_unique<ResumingBody>(
    std::move(aReply.body_), *std::move(point), [this, &aCall](const ResumeRequest& aRequest) {
      return ResumeElsewhere(aCall, aRequest);
    });
  aReply.body_->SetStallTimeout(std::min(kResumeStall, options_.exchange_.stallTimeout_));
}

UpstreamReply EntryService::ResumeElsewhere(Call& aCall, const ResumeRequest& aRequest)
{
  const UpstreamReply failed = Refused(RequestOutcome::Unknown, RefusalReason::UpstreamFailed);
  if (aCall.cancel_.Cancelled() || ++aCall.resumes_ > kMostResumes) {
    return Refused(failed.outcome_, failed.reason_);
  }
  const auto now = std::chrono::steady_clock::now();
  if (aCall.endpoint_) {
    aCall.tried_.push_back(*aCall.endpoint_);
  }
  aCall.request_.header_.set(http::field::range, aRequest.range_);
  aCall.request_.header_.set(http::field::if_range, aRequest.validator_);
  aCall.request_.deadline_ = now + kResumeDeadline;
  decisions::AttemptState& state = aCall.state_;
  state.outcome_ = failed.outcome_;
  state.reason_ = failed.reason_;
  state.deadline_ = aCall.request_.deadline_;
  // A resumed response repeats no work of the backend servers, so that only a try without progress
  // takes from the retry budget.
  if (!aRequest.progressed_) {
    ++state.attempts_;
    const auto decision = aCall.target_->retries_->Decide(now, state, random_);
    if (!std::holds_alternative<decisions::RetryElsewhere>(decision)) {
      return Refused(failed.outcome_, failed.reason_);
    }
    metrics_.Add(runtime::Counter::Retries);
  }
  UpstreamReply reply = RunAttempts(aCall);
  if (reply.outcome_ == RequestOutcome::Answered) {
    metrics_.Add(runtime::Counter::ResponsesResumed);
  }
  return reply;
}

} // namespace hemlockproxy::daemon
