#include "bench/MeshProbe.h"
#include "demo/Demo.h"

#include "hemlockproxy/testing/CommandLine.h"

namespace {

constexpr const char* kUsage = R"(Runs a mesh on loopback, step by step, and verifies each step.

Usage:
  hemlock-demo [options]

Options:
  --programs=DIR       Folder of the programs [default: build/bin].
  --examples=DIR       Folder of the example deployments [default: examples].
  --deployment=NAME    temple-andino or tesserae-thistle [default: temple-andino].
  -h --help            Show this text.

Exit codes: 0 each step was verified, 1 a step was not, 2 usage.
)";

} // namespace

int main(int aCount, char** aArguments)
{
  using namespace hemlockproxy::testing;
  const CommandLine commandLine(kUsage, aCount, aArguments);
  const demo::DemoOptions options{ commandLine.Text("--programs"),
                                   commandLine.Text("--examples"),
                                   commandLine.Text("--deployment") };
  if (!bench::DeploymentSettings(options.deployment_, options.programs_)) {
    commandLine.Fail("unknown deployment; expected temple-andino or tesserae-thistle");
  }
  return demo::RunDemo(options) ? 0 : 1;
}
