#include "MeshDriver.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::decisions;
using namespace hemlockproxy::decisions::tests;
using model::ConfigVersion;

TEST_BASE(DistributionScenario)
{
  void Run(std::size_t aDomains, std::size_t aPerDomain, Profile aProfile = Profile::Fast)
  {
    mesh_.emplace(MeshOptions{ aDomains, aPerDomain, aProfile });
    (void)mesh_->Publish();
    mesh_->StartAll();
    mesh_->RunFor(60s);
    LONGS_EQUAL(mesh_->Size(), mesh_->CountEnforcing(ConfigVersion(1)));
  }
  std::size_t FirstReader()
  {
    std::size_t reader = 0;
    while (!mesh_->Up(reader) || !mesh_->At(reader).distribution_->IsLogReader()) {
      ++reader;
    }
    return reader;
  }
  std::optional<Mesh> mesh_;
};

TEST_GROUP_BASE(DistributionSpread, DistributionScenario){};
TEST_GROUP_BASE(DistributionStart, DistributionScenario){};

/// One daemon with hand-made events.
TEST_BASE(DistributionAlone)
{
  DistributionAlone()
  {
    options_.id_ = Id(1);
    distribution_.emplace(*Distribution::Create(options_));
  }
  static model::DaemonId Id(int aHost)
  {
    return model::DaemonId("10.0.0." + std::to_string(aHost) + ":7000");
  }
  static model::ConfigurationPtr Config(std::uint64_t aVersion)
  {
    model::ServiceConfig service;
    service.name_ = model::ServiceName("archivo");
    service.limits_[model::LimitKind::QueuedRequests] = aVersion;
    auto out = std::make_shared<model::Configuration>();
    out->version_ = ConfigVersion(aVersion);
    out->content_[service.name_] = model::MakeResource(service);
    return out;
  }
  static FetchResponse Response(std::uint64_t aVersion)
  {
    const auto resource = Config(aVersion)->content_.begin()->second;
    return FetchResponse{ ConfigVersion(aVersion),
                          { { resource->config_.name_, resource->digest_ } },
                          { resource },
                          nullptr };
  }
  /// Handles the event and returns how many actions of a type it caused.
  template <typename Action>
  std::size_t Count(const DistributionEvent& aEvent, model::Duration aPassed = 0ms)
  {
    now_ += aPassed;
    std::size_t count = 0;
    for (const auto& action : distribution_->Handle(aEvent, now_, random_)) {
      count += std::holds_alternative<Action>(action) ? 1 : 0;
      if (const auto* fetch = std::get_if<SendFetch>(&action)) {
        lastFetch_ = fetch->to_;
      }
    }
    return count;
  }
  DistributionOptions options_;
  std::optional<Distribution> distribution_;
  model::RandomSource random_{ 1 };
  model::TimePoint now_{ 1h };
  model::DaemonId lastFetch_;
};

TEST_GROUP_BASE(DistributionEnforcement, DistributionAlone){};
TEST_GROUP_BASE(DistributionFetching, DistributionAlone){};
TEST_GROUP_BASE(DistributionCheckpoint, DistributionAlone){};

// Guards against a change that reaches some daemons late or never, in either profile.
TEST(DistributionSpread, AVersionReachesAllWithinSeconds)
{
  for (const Profile profile : { Profile::Fast, Profile::Frugal }) {
    Run(3, 10, profile);
    const ConfigVersion version = mesh_->Publish();
    mesh_->RunFor(10s);
    LONGS_EQUAL(30, mesh_->CountEnforcing(version));
  }
}

