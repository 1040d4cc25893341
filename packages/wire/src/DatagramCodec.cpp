#include "hemlockproxy/wire/MembershipCodec.h"

#include "impl/AllowanceThrift.h"
#include "impl/MembershipThrift.h"

#include <optional>
#include <utility>

namespace hemlockproxy::wire {

namespace {

using impl::MembershipReader;
using impl::MembershipWriter;

constexpr unsigned kByteBits = 8;

std::int64_t Signed(std::uint64_t aNumber) noexcept
{
  return static_cast<std::int64_t>(aNumber);
}

template <typename T>
void AppendBigEndian(std::string& aOut, T aNumber)
{
  for (std::size_t i = sizeof(T); i-- > 0;) {
    aOut.push_back(static_cast<char>(aNumber >> (kByteBits * i)));
  }
}

template <typename T>
T ReadBigEndian(std::string_view aBytes)
{
  T number = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    number = static_cast<T>(number << kByteBits) | static_cast<unsigned char>(aBytes[i]);
  }
  return number;
}

void Write(MembershipWriter&, const decisions::Ping& aPing, gen::BodyT& aOut)
{
  gen::PingT out;
  out.number = static_cast<std::int32_t>(aPing.number_);
  if (aPing.floorWanted_) {
    out.__set_floor_wanted(true);
  }
  aOut.__set_ping(out);
}

void Write(MembershipWriter&, const decisions::Ack& aAck, gen::BodyT& aOut)
{
  gen::AckT out;
  out.number = static_cast<std::int32_t>(aAck.number_);
  if (!aAck.subject_.Empty()) {
    out.__set_subject(MembershipWriter::Id(aAck.subject_));
  }
  if (aAck.floor_) {
    out.__set_version_floor(Signed(aAck.floor_->Value()));
  }
  aOut.__set_ack(out);
}

void Write(MembershipWriter&, const decisions::PingRequest& aRequest, gen::BodyT& aOut)
{
  gen::PingRequestT out;
  out.number = static_cast<std::int32_t>(aRequest.number_);
  out.target = MembershipWriter::Id(aRequest.target_);
  aOut.__set_ping_request(out);
}

void Write(MembershipWriter& aWriter, const decisions::DigestOffer& aOffer, gen::BodyT& aOut)
{
  gen::DigestOfferT out;
  for (const decisions::DomainDigest& domain : aOffer.domains_) {
    gen::DomainDigestT& one = out.domains.emplace_back();
    one.failure_domain = aWriter.Name(domain.domain_.Value());
    AppendBigEndian(one.digest, domain.digest_);
  }
  aOut.__set_digest_offer(out);
}

void Write(MembershipWriter& aWriter, const decisions::DigestReply& aReply, gen::BodyT& aOut)
{
  gen::DigestReplyT out;
  for (const auto& [domain, buckets] : aReply.domains_) {
    gen::DomainDigestT& one = out.domains.emplace_back();
    one.failure_domain = aWriter.Name(domain.Value());
    for (const std::uint32_t bucket : buckets) {
      AppendBigEndian(one.digest, bucket);
    }
  }
  aOut.__set_digest_reply(out);
}

void Write(MembershipWriter& aWriter, const decisions::BucketEntries& aEntries, gen::BodyT& aOut)
{
  gen::BucketEntriesT out;
  out.failure_domain = aWriter.Name(aEntries.domain_.Value());
  out.buckets = aEntries.buckets_;
  for (const decisions::MemberStamp& stamp : aEntries.entries_) {
    gen::StampT& one = out.entries.emplace_back();
    one.control = MembershipWriter::Id(stamp.id_);
    one.incarnation = Signed(stamp.incarnation_);
    one.sequence = Signed(stamp.sequence_);
    if (stamp.state_ != model::MemberState::Alive) {
      one.__set_state(static_cast<std::int8_t>(stamp.state_));
    }
  }
  aOut.__set_bucket_entries(out);
}

void Write(MembershipWriter& aWriter, const decisions::RecordDelta& aDelta, gen::BodyT& aOut)
{
  gen::RecordDeltaT out;
  out.records = aWriter.Updates(aDelta.records_);
  for (const model::DaemonId& id : aDelta.wanted_) {
    out.wanted.push_back(MembershipWriter::Id(id));
  }
  aOut.__set_record_delta(out);
}

void WriteHeader(gen::DatagramT& aOut,
                 const model::DaemonId& aFrom,
                 model::ConfigVersion aVersion,
                 model::HybridTimestamp aStamp)
{
  aOut.sender = MembershipWriter::Id(aFrom);
  if (aVersion.Value() != 0) {
    aOut.__set_version(Signed(aVersion.Value()));
  }
  aOut.wall_ms = aStamp.wallMs_;
  if (aStamp.counter_ != 0) {
    aOut.__set_counter(static_cast<std::int32_t>(aStamp.counter_));
  }
}

decisions::DigestOffer ReadOffer(MembershipReader& aReader, const gen::DigestOfferT& aOffer)
{
  decisions::DigestOffer out;
  for (const gen::DomainDigestT& domain : aOffer.domains) {
    if (domain.digest.size() != sizeof(std::uint64_t)) {
      aReader.Fail("a digest has " + std::to_string(domain.digest.size()) + " bytes, not 8");
      return out;
    }
    out.domains_.push_back(
      decisions::DomainDigest{ model::FailureDomain(aReader.Name(domain.failure_domain)),
                               ReadBigEndian<std::uint64_t>(domain.digest) });
  }
  return out;
}

decisions::DigestReply ReadReply(MembershipReader& aReader, const gen::DigestReplyT& aReply)
{
  constexpr std::size_t kBytes = decisions::kDigestBuckets * sizeof(std::uint32_t);
  decisions::DigestReply out;
  for (const gen::DomainDigestT& domain : aReply.domains) {
    if (domain.digest.size() != kBytes) {
      aReader.Fail("bucket digests have " + std::to_string(domain.digest.size()) +
                   " bytes, not 64");
      return out;
    }
    decisions::BucketDigests buckets{};
    for (std::size_t i = 0; i < buckets.size(); ++i) {
      buckets[i] = ReadBigEndian<std::uint32_t>(
        std::string_view(domain.digest).substr(i * sizeof(std::uint32_t)));
    }
    out.domains_.emplace_back(model::FailureDomain(aReader.Name(domain.failure_domain)), buckets);
  }
  return out;
}

decisions::BucketEntries ReadEntries(MembershipReader& aReader, const gen::BucketEntriesT& aBody)
{
  decisions::BucketEntries out;
  out.domain_ = model::FailureDomain(aReader.Name(aBody.failure_domain));
  out.buckets_ = static_cast<std::uint16_t>(aBody.buckets);
  for (const gen::StampT& stamp : aBody.entries) {
    out.entries_.push_back(decisions::MemberStamp{
      aReader.Id(stamp.control),
      aReader.Number(stamp.incarnation),
      aReader.Number(stamp.sequence),
      stamp.__isset.state ? aReader.State(stamp.state) : model::MemberState::Alive });
  }
  return out;
}

decisions::RecordDelta ReadDelta(MembershipReader& aReader, const gen::RecordDeltaT& aBody)
{
  decisions::RecordDelta out;
  out.records_ = aReader.Updates(aBody.records);
  for (const std::int64_t id : aBody.wanted) {
    out.wanted_.push_back(aReader.Id(id));
  }
  return out;
}

decisions::Ack ReadAck(MembershipReader& aReader,
                       const gen::AckT& aBody,
                       const model::DaemonId& aFrom)
{
  decisions::Ack out{ static_cast<std::uint32_t>(aBody.number),
                      aBody.__isset.subject ? aReader.Id(aBody.subject) : aFrom,
                      std::nullopt };
  if (aBody.__isset.version_floor) {
    out.floor_ = model::ConfigVersion(aReader.Number(aBody.version_floor));
  }
  return out;
}

decisions::LogReport ReadLogReport(MembershipReader& aReader,
                                   const gen::LogReportT& aBody,
                                   const model::DaemonId& aFrom)
{
  decisions::LogReport out{ aFrom, model::ConfigVersion(aReader.Number(aBody.version)), {} };
  if (aBody.__isset.age_ms) {
    out.age_ = std::chrono::milliseconds(aReader.Number(aBody.age_ms));
  }
  if (aBody.__isset.log_epoch) {
    out.epoch_ = model::LogEpoch(aReader.Number(aBody.log_epoch));
  }
  return out;
}

/// Returns the body of a membership datagram, or nothing when there is none.
std::optional<decisions::DatagramBody> ReadBody(MembershipReader& aReader,
                                                const gen::BodyT& aBody,
                                                const model::DaemonId& aFrom)
{
  const auto& has = aBody.__isset;
  if (has.ping) {
    return decisions::Ping{ static_cast<std::uint32_t>(aBody.ping.number),
                            aBody.ping.__isset.floor_wanted && aBody.ping.floor_wanted };
  }
  if (has.ack) {
    return ReadAck(aReader, aBody.ack, aFrom);
  }
  if (has.ping_request) {
    return decisions::PingRequest{ static_cast<std::uint32_t>(aBody.ping_request.number),
                                   aReader.Id(aBody.ping_request.target) };
  }
  if (has.digest_offer) {
    return ReadOffer(aReader, aBody.digest_offer);
  }
  if (has.digest_reply) {
    return ReadReply(aReader, aBody.digest_reply);
  }
  if (has.bucket_entries) {
    return ReadEntries(aReader, aBody.bucket_entries);
  }
  if (has.record_delta) {
    return ReadDelta(aReader, aBody.record_delta);
  }
  return std::nullopt;
}

} // namespace

