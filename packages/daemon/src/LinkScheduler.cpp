#include "impl/LinkScheduler.h"

#include <boost/fiber/operations.hpp>

#include <chrono>

namespace hemlockproxy::daemon::impl {

using decisions::RequestId;

void LinkScheduler::Tick()
{
  for (const RequestId next : queue_.Tick(std::chrono::steady_clock::now())) {
    Wake(next);
  }
}

void LinkScheduler::Finish(RequestId aId)
{
  for (const RequestId next : queue_.Finish(std::chrono::steady_clock::now(), aId)) {
    Wake(next);
  }
}

void LinkScheduler::Wake(RequestId aId)
{
  if (const auto turn = turns_.find(aId); turn != turns_.end()) {
    auto promise = std::move(turn->second);
    turns_.erase(turn);
    promise.set_value();
  }
}

LinkTicket::LinkTicket(LinkScheduler& aScheduler) noexcept
  : scheduler_(aScheduler)
  , id_(aScheduler.lastId_.Next())
{
  aScheduler.lastId_ = id_;
}

bool LinkTicket::Fits(const decisions::TransferDemand& aDemand) const
{
  return scheduler_.queue_.Fits(std::chrono::steady_clock::now(), aDemand);
}

model::Duration LinkTicket::ExpectedWait(const std::string& aLabel) const
{
  return scheduler_.queue_.ExpectedWait(std::chrono::steady_clock::now(), aLabel);
}

void LinkTicket::WaitForTurn(const std::string& aLabel,
                             std::optional<std::uint64_t> aBytes,
                             CancelSource& aCancel)
{
  using Turn = decisions::TransferQueue::Turn;
  const auto now = std::chrono::steady_clock::now();
  if (scheduler_.queue_.Arrive(now, id_, aLabel, aBytes) == Turn::Now || aCancel.Cancelled()) {
    return;
  }
  auto turn = scheduler_.turns_[id_].get_future();
  aCancel.SetAction([this] { scheduler_.Wake(id_); });
  turn.wait();
  aCancel.SetAction({});
}

DeliveryPace LinkTicket::Pace()
{
  if (!scheduler_.queue_.IsSending(id_)) {
    return {};
  }
  return { decisions::kTransferPartBytes, [this](std::size_t aBytes) {
            boost::this_fiber::sleep_until(
              scheduler_.queue_.SchedulePart(std::chrono::steady_clock::now(), id_, aBytes));
          } };
}

} // namespace hemlockproxy::daemon::impl
