#include "hemlockproxy/testing/PolicyBench.h"

#include <docopt/docopt.h>

#include <iostream>
#include <string>
#include <vector>

namespace {

constexpr char kUsage[] = R"(Compares the decisions on requests with plain baselines in a model.

Usage:
  hemlock-policy-bench [--seed=NUMBER] [--part=NAME]
  hemlock-policy-bench --help

Options:
  --seed=NUMBER  Seed of load and choices [default: 20261204].
  --part=NAME    overload, choice, poison, calls or all [default: all].
)";

} // namespace

int main(int aCount, char** aArguments)
{
  const auto arguments =
    docopt::docopt(kUsage, std::vector<std::string>(aArguments + 1, aArguments + aCount));
  const std::string seed = arguments.at("--seed").asString();
  if (seed.empty() || seed.find_first_not_of("0123456789") != std::string::npos) {
    std::cerr << "seed: found \"" << seed << "\", expected a number\n";
    return 2;
  }
  const std::string part = arguments.at("--part").asString();
  if (!hemlockproxy::testing::RunPolicyBench({ std::stoull(seed), part }, std::cout)) {
    std::cerr << "part: found \"" << part
              << "\", expected overload, choice, poison, calls or all\n";
    return 2;
  }
  return 0;
}
