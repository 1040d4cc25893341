#include "hemlockproxy/wire/MembershipCodec.h"

#include "impl/MembershipThrift.h"

#include <utility>

namespace hemlockproxy::wire {

namespace {

using impl::MembershipReader;
using impl::MembershipWriter;

gen::SyncTableT ToThrift(const decisions::SyncTable& aTable)
{
  MembershipWriter writer;
  gen::SyncTableT out;
  out.sender = MembershipWriter::Id(aTable.from_);
  out.version = static_cast<std::int64_t>(aTable.version_.Value());
  out.members.reserve(aTable.members_.size());
  for (const decisions::MemberRecordPtr& member : aTable.members_) {
    out.members.push_back(writer.Record(*member));
  }
  for (const decisions::DomainView& view : aTable.views_) {
    out.views.push_back(writer.View(view));
  }
  if (aTable.previousIncarnation_) {
    out.__set_previous_incarnation(static_cast<std::int64_t>(*aTable.previousIncarnation_));
  }
  if (aTable.floor_) {
    out.__set_version_floor(static_cast<std::int64_t>(aTable.floor_->Value()));
  }
  out.names = std::move(writer.Names());
  return out;
}

decisions::SyncTable FromThrift(MembershipReader& aReader, const gen::SyncTableT& aTable)
{
  decisions::SyncTable out;
  out.from_ = aReader.Id(aTable.sender);
  out.version_ = model::ConfigVersion(aReader.Number(aTable.version));
  out.members_.reserve(aTable.members.size());
  for (const gen::RecordT& member : aTable.members) {
    out.members_.push_back(aReader.Record(member));
  }
  for (const gen::ViewT& view : aTable.views) {
    out.views_.push_back(aReader.View(view));
  }
  if (aTable.__isset.previous_incarnation) {
    out.previousIncarnation_ = aReader.Number(aTable.previous_incarnation);
  }
  if (aTable.__isset.version_floor) {
    out.floor_ = model::ConfigVersion(aReader.Number(aTable.version_floor));
  }
  return out;
}

} // namespace

std::string EncodeSyncRequest(const decisions::SyncRequest& aRequest)
{
  MembershipWriter writer;
  gen::SyncRequestT out;
  out.member = writer.Record(*aRequest.self_);
  out.version = static_cast<std::int64_t>(aRequest.version_.Value());
  if (aRequest.domain_) {
    out.__set_failure_domain(writer.Name(aRequest.domain_->Value()));
  }
  out.names = std::move(writer.Names());
  return EncodeThrift(out);
}

model::Result<decisions::SyncRequest, DecodeError> DecodeSyncRequest(std::string_view aBytes)
{
  auto decoded = DecodeThrift<gen::SyncRequestT>(aBytes);
  if (!decoded) {
    return decoded.Error();
  }
  MembershipReader reader(decoded->names);
  decisions::SyncRequest out;
  out.self_ = reader.Record(decoded->member);
  out.version_ = model::ConfigVersion(reader.Number(decoded->version));
  if (decoded->__isset.failure_domain) {
    out.domain_ = model::FailureDomain(reader.Name(decoded->failure_domain));
  }
  if (!reader.Fault().empty()) {
    return DecodeError{ reader.Fault() };
  }
  return out;
}

std::string EncodeSyncResponse(const decisions::SyncResponse& aResponse)
{
  gen::SyncResponseT out;
  if (const auto* table = std::get_if<decisions::SyncTable>(&aResponse)) {
    out.__set_table(ToThrift(*table));
  } else {
    gen::SyncLaterT later;
    later.delay_ms =
      static_cast<std::int32_t>(std::get<decisions::SyncLater>(aResponse).delay_.count());
    out.__set_later(later);
  }
  return EncodeThrift(out);
}

model::Result<decisions::SyncResponse, DecodeError> DecodeSyncResponse(std::string_view aBytes)
{
  auto decoded = DecodeThrift<gen::SyncResponseT>(aBytes);
  if (!decoded) {
    return decoded.Error();
  }
  if (decoded->__isset.later) {
    if (decoded->later.delay_ms < 0) {
      return DecodeError{ "the delay is negative" };
    }
    return decisions::SyncResponse(
      decisions::SyncLater{ std::chrono::milliseconds(decoded->later.delay_ms) });
  }
  if (!decoded->__isset.table) {
    return DecodeError{ "the response is neither a table nor a delay" };
  }
  MembershipReader reader(decoded->table.names);
  decisions::SyncTable table = FromThrift(reader, decoded->table);
  if (!reader.Fault().empty()) {
    return DecodeError{ reader.Fault() };
  }
  return decisions::SyncResponse(std::move(table));
}

} // namespace hemlockproxy::wire
