// Customers' allowances at the entry.

#include "hemlockproxy/daemon/EntryService.h"

#include "impl/EntryCall.h"

#include <boost/fiber/operations.hpp>

#include <string>

namespace hemlockproxy::daemon {

namespace {

/// A round trip inside a failure domain and the pace of a busy control thread. A request for which
/// the lender has none is refused after this time.
constexpr std::chrono::milliseconds kTokenWait{ 60 };
constexpr std::chrono::milliseconds kTokenPoll{ 2 };

model::TimePoint Now()
{
  return std::chrono::steady_clock::now();
}

} // namespace

void EntryService::RefreshAllowances(const TrafficView& aView)
{
  if (!aView.routes_) {
    return;
  }
  const auto& customers = aView.routes_->Configuration().customers_;
  if (!options_.askAllowances_) {
    shares_.Configure(customers, aView.daemons_);
    return;
  }
  allowances_.Configure(Now(), customers);
  allowances_.SetDaemons(Now(), aView.daemons_);
}

void EntryService::AskAllowances(const TrafficView& aView)
{
  const bool known = options_.askAllowances_ && !aView.allowanceLender_.Empty();
  if (const auto now = Now(); known && allowances_.AskDue(now)) {
    options_.askAllowances_(aView.allowanceLender_, allowances_.Ask(now, aView.allowanceLender_));
  }
}

void EntryService::TakeGrant(const model::DaemonId& aLender,
                             const decisions::AllowanceGrant& aGrant)
{
  allowances_.Take(Now(), aLender, aGrant);
}

bool EntryService::TakeAllowance(const TrafficView& aView, Call& aCall)
{
  RefreshAllowances(aView);
  const model::CustomerName& customer = aCall.request_.customer_;
  if (!options_.askAllowances_) {
    const bool admitted = shares_.Take(Now(), customer);
    if (!admitted) {
      aCall.expectedWait_ = shares_.Wait(Now(), customer);
    }
    return admitted;
  }
  auto verdict = allowances_.Admit(Now(), customer);
  const auto until = std::min(Now() + kTokenWait, aCall.request_.deadline_);
  while (verdict.askable_ && !verdict.admitted_ && Now() < until && !aCall.cancel_.Cancelled()) {
    AskAllowances(*views_.Load());
    boost::this_fiber::sleep_for(kTokenPoll);
    verdict = allowances_.Admit(Now(), customer, true);
    verdict.askable_ = true;
  }
  if (!verdict.admitted_) {
    allowances_.Refuse(customer);
    aCall.expectedWait_ = verdict.wait_;
  }
  return verdict.admitted_;
}

void EntryService::RecordAllowances()
{
  using runtime::Family;
  for (const auto& [customer, figures] : allowances_.Figures(Now())) {
    const std::string& name = customer.Value();
    metrics_.Set(Family::Allowances, { name, "allowance" }, figures.ratePerSecond_);
    metrics_.Set(Family::Allowances, { name, "lent" }, figures.lentPerSecond_);
    metrics_.Set(Family::AllowanceRequests, { name, "used" }, static_cast<double>(figures.used_));
    metrics_.Set(
      Family::AllowanceRequests, { name, "refused" }, static_cast<double>(figures.refused_));
  }
}

} // namespace hemlockproxy::daemon
