#pragma once

#include "hemlockproxy/runtime/FiberLoop.h"

#include <exception>
#include <functional>
#include <memory>
#include <thread>

namespace hemlockproxy::runtime {

/// Runs a function as the main fiber of a loop on a thread of its own. A check that fails there
/// ends the function and is reported by the calling thread, where CppUTest expects it.
inline void RunInLoop(const std::function<void(const IoContextPtr&)>& aFunction)
{
  std::exception_ptr failure;
  std::thread loop([&] {
    try {
      const auto io = std::make_shared<IoContext>(1);
      RunFiberLoop(io, [&] { aFunction(io); });
    } catch (...) {
      failure = std::current_exception();
    }
  });
  loop.join();
  if (failure) {
    std::rethrow_exception(failure);
  }
}

} // namespace hemlockproxy::runtime
