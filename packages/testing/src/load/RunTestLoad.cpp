#include "hemlockproxy/testing/CommandLine.h"
#include "hemlockproxy/testing/Programs.h"
#include "load/LoadGenerator.h"

#include <cstdio>

namespace hemlockproxy::testing {

namespace {

using std::chrono::milliseconds;

constexpr const char* kUsage =
  R"(Sends requests to loopback targets at a fixed rate and prints what came of them.

Usage:
  hemlock-test-load --target=ADDRESS... [--header=HEADER]... [options]

Options:
  --target=ADDRESS    IP:PORT in 127.0.0.0/8; several take turns.
  --header=HEADER     'Name: value', sent with each request.
  --rate=N            Requests per second [default: 100].
  --duration-ms=MS    Time in which requests are sent [default: 1000].
  --connections=N     Connections at a time; requests beyond wait [default: 50].
  --method=METHOD     Request method [default: GET].
  --path=PATH         Path and query; {n} stands for the request's number [default: /bytes/100].
  --body-bytes=N      Size of the request body [default: 0].
  --deadline-ms=MS    Sent as Hemlock-Deadline-Ms; 0 sends none [default: 0].
  --timeout-ms=MS     Time after the intended send time at which a request ends [default: 5000].
  --keys              Sends an Idempotency-Key, unique per request.
  --repeats=N         Repeats a request without an answer up to N times, with the same key and
                      through the next target [default: 0].
  --prefix=TEXT       Tags are TEXT-n and keys TEXT-key-n [default: load].
  -h --help           Show this text.

Prints lines `figure NAME VALUE UNIT`. Outcomes follow the header Hemlock-Outcome; a response
without it is answered, a failed connection is not-run, a broken exchange is unknown. An answered
request is corrupted unless the response carries its own X-Request-Tag and a X-Body-Hash that
fits its body. The exit code is 1 when a response was corrupted.
)";

constexpr double kMostRate = 100'000;
constexpr std::int64_t kMostDurationMs = 600'000;
constexpr std::int64_t kMostRequests = 10'000'000;
constexpr std::int64_t kMostConnections = 5'000;
constexpr std::int64_t kMostBodyBytes = 16'777'216;
constexpr std::int64_t kMostRepeats = 100;

std::vector<boost::asio::ip::tcp::endpoint> ParseTargets(const CommandLine& aOptions)
{
  std::vector<boost::asio::ip::tcp::endpoint> targets;
  for (const std::string& text : aOptions.List("--target")) {
    const auto address = model::ParseAddress(text);
    if (!address) {
      aOptions.Fail("--target: " + address.Error().message_);
    }
    const auto ip = boost::asio::ip::make_address(address->ip_);
    if (!ip.is_loopback()) {
      std::string message = "--target: '" + text;
      aOptions.Fail(message.append("' is not a loopback address; expected 127.x.x.x:PORT"));
    }
    targets.emplace_back(ip, address->port_);
  }
  return targets;
}

std::vector<std::pair<std::string, std::string>> ParseHeaders(const CommandLine& aOptions)
{
  constexpr std::string_view kSeparator = ": ";
  std::vector<std::pair<std::string, std::string>> headers;
  for (const std::string& text : aOptions.List("--header")) {
    const std::size_t colon = text.find(kSeparator);
    if (colon == std::string::npos || colon == 0) {
      std::string message = "--header: '" + text;
      aOptions.Fail(message.append("' is not valid; expected 'Name: value'"));
    }
    headers.emplace_back(text.substr(0, colon), text.substr(colon + kSeparator.size()));
  }
  return headers;
}

LoadSettings ParseSettings(const CommandLine& aOptions)
{
  LoadSettings settings{
    .targets_ = ParseTargets(aOptions),
    .requestsPerSecond_ = aOptions.Real("--rate", 0.1, kMostRate),
    .duration_ = milliseconds(aOptions.Number("--duration-ms", 1, kMostDurationMs)),
    .connections_ = static_cast<std::size_t>(aOptions.Number("--connections", 1, kMostConnections)),
    .method_ = aOptions.Text("--method"),
    .path_ = aOptions.Text("--path"),
    .headers_ = ParseHeaders(aOptions),
    .bodyBytes_ = static_cast<std::size_t>(aOptions.Number("--body-bytes", 0, kMostBodyBytes)),
    .deadline_ = milliseconds(aOptions.Number("--deadline-ms", 0, kMostDurationMs)),
    .timeout_ = milliseconds(aOptions.Number("--timeout-ms", 1, kMostDurationMs)),
    .keys_ = aOptions.Flag("--keys"),
    .repeats_ = static_cast<std::size_t>(aOptions.Number("--repeats", 0, kMostRepeats)),
    .prefix_ = aOptions.Text("--prefix"),
  };
  const double requests =
    settings.requestsPerSecond_ * std::chrono::duration<double>(settings.duration_).count();
  if (requests > static_cast<double>(kMostRequests)) {
    aOptions.Fail("--rate times --duration-ms is above " + std::to_string(kMostRequests) +
                  " requests");
  }
  return settings;
}

} // namespace

int RunTestLoad(int aCount, char** aArguments)
{
  const CommandLine options(kUsage, aCount, aArguments);
  ExitOnTerminate();
  boost::asio::io_context context;
  const LoadSettings settings = ParseSettings(options);
  LoadGenerator generator(context, settings);
  LoadReport report = generator.Run();
  std::fputs(report.Figures(settings.deadline_).c_str(), stdout);
  return report.Corrupted() == 0 ? 0 : 1;
}

} // namespace hemlockproxy::testing
