#include "hemlockproxy/wire/MembershipCodec.h"

#include <string>
#include <variant>

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::decisions;

namespace {

const model::DaemonId kFrom("127.0.0.1:7003");

AllowanceAsk ManyDemands()
{
  AllowanceAsk ask{ AllowanceLevel::Domain, { 7, 1000 }, { 9, 2000 }, 0.0125, {} };
  for (std::uint32_t i = 0; i < 200; ++i) {
    ask.demands_.push_back({ model::CustomerName("customer-" + std::to_string(i)), 2.5 * i, i });
  }
  return ask;
}

} // namespace

TEST_GROUP(AllowanceCodec){};

// Guards against datagrams that do not fit into a packet, and against customers lost on the way.
TEST(AllowanceCodec, SplitsAnAskOverDatagrams)
{
  const AllowanceAsk ask = ManyDemands();
  AllowanceAsk read{ ask.level_, ask.stamp_, ask.echo_, ask.pledge_, {} };
  for (const std::string& bytes : wire::EncodeAllowanceAsk(ask, kFrom, { 1, 2 })) {
    CHECK_TRUE(bytes.size() <= wire::kDatagramBytes);
    const auto decoded = wire::DecodeDatagram(bytes);
    CHECK_TRUE(decoded.Ok());
    CHECK_TRUE(decoded->from_ == kFrom);
    auto part = std::get<AllowanceAsk>(decoded->message_);
    read.demands_.insert(read.demands_.end(), part.demands_.begin(), part.demands_.end());
    part.demands_ = ask.demands_;
    CHECK_TRUE(part == ask);
  }
  CHECK_TRUE(read == ask);
}

// Guards against a grant that reads differently on the other side.
TEST(AllowanceCodec, KeepsAGrant)
{
  const AllowanceGrant grant{ AllowanceLevel::Root,
                              { 0xffffffffffffffffU, 5 },
                              { 7, 6 },
                              { { model::CustomerName("a"), 0.25, 3, true },
                                { model::CustomerName("b"), 0, 0, false } } };
  const auto datagrams = wire::EncodeAllowanceGrant(grant, kFrom, { 1, 0 });
  LONGS_EQUAL(1, datagrams.size());
  const auto decoded = wire::DecodeDatagram(datagrams.front());
  CHECK_TRUE(decoded.Ok());
  CHECK_TRUE(std::get<AllowanceGrant>(decoded->message_) == grant);
}

// Guards against shares of more than the whole, which would break the bound.
TEST(AllowanceCodec, RejectsSharesOutOfRange)
{
  for (const double share : { -0.1, 1.5 }) {
    AllowanceAsk ask{ AllowanceLevel::Domain, { 7, 1 }, { 9, 2 }, share, {} };
    CHECK_FALSE(wire::DecodeDatagram(wire::EncodeAllowanceAsk(ask, kFrom, {}).front()).Ok());
  }
}

// Guards against an ask without customers, by which a daemon makes its share over, that is not
// sent.
TEST(AllowanceCodec, SendsAnAskWithoutDemands)
{
  const AllowanceAsk ask{ AllowanceLevel::Domain, { 7, 1 }, { 9, 2 }, 0.5, {} };
  LONGS_EQUAL(1, wire::EncodeAllowanceAsk(ask, kFrom, {}).size());
}
