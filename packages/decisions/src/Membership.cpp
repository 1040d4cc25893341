#include "hemlockproxy/decisions/Membership.h"

#include "impl/MembershipEngine.h"

#include <utility>

namespace hemlockproxy::decisions {

namespace {

std::string FindFault(const MembershipOptions& aOptions)
{
  constexpr std::size_t kMinDatagram = 512;
  if (aOptions.id_.Empty() || aOptions.domain_.Empty() || aOptions.region_.Empty()) {
    return "id, failure domain and region must be set";
  }
  if (aOptions.id_.Value() != model::ToString(aOptions.control_)) {
    return "the id '" + aOptions.id_.Value() + "' is not the control address '" +
           model::ToString(aOptions.control_) + "'";
  }
  if (aOptions.probePeriod_.count() <= 0 || aOptions.ackTimeout_.count() <= 0 ||
      aOptions.ackTimeout_ >= aOptions.probePeriod_) {
    return "the ack timeout must be positive and shorter than the probe period";
  }
  if (aOptions.datagramBytes_ < kMinDatagram) {
    return "datagrams must have room for 512 bytes";
  }
  if (aOptions.relays_ == 0 || aOptions.digestInterval_.count() <= 0 ||
      aOptions.repairInterval_.count() <= 0 || aOptions.reconnectInterval_.count() <= 0) {
    return "relays and intervals must be positive";
  }
  if (aOptions.joinBurst_ == 0 || aOptions.joinsPerSecond_ <= 0.0) {
    return "the rate and burst of admitted joins must be positive";
  }
  return {};
}

} // namespace

std::size_t EncodedSizeBound(const Update& aUpdate) noexcept
{
  constexpr std::size_t kClaim = 28;
  constexpr std::size_t kRecord = 64;
  constexpr std::size_t kName = 6;
  if (const auto* record = std::get_if<MemberRecordPtr>(&aUpdate)) {
    const model::MemberRecord& member = **record;
    const std::size_t service =
      member.endpoint_ ? member.endpoint_->service_.Value().size() : std::size_t{ 0 };
    const std::size_t forward =
      member.forward_.ip_ == member.control_.ip_ ? std::size_t{ 0 } : member.forward_.ip_.size();
    return kRecord + member.region_.Value().size() + member.domain_.Value().size() + service +
           forward;
  }
  if (std::holds_alternative<StateClaim>(aUpdate)) {
    return kClaim;
  }
  std::size_t names = 0;
  for (const model::FailureDomain& domain : std::get<DomainView>(aUpdate).unreachable_) {
    names += domain.Value().size() + kName;
  }
  return kClaim + names;
}

model::Result<Membership, MembershipError> Membership::Create(MembershipOptions aOptions)
{
  if (std::string fault = FindFault(aOptions); !fault.empty()) {
    return MembershipError{ std::move(fault) };
  }
  return Membership(std::make_unique<impl::MembershipEngine>(std::move(aOptions)));
}

Membership::Membership(std::unique_ptr<impl::MembershipEngine> aEngine) noexcept
  : engine_(std::move(aEngine))
{
}

Membership::Membership(Membership&&) noexcept = default;
Membership& Membership::operator=(Membership&&) noexcept = default;
Membership::~Membership() = default;

MembershipActions Membership::Handle(const MembershipEvent& aEvent,
                                     model::TimePoint aNow,
                                     model::RandomSource& aRandom)
{
  return engine_->Handle(aEvent, aNow, aRandom);
}

const MemberRecordPtr& Membership::Self() const noexcept
{
  return engine_->Self();
}

std::vector<MemberRecordPtr> Membership::Members() const
{
  std::vector<MemberRecordPtr> members;
  members.reserve(engine_->Table().All().size());
  for (const auto& [id, known] : engine_->Table().All()) {
    members.push_back(known.record_);
  }
  return members;
}

std::vector<model::DaemonId> Membership::Live(const model::FailureDomain& aDomain) const
{
  const auto& live = engine_->Table().Live(aDomain);
  return { live.begin(), live.end() };
}

std::vector<model::DaemonId> Membership::Relays(const model::FailureDomain& aDomain) const
{
  return engine_->Relays(aDomain);
}

std::vector<model::FailureDomain> Membership::Domains() const
{
  return engine_->Table().Domains();
}

bool Membership::Reachable(const model::FailureDomain& aDomain) const
{
  return engine_->Reachable(aDomain);
}

std::optional<model::ConfigVersion> Membership::Floor(const model::DaemonId& aId) const
{
  return engine_->Floor(aId);
}

std::uint64_t Membership::Digest(const model::FailureDomain& aDomain) const
{
  return engine_->Table().Digest(aDomain);
}

} // namespace hemlockproxy::decisions
