// The lenders of customers' allowances at the control thread.

#include "hemlockproxy/daemon/ControlThread.h"

#include "hemlockproxy/wire/MembershipCodec.h"

#include <utility>

namespace hemlockproxy::daemon {

namespace {

model::TimePoint Now()
{
  return std::chrono::steady_clock::now();
}

/// An id is the text of a control address that was parsed before.
model::Address AddressOf(const model::DaemonId& aId)
{
  auto address = model::ParseAddress(aId.Value());
  return address ? *address : model::Address{};
}

} // namespace

void ControlThread::On(AllowanceRequest& aRequest)
{
  SendAsk(aRequest.lender_, aRequest.ask_);
}

void ControlThread::SendAsk(const model::DaemonId& aLender, const decisions::AllowanceAsk& aAsk)
{
  const model::DaemonId self = IdOf(settings_);
  if (aLender == self) {
    OnAsk(self, aAsk);
    return;
  }
  for (const std::string& bytes : wire::EncodeAllowanceAsk(aAsk, self, events_.Stamp())) {
    transport_->SendDatagram(AddressOf(aLender), bytes);
  }
}

void ControlThread::OnAsk(const model::DaemonId& aFrom, const decisions::AllowanceAsk& aAsk)
{
  const model::DaemonId self = IdOf(settings_);
  auto& lender = aAsk.level_ == decisions::AllowanceLevel::Domain ? domainLender_ : rootLender_;
  auto grant = lender.Answer(Now(), aFrom, aAsk);
  if (aFrom == self) {
    OnGrant(self, std::move(grant));
    return;
  }
  for (const std::string& bytes : wire::EncodeAllowanceGrant(grant, self, events_.Stamp())) {
    transport_->SendDatagram(AddressOf(aFrom), bytes);
  }
}

void ControlThread::OnGrant(const model::DaemonId& aFrom, decisions::AllowanceGrant aGrant)
{
  if (aGrant.level_ == decisions::AllowanceLevel::Root) {
    domainLender_.Take(Now(), aFrom, aGrant);
  } else if (onGrant_) {
    onGrant_(aFrom, std::move(aGrant));
  }
}

void ControlThread::TickAllowances()
{
  const auto customers = routes_ ? routes_->Configuration().customers_ : nullptr;
  domainLender_.Configure(Now(), customers);
  rootLender_.Configure(Now(), customers);
  if (!rootLenderId_.Empty() && domainLender_.AskDue(Now())) {
    SendAsk(rootLenderId_, domainLender_.Ask(Now(), rootLenderId_));
  }
}

} // namespace hemlockproxy::daemon
