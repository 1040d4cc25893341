#pragma once

#include "hemlockproxy/runtime/HttpServer.h"

#include <chrono>
#include <functional>
#include <utility>

namespace hemlockproxy::daemon {

/// Cancels the work on a request when its caller has gone, or interrupts one attempt of it. Used on
/// the traffic thread.
///
///     CancelSource cancel;
///     cancel.Follow(exchange);
///     if (cancel.CheckStopped()) { return; }
class CancelSource
{
public:
  CancelSource() = default;
  ~CancelSource()
  {
    if (parent_ != nullptr) {
      parent_->child_ = nullptr;
    }
    if (child_ != nullptr) {
      child_->parent_ = nullptr;
    }
  }
  CancelSource(const CancelSource&) = delete;
  CancelSource& operator=(const CancelSource&) = delete;

  /// Cancels when the caller of the exchange closes its connection. The source must live until the
  /// exchange ends.
  void Follow(runtime::HttpExchange& aExchange)
  {
    exchange_ = &aExchange;
    aExchange.OnCallerClosed([this] { Cancel(); });
  }
  /// Cancels with another source, whose caller is asked for. A source has one child at a time.
  void Join(CancelSource& aParent)
  {
    if (aParent.child_ != nullptr) {
      aParent.child_->parent_ = nullptr;
    }
    parent_ = &aParent;
    aParent.child_ = this;
    if (aParent.Cancelled()) {
      Cancel();
    }
  }
  /// Returns whether work should not go on, after a look at the caller's connection. To be called
  /// before a request is passed on: with a daemon that is behind, the close may wait unread behind
  /// the request, and the event that tells of it comes only after the next hop has the request.
  [[nodiscard]] bool CheckStopped()
  {
    if (parent_ != nullptr) {
      (void)parent_->CheckStopped();
    }
    const auto now = std::chrono::steady_clock::now();
    if (!cancelled_ && exchange_ != nullptr && now >= nextCheck_) {
      nextCheck_ = now + kCheckInterval;
      if (exchange_->CallerClosed()) {
        Cancel();
      }
    }
    return Stopped();
  }
  /// Marks the request as cancelled and runs the action in force.
  void Cancel()
  {
    cancelled_ = true;
    RunAction();
    if (child_ != nullptr) {
      child_->Cancel();
    }
  }
  /// Ends the current attempt; the request may go on elsewhere after StartAttempt.
  void Interrupt()
  {
    interrupted_ = true;
    RunAction();
  }
  void StartAttempt() noexcept { interrupted_ = false; }
  /// Returns whether Interrupt would end something at the moment.
  [[nodiscard]] bool HasAction() const noexcept { return static_cast<bool>(action_); }
  /// Sets what a cancellation does at the moment; an empty function clears it.
  void SetAction(std::function<void()> aAction) { action_ = std::move(aAction); }
  [[nodiscard]] bool Cancelled() const noexcept { return cancelled_; }
  /// Returns whether the current attempt is cancelled or interrupted.
  [[nodiscard]] bool Stopped() const noexcept { return cancelled_ || interrupted_; }

private:
  /// A look costs a system call, and a request that nothing holds up is passed on sooner than this.
  static constexpr std::chrono::milliseconds kCheckInterval{ 5 };

  void RunAction()
  {
    if (action_) {
      std::exchange(action_, nullptr)();
    }
  }

  runtime::HttpExchange* exchange_ = nullptr;
  std::chrono::steady_clock::time_point nextCheck_{};
  CancelSource* parent_ = nullptr;
  CancelSource* child_ = nullptr;
  bool cancelled_ = false;
  bool interrupted_ = false;
  std::function<void()> action_;
};

} // namespace hemlockproxy::daemon
