#include "load/LoadGenerator.h"

#include "hemlockproxy/testing/Content.h"

#include <algorithm>

namespace hemlockproxy::testing {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::steady_clock;

namespace {

/// Calls that wait for a connection; more are dropped, which bounds the memory of an overload run.
constexpr std::size_t kMostWaiting = 100'000;
/// Keeps repeats during an outage from being a busy loop.
constexpr std::chrono::milliseconds kRepeatPause{ 20 };
constexpr unsigned kHttpVersion = 11;

std::string HeaderOf(const LoadConnection::Response& aResponse, const char* aName)
{
  return std::string(aResponse[aName]);
}

} // namespace

LoadResult JudgeResponse(const LoadConnection::Response& aResponse,
                         const std::string& aTag,
                         bool aHasBody)
{
  LoadResult result;
  result.reason_ = HeaderOf(aResponse, "Hemlock-Reason");
  const std::string outcome = HeaderOf(aResponse, "Hemlock-Outcome");
  if (outcome == ToString(model::RequestOutcome::NotRun)) {
    result.outcome_ = model::RequestOutcome::NotRun;
    return result;
  }
  if (outcome == ToString(model::RequestOutcome::Unknown)) {
    return result;
  }
  result.outcome_ = model::RequestOutcome::Answered;
  const std::string hash = HeaderOf(aResponse, kBodyHashHeader);
  const bool success = http::to_status_class(aResponse.result()) == http::status_class::successful;
  const bool wrongBody = hash.empty() ? success : aHasBody && hash != ContentHash(aResponse.body());
  result.corrupted_ = wrongBody || HeaderOf(aResponse, kTagHeader) != aTag;
  return result;
}

LoadGenerator::LoadGenerator(asio::io_context& aContext, LoadSettings aSettings)
  : context_(aContext)
  , settings_(std::move(aSettings))
  , timer_(aContext)
  , idle_(settings_.targets_.size())
{
  const double seconds = std::chrono::duration<double>(settings_.duration_).count();
  total_ = static_cast<std::uint64_t>(seconds * settings_.requestsPerSecond_);
}

LoadReport LoadGenerator::Run()
{
  start_ = steady_clock::now();
  Schedule();
  context_.run();
  return report_;
}

void LoadGenerator::Schedule()
{
  if (next_ >= total_) {
    return;
  }
  timer_.expires_at(start_ + duration_cast<steady_clock::duration>(std::chrono::duration<double>(
                               static_cast<double>(next_) / settings_.requestsPerSecond_)));
  timer_.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      SendDue();
      Schedule();
    }
  });
}

void LoadGenerator::SendDue()
{
  const TimePoint now = steady_clock::now();
  while (next_ < total_) {
    const TimePoint intended =
      start_ + duration_cast<steady_clock::duration>(std::chrono::duration<double>(
                 static_cast<double>(next_) / settings_.requestsPerSecond_));
    if (intended > now) {
      break;
    }
    if (waiting_.size() < kMostWaiting) {
      waiting_.push_back(Call{ next_, intended });
    } else {
      report_.CountDropped();
    }
    ++next_;
  }
  SendWaiting();
}

void LoadGenerator::SendWaiting()
{
  while (!waiting_.empty()) {
    const Call call = waiting_.front();
    if (steady_clock::now() >= call.intended_ + settings_.timeout_) {
      waiting_.pop_front();
      report_.CountResult({ model::RequestOutcome::NotRun, false, "no-connection" },
                          duration_cast<microseconds>(steady_clock::now() - call.intended_));
      continue;
    }
    const ConnectionPointer connection = Acquire(TargetOf(call));
    if (!connection) {
      return;
    }
    waiting_.pop_front();
    Send(call, connection);
  }
}

void LoadGenerator::Send(const Call& aCall, const ConnectionPointer& aConnection)
{
  if (aCall.attempts_ == 0) {
    report_.CountSent();
  }
  aConnection->Exchange(
    settings_.targets_[aConnection->Target()],
    MakeRequest(aCall),
    aCall.intended_ + settings_.timeout_,
    [this, aCall, aConnection](ExchangeEnd aEnd, const LoadConnection::Response& aResponse) {
      Ended(aCall, aConnection, aEnd, aResponse);
    });
}

