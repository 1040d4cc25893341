#include "hemlockproxy/wire/MembershipCodec.h"

#include <limits>

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::decisions;

namespace {

MemberRecordPtr Record(int aHost, const char* aService = "bitacora")
{
  auto record = std::make_shared<model::MemberRecord>();
  record->control_ = { "10.1.2." + std::to_string(aHost), 7000 };
  record->id_ = model::DaemonId(model::ToString(record->control_));
  record->forward_ = { record->control_.ip_, 65535 };
  record->region_ = model::Region("scot-central");
  record->domain_ = model::FailureDomain("portobello");
  record->incarnation_ = 9;
  record->sequence_ = 4000;
  record->endpoint_ = model::Endpoint{ model::ServiceName(aService), 20, 100, true };
  return record;
}

Datagram Wrap(DatagramBody aBody, std::vector<Update> aUpdates = {})
{
  return Datagram{ Record(1)->id_,
                   model::ConfigVersion(680),
                   { 1764800000000, 3 },
                   std::move(aBody),
                   std::move(aUpdates) };
}

} // namespace

TEST_GROUP(MembershipCodec){ Datagram RoundTrip(const Datagram& aDatagram){
  const auto decoded = wire::DecodeDatagram(wire::EncodeDatagram(aDatagram));
CHECK_TRUE(decoded.Ok());
return std::get<Datagram>(decoded->message_);
}
}
;

// Guards against a field that is lost or altered between daemons.
TEST(MembershipCodec, KeepsTheHeaderAndAllUpdates)
{
  auto elsewhere = std::make_shared<model::MemberRecord>(*Record(2));
  elsewhere->forward_.ip_ = "192.168.255.1";
  elsewhere->state_ = model::MemberState::Left;
  elsewhere->leaving_ = true;
  const StateClaim claim{ Record(3)->id_, 7, model::MemberState::Dead };
  const DomainView view{ Record(4)->id_, 3, 2, { model::FailureDomain("leith") } };
  const Datagram out = RoundTrip(Wrap(Ping{ 4000000000U, true }, { elsewhere, claim, view }));
  CHECK_TRUE((out.from_ == Record(1)->id_ && out.version_ == model::ConfigVersion(680)));
  CHECK_TRUE((out.stamp_ == model::HybridTimestamp{ 1764800000000, 3 }));
  CHECK_TRUE(std::get<Ping>(out.body_).number_ == 4000000000U);
  CHECK_TRUE(std::get<Ping>(out.body_).floorWanted_);
  CHECK_TRUE(*std::get<MemberRecordPtr>(out.updates_.at(0)) == *elsewhere);
  CHECK_TRUE(std::get<StateClaim>(out.updates_.at(1)) == claim);
  CHECK_TRUE(std::get<DomainView>(out.updates_.at(2)) == view);
}

// Guards against a report of a lost log that is read as one of a current log.
TEST(MembershipCodec, KeepsLogReports)
{
  using std::chrono::milliseconds;
  for (const std::optional<milliseconds> age : { std::optional(milliseconds(0)),
                                                 std::optional(milliseconds(1350)),
                                                 std::optional<milliseconds>() }) {
    const std::optional<model::LogEpoch> epoch =
      age ? std::optional(model::LogEpoch(3)) : std::nullopt;
    const LogReport report{ Record(2)->id_, model::ConfigVersion(64), age, epoch };
    const auto decoded =
      wire::DecodeDatagram(wire::EncodeLogReport(report, model::ConfigVersion(62), { 1, 2 }));
    CHECK_TRUE(decoded.Ok());
    const auto& out = std::get<LogReport>(decoded->message_);
    CHECK_TRUE(out.from_ == report.from_ && out.version_ == report.version_ && out.age_ == age);
    CHECK_TRUE(out.epoch_ == epoch);
    CHECK_TRUE(decoded->version_ == model::ConfigVersion(62));
  }
}

