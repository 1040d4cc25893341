#include "hemlockproxy/decisions/AllowanceBorrower.h"

#include <algorithm>
#include <utility>

namespace hemlockproxy::decisions {

model::TimePoint TimeOf(const AllowanceStamp& aStamp) noexcept
{
  return model::TimePoint{} + std::chrono::milliseconds(aStamp.time_);
}

AllowanceStamp StampOf(std::uint64_t aEpoch, model::TimePoint aNow) noexcept
{
  const auto time = std::chrono::floor<std::chrono::milliseconds>(aNow.time_since_epoch());
  return { aEpoch, static_cast<std::uint64_t>(time.count()) };
}

AllowanceBorrower::AllowanceBorrower(AllowanceLevel aLevel,
                                     std::uint64_t aEpoch,
                                     model::TimePoint aStart) noexcept
  : level_(aLevel)
  , epoch_(aEpoch)
  , settled_(aStart + TermsOf(aLevel).pledge_)
{
}

AllowanceAsk AllowanceBorrower::Ask(model::TimePoint aNow,
                                    const model::DaemonId& aLender,
                                    double aShare,
                                    std::vector<AllowanceDemand> aDemands)
{
  if (aLender != lender_) {
    lender_ = aLender;
    heard_ = {};
  }
  std::erase_if(loans_, [&](const auto& aLoan) { return aLoan.second.until_ <= aNow; });
  std::erase_if(pledges_, [&](const Held& aPledge) { return aPledge.until_ <= aNow; });
  AllowanceAsk ask{ level_, StampOf(epoch_, aNow), heard_, 0, std::move(aDemands) };
  const bool free = pledges_.empty() || holder_ == heard_.epoch_;
  if (heard_.epoch_ != 0 && Settled(aNow) && free) {
    holder_ = heard_.epoch_;
    while (!pledges_.empty() && pledges_.back().share_ <= aShare) {
      pledges_.pop_back();
    }
    pledges_.push_back({ aShare, aNow + TermsOf(level_).pledge_ });
    ask.pledge_ = aShare;
  }
  return ask;
}

bool AllowanceBorrower::Take(model::TimePoint aNow,
                             const model::DaemonId& aLender,
                             const AllowanceGrant& aGrant)
{
  if (aLender != lender_ || aGrant.echo_.epoch_ != epoch_ || aGrant.stamp_.epoch_ == 0) {
    return false;
  }
  if (heard_.epoch_ != aGrant.stamp_.epoch_ || heard_.time_ < aGrant.stamp_.time_) {
    heard_ = aGrant.stamp_;
  }
  const auto until = TimeOf(aGrant.echo_) + TermsOf(level_).loan_;
  if (until <= aNow) {
    return false;
  }
  for (const AllowanceLoan& loan : aGrant.loans_) {
    Held& held = loans_[loan.customer_];
    if (held.until_ <= until) {
      held = { std::max(0.0, loan.share_), until };
    }
  }
  return true;
}

double AllowanceBorrower::Pledged(model::TimePoint aNow) const noexcept
{
  for (const Held& pledge : pledges_) {
    if (aNow < pledge.until_) {
      return pledge.share_;
    }
  }
  return 0;
}

double AllowanceBorrower::Lent(const model::CustomerName& aCustomer, model::TimePoint aUntil) const
{
  const auto found = loans_.find(aCustomer);
  return found != loans_.end() && aUntil < found->second.until_ ? found->second.share_ : 0;
}

model::TimePoint AllowanceBorrower::TokensUntil(const AllowanceGrant& aGrant) const noexcept
{
  return TimeOf(aGrant.echo_) + kAllowanceTokenTerm;
}

} // namespace hemlockproxy::decisions
