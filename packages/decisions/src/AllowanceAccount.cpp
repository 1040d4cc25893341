#include "hemlockproxy/decisions/AllowanceAccount.h"

#include <algorithm>
#include <cmath>

namespace hemlockproxy::decisions {

namespace {

/// Keeps the rounding of sums from taking a whole token away.
constexpr double kRounding = 1e-9;

double Seconds(model::Duration aTime) noexcept
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

void AllowanceAccount::Advance(model::TimePoint aNow,
                               const AllowanceRule& aRule,
                               double aShare) noexcept
{
  std::erase_if(borrowed_, [&](const Lot& aLot) { return aLot.until_ <= aNow; });
  const double share = std::max(0.0, aShare);
  if (aNow > filled_) {
    tokens_ += Seconds(aNow - filled_) * aRule.ratePerSecond_ * std::min(share, share_);
    filled_ = aNow;
  }
  share_ = share;
  tokens_ = std::clamp(tokens_, 0.0, std::max(0.0, aRule.stock_ * share - LentTokens(aNow)));
}

std::uint32_t AllowanceAccount::Take(std::uint32_t aMost) noexcept
{
  std::uint32_t taken = 0;
  while (taken < aMost && !borrowed_.empty()) {
    ++taken;
    if (--borrowed_.front().tokens_ == 0) {
      borrowed_.pop_front();
    }
  }
  const auto own =
    std::min<std::uint32_t>(aMost - taken, static_cast<std::uint32_t>(tokens_ + kRounding));
  tokens_ = std::max(0.0, tokens_ - own);
  return taken + own;
}

std::uint32_t AllowanceAccount::TakeFor(std::uint32_t aMost, model::TimePoint aUntil)
{
  const auto own = std::min<std::uint32_t>(aMost, static_cast<std::uint32_t>(tokens_ + kRounding));
  if (own > 0) {
    tokens_ = std::max(0.0, tokens_ - own);
    lent_.push_back({ own, aUntil });
  }
  return own;
}

void AllowanceAccount::Add(std::uint32_t aTokens, model::TimePoint aUntil)
{
  if (aTokens > 0) {
    borrowed_.push_back({ aTokens, aUntil });
  }
}

double AllowanceAccount::LentTokens(model::TimePoint aNow) noexcept
{
  std::erase_if(lent_, [&](const Lot& aLot) { return aLot.until_ <= aNow; });
  double sum = 0;
  for (const Lot& lot : lent_) {
    sum += lot.tokens_;
  }
  return sum;
}

model::Duration AllowanceAccount::Wait(const AllowanceRule& aRule, double aShare) const noexcept
{
  constexpr double kLongest = 60;
  const double rate = aRule.ratePerSecond_ * aShare;
  const double missing = std::max(0.0, 1 - tokens_);
  const double seconds = rate * kLongest > missing ? missing / rate : kLongest;
  return std::chrono::duration_cast<model::Duration>(std::chrono::duration<double>(seconds));
}

} // namespace hemlockproxy::decisions
