#include "MeshDriver.h"

#include "hemlockproxy/decisions/RendezvousHash.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::decisions;
using namespace hemlockproxy::decisions::tests;
using model::ConfigVersion;

namespace {

constexpr auto kApplyWithin = 2000ms;
constexpr std::uint64_t kSeeds = 20;

} // namespace

/// One failure domain with the waits of the platform.
TEST_BASE(LogTakeoverScenario)
{
  void Run(std::size_t aMembers, std::uint64_t aSeed)
  {
    MeshOptions options{ 1, aMembers, Profile::Fast, aSeed };
    options.adjust_ = [](MembershipOptions&, DistributionOptions& aDistribution) {
      aDistribution.ApplyWithin(kApplyWithin);
      aDistribution.startLogDelay_ = 0ms;
      aDistribution.logRetry_ = kApplyWithin / 2;
    };
    mesh_.emplace(std::move(options));
    (void)mesh_->Publish();
    mesh_->StartAll();
    mesh_->RunFor(60s);
    LONGS_EQUAL(mesh_->Size(), mesh_->CountEnforcing(ConfigVersion(1)));
  }
  std::vector<std::size_t> Readers()
  {
    std::vector<std::size_t> readers;
    for (std::size_t i = 0; i < mesh_->Size(); ++i) {
      if (mesh_->Up(i) && mesh_->At(i).reading_) {
        readers.push_back(i);
      }
    }
    return readers;
  }
  std::optional<Mesh> mesh_;
};

TEST_GROUP_BASE(LogTakeoverReaders, LogTakeoverScenario){};

// Guards against members of a large domain that never learn that their version is the newest one.
TEST(LogTakeoverReaders, AllMembersOfALargeDomainKnowThatTheirVersionIsCurrent)
{
  constexpr std::size_t kMembers = 60;
  Run(kMembers, 1);
  mesh_->Pause(Readers().front());
  mesh_->RunFor(kApplyWithin);
  for (int round = 0; round < 20; ++round) {
    for (std::size_t i = 0; i < kMembers; ++i) {
      const auto current = mesh_->At(i).distribution_->CurrentAsOf();
      CHECK_TRUE(mesh_->At(i).paused_ || (current && mesh_->Now() - *current < kApplyWithin));
    }
    mesh_->RunFor(200ms);
  }
}

/// Versions follow each other while members stand still, restart and lose the log.
TEST_GROUP_BASE(LogTakeoverStorm, LogTakeoverScenario)
{
  /// A member that ran and reached the log for this long has to be on time.
  static constexpr auto kStable = 3000ms;
  static constexpr auto kGap = 250ms;

  void Disturb(model::RandomSource & aRandom)
  {
    const std::size_t node = aRandom() % mesh_->Size();
    Mesh::Node& at = mesh_->At(node);
    at.since_ = mesh_->Now();
    switch (aRandom() % 3) {
      case 0:
        at.paused_ ? mesh_->Resume(node) : mesh_->Pause(node);
        break;
      case 1:
        if (mesh_->Up(node)) {
          mesh_->Kill(node);
        } else {
          mesh_->Start(node);
        }
        break;
      default:
        at.logCut_ = !at.logCut_;
        break;
    }
  }
  void CheckOnTime(const std::map<model::TimePoint, ConfigVersion>& aPublished)
  {
    const auto due = aPublished.upper_bound(mesh_->Now() - kApplyWithin);
    if (due == aPublished.begin()) {
      return;
    }
    for (std::size_t i = 0; i < mesh_->Size(); ++i) {
      const Mesh::Node& node = mesh_->At(i);
      if (mesh_->Up(i) && !node.paused_ && !node.logCut_ && mesh_->Now() - node.since_ >= kStable) {
        CHECK_TRUE(mesh_->Enforced(i) >= std::prev(due)->second);
      }
    }
  }
};

// Guards against a domain that follows no new version while its log readers stand still.
TEST(LogTakeoverReaders, SilentReadersAreReplacedBeforeAVersionIsDue)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Run(5, seed);
    const auto readers = Readers();
    LONGS_EQUAL(2, readers.size());
    for (const std::size_t reader : readers) {
      mesh_->Pause(reader);
    }
    mesh_->RunFor(100ms);
    const ConfigVersion version = mesh_->Publish();
    mesh_->RunFor(kApplyWithin);
    LONGS_EQUAL(3, mesh_->CountEnforcing(version));
  }
}

// Guards against a domain without a log reader after both have vanished at once.
TEST(LogTakeoverReaders, VanishedReadersAreReplacedBeforeAVersionIsDue)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Run(4, seed);
    for (const std::size_t reader : Readers()) {
      mesh_->Kill(reader);
    }
    const ConfigVersion version = mesh_->Publish();
    mesh_->RunFor(kApplyWithin);
    LONGS_EQUAL(2, mesh_->CountEnforcing(version));
  }
}

