#include "hemlockproxy/decisions/Allowances.h"

#include <algorithm>
#include <utility>

namespace hemlockproxy::decisions {

namespace {

/// Requests that wait are asked for together.
constexpr std::chrono::milliseconds kUrgentInterval{ 5 };
/// The lender's own bucket fills no faster for being asked more often.
constexpr std::chrono::milliseconds kQuiet{ 200 };
/// Members that are lost count for this long: the pledges behind their shares have expired then,
/// and a lender that hears of the loss late has heard of it.
constexpr std::chrono::seconds kFewerDelay{ 15 };
constexpr std::chrono::duration<double> kMostWait{ 60 };
constexpr std::uint32_t kMostWaiting = 64;
/// Below this rate a customer counts as idle.
constexpr double kLeastDemand = 0.02;
/// About 2.5 s, so that a few requests more or less do not move loans.
constexpr double kSmoothing = 0.15;
/// Requests in one interval that are not taken for chance when they exceed the smoothed rate.
constexpr double kSurge = 8;

} // namespace

Allowances::Allowances(std::uint64_t aEpoch, model::TimePoint aStart) noexcept
  : epoch_(aEpoch)
  , borrower_(AllowanceLevel::Domain, aEpoch, aStart)
{
}

void Allowances::AdvanceAll(model::TimePoint aNow)
{
  for (auto& [name, account] : accounts_) {
    account.bucket_.Advance(aNow, account.rule_, Share(aNow, name));
  }
}

void Allowances::Configure(model::TimePoint aNow, const model::CustomerListPtr& aCustomers)
{
  if (aCustomers == customers_) {
    return;
  }
  AdvanceAll(aNow);
  customers_ = aCustomers;
  std::unordered_map<model::CustomerName, Account> accounts;
  if (customers_) {
    for (const model::Customer& customer : customers_->customers_) {
      if (customer.ratePerSecond_ <= 0) {
        continue;
      }
      const auto held = accounts_.find(customer.name_);
      Account account = held == accounts_.end() ? Account{} : std::move(held->second);
      account.rule_ = AllowanceRule::Of(customer);
      account.figures_.ratePerSecond_ = customer.ratePerSecond_;
      accounts.emplace(customer.name_, std::move(account));
    }
  }
  accounts_ = std::move(accounts);
  std::erase_if(active_, [&](const auto& aName) { return !accounts_.contains(aName); });
}

void Allowances::SetDaemons(model::TimePoint aNow, std::size_t aCount)
{
  if (aCount == daemons_) {
    fewerSince_ = {};
    return;
  }
  AdvanceAll(aNow);
  const bool waiting = fewerSince_ != model::TimePoint{};
  if (aCount > daemons_ || (waiting && aNow - fewerSince_ >= kFewerDelay)) {
    daemons_ = aCount;
    fewerSince_ = {};
  } else if (!waiting) {
    fewerSince_ = aNow;
  }
}

double Allowances::Share(model::TimePoint aNow, const model::CustomerName& aCustomer) const
{
  if (daemons_ == 0) {
    return 0;
  }
  const bool alone = borrower_.Settled(aNow) && borrower_.Pledged(aNow) <= 0;
  const double own = kGuaranteedShare + (alone ? kAloneShare : 0);
  return own / static_cast<double>(daemons_) + borrower_.Lent(aCustomer, aNow);
}

AllowanceVerdict Allowances::Admit(model::TimePoint aNow,
                                   const model::CustomerName& aCustomer,
                                   bool aAgain)
{
  const auto found = accounts_.find(aCustomer);
  if (found == accounts_.end()) {
    return { true };
  }
  Account& account = found->second;
  if (!account.listed_) {
    account.listed_ = true;
    account.demandSince_ = aNow;
    active_.push_back(aCustomer);
  }
  account.arrivals_ += aAgain ? 0 : 1;
  const double share = Share(aNow, aCustomer);
  account.bucket_.Advance(aNow, account.rule_, share);
  if (account.bucket_.Take(1) == 1) {
    ++account.figures_.used_;
    return { true };
  }
  // The lender's next token comes for the whole allowance, and is asked for no sooner than after
  // the quiet time.
  const std::chrono::duration<double> next(1 / account.rule_.ratePerSecond_);
  const auto wait = std::max<model::Duration>(
    kQuiet, std::chrono::duration_cast<model::Duration>(std::min(next, kMostWait)));
  AllowanceVerdict verdict{ false,
                            std::min(wait, account.bucket_.Wait(account.rule_, share)),
                            false };
  if (!aAgain && aNow >= account.quietUntil_) {
    account.waiting_ = std::min(account.waiting_ + 1, kMostWaiting);
    urgent_ = true;
    verdict.askable_ = true;
  }
  return verdict;
}

void Allowances::Refuse(const model::CustomerName& aCustomer)
{
  if (const auto found = accounts_.find(aCustomer); found != accounts_.end()) {
    ++found->second.figures_.refused_;
  }
}

bool Allowances::AskDue(model::TimePoint aNow) const noexcept
{
  return Active() && (aNow >= nextAsk_ || (urgent_ && aNow >= nextUrgent_));
}

std::vector<AllowanceDemand> Allowances::Demands(model::TimePoint aNow)
{
  std::vector<AllowanceDemand> demands;
  std::vector<model::CustomerName> active;
  for (const model::CustomerName& name : active_) {
    Account& account = accounts_.at(name);
    const double seconds = std::chrono::duration<double>(aNow - account.demandSince_).count();
    double expected = account.demand_;
    if (aNow - account.demandSince_ >= kAllowanceInterval) {
      const double recent = account.arrivals_ / seconds;
      account.demand_ += kSmoothing * (recent - account.demand_);
      expected = account.demand_;
      if (account.arrivals_ >= kSurge && recent > 2 * account.demand_) {
        account.demand_ = recent;
        expected = recent;
      }
      account.arrivals_ = 0;
      account.demandSince_ = aNow;
    }
    const std::uint32_t waiting = std::exchange(account.waiting_, 0);
    if (account.demand_ < kLeastDemand && account.arrivals_ <= 0 && waiting == 0) {
      account.listed_ = false;
      continue;
    }
    active.push_back(name);
    demands.push_back({ name, expected, waiting });
  }
  active_ = std::move(active);
  return demands;
}

AllowanceAsk Allowances::Ask(model::TimePoint aNow, const model::DaemonId& aLender)
{
  // What waits is asked for apart from the regular exchange, which goes on at its own pace.
  nextAsk_ = aNow >= nextAsk_ ? aNow + kAllowanceInterval : nextAsk_;
  nextUrgent_ = aNow + kUrgentInterval;
  urgent_ = false;
  const double share = daemons_ == 0 ? 0 : 1 / static_cast<double>(daemons_);
  const bool alone = borrower_.Pledged(aNow) <= 0;
  if (alone) {
    AdvanceAll(aNow);
  }
  AllowanceAsk ask = borrower_.Ask(aNow, aLender, share, Demands(aNow));
  if (alone) {
    AdvanceAll(aNow);
  }
  return ask;
}

void Allowances::Take(model::TimePoint aNow,
                      const model::DaemonId& aLender,
                      const AllowanceGrant& aGrant)
{
  if (aGrant.level_ != AllowanceLevel::Domain) {
    return;
  }
  // The buckets fill with the old shares up to now.
  for (const AllowanceLoan& loan : aGrant.loans_) {
    if (const auto found = accounts_.find(loan.customer_); found != accounts_.end()) {
      found->second.bucket_.Advance(aNow, found->second.rule_, Share(aNow, loan.customer_));
    }
  }
  if (!borrower_.Take(aNow, aLender, aGrant)) {
    return;
  }
  for (const AllowanceLoan& loan : aGrant.loans_) {
    const auto found = accounts_.find(loan.customer_);
    if (found == accounts_.end()) {
      continue;
    }
    Account& account = found->second;
    account.bucket_.Advance(aNow, account.rule_, Share(aNow, loan.customer_));
    if (loan.tokens_ > 0) {
      account.bucket_.Add(loan.tokens_, borrower_.TokensUntil(aGrant));
    }
    if (loan.exhausted_) {
      account.quietUntil_ = aNow + kQuiet;
    }
  }
}

std::map<model::CustomerName, AllowanceFigures> Allowances::Figures(model::TimePoint aNow) const
{
  std::map<model::CustomerName, AllowanceFigures> figures;
  for (const auto& [name, account] : accounts_) {
    AllowanceFigures& one = figures.emplace(name, account.figures_).first->second;
    one.lentPerSecond_ = account.rule_.ratePerSecond_ * borrower_.Lent(name, aNow);
  }
  return figures;
}

} // namespace hemlockproxy::decisions
