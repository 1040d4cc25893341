#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int aCount, char** aArguments)
{
  // RapidCheck keeps statics, which the leak detector reports. Leaks are checked by
  // AddressSanitizer instead (HEMLOCK_SANITIZE=ON).
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(aCount, aArguments);
}