// Guards against a domain that is cut off from the log and stays on the old version.
TEST(DistributionSpread, RelaysRepairAcrossDomainsWhileTheLogIsDown)
{
  Run(2, 4);
  mesh_->SetCut(0, 1, true);
  const ConfigVersion version = mesh_->Publish();
  // Only the first domain reads the log: its readers learn of the version, then the log fails.
  for (std::size_t i = 4; i < 8; ++i) {
    mesh_->Pause(i);
  }
  mesh_->RunFor(3s);
  mesh_->logAvailable_ = false;
  for (std::size_t i = 4; i < 8; ++i) {
    mesh_->Resume(i);
  }
  mesh_->RunFor(5s);
  LONGS_EQUAL(4, mesh_->CountEnforcing(version));
  mesh_->SetCut(0, 1, false);
  mesh_->RunFor(30s);
  LONGS_EQUAL(8, mesh_->CountEnforcing(version));
}

// Guards against a domain without log readers after both have failed.
TEST(DistributionSpread, OtherMembersTakeOverFromFailedReaders)
{
  Run(1, 8);
  for (int i = 0; i < 2; ++i) {
    mesh_->Kill(FirstReader());
    mesh_->RunFor(100ms);
  }
  const ConfigVersion version = mesh_->Publish();
  mesh_->RunFor(30s);
  LONGS_EQUAL(6, mesh_->CountEnforcing(version));
}

// Guards against a restarted daemon that serves an older version than it did before.
TEST(DistributionStart, ARestartedDaemonTakesTheVersionFromItsPeers)
{
  Run(1, 5);
  const ConfigVersion version = mesh_->Publish();
  mesh_->RunFor(10s);
  mesh_->logAvailable_ = false;
  mesh_->Kill(2);
  mesh_->RunFor(1s);
  mesh_->Start(2);
  mesh_->RunFor(10s);
  CHECK_TRUE(mesh_->At(2).distribution_->Ready());
  CHECK_TRUE(mesh_->Enforced(2) == version);
}

// Guards against serving without any configuration.
TEST(DistributionStart, WithNeitherLogNorPeerNothingIsServed)
{
  mesh_.emplace(MeshOptions{ 1, 1 });
  mesh_->logAvailable_ = false;
  mesh_->Start(0);
  mesh_->RunFor(120s);
  CHECK_FALSE(mesh_->At(0).distribution_->Ready());
  mesh_->logAvailable_ = true;
  (void)mesh_->Publish();
  mesh_->RunFor(10s);
  CHECK_TRUE(mesh_->At(0).distribution_->Ready());
}

// Guards against a version that only one daemon held when it crashed.
TEST(DistributionEnforcement, AReaderWaitsForOneAcknowledgement)
{
  (void)Count<EnforceVersion>(PeersChanged{ { { Id(1), Id(2), Id(3) }, { Id(9) } } });
  (void)Count<EnforceVersion>(LogTailReached{});
  LONGS_EQUAL(0, Count<EnforceVersion>(LogVersionAccepted{ Config(1), nullptr }));
  LONGS_EQUAL(2, Count<SendNotice>(DistributionTick{}, 400ms));
  // A holder in another domain is not asked for the floor by a restarted daemon.
  LONGS_EQUAL(0, Count<EnforceVersion>(NoticeAckReceived{ { Id(9), ConfigVersion(1) } }));
  LONGS_EQUAL(1, Count<EnforceVersion>(NoticeAckReceived{ { Id(2), ConfigVersion(1) } }));
}

// Guards against a version that no peer holds and that is enforced at once since an earlier one,
// which peers hold, waited long for the start rule.
TEST(DistributionEnforcement, TheWaitForTheStartRuleIsNotPartOfTheWaitForAnAcknowledgement)
{
  (void)Count<EnforceVersion>(PeersChanged{ { { Id(1), Id(2) }, {} } });
  (void)Count<EnforceVersion>(PeerVersionReported{ Id(2), ConfigVersion(1) });
  LONGS_EQUAL(0, Count<EnforceVersion>(FetchResponded{ Id(2), Response(1) }));
  LONGS_EQUAL(0,
              Count<EnforceVersion>(LogVersionAccepted{ Config(2), nullptr },
                                    options_.acknowledgementLimit_));
  LONGS_EQUAL(0, Count<EnforceVersion>(LogTailReached{ now_ }));
  LONGS_EQUAL(1, Count<EnforceVersion>(NoticeAckReceived{ { Id(2), ConfigVersion(2) } }));
}