// Guards against an Ack or a digest exchange that reads differently on the other side.
TEST(MembershipCodec, KeepsEachBody)
{
  const Ack ack{ 5, Record(2)->id_, model::ConfigVersion(12) };
  const Datagram acked = RoundTrip(Wrap(ack));
  CHECK_TRUE(std::get<Ack>(acked.body_).subject_ == ack.subject_);
  CHECK_TRUE(std::get<Ack>(acked.body_).floor_ == ack.floor_);
  const Datagram own = RoundTrip(Wrap(Ack{ 5, Record(1)->id_, std::nullopt }));
  CHECK_TRUE(std::get<Ack>(own.body_).subject_ == Record(1)->id_);

  const std::uint64_t digest = std::numeric_limits<std::uint64_t>::max() - 1;
  const Datagram offer =
    RoundTrip(Wrap(DigestOffer{ { { model::FailureDomain("leith"), digest } } }));
  CHECK_TRUE(std::get<DigestOffer>(offer.body_).domains_.at(0).digest_ == digest);

  BucketDigests buckets{};
  buckets[0] = 0xfffefdfcU;
  buckets[15] = 1;
  const Datagram reply =
    RoundTrip(Wrap(DigestReply{ { { model::FailureDomain("leith"), buckets } } }));
  CHECK_TRUE(std::get<DigestReply>(reply.body_).domains_.at(0).second == buckets);

  const MemberStamp stamp{ Record(9)->id_, 3, 2, model::MemberState::Dead };
  const Datagram entries =
    RoundTrip(Wrap(BucketEntries{ model::FailureDomain("leith"), 0x8001, { stamp } }));
  const auto& body = std::get<BucketEntries>(entries.body_);
  CHECK_TRUE((body.buckets_ == 0x8001 && body.entries_.at(0).id_ == stamp.id_));
  CHECK_TRUE(body.entries_.at(0).state_ == stamp.state_);

  const Datagram delta = RoundTrip(Wrap(RecordDelta{ { Record(8) }, { Record(7)->id_ } }));
  CHECK_TRUE(std::get<RecordDelta>(delta.body_).wanted_.at(0) == Record(7)->id_);
}

// Guards against datagrams that exceed 1200 bytes because an update is larger than estimated.
TEST(MembershipCodec, StaysWithinTheSizeBounds)
{
  auto largest = std::make_shared<model::MemberRecord>(*Record(2, "commission-portal"));
  largest->control_ = { "255.255.255.254", 65535 };
  largest->id_ = model::DaemonId(model::ToString(largest->control_));
  largest->forward_ = { "255.255.255.253", 65535 };
  largest->incarnation_ = 1ULL << 40U;
  largest->sequence_ = 1ULL << 31U;
  largest->state_ = model::MemberState::Left;
  largest->leaving_ = true;
  largest->endpoint_->slots_ = 1U << 30U;
  largest->endpoint_->connections_ = 1U << 30U;
  const std::size_t empty = wire::EncodeDatagram(Wrap(RecordDelta{})).size();
  CHECK_TRUE(empty <= kDatagramHeaderBytes);
  const Update updates[] = {
    largest,
    StateClaim{ largest->id_, 1ULL << 40U, model::MemberState::Dead },
    DomainView{ largest->id_, 1ULL << 20U, 1ULL << 20U, { model::FailureDomain("portobello") } }
  };
  for (const Update& update : updates) {
    const std::size_t size = wire::EncodeDatagram(Wrap(RecordDelta{ { update }, {} })).size();
    CHECK_TRUE(size - empty <= EncodedSizeBound(update));
  }
  const MemberStamp stamp{ largest->id_, 1ULL << 40U, 1ULL << 31U, model::MemberState::Left };
  const BucketEntries one{ largest->domain_, 0xffff, { stamp } };
  const BucketEntries two{ largest->domain_, 0xffff, { stamp, stamp } };
  CHECK_TRUE(wire::EncodeDatagram(Wrap(two)).size() - wire::EncodeDatagram(Wrap(one)).size() <=
             kStampBytes);
}

