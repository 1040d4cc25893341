#include "impl/MembershipThrift.h"

#include <arpa/inet.h>
#include <utility>

namespace hemlockproxy::wire::impl {

namespace {

using model::MemberState;

constexpr unsigned kPortBits = 16;
constexpr std::int64_t kPortMask = 0xffff;

std::uint32_t PackIp(const std::string& aIp)
{
  in_addr parsed{};
  return inet_pton(AF_INET, aIp.c_str(), &parsed) == 1 ? ntohl(parsed.s_addr) : 0;
}

std::string UnpackIp(std::uint32_t aIp)
{
  const in_addr address{ htonl(aIp) };
  char text[INET_ADDRSTRLEN];
  return inet_ntop(AF_INET, &address, text, sizeof text);
}

std::int64_t Signed(std::uint64_t aNumber) noexcept
{
  return static_cast<std::int64_t>(aNumber);
}

} // namespace

std::int64_t MembershipWriter::Pack(const model::Address& aAddress)
{
  return static_cast<std::int64_t>(PackIp(aAddress.ip_)) << kPortBits | aAddress.port_;
}

std::int64_t MembershipWriter::Id(const model::DaemonId& aId)
{
  const auto address = model::ParseAddress(aId.Value());
  return address ? Pack(*address) : 0;
}

std::int32_t MembershipWriter::Name(const std::string& aName)
{
  const auto [found, isNew] = indices_.try_emplace(aName, static_cast<std::int32_t>(names_.size()));
  if (isNew) {
    names_.push_back(aName);
  }
  return found->second;
}

gen::RecordT MembershipWriter::Record(const model::MemberRecord& aRecord)
{
  gen::RecordT out;
  out.control = Pack(aRecord.control_);
  out.forward_port = aRecord.forward_.port_;
  if (aRecord.forward_.ip_ != aRecord.control_.ip_) {
    out.__set_forward_ip(static_cast<std::int32_t>(PackIp(aRecord.forward_.ip_)));
  }
  out.region = Name(aRecord.region_.Value());
  out.failure_domain = Name(aRecord.domain_.Value());
  out.incarnation = Signed(aRecord.incarnation_);
  out.sequence = Signed(aRecord.sequence_);
  if (aRecord.state_ != MemberState::Alive) {
    out.__set_state(static_cast<std::int8_t>(aRecord.state_));
  }
  if (aRecord.leaving_) {
    out.__set_leaving(true);
  }
  if (aRecord.endpoint_) {
    gen::EndpointT endpoint;
    endpoint.service_name = Name(aRecord.endpoint_->service_.Value());
    endpoint.slots = static_cast<std::int32_t>(aRecord.endpoint_->slots_);
    endpoint.connections = static_cast<std::int32_t>(aRecord.endpoint_->connections_);
    if (aRecord.endpoint_->draining_) {
      endpoint.__set_draining(true);
    }
    if (!aRecord.endpoint_->id_.Empty()) {
      endpoint.__set_backend_id(aRecord.endpoint_->id_.Value());
    }
    out.__set_backend(endpoint);
  }
  return out;
}

gen::ViewT MembershipWriter::View(const decisions::DomainView& aView)
{
  gen::ViewT out;
  out.observer = Id(aView.observer_);
  out.incarnation = Signed(aView.incarnation_);
  out.sequence = Signed(aView.sequence_);
  for (const model::FailureDomain& domain : aView.unreachable_) {
    out.unreachable.push_back(Name(domain.Value()));
  }
  return out;
}

std::vector<gen::UpdateT> MembershipWriter::Updates(const std::vector<decisions::Update>& aUpdates)
{
  std::vector<gen::UpdateT> out;
  out.reserve(aUpdates.size());
  for (const decisions::Update& update : aUpdates) {
    gen::UpdateT& one = out.emplace_back();
    if (const auto* record = std::get_if<decisions::MemberRecordPtr>(&update)) {
      one.__set_record(Record(**record));
    } else if (const auto* claim = std::get_if<decisions::StateClaim>(&update)) {
      gen::ClaimT claimed;
      claimed.control = Id(claim->id_);
      claimed.incarnation = Signed(claim->incarnation_);
      claimed.state = static_cast<std::int8_t>(claim->state_);
      one.__set_claim(claimed);
    } else {
      one.__set_view(View(std::get<decisions::DomainView>(update)));
    }
  }
  return out;
}

void MembershipReader::Fail(std::string aFault)
{
  if (fault_.empty()) {
    fault_ = std::move(aFault);
  }
}

const std::string& MembershipReader::Name(std::int32_t aIndex)
{
  static const std::string kNone;
  if (aIndex < 0 || static_cast<std::size_t>(aIndex) >= names_.size()) {
    Fail("name " + std::to_string(aIndex) + " is not listed");
    return kNone;
  }
  return names_[static_cast<std::size_t>(aIndex)];
}

std::uint64_t MembershipReader::Number(std::int64_t aNumber)
{
  if (aNumber < 0) {
    Fail("number " + std::to_string(aNumber) + " is negative");
    return 0;
  }
  return static_cast<std::uint64_t>(aNumber);
}

std::uint32_t MembershipReader::Small(std::int32_t aNumber)
{
  return static_cast<std::uint32_t>(Number(aNumber));
}

model::Address MembershipReader::Unpack(std::int64_t aPacked)
{
  constexpr std::int64_t kMaxIp = 0xffffffff;
  const std::int64_t ip = aPacked >> kPortBits;
  if (aPacked < 0 || ip > kMaxIp || ip == 0 || (aPacked & kPortMask) == 0) {
    Fail("address " + std::to_string(aPacked) + " is out of range");
    return {};
  }
  return model::Address{ UnpackIp(static_cast<std::uint32_t>(ip)),
                         static_cast<std::uint16_t>(aPacked & kPortMask) };
}

model::DaemonId MembershipReader::Id(std::int64_t aPacked)
{
  return model::DaemonId(model::ToString(Unpack(aPacked)));
}

MemberState MembershipReader::State(std::int8_t aState)
{
  if (aState < static_cast<std::int8_t>(MemberState::Alive) ||
      aState > static_cast<std::int8_t>(MemberState::Left)) {
    Fail("member state " + std::to_string(aState) + " is unknown");
    return MemberState::Alive;
  }
  return static_cast<MemberState>(aState);
}

decisions::MemberRecordPtr MembershipReader::Record(const gen::RecordT& aRecord)
{
  auto out = std::make_shared<model::MemberRecord>();
  out->control_ = Unpack(aRecord.control);
  out->id_ = model::DaemonId(model::ToString(out->control_));
  out->forward_.ip_ = aRecord.__isset.forward_ip
                        ? UnpackIp(static_cast<std::uint32_t>(aRecord.forward_ip))
                        : out->control_.ip_;
  if (aRecord.forward_port < 0 || aRecord.forward_port > kPortMask) {
    Fail("forward port " + std::to_string(aRecord.forward_port) + " is out of range");
  }
  out->forward_.port_ = static_cast<std::uint16_t>(aRecord.forward_port);
  out->region_ = model::Region(Name(aRecord.region));
  out->domain_ = model::FailureDomain(Name(aRecord.failure_domain));
  out->incarnation_ = Number(aRecord.incarnation);
  out->sequence_ = Number(aRecord.sequence);
  out->state_ = aRecord.__isset.state ? State(aRecord.state) : MemberState::Alive;
  out->leaving_ = aRecord.__isset.leaving && aRecord.leaving;
  if (aRecord.__isset.backend) {
    const gen::EndpointT& endpoint = aRecord.backend;
    out->endpoint_ = model::Endpoint{ model::ServiceName(Name(endpoint.service_name)),
                                      Small(endpoint.slots),
                                      Small(endpoint.connections),
                                      endpoint.__isset.draining && endpoint.draining,
                                      model::BackendId(endpoint.backend_id) };
  }
  return out;
}

decisions::DomainView MembershipReader::View(const gen::ViewT& aView)
{
  decisions::DomainView out{
    Id(aView.observer), Number(aView.incarnation), Number(aView.sequence), {}
  };
  for (const std::int32_t domain : aView.unreachable) {
    out.unreachable_.emplace_back(Name(domain));
  }
  return out;
}

std::vector<decisions::Update> MembershipReader::Updates(const std::vector<gen::UpdateT>& aUpdates)
{
  std::vector<decisions::Update> out;
  out.reserve(aUpdates.size());
  for (const gen::UpdateT& update : aUpdates) {
    if (update.__isset.record) {
      out.emplace_back(Record(update.record));
    } else if (update.__isset.claim) {
      out.emplace_back(decisions::StateClaim{
        Id(update.claim.control), Number(update.claim.incarnation), State(update.claim.state) });
    } else if (update.__isset.view) {
      out.emplace_back(View(update.view));
    }
    // Kinds that a newer daemon may add are skipped.
  }
  return out;
}

} // namespace hemlockproxy::wire::impl
