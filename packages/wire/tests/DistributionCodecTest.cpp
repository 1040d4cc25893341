#include "hemlockproxy/wire/DistributionCodec.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::decisions;

namespace {

FetchResponse Response()
{
  model::ServiceConfig service;
  service.name_ = model::ServiceName("archivo");
  service.limits_[model::LimitKind::BodyBytes] = 1U << 20U;
  const auto resource = model::MakeResource(service);
  auto handover = std::make_shared<model::CheckpointRecord>();
  handover->covered_ = model::LogOffset(90);
  handover->version_ = model::ConfigVersion(12);
  handover->floors_[{ service.name_, model::LimitKind::BodyBytes }] = 1U << 20U;
  handover->recent_.emplace_back(model::PublicationId("p-1"), model::ConfigVersion(12));
  const model::Digest kept{ 1, ~0ULL };
  return FetchResponse{ model::ConfigVersion(12),
                        { { service.name_, resource->digest_ },
                          { model::ServiceName("bitacora"), kept } },
                        { resource },
                        handover };
}

} // namespace

TEST_GROUP(DistributionCodec){};

// Guards against a version that is assembled from altered resources or replay state.
TEST(DistributionCodec, KeepsTheVersionAndItsReplayState)
{
  const FetchResponse sent = Response();
  const auto read = wire::DecodeFetchResponse(wire::EncodeFetchResponse(sent));
  CHECK_TRUE(read.Ok());
  CHECK_TRUE((read->version_ == sent.version_ && read->manifest_ == sent.manifest_));
  CHECK_TRUE(read->resources_.at(0)->config_ == sent.resources_[0]->config_);
  CHECK_TRUE(read->resources_.at(0)->digest_ == sent.resources_[0]->digest_);
  CHECK_TRUE((read->handover_->covered_ == sent.handover_->covered_ &&
              read->handover_->floors_ == sent.handover_->floors_ &&
              read->handover_->recent_ == sent.handover_->recent_));
}

// Guards against resources that are sent again because their digests were not understood.
TEST(DistributionCodec, KeepsTheDigestsOfARequest)
{
  const FetchRequest sent{ { { 1, ~0ULL }, { 1ULL << 63U, 2 } }, true };
  const auto read = wire::DecodeFetchRequest(wire::EncodeFetchRequest(sent));
  CHECK_TRUE((read->held_ == sent.held_ && read->handoverWanted_));
}

// Guards against a crash or a partial version when bytes are cut off.
TEST(DistributionCodec, RejectsTruncatedBytes)
{
  const std::string bytes = wire::EncodeFetchResponse(Response());
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    CHECK_FALSE(wire::DecodeFetchResponse(bytes.substr(0, length)).Ok());
  }
}

// Guards against a key that is lost or altered on its way to another daemon.
TEST(DistributionCodec, KeepsTheCustomers)
{
  model::Customer customer;
  customer.name_ = model::CustomerName("mill");
  customer.keys_ = { model::HashKey("first"), model::HashKey("second") };
  customer.priority_ = 2;
  customer.ratePerSecond_ = 659.5;
  customer.burst_ = 30;
  FetchResponse sent = Response();
  sent.customers_ = model::MakeCustomerList({ customer, { model::CustomerName("clinic"), {} } });
  sent.customersDigest_ = sent.customers_->digest_;
  const auto read = wire::DecodeFetchResponse(wire::EncodeFetchResponse(sent));
  CHECK_TRUE(read.Ok());
  CHECK_TRUE(read->customersDigest_ == sent.customersDigest_);
  CHECK_TRUE(read->customers_->customers_ == sent.customers_->customers_);
  CHECK_TRUE(read->customers_->digest_ == sent.customers_->digest_);
  sent.customers_ = nullptr;
  const auto held = wire::DecodeFetchResponse(wire::EncodeFetchResponse(sent));
  CHECK_TRUE((held->customersDigest_ == sent.customersDigest_ && !held->customers_));
}
