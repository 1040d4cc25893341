#pragma once

#include <utility>

#include <boost/asio/error.hpp>
#include <boost/fiber/future/promise.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>

namespace hemlockproxy::runtime::impl {

/// The completion of an asynchronous operation.
struct IoCompletion
{
  boost::system::error_code error_;
  std::size_t bytes_ = 0;
};

/// Starts an asynchronous operation and suspends the calling fiber until it completes.
/// The initiating function receives the completion handler.
template <typename Initiate>
[[nodiscard]] IoCompletion Await(Initiate&& aInitiate)
{
  boost::fibers::promise<IoCompletion> promise;
  auto future = promise.get_future();
  aInitiate([&promise](const boost::system::error_code& aError, std::size_t aBytes = 0) {
    promise.set_value(IoCompletion{ aError, aBytes });
  });
  return future.get();
}

} // namespace hemlockproxy::runtime::impl
