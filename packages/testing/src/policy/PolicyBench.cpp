#include "hemlockproxy/testing/PolicyBench.h"

#include "policy/Parts.h"

#include <iomanip>

namespace hemlockproxy::testing {

namespace policy {

double CapacityPerSecond(const Deployment& aDeployment)
{
  // The mean service time of the model is 50 ms.
  return static_cast<double>(aDeployment.endpoints_) * aDeployment.slots_ / 0.05;
}

void Figure(std::ostream& aOutput, const std::string& aName, double aValue, const char* aUnit)
{
  aOutput << "figure " << aName << ' ' << std::fixed << std::setprecision(2) << aValue << ' '
          << aUnit << '\n';
}

} // namespace policy

bool RunPolicyBench(const PolicyBenchOptions& aOptions, std::ostream& aOutput)
{
  const bool all = aOptions.part_ == "all";
  if (!all && aOptions.part_ != "overload" && aOptions.part_ != "choice" &&
      aOptions.part_ != "poison" && aOptions.part_ != "calls") {
    return false;
  }
  if (all || aOptions.part_ == "overload") {
    policy::RunOverload(aOptions.seed_, aOutput);
  }
  if (all || aOptions.part_ == "choice") {
    policy::RunChoice(aOptions.seed_, aOutput);
  }
  if (all || aOptions.part_ == "poison") {
    policy::RunPoison(aOptions.seed_, aOutput);
  }
  if (all || aOptions.part_ == "calls") {
    policy::RunCalls(aOptions.seed_, aOutput);
  }
  return true;
}

} // namespace hemlockproxy::testing
