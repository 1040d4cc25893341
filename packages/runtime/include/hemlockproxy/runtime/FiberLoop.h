#pragma once

#include <utility>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace hemlockproxy::runtime {

using IoContext = boost::asio::io_context;
using IoContextPtr = std::shared_ptr<IoContext>;

/// Runs fibers and the handlers of an io_context on the calling thread until the main function
/// returns.
///
///     auto io = std::make_shared<IoContext>(1);
///     std::thread traffic([io] { RunFiberLoop(io, [] { ServeUntilStopped(); }); });
///
/// A thread runs at most one loop in its life, since a fiber scheduler cannot be replaced.
/// Before it waits for I/O, the loop polls for aSpin, which saves the wake-up of the thread when an
/// answer comes soon.
void RunFiberLoop(const IoContextPtr& aIo,
                  const std::function<void()>& aMain,
                  std::chrono::microseconds aSpin = std::chrono::microseconds(0));

/// Starts a detached fiber on the loop of the io_context; callable from any thread.
void PostFiber(IoContext& aIo, std::function<void()> aFunction);

/// Starts a detached fiber on the calling thread's loop.
void SpawnFiber(std::function<void()> aFunction);

} // namespace hemlockproxy::runtime
