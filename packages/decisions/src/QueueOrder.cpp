#include "hemlockproxy/decisions/QueueOrder.h"

#include <algorithm>
#include <optional>

namespace hemlockproxy::decisions {

namespace {

class FifoOrder final : public QueueOrder
{
public:
  [[nodiscard]] const char* Name() const noexcept override { return "fifo"; }
  [[nodiscard]] std::int64_t Rank(const QueuedRequest& /*aRequest*/,
                                  std::uint64_t /*aArrival*/) const noexcept override
  {
    return 0;
  }
  [[nodiscard]] QueueEnd NextEnd(model::TimePoint /*aNow*/, model::Duration /*aWait*/) override
  {
    return QueueEnd::Front;
  }
};

class LifoOrder final : public QueueOrder
{
public:
  [[nodiscard]] const char* Name() const noexcept override { return "lifo"; }
  [[nodiscard]] std::int64_t Rank(const QueuedRequest& /*aRequest*/,
                                  std::uint64_t aArrival) const noexcept override
  {
    return -static_cast<std::int64_t>(aArrival);
  }
  [[nodiscard]] QueueEnd NextEnd(model::TimePoint /*aNow*/, model::Duration /*aWait*/) override
  {
    return QueueEnd::Front;
  }
};

class DeadlineOrder final : public QueueOrder
{
public:
  explicit DeadlineOrder(model::Duration aLongest) noexcept
    : longest_(aLongest)
  {
  }

  [[nodiscard]] const char* Name() const noexcept override { return "deadline"; }
  [[nodiscard]] std::int64_t Rank(const QueuedRequest& aRequest,
                                  std::uint64_t /*aArrival*/) const noexcept override
  {
    const auto latest = aRequest.arrived_ + longest_;
    return std::min(aRequest.deadline_, latest).time_since_epoch().count();
  }
  [[nodiscard]] QueueEnd NextEnd(model::TimePoint /*aNow*/, model::Duration /*aWait*/) override
  {
    return QueueEnd::Front;
  }

private:
  model::Duration longest_;
};

class AdaptiveOrder final : public QueueOrder
{
public:
  AdaptiveOrder(model::Duration aTarget, model::Duration aInterval) noexcept
    : target_(aTarget)
    , interval_(aInterval)
  {
  }

  [[nodiscard]] const char* Name() const noexcept override { return "adaptive"; }
  [[nodiscard]] std::int64_t Rank(const QueuedRequest& /*aRequest*/,
                                  std::uint64_t /*aArrival*/) const noexcept override
  {
    return 0;
  }
  [[nodiscard]] QueueEnd NextEnd(model::TimePoint aNow, model::Duration aWait) override
  {
    if (aWait < target_) {
      aboveSince_.reset();
      return QueueEnd::Front;
    }
    aboveSince_ = aboveSince_.value_or(aNow);
    return aNow - *aboveSince_ >= interval_ ? QueueEnd::Back : QueueEnd::Front;
  }

private:
  model::Duration target_;
  model::Duration interval_;
  std::optional<model::TimePoint> aboveSince_;
};

} // namespace

std::unique_ptr<QueueOrder> MakeFifoOrder()
{
  return std::make_unique<FifoOrder>();
}

std::unique_ptr<QueueOrder> MakeLifoOrder()
{
  return std::make_unique<LifoOrder>();
}

std::unique_ptr<QueueOrder> MakeDeadlineOrder(model::Duration aLongest)
{
  return std::make_unique<DeadlineOrder>(aLongest);
}

std::unique_ptr<QueueOrder> MakeAdaptiveOrder(model::Duration aTarget, model::Duration aInterval)
{
  return std::make_unique<AdaptiveOrder>(aTarget, aInterval);
}

} // namespace hemlockproxy::decisions
