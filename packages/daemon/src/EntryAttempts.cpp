#include "hemlockproxy/daemon/EntryService.h"

#include "impl/AttemptTimer.h"
#include "impl/EntryCall.h"
#include "impl/FirstPart.h"
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
/// The least time for a response to be resumed elsewhere, also just before the request's time-out;
/// a stalled response must have ended half a second after it.
constexpr std::chrono::milliseconds kShortestResume{ 400 };
constexpr std::uint32_t kMostResumes = 8;

decisions::ResponseKind KindOf(const UpstreamReply& aReply)
{
  const bool serverError =
    aReply.outcome_ == RequestOutcome::Answered && aReply.header_.result_int() >= 500;
  return serverError ? decisions::ResponseKind::ServerError : decisions::ResponseKind::Normal;
}

/// Returns whether a reply is worth ending another attempt for.
bool IsService(const UpstreamReply& aReply)
{
  return aReply.outcome_ == RequestOutcome::Answered &&
         KindOf(aReply) == decisions::ResponseKind::Normal;
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
      if (aCall.hadSecond_ && result.reply_.outcome_ != RequestOutcome::Answered &&
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
  if (KeyWithdrawn(aCall)) {
    return { Refused(RequestOutcome::NotRun, RefusalReason::UnknownKey), false };
  }
  auto choice = target.chooser_->Choose(started, random_, aCall.tried_);
  if (!choice) {
    return { Refused(RequestOutcome::NotRun, choice.Error()), false };
  }
  aCall.endpoint_ = choice->endpoint_;
  Attempt attempt = RunTimedAttempt(aCall, { choice->endpoint_, started, {} });
  aCall.endpoint_ = attempt.endpoint_;
  ReportEnd(aCall.request_.service_, attempt, aCall.cancel_.Cancelled());
  UpstreamReply reply = std::move(attempt.reply_);
  const auto ended = std::chrono::steady_clock::now();
  if (reply.outcome_ == RequestOutcome::Answered) {
    // Fills the budget of retries.
    (void)target.retries_->Decide(ended, decisions::AttemptState{}, random_);
    // A server that fails at once says nothing of how long a response takes.
    if (KindOf(reply) == decisions::ResponseKind::Normal) {
      aCall.timeout_->Observe(ended - attempt.started_);
    }
    return { std::move(reply), false };
  }
  NoteFailure(aCall, attempt.endpoint_, reply);
  const auto retry = DecideRetry(aCall, reply);
  const char* next = !retry ? "none" : retry->redirect_ ? "redirect" : "retry";
  impl::LogAttemptFailed(
    options_.lines_, aCall.Facts(ended), reply, aCall.request_.deadline_ - ended, next);
  if (!retry) {
    return { std::move(reply), false };
  }
  aCall.state_.redirects_ += retry->redirect_ ? 1 : 0;
  metrics_.Add(runtime::Counter::Retries);
  boost::this_fiber::sleep_for(retry->wait_);
  return { std::move(reply), true };
}

bool EntryService::KeyWithdrawn(const Call& aCall) const
{
  if (!aCall.neededKey_) {
    return false;
  }
  const auto routes = views_.Load()->routes_;
  return routes && routes->Customers().NeedsKeys() &&
         routes->Customers().Find(*aCall.neededKey_) == nullptr;
}

void EntryService::NoteFailure(Call& aCall,
                               const model::DaemonId& aEndpoint,
                               const UpstreamReply& aReply)
{
  aCall.tried_.push_back(aEndpoint);
  aCall.state_.mayHaveRun_ = aCall.state_.mayHaveRun_ || aReply.outcome_ == RequestOutcome::Unknown;
  if (aReply.expectedWait_) {
    aCall.expectedWait_ =
      std::min(aCall.expectedWait_.value_or(*aReply.expectedWait_), *aReply.expectedWait_);
  }
  if (!aReply.evidence_.empty()) {
    aCall.request_.evidence_ = aReply.evidence_;
  }
}

std::optional<decisions::RetryElsewhere> EntryService::DecideRetry(Call& aCall,
                                                                   const UpstreamReply& aReply)
{
  if (aCall.cancel_.Cancelled() || aCall.BodyUsed()) {
    return std::nullopt;
  }
  decisions::AttemptState& state = aCall.state_;
  state.outcome_ = aReply.outcome_;
  state.reason_ = aReply.reason_;
  state.expectedLatency_ = aCall.target_->chooser_->MeanLatency();
  state.attempts_ += decisions::RetryPolicy::IsRedirect(aReply.outcome_, aReply.reason_) ? 0 : 1;
  const auto decision =
    aCall.target_->retries_->Decide(std::chrono::steady_clock::now(), state, random_);
  const auto* retry = std::get_if<decisions::RetryElsewhere>(&decision);
  return retry == nullptr ? std::nullopt : std::optional(*retry);
}

EntryService::Attempt EntryService::RunTimedAttempt(Call& aCall, Attempt aAttempt)
{
  aCall.cancel_.StartAttempt();
  aCall.second_.reset();
  aCall.request_.body_ = aCall.prefix_;
  aCall.request_.rest_ = aCall.rest_ ? &*aCall.rest_ : nullptr;
  if (aCall.repeatable_ == decisions::Repeatable::No) {
    aAttempt.reply_ = RunAttempt(aCall.request_, aAttempt.endpoint_);
    return aAttempt;
  }
  {
    const auto left = aCall.request_.deadline_ - std::chrono::steady_clock::now();
    const impl::AttemptTimer timer(
      *io_, aCall.timeout_->AttemptTime(left), [this, &aCall] { return AddAttempt(aCall); });
    const auto listed = repeatable_.emplace(aAttempt.endpoint_, &aCall);
    aAttempt.reply_ = RunAttempt(aCall.request_, aAttempt.endpoint_);
    repeatable_.erase(listed);
  }
  return aCall.second_ ? SettleBoth(aCall, std::move(aAttempt)) : std::move(aAttempt);
}

std::optional<model::Duration> EntryService::AddAttempt(Call& aCall)
{
  if (stopping_ || aCall.second_) {
    // A daemon that stops waits for what runs, and has little time left for another attempt.
    return std::nullopt;
  }
  const auto now = std::chrono::steady_clock::now();
  Target& target = *aCall.target_;
  auto tried = aCall.tried_;
  tried.push_back(*aCall.endpoint_);
  // A body that is not held whole can be sent once only.
  if (aCall.cancel_.HasAction() && !aCall.rest_ && target.chooser_->CanChoose(now, tried)) {
    decisions::AttemptState state = aCall.state_;
    state.outcome_ = RequestOutcome::Unknown;
    state.reason_ = RefusalReason::UpstreamTimeout;
    state.expectedLatency_ = target.chooser_->MeanLatency();
    ++state.attempts_;
    const auto decision = target.retries_->Decide(now, state, random_);
    if (const auto* retry = std::get_if<decisions::RetryElsewhere>(&decision)) {
      if (const auto choice = target.chooser_->Choose(now, random_, tried)) {
        ++aCall.state_.attempts_;
        StartSecond(aCall, choice->endpoint_, retry->wait_);
        return std::nullopt;
      }
    }
  }
  const auto left = aCall.request_.deadline_ - now;
  const auto next = aCall.timeout_->AttemptTime(left);
  return next < left ? std::optional(next) : std::nullopt;
}

void EntryService::StartSecond(Call& aCall, const model::DaemonId& aEndpoint, model::Duration aWait)
{
  metrics_.Add(runtime::Counter::SecondAttempts);
  aCall.hadSecond_ = true;
  aCall.second_ = std::make_shared<SecondAttempt>();
  aCall.seconds_.push_back(aCall.second_);
  SecondAttempt& second = *aCall.second_;
  second.attempt_.endpoint_ = aEndpoint;
  second.body_ = aCall.prefix_;
  second.request_ = aCall.request_;
  second.request_.body_ = second.body_;
  second.request_.cancel_ = &second.cancel_;
  second.cancel_.Join(aCall.cancel_);
  // The call waits for the fiber in SettleBoth, or abandons it.
  runtime::SpawnFiber([this, &aCall, held = aCall.second_, aWait] {
    boost::this_fiber::sleep_for(aWait);
    Attempt& attempt = held->attempt_;
    attempt.started_ = std::chrono::steady_clock::now();
    attempt.reply_ = held->cancel_.Cancelled()
                       ? Refused(RequestOutcome::NotRun, RefusalReason::CallerLeft)
                       : RunAttempt(held->request_, attempt.endpoint_);
    if (held->abandoned_) {
      attempt.reply_ = Refused(RequestOutcome::Unknown, RefusalReason::UpstreamFailed);
      ReportEnd(held->request_.service_, attempt, true);
      return;
    }
    held->hasEnded_ = true;
    if (IsService(attempt.reply_)) {
      aCall.cancel_.Interrupt();
    }
    held->ended_.set_value();
  });
}

EntryService::Attempt EntryService::SettleBoth(Call& aCall, Attempt aFirst)
{
  SecondAttempt& second = *aCall.second_;
  const model::ServiceName& service = aCall.request_.service_;
  const bool answered = aFirst.reply_.outcome_ == RequestOutcome::Answered;
  auto ended = second.ended_.get_future();
  if (answered && !second.hasEnded_) {
    second.abandoned_ = true;
    second.cancel_.Cancel();
    return aFirst;
  }
  ended.wait();
  const bool cancelled = aCall.cancel_.Cancelled();
  Attempt& other = second.attempt_;
  if (answered && !IsService(other.reply_)) {
    ReportEnd(service, other, cancelled);
    return aFirst;
  }
  if (IsService(other.reply_)) {
    // The first attempt was ended for this answer, after a time in which it should have answered.
    aFirst.reply_ = Refused(RequestOutcome::Unknown, RefusalReason::UpstreamTimeout);
  }
  ReportEnd(service, aFirst, cancelled);
  NoteFailure(aCall, aFirst.endpoint_, aFirst.reply_);
  const auto now = std::chrono::steady_clock::now();
  impl::LogAttemptFailed(
    options_.lines_, aCall.Facts(now), aFirst.reply_, aCall.request_.deadline_ - now, "second");
  return std::move(other);
}

void EntryService::ReportEnd(const model::ServiceName& aService, Attempt& aAttempt, bool aCancelled)
{
  UpstreamReply& reply = aAttempt.reply_;
  metrics_.Add(runtime::Family::EntryAttempts,
               { aService.Value(), ToString(reply.outcome_), ToString(reply.reason_) });
  const auto now = std::chrono::steady_clock::now();
  AttemptResult result{ aAttempt.endpoint_,
                        aCancelled
                          ? decisions::AttemptVerdict::Cancelled
                          : decisions::JudgeAttempt(reply.outcome_, reply.reason_, KindOf(reply)),
                        now - aAttempt.started_,
                        std::nullopt };
  // Targets are never removed, so that the pointer stays valid.
  Target* target = &targets_[aService];
  if (reply.load_) {
    result.load_ = decisions::LoadReport{ *reply.load_ };
  }
  if (reply.outcome_ != RequestOutcome::Answered) {
    target->chooser_->Finish(now, result);
    return;
  }
  const auto verdict = result.verdict_;
  reply.body_ = std::make_unique<ObservedBody>(
    std::move(reply.body_),
    verdict,
    [target, result = std::move(result)](decisions::AttemptVerdict aVerdict) mutable {
      result.verdict_ = aVerdict;
      target->chooser_->Finish(std::chrono::steady_clock::now(), result);
    });
}

UpstreamReply EntryService::RunAttempt(UpstreamRequest& aRequest, const model::DaemonId& aEndpoint)
{
  if (aEndpoint == options_.self_) {
    return impl::WithFirstPart(owner_.Execute(aRequest));
  }
  const auto& members = targets_[aRequest.service_].members_;
  const auto found = members.find(aEndpoint);
  if (found == members.end()) {
    return Refused(RequestOutcome::NotRun, RefusalReason::NoEndpoint);
  }
  const std::shared_ptr<const model::MemberRecord> member = found->second;
  return impl::WithFirstPart(Forward(aRequest, *member));
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
    (void)AddAttempt(*call);
  }
}

