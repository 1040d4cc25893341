#include "bench/Benches.h"
#include "bench/MeshProbe.h"

#include "hemlockproxy/testing/CommandLine.h"

#include <array>
#include <cstdio>
#include <thread>

namespace {

using namespace hemlockproxy::testing;

constexpr const char* kUsage = R"(Measures a mesh of real processes on loopback.

Usage:
  hemlock-bench [options]

Options:
  --programs=DIR       Folder of the programs [default: build/bin].
  --examples=DIR       Folder of the example deployments [default: examples].
  --deployment=NAME    temple-andino or tesserae-thistle [default: temple-andino].
  --publishes=N        Publishes per convergence run [default: 50].
  --part=NAME          idle, latency, convergence, herd, scale or
                       all [default: all].
  -h --help            Show this text.

Prints lines `figure NAME VALUE UNIT`.
)";

struct Part
{
  const char* name_;
  bench::BenchResult (*run_)(const bench::BenchOptions&);
};

constexpr std::array<Part, 5> kParts = { {
  { "idle", bench::MeasureIdle },
  { "latency", bench::MeasureLatency },
  { "convergence", bench::MeasureConvergence },
  { "herd", bench::MeasureHerd },
  { "scale", bench::MeasureScale },
} };

} // namespace

int main(int aCount, char** aArguments)
{
  const CommandLine commandLine(kUsage, aCount, aArguments);
  bench::BenchOptions options;
  options.programs_ = commandLine.Text("--programs");
  options.examples_ = commandLine.Text("--examples");
  options.deployment_ = commandLine.Text("--deployment");
  options.publishes_ = static_cast<std::size_t>(commandLine.Number("--publishes", 1, 1000));
  if (!bench::DeploymentSettings(options.deployment_, options.programs_)) {
    commandLine.Fail("unknown deployment; expected temple-andino or tesserae-thistle");
  }
  const std::string wanted = commandLine.Text("--part");
  std::printf("figure cores %u cores\n", std::thread::hardware_concurrency());
  bool found = false;
  for (const Part& part : kParts) {
    if (wanted != "all" && wanted != part.name_) {
      continue;
    }
    found = true;
    if (const auto done = part.run_(options); !done) {
      std::fprintf(stderr, "hemlock-bench: %s: %s\n", part.name_, done.Error().message_.c_str());
      return 1;
    }
  }
  if (!found) {
    commandLine.Fail("unknown part; expected idle, latency, convergence, herd, scale or all");
  }
  return 0;
}
