#include "backend/BackendService.h"

#include "hemlockproxy/testing/Content.h"

#include <algorithm>
#include <cstdio>
#include <unistd.h>

namespace hemlockproxy::testing {

using std::chrono::milliseconds;

namespace {

constexpr int kCrashExitCode = 70;
constexpr std::size_t kChunkBytes = 1024;
constexpr std::uint64_t kMostBytes = 64ULL * 1024 * 1024;
constexpr std::uint64_t kMostChunks = 65'536;
constexpr std::uint64_t kMostWorkMs = 600'000;
/// How often a stalled request checks whether the fault was cleared.
constexpr milliseconds kStallCheckInterval{ 20 };

/// Returns the numbers of "/prefix/N/M"; nothing when the path has another form or another count.
std::optional<std::vector<std::uint64_t>> PathNumbers(std::string_view aPath,
                                                      std::string_view aPrefix,
                                                      std::size_t aCount)
{
  if (!aPath.starts_with(aPrefix)) {
    return std::nullopt;
  }
  std::vector<std::uint64_t> numbers;
  std::string_view rest = aPath.substr(aPrefix.size());
  while (!rest.empty() && rest.front() == '/') {
    const std::string_view part = rest.substr(1, rest.find('/', 1) - 1);
    std::uint64_t number = 0;
    if (!ParseFaultValue(part, number)) {
      return std::nullopt;
    }
    numbers.push_back(number);
    rest.remove_prefix(part.size() + 1);
  }
  return rest.empty() && numbers.size() == aCount ? std::optional(numbers) : std::nullopt;
}

std::string JsonText(std::string_view aText)
{
  std::string quoted = "\"";
  for (const char letter : aText) {
    if (letter == '"' || letter == '\\') {
      quoted += '\\';
    }
    quoted += letter;
  }
  return quoted + "\"";
}

/// A byte range of a body; the end is exclusive.
struct ByteRange
{
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
};

/// Parses "bytes=A-B", "bytes=A-" or "bytes=-N"; nothing when no byte of the body is in it.
std::optional<ByteRange> ParseRange(std::string_view aText, std::size_t aSize)
{
  constexpr std::string_view kUnit = "bytes=";
  const std::size_t dash = aText.find('-');
  if (!aText.starts_with(kUnit) || dash == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view first = aText.substr(kUnit.size(), dash - kUnit.size());
  const std::string_view last = aText.substr(dash + 1);
  std::size_t begin = 0;
  std::size_t end = aSize;
  if (first.empty()) {
    std::size_t count = 0;
    if (!ParseFaultValue(last, count)) {
      return std::nullopt;
    }
    begin = aSize - std::min(count, aSize);
  } else if (!ParseFaultValue(first, begin) || (!last.empty() && !ParseFaultValue(last, end))) {
    return std::nullopt;
  } else if (!last.empty()) {
    end = end < aSize ? end + 1 : aSize;
  }
  return begin < end ? std::optional(ByteRange{ begin, end }) : std::nullopt;
}

/// Holds a slot and leaves it at the latest at the end of the request.
class SlotHolder
{
public:
  explicit SlotHolder(WorkGate& aGate)
    : gate_(aGate)
  {
  }
  ~SlotHolder() { Release(); }
  SlotHolder(const SlotHolder&) = delete;
  SlotHolder& operator=(const SlotHolder&) = delete;

  /// Leaves the slot before the end of the response is sent, so that a caller that has received the
  /// complete response never finds its own request still in progress.
  void Release()
  {
    if (std::exchange(held_, false)) {
      gate_.Leave();
    }
  }

private:
  WorkGate& gate_;
  bool held_ = true;
};

} // namespace

/// One request with the faults that apply to it.
struct BackendService::Job
{
  const HttpRequest& request_;
  std::string path_;
  std::string tag_;
  SlotHolder& slot_;
  RequestFaults faults_;
  std::uint64_t run_ = 0;
};

BackendService::BackendService(BackendSettings aSettings, std::FILE* aRunsFile)
  : settings_(std::move(aSettings))
  , gate_(settings_.slots_, aRunsFile)
{
}

bool BackendService::Handle(const HttpRequest& aRequest, HttpConnection& aConnection)
{
  const Target target = ParseTarget(TargetText(aRequest));
  const std::string& path = target.path_;
  if (path == "/faults" || path == "/runs" || path == "/stats" || path == "/health") {
    return Control(aRequest, target, aConnection);
  }
  if (!gate_.Enter(aConnection)) {
    gate_.CountCancelled();
    return false;
  }
  SlotHolder slot(gate_);
  Job job{ aRequest, path, HeaderText(aRequest, kTagHeader), slot };
  job.faults_ = gate_.FaultsFor(path, job.tag_);
  job.run_ = gate_.CountRun(HeaderText(aRequest, "Idempotency-Key"), job.tag_);
  return Run(job, aConnection);
}

bool BackendService::Control(const HttpRequest& aRequest,
                             const Target& aTarget,
                             HttpConnection& aConnection)
{
  if (aTarget.path_ == "/faults" && aRequest.method() == http::verb::post) {
    return SetFaults(aTarget, aConnection);
  }
  if (aTarget.path_ == "/health") {
    const bool unhealthy = gate_.Faults().unhealthy_;
    HttpResponse response =
      aConnection.MakeResponse(unhealthy ? http::status::service_unavailable : http::status::ok,
                               unhealthy ? "no\n" : "ok\n");
    response.set("Hemlock-Load", gate_.LoadReport());
    return aConnection.Send(std::move(response));
  }
  std::string text;
  if (aTarget.path_ == "/faults") {
    text = RenderFaults(BackendFaultTable(), gate_.Faults());
  } else if (aTarget.path_ == "/runs") {
    const auto by = aTarget.parameters_.find("by");
    text = gate_.Runs(by != aTarget.parameters_.end() && by->second == "tag");
  } else {
    text = gate_.Stats();
  }
  return aConnection.Send(aConnection.MakeResponse(http::status::ok, std::move(text)));
}

bool BackendService::SetFaults(const Target& aTarget, HttpConnection& aConnection)
{
  const auto changed = ApplyFaults(BackendFaultTable(), gate_.Faults(), aTarget.parameters_);
  if (!changed) {
    return aConnection.Send(
      aConnection.MakeResponse(http::status::bad_request, changed.Error().message_ + "\n"));
  }
  gate_.SetFaults(*changed);
  return aConnection.Send(
    aConnection.MakeResponse(http::status::ok, RenderFaults(BackendFaultTable(), *changed)));
}

bool BackendService::Run(const Job& aJob, HttpConnection& aConnection)
{
  if (const BackendFaults faults = gate_.Faults();
      !faults.crashPath_.empty() && aJob.path_.find(faults.crashPath_) != std::string::npos) {
    (void)aConnection.WaitUnlessClosed(milliseconds(faults.crashAfterMs_));
    _exit(kCrashExitCode);
  }
  if (aJob.faults_.fail_) {
    HttpResponse response =
      aConnection.MakeResponse(http::status::internal_server_error, "failed by a fault\n");
    SetCommonHeaders(aJob, response);
    aJob.slot_.Release();
    return aConnection.Send(std::move(response));
  }
  if ((aJob.faults_.stall_ && !Stall(aConnection)) || !Work(aJob, aConnection)) {
    gate_.CountCancelled();
    return false;
  }
  if (aJob.faults_.reset_) {
    aConnection.Reset();
    return false;
  }
  struct Route
  {
    std::string_view prefix_;
    Handler handler_;
  };
  static constexpr Route kRoutes[] = {
    { "/bytes/", &BackendService::SendBytes }, { "/stream/", &BackendService::SendStream },
    { "/echo", &BackendService::SendEcho },    { "/endless", &BackendService::SendEndless },
    { "", &BackendService::SendSummary },
  };
  const Route& route =
    *std::find_if(std::begin(kRoutes), std::end(kRoutes), [&](const Route& aRoute) {
      return aJob.path_.starts_with(aRoute.prefix_);
    });
  return (this->*route.handler_)(aJob, aConnection);
}

bool BackendService::Work(const Job& aJob, HttpConnection& aConnection)
{
  milliseconds time = settings_.work_ + milliseconds(aJob.faults_.extraDelayMs_);
  if (const auto work = PathNumbers(aJob.path_, "/delay", 1)) {
    time += milliseconds(std::min(work->front(), kMostWorkMs));
  }
  std::uint64_t headerMs = 0;
  if (ParseFaultValue(HeaderText(aJob.request_, "X-Work-Ms"), headerMs)) {
    time += milliseconds(std::min(headerMs, kMostWorkMs));
  }
  if (std::chrono::steady_clock::now() - start_ < settings_.coldTime_) {
    time += settings_.coldExtra_;
  }
  return time.count() == 0 || aConnection.WaitUnlessClosed(time);
}

bool BackendService::Stall(HttpConnection& aConnection)
{
  while (gate_.Faults().stall_) {
    if (!aConnection.WaitUnlessClosed(kStallCheckInterval)) {
      return false;
    }
  }
  return true;
}

bool BackendService::SendBytes(const Job& aJob, HttpConnection& aConnection)
{
  const auto numbers = PathNumbers(aJob.path_, "/bytes", 1);
  if (!numbers || numbers->front() > kMostBytes) {
    return SendSummary(aJob, aConnection);
  }
  const std::string body = DeterministicBytes(numbers->front(), numbers->front());
  std::string tag = "\"" + std::to_string(body.size());
  tag.append("-").append(ContentHash(body)).append("\"");
  HttpResponse response = aConnection.MakeResponse(http::status::ok, body);
  response.set(http::field::etag, tag);
  response.set(http::field::accept_ranges, "bytes");
  const std::string known = HeaderText(aJob.request_, "If-None-Match");
  const std::string range = HeaderText(aJob.request_, "Range");
  const std::string ifRange = HeaderText(aJob.request_, "If-Range");
  if (!known.empty() && known == tag) {
    response.result(http::status::not_modified);
    response.body().clear();
  } else if (!range.empty() && (ifRange.empty() || ifRange == tag)) {
    if (const auto part = ParseRange(range, body.size())) {
      response.result(http::status::partial_content);
      response.body() = body.substr(part->begin_, part->end_ - part->begin_);
      response.set(http::field::content_range,
                   "bytes " + std::to_string(part->begin_) + "-" + std::to_string(part->end_ - 1) +
                     "/" + std::to_string(body.size()));
    } else {
      response.result(http::status::range_not_satisfiable);
      response.body().clear();
      response.set(http::field::content_range, "bytes */" + std::to_string(body.size()));
    }
  }
  return Finish(aJob, std::move(response), aConnection);
}

bool BackendService::SendStream(const Job& aJob, HttpConnection& aConnection)
{
  const auto numbers = PathNumbers(aJob.path_, "/stream", 2);
  if (!numbers || numbers->front() > kMostChunks) {
    return SendSummary(aJob, aConnection);
  }
  const std::uint64_t chunks = numbers->front();
  const milliseconds pause(std::min(numbers->back(), kMostWorkMs));
  const std::string body = DeterministicBytes(chunks * kChunkBytes, chunks);
  http::response<http::empty_body> response(http::status::ok, 11);
  response.chunked(true);
  response.keep_alive(aJob.request_.keep_alive());
  response.set(kBodyHashHeader, ContentHash(body));
  SetCommonHeaders(aJob, response);
  std::ostringstream head;
  head << response.base();
  if (!aConnection.SendRaw(head.str())) {
    return false;
  }
  const bool broken = aJob.faults_.cut_ || aJob.faults_.shortBody_;
  for (std::uint64_t i = 0; i < chunks; ++i) {
    if (i > 0 && !aConnection.WaitUnlessClosed(pause)) {
      gate_.CountCancelled();
      return false;
    }
    if (broken && i == chunks / 2) {
      break;
    }
    constexpr const char* kChunkHead = "400\r\n";
    if (!aConnection.SendRaw(kChunkHead + body.substr(i * kChunkBytes, kChunkBytes) + "\r\n")) {
      return false;
    }
  }
  if (aJob.faults_.cut_) {
    aConnection.Reset();
  }
  aJob.slot_.Release();
  return !broken && aConnection.SendRaw("0\r\n\r\n") && aJob.request_.keep_alive();
}

bool BackendService::SendEcho(const Job& aJob, HttpConnection& aConnection)
{
  HttpResponse response = aConnection.MakeResponse(http::status::ok, aJob.request_.body());
  response.set(http::field::content_type, "application/octet-stream");
  return Finish(aJob, std::move(response), aConnection);
}

bool BackendService::SendEndless(const Job& aJob, HttpConnection& aConnection)
{
  const Target target = ParseTarget(TargetText(aJob.request_));
  const auto textOf = [&target](const char* aName) {
    const auto found = target.parameters_.find(aName);
    return found == target.parameters_.end() ? std::string() : found->second;
  };
  const std::string repeated = textOf("repeated");
  std::string part;
  while (!repeated.empty() && part.size() < kChunkBytes) {
    part += repeated;
  }
  bool taken = aConnection.SendRaw(textOf("start"));
  while (taken && !part.empty()) {
    taken = aConnection.SendRaw(part);
  }
  gate_.CountCancelled();
  return false;
}

bool BackendService::SendSummary(const Job& aJob, HttpConnection& aConnection)
{
  const boost::beast::string_view method = aJob.request_.method_string();
  const std::string body = "{\"service\":" + JsonText(settings_.service_) +
                           ",\"method\":" + JsonText({ method.data(), method.size() }) +
                           ",\"path\":" + JsonText(aJob.path_) +
                           ",\"run\":" + std::to_string(aJob.run_) +
                           ",\"body_hash\":" + JsonText(ContentHash(aJob.request_.body())) + "}\n";
  HttpResponse response = aConnection.MakeResponse(http::status::ok, body);
  response.set(http::field::content_type, "application/json");
  return Finish(aJob, std::move(response), aConnection);
}

bool BackendService::Finish(const Job& aJob, HttpResponse aResponse, HttpConnection& aConnection)
{
  aResponse.set(kBodyHashHeader, ContentHash(aResponse.body()));
  SetCommonHeaders(aJob, aResponse);
  aJob.slot_.Release();
  if (!aJob.faults_.cut_ && !aJob.faults_.shortBody_) {
    return aConnection.Send(std::move(aResponse));
  }
  const std::size_t missing = aResponse.body().size() - aResponse.body().size() / 2;
  aConnection.SendAllBut(std::move(aResponse), missing);
  if (aJob.faults_.cut_) {
    aConnection.Reset();
  }
  return false;
}

void BackendService::SetCommonHeaders(const Job& aJob, http::response_header<>& aHeader)
{
  aHeader.set("Hemlock-Load", gate_.LoadReport());
  aHeader.set("X-Run", std::to_string(aJob.run_));
  if (!aJob.tag_.empty()) {
    aHeader.set(kTagHeader, aJob.tag_);
  }
}

} // namespace hemlockproxy::testing
