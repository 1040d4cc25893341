#pragma once

#include "hemlockproxy/runtime/Log.h"

namespace hemlockproxy::ctl {

/// Runs hemlockctl with the arguments of a process and a client of the log; returns its exit code.
int RunCtl(int aCount, char** aArguments, const runtime::LogFactory& aMakeLog);

} // namespace hemlockproxy::ctl
