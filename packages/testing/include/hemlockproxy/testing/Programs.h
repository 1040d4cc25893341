#pragma once

namespace hemlockproxy::testing {

/// The main functions of the test programs; each returns the exit code of its process.
int RunTestBackend(int aCount, char** aArguments);
int RunTestLink(int aCount, char** aArguments);
int RunTestLoad(int aCount, char** aArguments);

} // namespace hemlockproxy::testing
