#pragma once

#include "hemlockproxy/model/Address.h"
#include "hemlockproxy/runtime/Log.h"

#include <functional>

namespace hemlockproxy::testing {

/// Calls a function with a client of the log at an address, on a thread of its own, and waits for
/// its end. For test programs and benches that use no fibers otherwise.
void WithLog(const model::Address& aAddress, const std::function<void(runtime::LogPort&)>& aUse);

} // namespace hemlockproxy::testing
