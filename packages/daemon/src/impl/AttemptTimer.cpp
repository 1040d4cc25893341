#include "AttemptTimer.h"

#include <boost/asio/steady_timer.hpp>

namespace hemlockproxy::daemon::impl {

struct AttemptTimer::State
{
  State(runtime::IoContext& aIo, OnExpiry aOnExpiry)
    : timer_(aIo)
    , onExpiry_(std::move(aOnExpiry))
  {
  }

  boost::asio::steady_timer timer_;
  /// Empty once the timer is destroyed: an expiry may then already be due.
  OnExpiry onExpiry_;
};

AttemptTimer::AttemptTimer(runtime::IoContext& aIo, model::Duration aTime, OnExpiry aOnExpiry)
  : state_(std::make_shared<State>(aIo, std::move(aOnExpiry)))
{
  Wait(state_, aTime);
}

AttemptTimer::~AttemptTimer()
{
  state_->onExpiry_ = nullptr;
  boost::system::error_code ignored;
  state_->timer_.cancel(ignored);
}

void AttemptTimer::Wait(const std::shared_ptr<State>& aState, model::Duration aTime)
{
  aState->timer_.expires_after(aTime);
  aState->timer_.async_wait([state = aState](const boost::system::error_code& aError) {
    if (aError || !state->onExpiry_) {
      return;
    }
    if (const auto next = state->onExpiry_()) {
      Wait(state, *next);
    }
  });
}

} // namespace hemlockproxy::daemon::impl
