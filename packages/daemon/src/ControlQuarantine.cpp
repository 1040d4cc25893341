// What other owners know of suspected requests, as ControlThread exchanges it.

#include "hemlockproxy/daemon/ControlThread.h"

#include "impl/ControlCalls.h"

#include <boost/fiber/future/promise.hpp>

#include <algorithm>

namespace hemlockproxy::daemon {

namespace {

/// Owners of the same service that a daemon asks after its start; each of them has been told all.
constexpr std::size_t kAskedOwners = 4;
constexpr std::chrono::milliseconds kAskTimeout{ 500 };
constexpr std::chrono::milliseconds kAskAgain{ 1000 };
/// The traffic thread answers between two requests.
constexpr std::chrono::milliseconds kRecordsWait{ 300 };

model::TimePoint Now()
{
  return std::chrono::steady_clock::now();
}

} // namespace

std::vector<model::Address> ControlThread::OwnersOf(const model::ServiceName& aService) const
{
  std::vector<model::Address> owners;
  for (const auto& member : membership_.Members()) {
    const bool owner = member->state_ == model::MemberState::Alive && member->endpoint_ &&
                       member->endpoint_->service_ == aService;
    if (owner && member->id_ != membership_.Self()->id_) {
      owners.push_back(member->control_);
    }
  }
  return owners;
}

void ControlThread::On(QuarantineNews& aNews)
{
  if (!local_) {
    return;
  }
  const std::string body = wire::EncodeQuarantineReport(aNews.records_);
  for (const model::Address& to : OwnersOf(local_->service_)) {
    runtime::SpawnFiber([this, to, body] {
      (void)transport_->Call(to, impl::kQuarantinePath, body, impl::kCallTimeout);
    });
  }
}

std::optional<std::string> ControlThread::OnQuarantineReport(const std::string& aBody)
{
  auto records = wire::DecodeQuarantineReport(aBody);
  if (!records) {
    return std::nullopt;
  }
  if (!records->empty()) {
    events_.Add(runtime::LogEvent::SuspectsReported,
                std::to_string(records->size()) + " records from another owner");
    (void)onQuarantine_(*std::move(records));
    return std::string();
  }
  // An empty report asks for all that is known here.
  const auto answer = std::make_shared<boost::fibers::promise<wire::QuarantineRecords>>();
  auto known = answer->get_future();
  const bool asked = readQuarantine_(
    [answer](wire::QuarantineRecords aRecords) { answer->set_value(std::move(aRecords)); });
  if (!asked || known.wait_for(kRecordsWait) != boost::fibers::future_status::ready) {
    return std::nullopt;
  }
  return wire::EncodeQuarantineReport(known.get());
}

void ControlThread::TickQuarantine()
{
  if (heldLocal_ && Now() >= publishBy_) {
    PublishHeldEndpoint();
  }
  const auto& endpoint = heldLocal_ ? heldLocal_ : local_;
  if (quarantineHeard_ || askingQuarantine_ || !endpoint || Now() < nextQuarantineAsk_ ||
      membership_.Members().size() <= 1) {
    return;
  }
  std::vector<model::Address> owners = OwnersOf(endpoint->service_);
  if (owners.empty()) {
    PublishHeldEndpoint();
    return;
  }
  std::shuffle(owners.begin(), owners.end(), random_);
  owners.resize(std::min(owners.size(), kAskedOwners));
  askingQuarantine_ = true;
  auto open = std::make_shared<std::size_t>(owners.size());
  for (const model::Address& owner : owners) {
    runtime::SpawnFiber([this, owner, open] {
      AskQuarantine(owner);
      if (--*open == 0) {
        askingQuarantine_ = false;
        nextQuarantineAsk_ = Now() + kAskAgain;
        if (quarantineHeard_) {
          PublishHeldEndpoint();
        }
      }
    });
  }
}

void ControlThread::AskQuarantine(const model::Address& aOwner)
{
  const std::string question = wire::EncodeQuarantineReport({});
  const auto answer = transport_->Call(aOwner, impl::kQuarantinePath, question, kAskTimeout);
  if (!answer) {
    return;
  }
  auto records = wire::DecodeQuarantineReport(*answer);
  if (!records) {
    return;
  }
  if (records->empty()) {
    quarantineHeard_ = true;
    return;
  }
  const std::string count = std::to_string(records->size());
  if (onQuarantine_(*std::move(records))) {
    quarantineHeard_ = true;
    events_.Add(runtime::LogEvent::SuspectsReported, count + " records from " + ToString(aOwner));
  }
}

void ControlThread::PublishHeldEndpoint()
{
  if (!heldLocal_) {
    return;
  }
  published_ = true;
  Apply(std::exchange(heldLocal_, std::nullopt));
  Publish();
}

} // namespace hemlockproxy::daemon
