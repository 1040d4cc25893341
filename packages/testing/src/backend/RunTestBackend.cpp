#include "backend/Announcer.h"
#include "backend/BackendService.h"
#include "hemlockproxy/testing/CommandLine.h"
#include "hemlockproxy/testing/Programs.h"

namespace hemlockproxy::testing {

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kMostSlots = 10'000;
constexpr std::int64_t kMostMs = 3'600'000;

std::string Usage()
{
  return "A backend server for tests with fixed slots, deterministic responses and faults.\n\n"
         "Usage:\n  hemlock-test-backend [options]\n\n"
         "Options:\n"
         "  --listen=ADDRESS      Address to listen on; port 0 chooses one [default: "
         "127.0.0.1:0].\n"
         "  --service=NAME        Name of the service [default: bitacora].\n"
         "  --slots=N             Requests that run at a time; more wait [default: 20].\n"
         "  --connections=N       Connections taken at a time; more wait [default: 100].\n"
         "  --work-ms=MS          Work time of every request [default: 0].\n"
         "  --cold-ms=MS          Time after the start in which requests are slower [default: 0].\n"
         "  --cold-extra-ms=MS    Work time added in that time [default: 50].\n"
         "  --admin=ADDRESS       Admin address of the daemon; announces itself there.\n"
         "  --announce-address=ADDRESS  Announces this address instead of the own one.\n"
         "  --announce-ms=MS      Interval of the announcements [default: 500].\n"
         "  --runs-file=PATH      Also appends each run to this file; survives a crash.\n"
         "  -h --help             Show this text.\n\n"
         "Paths: /bytes/N (Range, ETag), /stream/N/CHUNK_MS (N chunks of 1024 bytes), /delay/MS,\n"
         "/echo, /endless?start=BYTES&repeated=BYTES; any other path returns a line of JSON. The "
         "header X-Work-Ms adds work time.\n"
         "GET /runs lists `key count` by Idempotency-Key, GET /runs?by=tag by X-Request-Tag;\n"
         "GET /stats shows counters, GET /health a status. SIGUSR1 announces draining.\n"
         "GET /faults shows the faults as YAML, and POST /faults?NAME=VALUE&... sets the named\n"
         "ones; clear=1 first restores the defaults:\n" +
         DescribeFaults(BackendFaultTable());
}

std::FILE* OpenRunsFile(const CommandLine& aOptions)
{
  if (!aOptions.Has("--runs-file")) {
    return nullptr;
  }
  std::FILE* file = std::fopen(aOptions.Text("--runs-file").c_str(), "ae");
  if (file == nullptr) {
    aOptions.Fail("--runs-file: cannot open '" + aOptions.Text("--runs-file") + "'");
  }
  return file;
}

milliseconds Time(const CommandLine& aOptions, const std::string& aOption, std::int64_t aLeast)
{
  return milliseconds(aOptions.Number(aOption, aLeast, kMostMs));
}

} // namespace

int RunTestBackend(int aCount, char** aArguments)
{
  const CommandLine options(Usage(), aCount, aArguments);
  ExitOnTerminate();
  DrainOnSignal();
  const BackendSettings settings{
    .service_ = options.Text("--service"),
    .slots_ = static_cast<std::size_t>(options.Number("--slots", 1, kMostSlots)),
    .work_ = Time(options, "--work-ms", 0),
    .coldTime_ = Time(options, "--cold-ms", 0),
    .coldExtra_ = Time(options, "--cold-extra-ms", 0),
  };
  const auto connections = static_cast<std::size_t>(options.Number("--connections", 1, kMostSlots));
  const milliseconds interval = Time(options, "--announce-ms", 1);
  BackendService service(settings, OpenRunsFile(options));
  auto server = HttpServer::Create(
    options.Listen("--listen"),
    [&service](const HttpRequest& aRequest, HttpConnection& aConnection) {
      return service.Handle(aRequest, aConnection);
    },
    connections);
  if (!server) {
    options.Fail(server.Error().message_);
  }
  const model::Address own = (*server)->LocalAddress();
  if (options.Has("--admin")) {
    const model::Address announced =
      options.Has("--announce-address") ? options.Peer("--announce-address") : own;
    StartAnnouncing(options.Peer("--admin"),
                    Announcement{ settings.service_, announced, settings.slots_, connections },
                    interval);
  }
  PrintListening(own);
  (*server)->Run();
}

} // namespace hemlockproxy::testing
