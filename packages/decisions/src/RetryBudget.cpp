#include "hemlockproxy/decisions/RetryBudget.h"

#include <algorithm>
#include <deque>
#include <limits>

namespace hemlockproxy::decisions {

namespace {

class PercentBudget final : public RetryBudget
{
public:
  PercentBudget(double aPercent, double aBurst) noexcept
    : perRequest_(aPercent / 100)
    , burst_(aBurst)
    , tokens_(aPercent > 0 ? std::min(1.0, aBurst) : 0)
  {
  }

  void CountRequest(model::TimePoint) noexcept override
  {
    tokens_ = std::min(burst_, tokens_ + perRequest_);
  }

  [[nodiscard]] bool TakeRetry(model::TimePoint) noexcept override
  {
    // Ten additions of 0.1 are slightly less than 1.
    constexpr double kOneToken = 1 - 1e-9;
    if (tokens_ < kOneToken) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

  [[nodiscard]] double Left(model::TimePoint) noexcept override { return tokens_; }

private:
  double perRequest_;
  double burst_;
  double tokens_;
};

class WindowBudget final : public RetryBudget
{
public:
  WindowBudget(double aShare, std::chrono::milliseconds aWindow)
    : share_(aShare)
    , slice_(std::max<model::Duration>(model::Duration(1), aWindow / kSlices))
  {
  }

  void CountRequest(model::TimePoint aNow) noexcept override
  {
    ++Current(aNow).requests_;
    ++requests_;
  }

  [[nodiscard]] bool TakeRetry(model::TimePoint aNow) noexcept override
  {
    Slice& current = Current(aNow);
    if (retries_ + 1 > share_ * requests_ + extra_) {
      return false;
    }
    ++current.retries_;
    ++retries_;
    return true;
  }

  [[nodiscard]] double Left(model::TimePoint aNow) noexcept override
  {
    (void)Current(aNow);
    return std::max(0.0, share_ * requests_ + extra_ - retries_);
  }

  void SetExtra(double aExtra) noexcept override { extra_ = aExtra; }

private:
  /// The oldest slice is dropped when it has left the window whole, so that retries count for up to
  /// a twentieth longer than the window.
  static constexpr int kSlices = 20;

  struct Slice
  {
    std::int64_t number_ = 0;
    double requests_ = 0;
    double retries_ = 0;
  };

  Slice& Current(model::TimePoint aNow)
  {
    const std::int64_t number = aNow.time_since_epoch() / slice_;
    while (!slices_.empty() && slices_.front().number_ < number - kSlices) {
      requests_ -= slices_.front().requests_;
      retries_ -= slices_.front().retries_;
      slices_.pop_front();
    }
    if (slices_.empty() || slices_.back().number_ < number) {
      slices_.push_back({ number, 0, 0 });
    }
    return slices_.back();
  }

  double share_;
  double extra_ = 0;
  model::Duration slice_;
  std::deque<Slice> slices_;
  double requests_ = 0;
  double retries_ = 0;
};

class UnlimitedBudget final : public RetryBudget
{
public:
  void CountRequest(model::TimePoint) noexcept override {}
  [[nodiscard]] bool TakeRetry(model::TimePoint) noexcept override { return true; }
  [[nodiscard]] double Left(model::TimePoint) noexcept override
  {
    return std::numeric_limits<double>::infinity();
  }
};

} // namespace

void RetryBudget::SetExtra(double) noexcept {}

std::unique_ptr<RetryBudget> MakePercentBudget(double aPercent, double aBurst)
{
  return std::make_unique<PercentBudget>(aPercent, aBurst);
}

std::unique_ptr<RetryBudget> MakeWindowBudget(double aShare, std::chrono::milliseconds aWindow)
{
  return std::make_unique<WindowBudget>(aShare, aWindow);
}

std::unique_ptr<RetryBudget> MakeUnlimitedBudget()
{
  return std::make_unique<UnlimitedBudget>();
}

} // namespace hemlockproxy::decisions