UpstreamReply EntryService::Forward(const UpstreamRequest& aRequest,
                                    const model::MemberRecord& aMember)
{
  metrics_.Add(runtime::Counter::RequestsForwarded);
  UpstreamRequest request = aRequest;
  request.header_.set(kServiceField, request.service_.Value());
  if (!request.callerService_.Empty()) {
    request.header_.set(kCallerField, request.callerService_.Value());
  }
  if (!request.customer_.Empty()) {
    request.header_.set(kCustomerField, request.customer_.Value());
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
                 request.cancel_->Stopped() ? decisions::PeerSign::Nothing : SignOf(reply));
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
    reply.body_->SetStallTimeout(impl::kRejectionTextTime);
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
  const auto timeout = aCall.firstDeadline_.value_or(aCall.request_.deadline_);
  aCall.firstDeadline_ = timeout;
  if (aRequest.stalled_ && now >= timeout && now <= timeout + kShortestResume) {
    // It was silent at the time-out already. One that made progress after it may go on.
    return Refused(failed.outcome_, RefusalReason::UpstreamTimeout);
  }
  if (aCall.endpoint_) {
    aCall.tried_.push_back(*aCall.endpoint_);
  }
  aCall.request_.header_.set(http::field::range, aRequest.range_);
  aCall.request_.header_.set(http::field::if_range, aRequest.validator_);
  aCall.request_.deadline_ = now + kResumeDeadline;
  if (now < timeout) {
    aCall.request_.deadline_ =
      std::min(aCall.request_.deadline_, std::max(timeout, now + kShortestResume));
  }
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
