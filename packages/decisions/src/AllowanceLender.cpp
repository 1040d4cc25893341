#include "hemlockproxy/decisions/AllowanceLender.h"

#include <algorithm>
#include <utility>

namespace hemlockproxy::decisions {

namespace {

/// Loans exceed the demand of the last interval, so that a growing demand is not refused at once.
constexpr double kHeadroom = 1.15;
/// The rest stays at the lender, for requests at daemons that hold nothing.
constexpr double kLentPart = 0.85;
/// The root lender has no daemons of its own and lends all. This part goes to the domains with
/// demand in equal shares: the demand of a small customer is known too roughly to divide by it
/// alone.
constexpr double kEvenPart = 0.6;
/// A daemon with less demand asks for whole requests; a rate of its own would mostly lie idle.
constexpr double kLeastDemand = 10;
/// A share whose bucket holds less than this is not lent: whole requests are lent in its place.
constexpr double kLeastStock = 5;

} // namespace

AllowanceLender::AllowanceLender(AllowanceLevel aLevel,
                                 std::uint64_t aEpoch,
                                 model::TimePoint aStart) noexcept
  : level_(aLevel)
  , epoch_(aEpoch)
  // What an earlier process made over stood on pledges to that process, whose makers still hold
  // them back; there is nothing to wait for.
  , borrower_(AllowanceLevel::Root, aEpoch, aStart - kRootTerms.pledge_)
{
}

void AllowanceLender::Configure(model::TimePoint aNow, const model::CustomerListPtr& aCustomers)
{
  if (aCustomers == customers_) {
    return;
  }
  AdvanceAll(aNow);
  customers_ = aCustomers;
  std::unordered_map<model::CustomerName, Line> lines;
  if (customers_) {
    for (const model::Customer& customer : customers_->customers_) {
      if (customer.ratePerSecond_ <= 0) {
        continue;
      }
      const auto held = lines_.find(customer.name_);
      Line line = held == lines_.end() ? Line{} : std::move(held->second);
      line.rule_ = AllowanceRule::Of(customer);
      lines.emplace(customer.name_, std::move(line));
    }
  }
  lines_ = std::move(lines);
  std::erase_if(active_, [&](const auto& aName) { return !lines_.contains(aName); });
}

double AllowanceLender::Pool(model::TimePoint aUntil) const noexcept
{
  double sum = 0;
  for (const auto& [borrower, pledge] : pledges_) {
    sum += pledge.until_ > aUntil ? pledge.share_ : 0;
  }
  return std::min(sum, 1.0);
}

double AllowanceLender::LentPerSecond(const model::CustomerName& aCustomer) const
{
  const auto found = lines_.find(aCustomer);
  return found == lines_.end() ? 0 : found->second.lent_ * found->second.rule_.ratePerSecond_;
}

void AllowanceLender::Expire(model::TimePoint aNow, Line& aLine)
{
  while (!aLine.ends_.empty() && aLine.ends_.front().first <= aNow) {
    const auto found = aLine.leases_.find(aLine.ends_.front().second);
    aLine.ends_.pop_front();
    Lease& lease = found->second;
    const double before = lease.loans_.empty() ? 0 : lease.loans_.front().share_;
    while (!lease.loans_.empty() && lease.loans_.front().until_ <= aNow) {
      lease.loans_.pop_front();
    }
    aLine.lent_ += (lease.loans_.empty() ? 0 : lease.loans_.front().share_) - before;
    if (--lease.pending_ == 0) {
      aLine.demand_ -= lease.demand_;
      aLine.leases_.erase(found);
    }
  }
  if (aLine.leases_.empty()) {
    // Ends the rounding errors of the sums.
    aLine.lent_ = 0;
    aLine.demand_ = 0;
  }
}

double AllowanceLender::Share(model::TimePoint aNow,
                              const model::CustomerName& aCustomer,
                              model::TimePoint aUntil) const
{
  const double pool = Pool(aUntil);
  const double kept = reserved_ ? kRootPart * pool : 0;
  return std::max(0.0, pool - std::max(kept, borrower_.Pledged(aNow))) +
         borrower_.Lent(aCustomer, aUntil);
}

void AllowanceLender::Advance(model::TimePoint aNow,
                              const model::CustomerName& aCustomer,
                              Line& aLine)
{
  Expire(aNow, aLine);
  aLine.bucket_.Advance(
    aNow, aLine.rule_, Share(aNow, aCustomer, aNow + kAllowanceTokenTerm) - aLine.lent_);
}

void AllowanceLender::AdvanceAll(model::TimePoint aNow)
{
  for (auto& [name, line] : lines_) {
    Advance(aNow, name, line);
  }
}

void AllowanceLender::TakePledge(model::TimePoint aNow,
                                 const model::DaemonId& aBorrower,
                                 const AllowanceAsk& aAsk)
{
  std::erase_if(pledges_, [&](const auto& aPledge) { return aPledge.second.until_ <= aNow; });
  if (aAsk.echo_.epoch_ != epoch_ || !(aAsk.pledge_ >= 0 && aAsk.pledge_ <= 1)) {
    return;
  }
  const auto until = TimeOf(aAsk.echo_) + TermsOf(level_).pledge_;
  if (until <= aNow || TimeOf(aAsk.echo_) > aNow) {
    return;
  }
  Held& pledge = pledges_[aBorrower];
  if (pledge.until_ > until) {
    return;
  }
  if (aAsk.pledge_ > pledge.share_) {
    // Buckets must not fill with the greater share for the time before.
    AdvanceAll(aNow);
  }
  pledge = { aAsk.pledge_, until };
}

double AllowanceLender::Lend(model::TimePoint aNow,
                             const model::DaemonId& aBorrower,
                             const AllowanceDemand& aDemand,
                             Line& aLine)
{
  const auto until = aNow + TermsOf(level_).loan_;
  const double there = Share(aNow, aDemand.customer_, until);
  Lease& lease = aLine.leases_[aBorrower];
  aLine.demand_ += std::max(0.0, aDemand.perSecond_) - lease.demand_;
  lease.demand_ = std::max(0.0, aDemand.perSecond_);
  const double before = lease.loans_.empty() ? 0 : lease.loans_.front().share_;
  const double part = aLine.demand_ > 0 ? lease.demand_ / aLine.demand_ : 0;
  const double even = 1 / static_cast<double>(aLine.leases_.size());
  double wanted = there * (kEvenPart * even + (1 - kEvenPart) * part);
  if (level_ == AllowanceLevel::Domain) {
    const double expected = kHeadroom * lease.demand_ / aLine.rule_.ratePerSecond_;
    wanted = std::min(expected, kLentPart * there * part);
  }
  const double free =
    there - (aLine.lent_ - before) - aLine.bucket_.LentTokens(aNow) / aLine.rule_.stock_;
  double share = std::clamp(free, 0.0, wanted);
  const bool idle = level_ == AllowanceLevel::Domain &&
                    (lease.demand_ < kLeastDemand || share * aLine.rule_.stock_ < kLeastStock);
  if (idle) {
    share = 0;
  }
  while (!lease.loans_.empty() && lease.loans_.back().share_ <= share) {
    lease.loans_.pop_back();
  }
  lease.loans_.push_back({ share, until });
  ++lease.pending_;
  aLine.ends_.emplace_back(until, aBorrower);
  aLine.lent_ += lease.loans_.front().share_ - before;
  return share;
}

AllowanceGrant AllowanceLender::Answer(model::TimePoint aNow,
                                       const model::DaemonId& aBorrower,
                                       const AllowanceAsk& aAsk)
{
  AllowanceGrant grant{ level_, StampOf(epoch_, aNow), aAsk.stamp_, {} };
  if (pledges_.size() >= kMostBorrowers && !pledges_.contains(aBorrower)) {
    return grant;
  }
  TakePledge(aNow, aBorrower, aAsk);
  for (const AllowanceDemand& demand : aAsk.demands_) {
    const auto found = lines_.find(demand.customer_);
    if (found == lines_.end()) {
      continue;
    }
    Line& line = found->second;
    if (!line.listed_) {
      line.listed_ = true;
      active_.push_back(demand.customer_);
    }
    Advance(aNow, demand.customer_, line);
    AllowanceLoan loan{ demand.customer_, Lend(aNow, aBorrower, demand, line) };
    Advance(aNow, demand.customer_, line);
    loan.tokens_ = line.bucket_.TakeFor(demand.tokens_, aNow + kAllowanceTokenTerm);
    loan.exhausted_ = loan.tokens_ < demand.tokens_;
    grant.loans_.push_back(std::move(loan));
  }
  return grant;
}

bool AllowanceLender::AskDue(model::TimePoint aNow) const noexcept
{
  return !lines_.empty() && level_ == AllowanceLevel::Domain && !pledges_.empty() &&
         aNow >= nextAsk_;
}

AllowanceAsk AllowanceLender::Ask(model::TimePoint aNow, const model::DaemonId& aRoot)
{
  nextAsk_ = aNow + kAllowanceInterval;
  if (reserved_ && borrower_.Pledged(aNow) <= 0 && aNow - rootHeard_ >= kRootTerms.pledge_) {
    AdvanceAll(aNow);
    reserved_ = false;
  }
  std::vector<AllowanceDemand> demands;
  std::erase_if(active_, [&](const model::CustomerName& aName) {
    Line& line = lines_.at(aName);
    Expire(aNow, line);
    line.listed_ = !line.leases_.empty();
    if (line.listed_) {
      demands.push_back({ aName, line.demand_, 0 });
    }
    return !line.listed_;
  });
  // What was lent from the root's part before it was reserved has expired by then.
  const bool free = reserved_ && aNow - reservedSince_ >= kDomainTerms.loan_;
  const double share = free ? kRootPart * Pool(aNow + kRootTerms.pledge_) : 0;
  return borrower_.Ask(aNow, aRoot, share, std::move(demands));
}

void AllowanceLender::Take(model::TimePoint aNow,
                           const model::DaemonId& aRoot,
                           const AllowanceGrant& aGrant)
{
  if (aGrant.level_ != AllowanceLevel::Root) {
    return;
  }
  for (const AllowanceLoan& loan : aGrant.loans_) {
    if (const auto found = lines_.find(loan.customer_); found != lines_.end()) {
      Advance(aNow, loan.customer_, found->second);
    }
  }
  if (!borrower_.Take(aNow, aRoot, aGrant)) {
    return;
  }
  rootHeard_ = aNow;
  if (!reserved_) {
    reserved_ = true;
    reservedSince_ = aNow;
  }
}

} // namespace hemlockproxy::decisions