std::string EncodeDatagram(const decisions::Datagram& aDatagram)
{
  MembershipWriter writer;
  gen::DatagramT out;
  WriteHeader(out, aDatagram.from_, aDatagram.version_, aDatagram.stamp_);
  std::visit([&](const auto& aBody) { Write(writer, aBody, out.body); }, aDatagram.body_);
  if (out.body.__isset.ack && out.body.ack.__isset.subject && out.body.ack.subject == out.sender) {
    out.body.ack.__isset.subject = false;
  }
  if (!aDatagram.updates_.empty()) {
    out.__set_updates(writer.Updates(aDatagram.updates_));
  }
  if (!writer.Names().empty()) {
    out.__set_names(writer.Names());
  }
  return EncodeThrift(out);
}

std::string EncodeNotice(const decisions::Notice& aNotice,
                         model::ConfigVersion aEnforced,
                         model::HybridTimestamp aStamp)
{
  gen::NoticeT notice;
  notice.version = Signed(aNotice.version_.Value());
  if (aNotice.ackWanted_) {
    notice.__set_ack_wanted(true);
  }
  gen::DatagramT out;
  WriteHeader(out, aNotice.from_, aEnforced, aStamp);
  out.body.__set_notice(notice);
  return EncodeThrift(out);
}

std::string EncodeNoticeAck(const decisions::NoticeAck& aAck,
                            model::ConfigVersion aEnforced,
                            model::HybridTimestamp aStamp)
{
  gen::NoticeAckT ack;
  ack.version = Signed(aAck.version_.Value());
  gen::DatagramT out;
  WriteHeader(out, aAck.from_, aEnforced, aStamp);
  out.body.__set_notice_ack(ack);
  return EncodeThrift(out);
}

