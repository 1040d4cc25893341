#pragma once

#include <utility>

#include "hemlockproxy/model/Clock.h"
#include "hemlockproxy/runtime/FiberLoop.h"

#include <functional>
#include <memory>
#include <optional>

namespace hemlockproxy::daemon::impl {

/// Calls a function on the loop's thread after a time, until it is destroyed.
class AttemptTimer
{
public:
  /// Returns the time until the next call, or nothing to end the calls.
  using OnExpiry = std::function<std::optional<model::Duration>()>;

  AttemptTimer(runtime::IoContext& aIo, model::Duration aTime, OnExpiry aOnExpiry);
  ~AttemptTimer();
  AttemptTimer(const AttemptTimer&) = delete;
  AttemptTimer& operator=(const AttemptTimer&) = delete;

private:
  struct State;

  static void Wait(const std::shared_ptr<State>& aState, model::Duration aTime);

  std::shared_ptr<State> state_;
};

} // namespace hemlockproxy::daemon::impl
