#include "hemlockproxy/daemon/Daemon.h"
#include "hemlockproxy/platform/Platform.h"
#include "hemlockproxy/runtime/EventRing.h"

#include <docopt/docopt.h>

#include <cstdio>

namespace {

constexpr const char* kUsage =
  R"(hemlockproxy - the daemon of a service mesh that distributes configuration.

Usage:
  hemlockproxy --settings FILE
  hemlockproxy check FILE
  hemlockproxy (-h | --help)
  hemlockproxy --version

Options:
  --settings FILE  Run with the settings in a YAML file.
  -h --help        Show this text.
  --version        Show the version.

Exit codes: 0 done, 1 invalid settings or forced shutdown, 2 the daemon could not start.
)";

constexpr int kExitInvalid = 1;
constexpr int kExitNotStarted = 2;

} // namespace

int main(int aCount, char** aArguments)
{
  using namespace hemlockproxy;
  const auto arguments =
    docopt::docopt(kUsage, { aArguments + 1, aArguments + aCount }, true, "hemlockproxy 0.1.0");
  const bool check = arguments.at("check").asBool();
  const std::string path = arguments.at(check ? "FILE" : "--settings").asString();
  auto settings = daemon::LoadSettings(path);
  if (!settings) {
    for (const daemon::SettingsError& error : settings.Error()) {
      std::fprintf(stderr, "%s\n", ToString(error).c_str());
    }
    return kExitInvalid;
  }
  if (check) {
    std::printf("%s: valid\n", path.c_str());
    return 0;
  }
  runtime::InitLogging(settings->logLevel_);
  const auto end = daemon::RunDaemon(*settings,
                                     settings->interface_ == daemon::Interface::Platform
                                       ? platform::MakePlatformAdapters()
                                       : platform::MakeHemlockAdapters());
  if (!end) {
    std::fprintf(stderr, "hemlockproxy: %s\n", end.Error().message_.c_str());
    return kExitNotStarted;
  }
  return 0;
}