// Guards against control traffic at rest that grows past the budget of 2 KB/s.
TEST(MembershipCodec, PingsAndAcksAreSmall)
{
  constexpr std::size_t kProbeBytes = 40;
  CHECK_TRUE(wire::EncodeDatagram(Wrap(Ping{ 100000, false })).size() <= kProbeBytes);
  CHECK_TRUE(wire::EncodeDatagram(Wrap(Ack{ 100000, Record(1)->id_, {} })).size() <= kProbeBytes);
}

// Guards against a crash or a half-read record when bytes are cut off or altered on the way.
TEST(MembershipCodec, RejectsDamagedBytes)
{
  const std::string bytes = wire::EncodeDatagram(Wrap(RecordDelta{ { Record(2) }, {} }));
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    CHECK_FALSE(wire::DecodeDatagram(bytes.substr(0, length)).Ok());
  }
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    for (const int bit : { 1, 16, 128 }) {
      std::string damaged = bytes;
      damaged[i] = static_cast<char>(damaged[i] ^ bit);
      (void)wire::DecodeDatagram(damaged);
    }
  }
}

// Guards against notices that are taken for membership datagrams.
TEST(MembershipCodec, TellsNoticesFromMembership)
{
  const Notice notice{ Record(1)->id_, model::ConfigVersion(7), true };
  const auto decoded =
    wire::DecodeDatagram(wire::EncodeNotice(notice, model::ConfigVersion(6), {}));
  CHECK_TRUE(decoded.Ok());
  CHECK_TRUE(decoded->version_ == model::ConfigVersion(6));
  const auto& read = std::get<Notice>(decoded->message_);
  CHECK_TRUE((read.from_ == notice.from_ && read.version_ == notice.version_ && read.ackWanted_));
  const auto ack = wire::DecodeDatagram(
    wire::EncodeNoticeAck(NoticeAck{ Record(2)->id_, model::ConfigVersion(7) }, {}, {}));
  CHECK_TRUE(std::get<NoticeAck>(ack->message_).version_ == model::ConfigVersion(7));
}

// Guards against a joining daemon that gets another table, incarnation or floor than was sent.
TEST(MembershipCodec, KeepsSyncMessages)
{
  const SyncRequest request{ Record(1), model::ConfigVersion(3), model::FailureDomain("leith") };
  const auto asked = wire::DecodeSyncRequest(wire::EncodeSyncRequest(request));
  CHECK_TRUE((*asked->self_ == *request.self_ && asked->domain_ == request.domain_));
  const SyncTable table{
    Record(1)->id_,         model::ConfigVersion(3), { Record(2), Record(3) }, {}, 6,
    model::ConfigVersion(5)
  };
  const auto decoded = wire::DecodeSyncResponse(wire::EncodeSyncResponse(table));
  const auto& read = std::get<SyncTable>(*decoded);
  CHECK_TRUE((read.members_.size() == 2 && *read.members_[1] == *Record(3)));
  CHECK_TRUE((read.previousIncarnation_ == 6 && read.floor_ == model::ConfigVersion(5)));
  const auto later = wire::DecodeSyncResponse(
    wire::EncodeSyncResponse(SyncLater{ std::chrono::milliseconds(1500) }));
  LONGS_EQUAL(1500, std::get<SyncLater>(*later).delay_.count());
}

// Guards against a short message that names a long list and takes the memory for it.
TEST(MembershipCodec, RejectsListsThatAreLongerThanTheMessage)
{
  // A SyncResponseT with a table whose list of members names 100 million elements.
  const std::string message("\x1c\x39\xfc\x80\xc2\xd7\x2f", 7);
  const auto decoded = wire::DecodeSyncResponse(message);
  CHECK_FALSE(decoded.Ok());
  STRCMP_EQUAL("TProtocolException: Exceeded size limit", decoded.Error().message_.c_str());
}