std::string EncodeLogReport(const decisions::LogReport& aReport,
                            model::ConfigVersion aEnforced,
                            model::HybridTimestamp aStamp)
{
  gen::LogReportT report;
  report.version = Signed(aReport.version_.Value());
  if (aReport.age_) {
    report.__set_age_ms(static_cast<std::int32_t>(aReport.age_->count()));
  }
  if (aReport.epoch_) {
    report.__set_log_epoch(Signed(aReport.epoch_->Value()));
  }
  gen::DatagramT out;
  WriteHeader(out, aReport.from_, aEnforced, aStamp);
  out.body.__set_log_report(report);
  return EncodeThrift(out);
}

model::Result<ControlDatagram, DecodeError> DecodeDatagram(std::string_view aBytes)
{
  auto decoded = DecodeThrift<gen::DatagramT>(aBytes);
  if (!decoded) {
    return decoded.Error();
  }
  MembershipReader reader(decoded->names);
  ControlDatagram out;
  out.from_ = reader.Id(decoded->sender);
  out.version_ =
    model::ConfigVersion(decoded->__isset.version ? reader.Number(decoded->version) : 0);
  out.stamp_ =
    model::HybridTimestamp{ decoded->wall_ms, static_cast<std::uint32_t>(decoded->counter) };
  if (decoded->body.__isset.notice) {
    const gen::NoticeT& notice = decoded->body.notice;
    out.message_ = decisions::Notice{ out.from_,
                                      model::ConfigVersion(reader.Number(notice.version)),
                                      notice.__isset.ack_wanted && notice.ack_wanted };
  } else if (decoded->body.__isset.notice_ack) {
    out.message_ =
      decisions::NoticeAck{ out.from_,
                            model::ConfigVersion(reader.Number(decoded->body.notice_ack.version)) };
  } else if (decoded->body.__isset.log_report) {
    out.message_ = ReadLogReport(reader, decoded->body.log_report, out.from_);
  } else if (decoded->body.__isset.allowance_ask) {
    auto ask = impl::ReadAsk(decoded->body.allowance_ask);
    if (!ask) {
      return DecodeError{ "an allowance ask has a value out of range" };
    }
    out.message_ = *std::move(ask);
  } else if (decoded->body.__isset.allowance_grant) {
    auto grant = impl::ReadGrant(decoded->body.allowance_grant);
    if (!grant) {
      return DecodeError{ "an allowance grant has a value out of range" };
    }
    out.message_ = *std::move(grant);
  } else {
    auto body = ReadBody(reader, decoded->body, out.from_);
    if (!body) {
      return DecodeError{ "the datagram has no body" };
    }
    out.message_ = decisions::Datagram{
      out.from_, out.version_, out.stamp_, std::move(*body), reader.Updates(decoded->updates)
    };
  }
  if (!reader.Fault().empty()) {
    return DecodeError{ reader.Fault() };
  }
  return out;
}

} // namespace hemlockproxy::wire