// Guards against a domain whose log readers have lost the log while other members reach it.
TEST(LogTakeoverReaders, ReadersThatLoseTheLogAreReplacedBeforeAVersionIsDue)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Run(5, seed);
    for (const std::size_t reader : Readers()) {
      mesh_->At(reader).logCut_ = true;
    }
    const ConfigVersion version = mesh_->Publish();
    mesh_->RunFor(kApplyWithin);
    LONGS_EQUAL(5, mesh_->CountEnforcing(version));
  }
}

// Guards against members that keep reading once the log readers of better rank have returned.
TEST(LogTakeoverReaders, ReplacementsStopWhenTheReadersAreBack)
{
  Run(5, 1);
  const auto readers = Readers();
  for (const std::size_t reader : readers) {
    mesh_->Pause(reader);
  }
  mesh_->RunFor(kApplyWithin);
  for (const std::size_t reader : readers) {
    mesh_->Resume(reader);
  }
  mesh_->RunFor(kApplyWithin);
  CHECK_TRUE(Readers() == readers);
}

/// One daemon that reads the log and has the worst rank of all members.
TEST_GROUP(LogTakeoverHandover)
{
  static model::DaemonId Id(std::size_t aHost)
  {
    return model::DaemonId("10.0.0." + std::to_string(aHost) + ":7000");
  }
  void setup() override
  {
    std::vector<model::DaemonId> members = { Id(1), Id(2), Id(3) };
    ranking_ = ChooseByRendezvous("log-reader", members, members.size());
    DistributionOptions options;
    options.id_ = ranking_.back();
    options.ApplyWithin(kApplyWithin);
    options.startLogDelay_ = 0ms;
    distribution_.emplace(*Distribution::Create(options));
    (void)Count<StartReading>(PeersChanged{ { { ranking_.back() }, {} } });
    (void)Count<StartReading>(DistributionTick{});
    CHECK_TRUE(distribution_->IsLogReader());
  }
  template <typename Action>
  std::size_t Count(const DistributionEvent& aEvent, model::Duration aPassed = 0ms)
  {
    now_ += aPassed;
    const auto actions = distribution_->Handle(aEvent, now_, random_);
    return static_cast<std::size_t>(
      std::count_if(actions.begin(), actions.end(), [](const auto& aAction) {
        return std::holds_alternative<Action>(aAction);
      }));
  }
  LogReportReceived ReportOf(std::size_t aRank, std::optional<std::chrono::milliseconds> aAge)
  {
    return LogReportReceived{ LogReport{ ranking_[aRank], ConfigVersion(1), aAge, std::nullopt } };
  }
  std::vector<model::DaemonId> ranking_;
  std::optional<Distribution> distribution_;
  model::RandomSource random_{ 1 };
  model::TimePoint now_{ 1h };
};

// Guards against a gap between the end of one log reader and the start of its successor.
TEST(LogTakeoverHandover, AReaderGoesOnUntilItsSuccessorsHaveReported)
{
  LONGS_EQUAL(0, Count<StopReading>(PeersChanged{ { ranking_, {} } }));
  LONGS_EQUAL(0, Count<StopReading>(DistributionTick{}, 500ms));
  LONGS_EQUAL(0, Count<StopReading>(ReportOf(0, 0ms)));
  LONGS_EQUAL(0, Count<StopReading>(ReportOf(1, std::nullopt)));
  LONGS_EQUAL(1, Count<StopReading>(ReportOf(1, 0ms)));
}

// Guards against a reader with a silent connection that all others still rely on.
TEST(LogTakeoverHandover, AReaderWhoseReadHasNoEndReportsThatItCannotRead)
{
  (void)Count<StopReading>(PeersChanged{ { ranking_, {} } });
  LONGS_EQUAL(2, Count<SendLogReport>(LogTailReached{ now_ }));
  std::optional<std::chrono::milliseconds> age = 0ms;
  const auto started = now_;
  while (age) {
    now_ += 100ms;
    for (const auto& action : distribution_->Handle(DistributionTick{}, now_, random_)) {
      if (const auto* sent = std::get_if<SendLogReport>(&action)) {
        age = sent->report_.age_;
      }
    }
    CHECK_TRUE(now_ - started < kApplyWithin);
  }
}

// Guards against any member that runs and reaches the log, and still enforces an old version.
TEST(LogTakeoverStorm, MembersThatReachTheLogAreOnTimeWhateverTheOthersDo)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Run(5, seed);
    model::RandomSource random(seed);
    std::map<model::TimePoint, ConfigVersion> published;
    for (const auto end = mesh_->Now() + 60s; mesh_->Now() < end;) {
      published[mesh_->Now()] = mesh_->Publish();
      if (random() % 4 == 0) {
        Disturb(random);
      }
      mesh_->RunFor(kGap);
      CheckOnTime(published);
    }
  }
}
