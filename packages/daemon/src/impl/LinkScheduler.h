#pragma once

#include "hemlockproxy/daemon/CancelSource.h"
#include "hemlockproxy/decisions/TransferQueue.h"

#include "impl/Delivery.h"

#include <boost/fiber/future/promise.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>

namespace hemlockproxy::daemon::impl {

/// Lets long response bodies onto the instance's link as a TransferQueue decides. Used on the
/// traffic thread.
class LinkScheduler
{
public:
  explicit LinkScheduler(decisions::TransferQueue aQueue)
    : queue_(std::move(aQueue))
  {
  }
  LinkScheduler(const LinkScheduler&) = delete;
  LinkScheduler& operator=(const LinkScheduler&) = delete;

  /// Lets others go ahead of transfers that stand still.
  void Tick();

private:
  friend class LinkTicket;

  void Finish(decisions::RequestId aId);
  void Wake(decisions::RequestId aId);

  decisions::TransferQueue queue_;
  decisions::RequestId lastId_;
  std::unordered_map<decisions::RequestId, boost::fibers::promise<void>> turns_;
};

/// The use of the link by one request, from its admission until its response is delivered.
class LinkTicket
{
public:
  /// The scheduler must outlive the ticket.
  explicit LinkTicket(LinkScheduler& aScheduler) noexcept;
  ~LinkTicket() { scheduler_.Finish(id_); }
  LinkTicket(const LinkTicket&) = delete;
  LinkTicket& operator=(const LinkTicket&) = delete;

  /// Returns whether the request's body would be sent in time.
  [[nodiscard]] bool Fits(const decisions::TransferDemand& aDemand) const;
  /// Returns how long the body of a request with this label would wait for the link.
  [[nodiscard]] model::Duration ExpectedWait(const std::string& aLabel) const;
  /// Counts the expected body from now on.
  void Reserve(const std::string& aLabel) { scheduler_.queue_.Reserve(id_, aLabel); }
  /// Waits until the body may be sent, or the caller leaves.
  void WaitForTurn(const std::string& aLabel,
                   std::optional<std::uint64_t> aBytes,
                   CancelSource& aCancel);
  /// Returns the pace of the body once its turn has come; a short body has none.
  [[nodiscard]] DeliveryPace Pace();

private:
  LinkScheduler& scheduler_;
  decisions::RequestId id_;
};

} // namespace hemlockproxy::daemon::impl