// Guards against a failure domain in which nobody reads the log for a while after its start.
TEST(DistributionEnforcement, ADaemonThatBecomesReadyReadsTheLogAtOnce)
{
  (void)Count<EnforceVersion>(PeersChanged{ { { Id(1) }, {} } });
  LONGS_EQUAL(0, Count<StartReading>(LogVersionAccepted{ Config(1), nullptr }));
  CHECK_FALSE(distribution_->Ready());
  LONGS_EQUAL(1, Count<StartReading>(LogTailReached{}));
  CHECK_TRUE(distribution_->Ready());
  CHECK_TRUE(distribution_->IsLogReader());
}

// Guards against a daemon that waits for ever for peers that have all died.
TEST(DistributionEnforcement, WithoutLivePeersNoAcknowledgementIsNeeded)
{
  (void)Count<EnforceVersion>(PeersChanged{ { { Id(1), Id(2) }, {} } });
  (void)Count<EnforceVersion>(LogTailReached{});
  LONGS_EQUAL(0, Count<EnforceVersion>(LogVersionAccepted{ Config(1), nullptr }));
  LONGS_EQUAL(1, Count<EnforceVersion>(PeersChanged{ { { Id(1) }, {} } }));
}

// Guards against serving below the version that this address has reported before.
TEST(DistributionEnforcement, NothingBelowTheFloorIsEnforced)
{
  (void)Count<EnforceVersion>(PeersChanged{ { { Id(1), Id(2) }, {} } });
  (void)Count<EnforceVersion>(VersionFloorRaised{ ConfigVersion(5) });
  (void)Count<EnforceVersion>(VersionFloorSettled{});
  (void)Count<SendFetch>(NoticeReceived{ { Id(2), ConfigVersion(4), false } });
  LONGS_EQUAL(0, Count<EnforceVersion>(FetchResponded{ Id(2), Response(4) }));
  LONGS_EQUAL(1, Count<SendFetch>(NoticeReceived{ { Id(2), ConfigVersion(5), false } }));
  LONGS_EQUAL(1, Count<EnforceVersion>(FetchResponded{ Id(2), Response(5) }));
}

// Guards against a late response that brings an older version back.
TEST(DistributionEnforcement, AnOlderVersionIsIgnored)
{
  (void)Count<EnforceVersion>(PeersChanged{ { { Id(1) }, {} } });
  (void)Count<EnforceVersion>(LogTailReached{});
  LONGS_EQUAL(1, Count<EnforceVersion>(LogVersionAccepted{ Config(3), nullptr }));
  LONGS_EQUAL(0, Count<EnforceVersion>(LogVersionAccepted{ Config(2), nullptr }));
  LONGS_EQUAL(0, Count<EnforceVersion>(FetchResponded{ Id(2), Response(2) }));
  CHECK_TRUE(distribution_->Enforced()->version_ == ConfigVersion(3));
}

// Guards against a version of which only some resources have arrived.
TEST(DistributionFetching, AnIncompleteVersionIsNotEnforcedAndAnotherSourceIsTried)
{
  (void)Count<EnforceVersion>(PeersChanged{ { { Id(1), Id(2), Id(3) }, {} } });
  (void)Count<EnforceVersion>(VersionFloorSettled{});
  LONGS_EQUAL(1, Count<SendFetch>(NoticeReceived{ { Id(2), ConfigVersion(1), false } }));
  FetchResponse incomplete = Response(1);
  incomplete.resources_.clear();
  LONGS_EQUAL(0, Count<EnforceVersion>(FetchResponded{ Id(2), incomplete }));
  LONGS_EQUAL(1, Count<SendFetch>(DistributionTick{}, 500ms));
  CHECK_TRUE(lastFetch_ == Id(3));
  LONGS_EQUAL(1, Count<EnforceVersion>(FetchResponded{ Id(3), Response(1) }));
}

