#include "hemlockproxy/wire/ClaimsCodec.h"
#include "hemlockproxy/wire/ConfigCodec.h"
#include "hemlockproxy/wire/DepartureCodec.h"
#include "hemlockproxy/wire/DistributionCodec.h"
#include "hemlockproxy/wire/MembershipCodec.h"
#include "hemlockproxy/wire/QuarantineCodec.h"

#include "Mutations.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using model::testing::Mutated;

namespace {

decisions::MemberRecordPtr SampleMember()
{
  auto record = std::make_shared<model::MemberRecord>();
  record->control_ = { "10.1.2.3", 7000 };
  record->id_ = model::DaemonId(model::ToString(record->control_));
  record->forward_ = { record->control_.ip_, 7001 };
  record->region_ = model::Region("scot-central");
  record->domain_ = model::FailureDomain("portobello");
  record->endpoint_ = model::Endpoint{ model::ServiceName("bitacora"), 20, 100, true };
  return record;
}

decisions::Datagram SampleDatagram()
{
  const decisions::StateClaim claim{ SampleMember()->id_, 7, model::MemberState::Dead };
  return { SampleMember()->id_,
           model::ConfigVersion(680),
           { 1764800000000, 3 },
           decisions::RecordDelta{ { SampleMember() }, { SampleMember()->id_ } },
           { SampleMember(), claim } };
}

model::ServiceResourcePtr SampleResource()
{
  model::ServiceConfig service;
  service.name_ = model::ServiceName("bitacora");
  model::RouteRule route;
  route.prefix_ = "/batches/";
  route.target_ = service.name_;
  route.split_ = { { service.name_, 90 }, { model::ServiceName("archivo"), 10 } };
  service.routes_ = { route, route };
  service.limits_[model::LimitKind::QueuedRequests] = 40;
  return model::MakeResource(service);
}

/// Decodes mutations of a valid message; whatever comes of them, the process stays.
template <typename Decode>
void Fuzz(const std::string& aValid, Decode aDecode)
{
  CHECK_TRUE(aDecode(aValid).Ok());
  CHECK_TRUE(
    rc::check("decoding ends with a value or an error", [&] { (void)aDecode(Mutated(aValid)); }));
}

} // namespace

TEST_GROUP(DecoderFuzz){};

TEST(DecoderFuzz, Datagrams)
{
  Fuzz(wire::EncodeDatagram(SampleDatagram()), wire::DecodeDatagram);
}

TEST(DecoderFuzz, SyncRequestsAndResponses)
{
  Fuzz(wire::EncodeSyncRequest({ SampleMember(), model::ConfigVersion(3), std::nullopt }),
       wire::DecodeSyncRequest);
  decisions::SyncTable table;
  table.from_ = SampleMember()->id_;
  table.members_ = { SampleMember(), SampleMember() };
  Fuzz(wire::EncodeSyncResponse(table), wire::DecodeSyncResponse);
}

TEST(DecoderFuzz, FetchRequestsAndResponses)
{
  Fuzz(wire::EncodeFetchRequest({ { SampleResource()->digest_ }, true }), wire::DecodeFetchRequest);
  decisions::FetchResponse response;
  response.version_ = model::ConfigVersion(4);
  response.manifest_ = { { model::ServiceName("bitacora"), SampleResource()->digest_ } };
  response.resources_ = { SampleResource() };
  Fuzz(wire::EncodeFetchResponse(response), wire::DecodeFetchResponse);
}

TEST(DecoderFuzz, RecordsOfTheConfiguration)
{
  model::CheckpointRecord checkpoint;
  checkpoint.version_ = model::ConfigVersion(2);
  checkpoint.content_[model::ServiceName("bitacora")] = SampleResource();
  Fuzz(wire::EncodeConfigRecord(model::ConfigRecord(checkpoint)), wire::DecodeConfigRecord);
}

TEST(DecoderFuzz, DepartureReports)
{
  const decisions::DepartureReport report{
    SampleMember()->id_,
    { { model::BackendId("i-7f"), model::WallTime(std::chrono::hours(1)), std::chrono::seconds(2) },
      { model::BackendId("i-80"), std::nullopt, std::chrono::seconds(3) } }
  };
  CHECK_TRUE(*wire::DecodeDepartureReport(wire::EncodeDepartureReport(report)) == report);
  Fuzz(wire::EncodeDepartureReport(report), wire::DecodeDepartureReport);
}

TEST(DecoderFuzz, QuarantineReports)
{
  Fuzz(wire::EncodeQuarantineReport({}), wire::DecodeQuarantineReport);
}
