#include "OwnerFixture.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::daemon;
using namespace hemlockproxy::daemon::test;

TEST_GROUP(OwnerService){};

// Guards against work for a caller that left while its request waited to be read.
TEST(OwnerService, SendsNothingOnForACallerThatLeftBeforeItsRequestWasRead)
{
  runtime::RunInLoop([](const runtime::IoContextPtr& aIo) {
    CountingServer backend(aIo);
    const Owner owner(aIo, backend.Address());
    const auto request = ForwardedRequest(owner.Address());
    // Leaves an idle connection to the backend server, on which a request is sent at once.
    LONGS_EQUAL(200, StatusOf(*aIo, owner.Address(), request));
    SendAndLeave(owner.Address(), request);
    boost::this_fiber::sleep_for(kSettle);
    LONGS_EQUAL(1, backend.Requests());
  });
}

// Guards against a poison request that runs because it waited while the news of its crashes came.
TEST(OwnerService, RejectsAQueuedRequestThatPeersReportMeanwhile)
{
  runtime::RunInLoop([](const runtime::IoContextPtr& aIo) {
    CountingServer backend(aIo, 2 * kSettle);
    Owner owner(aIo, backend.Address(), 1);
    const auto request = ForwardedRequest(owner.Address());
    auto poison = request;
    poison.target("/poison");
    const auto first = SendRequest(*aIo, owner.Address(), request);
    boost::this_fiber::sleep_for(kSettle / 2);
    const auto second = SendRequest(*aIo, owner.Address(), poison);
    boost::this_fiber::sleep_for(kSettle / 2);
    decisions::QuarantineRecord record;
    record.fingerprint_ =
      decisions::MakeFingerprint("GET", "/poison", ToString(model::HashBytes("")));
    record.crashes_ = { { model::DaemonId("peer"), std::chrono::milliseconds(0) } };
    record.rejectedAge_ = std::chrono::milliseconds(0);
    record.rejections_ = 1;
    owner.Service().MergeQuarantine({ record });
    CHECK_TRUE(first->ReadHeader(kExchangeTimeout).Ok());
    const auto header = second->ReadHeader(kExchangeTimeout);
    CHECK_TRUE(header.Ok());
    STRCMP_EQUAL("quarantined", std::string((*header)[kReasonField]).c_str());
    LONGS_EQUAL(1, backend.Requests());
  });
}

// Guards against a long body that fills the link, so that other responses wait behind it.
TEST(OwnerService, SendsALongBodyNoFasterThanItsLink)
{
  runtime::RunInLoop([](const runtime::IoContextPtr& aIo) {
    constexpr std::size_t kBody = 4 * decisions::kTransferPartBytes;
    constexpr std::uint64_t kLinkBytesPerSecond = 1'000'000;
    // The last of four parts starts after three of them, even at the whole link's rate.
    constexpr std::chrono::milliseconds kLeast(3 * decisions::kTransferPartBytes * 1000 /
                                               kLinkBytesPerSecond);
    Server backend(aIo, [&](runtime::HttpExchange& aExchange) {
      (void)aExchange.SendResponse(
        runtime::http::status::ok, std::string(kBody, 'x'), "application/octet-stream");
    });
    backend.Start();
    const Owner owner(aIo, backend.Address(), 4, kLinkBytesPerSecond);
    const auto connection = SendRequest(*aIo, owner.Address(), ForwardedRequest(owner.Address()));
    const auto started = std::chrono::steady_clock::now();
    CHECK_TRUE(connection->ReadHeader(kExchangeTimeout).Ok());
    std::string part(kBody, '\0');
    std::size_t received = 0;
    while (const auto read = connection->Read(part.data(), part.size())) {
      if (*read == 0) {
        break;
      }
      received += *read;
    }
    LONGS_EQUAL(kBody, received);
    CHECK_TRUE(std::chrono::steady_clock::now() - started >= kLeast);
  });
}

// Guards against a request that is passed on late in a planned stop and cut at its end.
TEST(OwnerService, RunsNoRequestWhoseBodyComesAfterTheEndOfAdmission)
{
  runtime::RunInLoop([](const runtime::IoContextPtr& aIo) {
    CountingServer backend(aIo);
    Owner owner(aIo, backend.Address());
    const auto before = SendHead(*aIo, owner.Address(), ForwardedRequest(owner.Address()));
    LONGS_EQUAL(200, FinishRequest(*before));
    const auto late = SendHead(*aIo, owner.Address(), ForwardedRequest(owner.Address()));
    boost::this_fiber::sleep_for(kSettle);
    owner.Service().RejectLateBodies();
    LONGS_EQUAL(503, FinishRequest(*late));
    LONGS_EQUAL(1, backend.Requests());
  });
}