// Guards against a fetch that is never answered and blocks all later ones.
TEST(DistributionFetching, AFetchThatTimesOutIsRepeatedElsewhere)
{
  (void)Count<EnforceVersion>(PeersChanged{ { { Id(1), Id(2), Id(3) }, {} } });
  LONGS_EQUAL(1, Count<SendFetch>(NoticeReceived{ { Id(2), ConfigVersion(1), false } }));
  LONGS_EQUAL(0, Count<SendFetch>(PeerVersionReported{ Id(3), ConfigVersion(1) }));
  LONGS_EQUAL(0, Count<SendFetch>(DistributionTick{}, options_.fetchTimeout_));
  LONGS_EQUAL(1, Count<SendFetch>(DistributionTick{}, 500ms));
  CHECK_TRUE(lastFetch_ == Id(3));
}

// Guards against a peer that vanishes while it is asked and holds up a version for longer than it
// may take to be in force: with a fixed time-out of 3 s a daemon enforced an old version for 2 s
// too long.
TEST(DistributionFetching, AVanishedPeerDoesNotHoldUpAVersionBeyondItsTime)
{
  constexpr auto kApplyWithin = 2000ms;
  options_.ApplyWithin(kApplyWithin);
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    random_ = model::RandomSource(seed);
    distribution_.emplace(*Distribution::Create(options_));
    (void)Count<EnforceVersion>(PeersChanged{ { { Id(1), Id(2), Id(3) }, {} } });
    (void)Count<EnforceVersion>(VersionFloorSettled{});
    const auto started = now_;
    LONGS_EQUAL(1, Count<SendFetch>(NoticeReceived{ { Id(2), ConfigVersion(1), false } }));
    (void)Count<SendFetch>(PeerVersionReported{ Id(3), ConfigVersion(1) });
    while (Count<SendFetch>(DistributionTick{}, 10ms) == 0) {
      CHECK_TRUE(now_ - started < kApplyWithin / 2);
    }
    CHECK_TRUE(lastFetch_ == Id(3));
    LONGS_EQUAL(1, Count<EnforceVersion>(FetchResponded{ Id(3), Response(1) }));
  }
}

TEST(DistributionFetching, ShortTimesStillGiveValidOptions)
{
  options_.ApplyWithin(100ms);
  CHECK_TRUE(Distribution::Create(options_).Ok());
}

// Guards against history that expires because no checkpoint was appended in time, and against
// all readers appending at once.
TEST(DistributionCheckpoint, IsAppendedWhenDueUnlessAnotherWasSeen)
{
  (void)Count<EnforceVersion>(PeersChanged{ { { Id(1) }, {} } });
  LONGS_EQUAL(1, Count<StartReading>(DistributionTick{}, 10s));
  (void)Count<EnforceVersion>(LogTailReached{});
  (void)Count<EnforceVersion>(LogVersionAccepted{ Config(1), nullptr });
  LONGS_EQUAL(0, Count<AppendCheckpoint>(LogRecordsRead{ 255 }));
  LONGS_EQUAL(0, Count<AppendCheckpoint>(DistributionTick{}, 60s));
  (void)Count<AppendCheckpoint>(LogRecordsRead{ 1 });
  LONGS_EQUAL(0, Count<AppendCheckpoint>(DistributionTick{}));
  (void)Count<AppendCheckpoint>(CheckpointRead{ 1s });
  LONGS_EQUAL(0, Count<AppendCheckpoint>(DistributionTick{}, 60s));
  LONGS_EQUAL(0, Count<AppendCheckpoint>(DistributionTick{}, options_.retention_ / 3));
  LONGS_EQUAL(1, Count<AppendCheckpoint>(DistributionTick{}, 60s));
  LONGS_EQUAL(0, Count<AppendCheckpoint>(DistributionTick{}, 1s));
}
