#include "hemlockproxy/ctl/Main.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;

namespace {

/// Runs the command with arguments as a shell would pass them; returns its exit code.
int Run(std::vector<std::string> aArguments)
{
  aArguments.insert(aArguments.begin(), "hemlockctl");
  std::vector<char*> pointers;
  pointers.reserve(aArguments.size());
  for (std::string& argument : aArguments) {
    pointers.push_back(argument.data());
  }
  return ctl::RunCtl(static_cast<int>(pointers.size()), pointers.data(), {});
}

} // namespace

TEST_GROUP(Main)
{
  std::string folder_;

  void setup() override
  {
    std::string name = (std::filesystem::temp_directory_path() / "hemlock-ctl-XXXXXX").string();
    CHECK_TRUE(::mkdtemp(name.data()) != nullptr);
    folder_ = name;
  }
  void teardown() override
  {
    std::filesystem::remove_all(folder_);
  }

  std::string Write(const char* aName, const char* aText) const
  {
    std::string path = folder_ + "/" + aName;
    std::ofstream(path) << aText;
    return path;
  }
};

// Guards against a usage text by which no arguments fit a command: its functions work, and nobody
// can call them.
TEST(Main, TakesTheArgumentsOfExplain)
{
  const std::string entry = Write("entry.log",
                                  "{\"t\":\"2026-12-04T08:00:09.030Z\",\"daemon\":\"a\","
                                  "\"event\":\"request.refused\",\"id\":\"x1\"}\n");
  const std::string owner = Write("owner.log", "");
  LONGS_EQUAL(0, Run({ "explain", "x1", entry }));
  LONGS_EQUAL(0, Run({ "explain", "x1", entry, owner }));
  LONGS_EQUAL(8, Run({ "explain", "x9", entry }));
  LONGS_EQUAL(2, Run({ "explain", "x1" }));
  LONGS_EQUAL(2, Run({ "explain", "x1", folder_ + "/missing.log" }));
}

TEST(Main, TakesTheArgumentsOfCheck)
{
  (void)Write("bitacora.yaml", "service: bitacora\nroutes:\n  - prefix: /batches\n");
  LONGS_EQUAL(0, Run({ "check", folder_ }));
  LONGS_EQUAL(0, Run({ "--help" }));
  LONGS_EQUAL(2, Run({ "check" }));
  LONGS_EQUAL(2, Run({ "history" }));
}
