#include "hemlockproxy/wire/DistributionCodec.h"

#include "hemlockproxy/wire/ConfigCodec.h"

#include "distribution_types.h"

#include <cmath>
#include <optional>
#include <utility>

namespace hemlockproxy::wire {

namespace {

constexpr std::size_t kDigestBytes = 16;
constexpr unsigned kByteBits = 8;

void Append(std::string& aOut, const model::Digest& aDigest)
{
  for (const std::uint64_t half : { aDigest.high_, aDigest.low_ }) {
    for (std::size_t i = sizeof half; i-- > 0;) {
      aOut.push_back(static_cast<char>(half >> (kByteBits * i)));
    }
  }
}

std::optional<std::vector<model::Digest>> ReadDigests(std::string_view aBytes)
{
  if (aBytes.size() % kDigestBytes != 0) {
    return std::nullopt;
  }
  std::vector<model::Digest> out(aBytes.size() / kDigestBytes);
  for (std::size_t i = 0; i < aBytes.size(); ++i) {
    model::Digest& digest = out[i / kDigestBytes];
    std::uint64_t& half = i % kDigestBytes < kDigestBytes / 2 ? digest.high_ : digest.low_;
    half = half << kByteBits | static_cast<unsigned char>(aBytes[i]);
  }
  return out;
}

gen::HandoverT ToThrift(const model::CheckpointRecord& aHandover)
{
  gen::HandoverT out;
  out.covered_offset = static_cast<std::int64_t>(aHandover.covered_.Value());
  out.version = static_cast<std::int64_t>(aHandover.version_.Value());
  for (const auto& [limit, value] : aHandover.floors_) {
    gen::LimitFloor& floor = out.floors.emplace_back();
    floor.service_name = limit.first.Value();
    floor.kind = static_cast<std::int8_t>(limit.second);
    floor.value = static_cast<std::int64_t>(value);
  }
  for (const auto& [id, version] : aHandover.recent_) {
    gen::Publication& publication = out.recent.emplace_back();
    publication.id = id.Value();
    publication.version = static_cast<std::int64_t>(version.Value());
  }
  return out;
}

model::Result<model::CheckpointRecord, DecodeError> FromThrift(const gen::HandoverT& aHandover)
{
  if (aHandover.covered_offset < 0 || aHandover.version < 0) {
    return DecodeError{ "the covered offset or the version is negative" };
  }
  model::CheckpointRecord out;
  out.covered_ = model::LogOffset(static_cast<std::uint64_t>(aHandover.covered_offset));
  out.version_ = model::ConfigVersion(static_cast<std::uint64_t>(aHandover.version));
  for (const gen::LimitFloor& floor : aHandover.floors) {
    const auto kind = static_cast<model::LimitKind>(floor.kind);
    if (kind < model::LimitKind::ConcurrentRequests || kind > model::LimitKind::BodyBytes ||
        floor.value < 0) {
      return DecodeError{ "a limit floor of service '" + floor.service_name +
                          "' is unknown or negative" };
    }
    out.floors_[{ model::ServiceName(floor.service_name), kind }] =
      static_cast<std::uint64_t>(floor.value);
  }
  for (const gen::Publication& publication : aHandover.recent) {
    if (publication.version < 0) {
      return DecodeError{ "publication '" + publication.id + "' has a negative version" };
    }
    out.recent_.emplace_back(model::PublicationId(publication.id),
                             model::ConfigVersion(static_cast<std::uint64_t>(publication.version)));
  }
  return out;
}

std::vector<gen::Customer> ToThrift(const model::CustomerList& aCustomers)
{
  std::vector<gen::Customer> out;
  for (const model::Customer& customer : aCustomers.customers_) {
    gen::Customer& entry = out.emplace_back();
    entry.name = customer.name_.Value();
    for (const model::Digest& key : customer.keys_) {
      Append(entry.keys, key);
    }
    if (customer.priority_) {
      entry.__set_priority(static_cast<std::int32_t>(*customer.priority_));
    }
    entry.rate_per_second = customer.ratePerSecond_;
    entry.burst = customer.burst_;
  }
  return out;
}

model::Result<model::CustomerListPtr, DecodeError> FromThrift(
  const std::vector<gen::Customer>& aCustomers)
{
  const auto isAmount = [](double aValue) { return std::isfinite(aValue) && aValue >= 0; };
  std::vector<model::Customer> out;
  for (const gen::Customer& entry : aCustomers) {
    auto keys = ReadDigests(entry.keys);
    if (!keys || entry.priority < 0 || !isAmount(entry.rate_per_second) || !isAmount(entry.burst)) {
      return DecodeError{ "customer '" + entry.name + "' is out of range" };
    }
    model::Customer& customer = out.emplace_back();
    customer.name_ = model::CustomerName(entry.name);
    customer.keys_ = std::move(*keys);
    if (entry.__isset.priority) {
      customer.priority_ = static_cast<std::uint32_t>(entry.priority);
    }
    customer.ratePerSecond_ = entry.rate_per_second;
    customer.burst_ = entry.burst;
  }
  return model::MakeCustomerList(std::move(out));
}

/// Reads the list of customers of a response; returns what is wrong with it, if anything.
std::optional<DecodeError> ReadCustomers(const gen::FetchResponseT& aFrom,
                                         decisions::FetchResponse& aOut)
{
  if (!aFrom.__isset.customers_digest) {
    return std::nullopt;
  }
  const auto digest = ReadDigests(aFrom.customers_digest);
  if (!digest || digest->size() != 1) {
    return DecodeError{ "the digest of the customers is not whole" };
  }
  aOut.customersDigest_ = digest->front();
  if (aFrom.__isset.customers) {
    auto customers = FromThrift(aFrom.customers);
    if (!customers) {
      return customers.Error();
    }
    aOut.customers_ = std::move(*customers);
  }
  return std::nullopt;
}

} // namespace

std::string EncodeFetchRequest(const decisions::FetchRequest& aRequest)
{
  gen::FetchRequestT out;
  for (const model::Digest& digest : aRequest.held_) {
    Append(out.held, digest);
  }
  out.handover_wanted = aRequest.handoverWanted_;
  return EncodeThrift(out);
}

model::Result<decisions::FetchRequest, DecodeError> DecodeFetchRequest(std::string_view aBytes)
{
  auto decoded = DecodeThrift<gen::FetchRequestT>(aBytes);
  if (!decoded) {
    return decoded.Error();
  }
  auto held = ReadDigests(decoded->held);
  if (!held) {
    return DecodeError{ "the digests are not whole" };
  }
  return decisions::FetchRequest{ std::move(*held), decoded->handover_wanted };
}

std::string EncodeFetchResponse(const decisions::FetchResponse& aResponse)
{
  gen::FetchResponseT out;
  out.version = static_cast<std::int64_t>(aResponse.version_.Value());
  for (const auto& [name, digest] : aResponse.manifest_) {
    out.names.push_back(name.Value());
    Append(out.digests, digest);
  }
  for (const model::ServiceResourcePtr& resource : aResponse.resources_) {
    out.resources.push_back(EncodeResource(*resource));
  }
  const model::CallerLimits& limits = aResponse.callerLimits_;
  if (limits != model::CallerLimits()) {
    gen::CallerLimitsT bounds;
    bounds.header_bytes = static_cast<std::int32_t>(limits.headerBytes_);
    bounds.body_bytes = static_cast<std::int64_t>(limits.bodyBytes_);
    bounds.header_timeout_ms = limits.headerTimeout_.count();
    bounds.idle_timeout_ms = limits.idleTimeout_.count();
    out.__set_caller_limits(bounds);
  }
  if (aResponse.customersDigest_) {
    std::string digest;
    Append(digest, *aResponse.customersDigest_);
    out.__set_customers_digest(digest);
  }
  if (aResponse.customers_) {
    out.__set_customers(ToThrift(*aResponse.customers_));
  }
  if (aResponse.handover_) {
    out.__set_handover(ToThrift(*aResponse.handover_));
  }
  return EncodeThrift(out);
}

model::Result<decisions::FetchResponse, DecodeError> DecodeFetchResponse(std::string_view aBytes)
{
  auto decoded = DecodeThrift<gen::FetchResponseT>(aBytes);
  if (!decoded) {
    return decoded.Error();
  }
  const auto digests = ReadDigests(decoded->digests);
  if (!digests || digests->size() != decoded->names.size() || decoded->version < 0) {
    return DecodeError{ "the manifest is not whole or the version is negative" };
  }
  decisions::FetchResponse out;
  out.version_ = model::ConfigVersion(static_cast<std::uint64_t>(decoded->version));
  for (std::size_t i = 0; i < digests->size(); ++i) {
    out.manifest_.emplace_back(model::ServiceName(decoded->names[i]), (*digests)[i]);
  }
  for (const std::string& bytes : decoded->resources) {
    auto resource = DecodeResource(bytes);
    if (!resource) {
      return resource.Error();
    }
    out.resources_.push_back(*resource);
  }
  if (decoded->__isset.caller_limits) {
    const gen::CallerLimitsT& bounds = decoded->caller_limits;
    if (bounds.header_bytes <= 0 || bounds.body_bytes < 0 || bounds.header_timeout_ms <= 0 ||
        bounds.idle_timeout_ms <= 0) {
      return DecodeError{ "the caller limits are out of range" };
    }
    out.callerLimits_ = model::CallerLimits{ static_cast<std::uint32_t>(bounds.header_bytes),
                                             static_cast<std::uint64_t>(bounds.body_bytes),
                                             std::chrono::milliseconds(bounds.header_timeout_ms),
                                             std::chrono::milliseconds(bounds.idle_timeout_ms) };
  }
  if (auto fault = ReadCustomers(*decoded, out)) {
    return *std::move(fault);
  }
  if (decoded->__isset.handover) {
    auto handover = FromThrift(decoded->handover);
    if (!handover) {
      return handover.Error();
    }
    out.handover_ = std::make_shared<const model::CheckpointRecord>(std::move(*handover));
  }
  return out;
}

} // namespace hemlockproxy::wire
