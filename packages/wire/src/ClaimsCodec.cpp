#include "hemlockproxy/wire/ClaimsCodec.h"

#include "claims_types.h"

namespace hemlockproxy::wire {

namespace {

using model::ClaimEntry;

constexpr std::size_t kNumberBytes = 8;
constexpr std::size_t kEntryBytes = 3 * kNumberBytes;
constexpr unsigned kBitsPerByte = 8;

void PutNumber(std::string& aOut, std::uint64_t aValue)
{
  for (std::size_t byte = kNumberBytes; byte-- > 0;) {
    aOut.push_back(static_cast<char>(aValue >> (byte * kBitsPerByte)));
  }
}

std::uint64_t GetNumber(std::string_view aBytes) noexcept
{
  std::uint64_t value = 0;
  for (const char byte : aBytes.substr(0, kNumberBytes)) {
    value = value << kBitsPerByte | static_cast<unsigned char>(byte);
  }
  return value;
}

std::string Pack(const std::vector<ClaimEntry>& aEntries)
{
  std::string out;
  out.reserve(aEntries.size() * kEntryBytes);
  for (const ClaimEntry& entry : aEntries) {
    PutNumber(out, entry.key_.Value());
    PutNumber(out, entry.attempt_.high_);
    PutNumber(out, entry.attempt_.low_);
  }
  return out;
}

model::Result<std::vector<ClaimEntry>, DecodeError> Unpack(std::string_view aBytes)
{
  if (aBytes.size() % kEntryBytes != 0) {
    return DecodeError{ std::to_string(aBytes.size()) + " bytes of claim entries, expected " +
                        std::to_string(kEntryBytes) + " for each" };
  }
  std::vector<ClaimEntry> out;
  out.reserve(aBytes.size() / kEntryBytes);
  for (; !aBytes.empty(); aBytes.remove_prefix(kEntryBytes)) {
    out.push_back(
      { model::ClaimKey(GetNumber(aBytes)),
        { GetNumber(aBytes.substr(kNumberBytes)), GetNumber(aBytes.substr(2 * kNumberBytes)) } });
  }
  return out;
}

} // namespace

std::string EncodeClaimRecord(const model::ClaimRecord& aRecord)
{
  gen::ClaimsRecord out;
  if (!aRecord.releases_.empty()) {
    out.__set_releases(Pack(aRecord.releases_));
  }
  if (!aRecord.claims_.empty()) {
    out.__set_claims(Pack(aRecord.claims_));
  }
  return EncodeThrift(out);
}

model::Result<model::ClaimRecord, DecodeError> DecodeClaimRecord(std::string_view aBytes)
{
  auto decoded = DecodeThrift<gen::ClaimsRecord>(aBytes);
  if (!decoded) {
    return decoded.Error();
  }
  auto releases = Unpack(decoded->releases);
  if (!releases) {
    return releases.Error();
  }
  auto claims = Unpack(decoded->claims);
  if (!claims) {
    return claims.Error();
  }
  return model::ClaimRecord{ std::move(*releases), std::move(*claims) };
}

std::string EncodeClaimCall(const ClaimCall& aCall)
{
  gen::ClaimCall out;
  out.action =
    aCall.action_ == ClaimAction::Claim ? gen::ClaimAction::CLAIM : gen::ClaimAction::RELEASE;
  out.entry = Pack({ aCall.entry_ });
  out.shards = static_cast<std::int16_t>(aCall.shards_);
  out.wait_ms = static_cast<std::int32_t>(aCall.wait_.count());
  return EncodeThrift(out);
}

model::Result<ClaimCall, DecodeError> DecodeClaimCall(std::string_view aBytes)
{
  auto decoded = DecodeThrift<gen::ClaimCall>(aBytes);
  if (!decoded) {
    return decoded.Error();
  }
  ClaimCall call;
  switch (decoded->action) {
    case gen::ClaimAction::CLAIM:
      call.action_ = ClaimAction::Claim;
      break;
    case gen::ClaimAction::RELEASE:
      call.action_ = ClaimAction::Release;
      break;
    default:
      return DecodeError{ "the claim action is unknown" };
  }
  auto entries = Unpack(decoded->entry);
  if (!entries) {
    return entries.Error();
  }
  if (entries->size() != 1) {
    return DecodeError{ std::to_string(entries->size()) + " claim entries, expected 1" };
  }
  if (decoded->shards < 1 || decoded->wait_ms < 0) {
    return DecodeError{ "the shard count is below 1 or the wait is negative" };
  }
  call.entry_ = entries->front();
  call.shards_ = static_cast<std::uint16_t>(decoded->shards);
  call.wait_ = std::chrono::milliseconds(decoded->wait_ms);
  return call;
}

std::string EncodeClaimReply(const ClaimReply& aReply)
{
  gen::ClaimReply out;
  switch (aReply.status_) {
    case ClaimStatus::Granted:
      out.status = gen::ClaimStatus::GRANTED;
      break;
    case ClaimStatus::Duplicate:
      out.status = gen::ClaimStatus::DUPLICATE;
      break;
    case ClaimStatus::Unavailable:
      out.status = gen::ClaimStatus::UNAVAILABLE;
      break;
    case ClaimStatus::Released:
      out.status = gen::ClaimStatus::RELEASED;
      break;
    case ClaimStatus::NotClaimed:
      out.status = gen::ClaimStatus::NOT_CLAIMED;
      break;
  }
  if (aReply.grant_) {
    out.__set_read_to(static_cast<std::int64_t>(aReply.grant_->readTo_.Value()));
    out.__set_appended_ms(aReply.grant_->appended_.time_since_epoch().count());
  }
  return EncodeThrift(out);
}

model::Result<ClaimReply, DecodeError> DecodeClaimReply(std::string_view aBytes)
{
  auto decoded = DecodeThrift<gen::ClaimReply>(aBytes);
  if (!decoded) {
    return decoded.Error();
  }
  ClaimReply reply;
  switch (decoded->status) {
    case gen::ClaimStatus::GRANTED:
      reply.status_ = ClaimStatus::Granted;
      break;
    case gen::ClaimStatus::DUPLICATE:
      reply.status_ = ClaimStatus::Duplicate;
      break;
    case gen::ClaimStatus::UNAVAILABLE:
      reply.status_ = ClaimStatus::Unavailable;
      break;
    case gen::ClaimStatus::RELEASED:
      reply.status_ = ClaimStatus::Released;
      break;
    case gen::ClaimStatus::NOT_CLAIMED:
      reply.status_ = ClaimStatus::NotClaimed;
      break;
    default:
      return DecodeError{ "the claim status is unknown" };
  }
  const bool granted = reply.status_ == ClaimStatus::Granted;
  if (decoded->__isset.read_to != granted || decoded->__isset.appended_ms != granted) {
    return DecodeError{ "a grant needs an offset and a time, and other replies have neither" };
  }
  if (granted) {
    if (decoded->read_to < 0) {
      return DecodeError{ "the offset of the grant is negative" };
    }
    reply.grant_ =
      model::ClaimGrant{ model::LogOffset(static_cast<std::uint64_t>(decoded->read_to)),
                         model::WallTime(std::chrono::milliseconds(decoded->appended_ms)) };
  }
  return reply;
}

} // namespace hemlockproxy::wire
