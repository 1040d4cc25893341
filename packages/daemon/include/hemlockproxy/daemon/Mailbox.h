#pragma once

#include <utility>

#include <boost/fiber/buffered_channel.hpp>

#include <cstddef>

namespace hemlockproxy::daemon {

/// A bounded ring buffer that joins two threads. Any thread may push; one fiber pops.
template <typename T>
class Mailbox
{
public:
  /// The capacity must be a power of two; one place stays free.
  explicit Mailbox(std::size_t aCapacity)
    : channel_(aCapacity)
  {
  }

  /// Adds a message; returns false when the ring buffer is full or closed.
  [[nodiscard]] bool TryPush(T aMessage)
  {
    return channel_.try_push(std::move(aMessage)) == boost::fibers::channel_op_status::success;
  }

  /// Adds a message, waiting for a free place; returns false when the ring buffer is closed.
  bool Push(T aMessage)
  {
    return channel_.push(std::move(aMessage)) == boost::fibers::channel_op_status::success;
  }

  /// Waits for the next message; returns false when the ring buffer is closed and empty.
  [[nodiscard]] bool Pop(T& aMessage)
  {
    return channel_.pop(aMessage) == boost::fibers::channel_op_status::success;
  }

  void Close() noexcept { channel_.close(); }

private:
  boost::fibers::buffered_channel<T> channel_;
};

} // namespace hemlockproxy::daemon
