#include "hemlockproxy/runtime/FiberLoop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/fiber/algo/round_robin.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

#include <algorithm>

namespace hemlockproxy::runtime {

namespace {

/// Schedules fibers round robin and runs I/O handlers while no fiber is ready.
class AsioScheduler final : public boost::fibers::algo::round_robin
{
public:
  AsioScheduler(IoContextPtr aIo, std::chrono::microseconds aSpin)
    : io_(std::move(aIo))
    , spin_(aSpin)
    , work_(boost::asio::make_work_guard(*io_))
  {
  }

  // Handlers must not run in pick_next: the fiber being suspended may hold the spinlock of the
  // future that the handler completes.
  void suspend_until(const std::chrono::steady_clock::time_point& aUntil) noexcept override
  {
    if (PollBriefly(aUntil)) {
      return;
    }
    // One handler, so that the fiber that it makes ready runs next. Asio comes to the events of the
    // system between handlers by itself; to poll for more of them here costs two or three system
    // calls each time a fiber waits.
    if (aUntil == std::chrono::steady_clock::time_point::max()) {
      io_->run_one();
    } else {
      io_->run_one_until(aUntil);
    }
  }

  void notify() noexcept override
  {
    boost::asio::post(*io_, [] {});
  }

private:
  /// Polls for the spin time; returns whether a handler ran.
  bool PollBriefly(std::chrono::steady_clock::time_point aUntil) noexcept
  {
    if (spin_.count() == 0) {
      return false;
    }
    const auto end = std::min(aUntil, std::chrono::steady_clock::now() + spin_);
    do {
      if (io_->poll() > 0) {
        return true;
      }
    } while (std::chrono::steady_clock::now() < end);
    return false;
  }

  IoContextPtr io_;
  std::chrono::microseconds spin_;
  boost::asio::executor_work_guard<IoContext::executor_type> work_;
};

} // namespace

void RunFiberLoop(const IoContextPtr& aIo,
                  const std::function<void()>& aMain,
                  std::chrono::microseconds aSpin)
{
  boost::fibers::use_scheduling_algorithm<AsioScheduler>(aIo, aSpin);
  aMain();
}

void PostFiber(IoContext& aIo, std::function<void()> aFunction)
{
  boost::asio::post(
    aIo, [function = std::move(aFunction)]() mutable { SpawnFiber(std::move(function)); });
}

void SpawnFiber(std::function<void()> aFunction)
{
  boost::fibers::fiber(boost::fibers::launch::post, std::move(aFunction)).detach();
}

} // namespace hemlockproxy::runtime