void LoadGenerator::Ended(const Call& aCall,
                          const ConnectionPointer& aConnection,
                          ExchangeEnd aEnd,
                          const LoadConnection::Response& aResponse)
{
  if (aConnection->Reusable()) {
    idle_[aConnection->Target()].push_back(aConnection);
  } else {
    aConnection->Close();
    --open_;
  }
  const auto latency = duration_cast<microseconds>(steady_clock::now() - aCall.intended_);
  LoadResult result;
  if (aEnd == ExchangeEnd::Complete) {
    result = JudgeResponse(aResponse, TagOf(aCall), settings_.method_ != "HEAD");
  } else if (aEnd == ExchangeEnd::NotSent) {
    result = LoadResult{ model::RequestOutcome::NotRun, false, "connect-failed" };
  } else {
    result.reason_ = latency >= settings_.timeout_ ? "timeout" : "connection-lost";
  }
  if (result.outcome_ != model::RequestOutcome::Answered && aCall.attempts_ < settings_.repeats_ &&
      latency + kRepeatPause < settings_.timeout_) {
    Repeat(aCall);
  } else {
    report_.CountResult(result, latency);
  }
  SendWaiting();
}

void LoadGenerator::Repeat(const Call& aCall)
{
  report_.CountRepeat();
  const auto timer = std::make_shared<asio::steady_timer>(context_, kRepeatPause);
  Call call = aCall;
  ++call.attempts_;
  timer->async_wait([this, timer, call](boost::system::error_code /*aError*/) {
    waiting_.push_front(call);
    SendWaiting();
  });
}

LoadConnection::Request LoadGenerator::MakeRequest(const Call& aCall) const
{
  constexpr std::string_view kPlaceholder = "{n}";
  std::string path = settings_.path_;
  if (const std::size_t at = path.find(kPlaceholder); at != std::string::npos) {
    path.replace(at, kPlaceholder.size(), std::to_string(aCall.number_));
  }
  LoadConnection::Request request;
  request.version(kHttpVersion);
  request.method_string(settings_.method_);
  request.target(path);
  request.set(http::field::host, "127.0.0.1");
  request.set(kTagHeader, TagOf(aCall));
  if (settings_.deadline_.count() > 0) {
    request.set("Hemlock-Deadline-Ms", std::to_string(settings_.deadline_.count()));
  }
  if (settings_.keys_) {
    request.set("Idempotency-Key", settings_.prefix_ + "-key-" + std::to_string(aCall.number_));
  }
  for (const auto& [name, value] : settings_.headers_) {
    request.set(name, value);
  }
  request.body() = DeterministicBytes(settings_.bodyBytes_, aCall.number_);
  request.prepare_payload();
  return request;
}

std::string LoadGenerator::TagOf(const Call& aCall) const
{
  return settings_.prefix_ + "-" + std::to_string(aCall.number_);
}

std::size_t LoadGenerator::TargetOf(const Call& aCall) const
{
  return (aCall.number_ + aCall.attempts_) % settings_.targets_.size();
}

LoadGenerator::ConnectionPointer LoadGenerator::Acquire(std::size_t aTarget)
{
  std::vector<ConnectionPointer>& idle = idle_[aTarget];
  while (!idle.empty()) {
    ConnectionPointer connection = idle.back();
    idle.pop_back();
    if (connection->Reusable()) {
      return connection;
    }
    connection->Close();
    --open_;
  }
  if (open_ >= settings_.connections_ && !CloseIdle()) {
    return nullptr;
  }
  ++open_;
  return std::make_shared<LoadConnection>(context_, aTarget);
}

bool LoadGenerator::CloseIdle()
{
  const auto found =
    std::find_if(idle_.begin(), idle_.end(), [](const auto& aIdle) { return !aIdle.empty(); });
  if (found == idle_.end()) {
    return false;
  }
  found->back()->Close();
  found->pop_back();
  --open_;
  return true;
}

} // namespace hemlockproxy::testing
