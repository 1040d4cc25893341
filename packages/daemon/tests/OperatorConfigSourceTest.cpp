#include "hemlockproxy/daemon/OperatorConfigSource.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::daemon;
using std::chrono::milliseconds;

namespace {

model::TimePoint At(int aMs)
{
  return model::TimePoint() + std::chrono::hours(1) + milliseconds(aMs);
}

/// Reads the version from a record's bytes; other bytes are no configuration.
model::Result<std::optional<model::Configuration>, ConfigurationError> Decode(
  const runtime::LogRecord& aRecord)
{
  if (aRecord.key_ != "config") {
    return std::optional<model::Configuration>();
  }
  if (aRecord.bytes_.empty() || aRecord.bytes_[0] < '0' || aRecord.bytes_[0] > '9') {
    return ConfigurationError{ "expected a number" };
  }
  model::Configuration configuration;
  configuration.version_ = model::ConfigVersion(std::stoull(aRecord.bytes_));
  return std::optional(std::move(configuration));
}

runtime::LogBatch Batch(std::uint64_t aFirst,
                        const std::vector<std::string>& aTexts,
                        model::LogEpoch aEpoch = model::kFirstLogEpoch)
{
  runtime::LogBatch batch;
  batch.epoch_ = aEpoch;
  for (const std::string& text : aTexts) {
    batch.records_.push_back({ model::LogOffset(aFirst++), {}, text, "config" });
  }
  batch.next_ = model::LogOffset(aFirst);
  batch.resume_ = batch.next_;
  return batch;
}

} // namespace

TEST_GROUP(OperatorConfigSource)
{
  runtime::EventRing events_{ 64 };
  OperatorConfigSource source_{ { 1, milliseconds(1500) }, Decode, events_ };
  model::RandomSource random_{ 1 };
  int now_ = 0;

  std::vector<decisions::DistributionEvent> Finish(
    const model::Result<runtime::LogBatch, runtime::LogError>& aResult)
  {
    return source_.Finish(aResult, At(now_), {}, random_);
  }
  template <typename Command>
  Command Next()
  {
    const auto command = source_.NextRead(At(now_));
    CHECK_TRUE(command.has_value());
    const auto* found = std::get_if<Command>(&*command);
    CHECK_TRUE(found != nullptr);
    return *found;
  }
  /// Returns the time in ms for which the log's end was proved; -1 when it was not.
  std::int64_t EndKnownAt(const std::vector<decisions::DistributionEvent>& aEvents)
  {
    for (const auto& event : aEvents) {
      if (const auto* reached = std::get_if<decisions::LogTailReached>(&event)) {
        return std::chrono::duration_cast<milliseconds>(reached->asOf_ - At(0)).count();
      }
    }
    return -1;
  }
  std::uint64_t Accepted(const std::vector<decisions::DistributionEvent>& aEvents)
  {
    for (const auto& event : aEvents) {
      if (const auto* accepted = std::get_if<decisions::LogVersionAccepted>(&event)) {
        return accepted->configuration_->version_.Value();
      }
    }
    return 0;
  }
};

// Guards against a start that reads the whole history, or misses what comes after it.
TEST(OperatorConfigSource, StartsWithTheNewestAndReadsOn)
{
  source_.Start(nullptr);
  (void)Next<LogNewestCommand>();
  LONGS_EQUAL(7, Accepted(Finish(Batch(4, { "7" }))));
  now_ = 1000;
  const auto read = Next<LogReadCommand>();
  LONGS_EQUAL(5, read.from_.Value());
  // The end of the log is known again 1500 ms after the read that began at 0.
  CHECK_TRUE(read.wait_ == milliseconds(500));
  LONGS_EQUAL(9, Accepted(Finish(Batch(5, { "8", "9" }))));
}

// Guards against a fleet that reads the log without a pause until the first configuration comes, or
// of which each daemon keeps a read waiting there.
TEST(OperatorConfigSource, PausesUntilTheFirstConfiguration)
{
  source_.Start(nullptr);
  (void)Next<LogNewestCommand>();
  (void)Finish(Batch(0, {}));
  std::size_t reads = 0;
  for (; now_ < 10'000; now_ += 50) {
    if (const auto command = source_.NextRead(At(now_))) {
      ++reads;
      CHECK_TRUE(std::get<LogReadCommand>(*command).wait_ == milliseconds(0));
      LONGS_EQUAL(-1, EndKnownAt(Finish(Batch(0, {}))));
    }
  }
  CHECK_TRUE(reads >= 10 && reads <= 40);
  now_ += 750;
  (void)Next<LogReadCommand>();
  LONGS_EQUAL(1, Accepted(Finish(Batch(0, { "1" }))));
  now_ += 200;
  CHECK_TRUE(Next<LogReadCommand>().wait_ > milliseconds(0));
}

// Guards against a burst of versions that each cost a read, and against one that is read late.
TEST(OperatorConfigSource, PausesBrieflyAfterARecord)
{
  source_.Start(nullptr);
  (void)Next<LogNewestCommand>();
  (void)Finish(Batch(0, { "1" }));
  CHECK_FALSE(source_.NextRead(At(100)).has_value());
  CHECK_TRUE(source_.NextRead(At(200)).has_value());
}

// Guards against a bad or foreign record that stops the newest good one from coming into force.
TEST(OperatorConfigSource, PassesOverRecordsThatAreNoConfiguration)
{
  source_.Start(nullptr);
  (void)Next<LogNewestCommand>();
  LONGS_EQUAL(3, Accepted(Finish(Batch(0, { "2", "3", "cut sh" }))));
  now_ = 1000;
  LONGS_EQUAL(3, Next<LogReadCommand>().from_.Value());
  LONGS_EQUAL(0, Accepted(Finish(Batch(3, { "1" }))));
}

// Guards against a reader that waits for records that the log no longer has.
TEST(OperatorConfigSource, ReadsTheNewestAgainWhenTheHistoryIsGone)
{
  source_.Start(nullptr);
  (void)Next<LogNewestCommand>();
  (void)Finish(Batch(0, { "1" }));
  now_ = 1000;
  (void)Next<LogReadCommand>();
  (void)Finish(
    runtime::LogError{ runtime::LogErrorKind::Trimmed, "gone", model::LogOffset(9), {} });
  (void)Next<LogNewestCommand>();
}

// Guards against a flood of reads during an outage, and against a recovered log noticed late.
TEST(OperatorConfigSource, BacksOffAndThenReadsWithoutWaiting)
{
  source_.Start(nullptr);
  (void)Next<LogNewestCommand>();
  (void)Finish(Batch(0, { "1" }));
  now_ = 1000;
  (void)Next<LogReadCommand>();
  (void)Finish(runtime::LogError{ runtime::LogErrorKind::Unavailable, "outage", {}, {} });
  CHECK_FALSE(source_.NextRead(At(now_)).has_value());
  now_ += 500;
  CHECK_TRUE(Next<LogReadCommand>().wait_ == milliseconds(0));
}

// Guards against an old configuration that passes for the newest one because its read took long.
TEST(OperatorConfigSource, TellsForWhichTimeTheEndOfTheLogIsKnown)
{
  source_.Start(nullptr);
  (void)Next<LogNewestCommand>();
  now_ = 900;
  LONGS_EQUAL(0, EndKnownAt(Finish(Batch(0, { "1" }))));
  now_ = 1100;
  CHECK_TRUE(Next<LogReadCommand>().wait_ == milliseconds(400));
  now_ = 1900;
  LONGS_EQUAL(1500, EndKnownAt(Finish(Batch(1, {}))));
  CHECK_TRUE(Next<LogReadCommand>().wait_ == milliseconds(1100));
  now_ = 2500;
  LONGS_EQUAL(1900, EndKnownAt(Finish(Batch(1, { "2" }))));
}

// Guards against a reader that is still relied on although its reads fail.
TEST(OperatorConfigSource, TellsThatAReadFailed)
{
  source_.Start(nullptr);
  (void)Next<LogNewestCommand>();
  const auto events =
    Finish(runtime::LogError{ runtime::LogErrorKind::Unavailable, "outage", {}, {} });
  LONGS_EQUAL(1, events.size());
  CHECK_TRUE(std::holds_alternative<decisions::LogReadFailed>(events.front()));
}

// Guards against a member that becomes a reader again and reads all versions that it has missed.
TEST(OperatorConfigSource, ReadsTheNewestWhenItStartsAgain)
{
  source_.Start(nullptr);
  (void)Next<LogNewestCommand>();
  (void)Finish(Batch(0, { "1" }));
  source_.Stop();
  now_ = 10000;
  source_.Start(nullptr);
  (void)Next<LogNewestCommand>();
}

// Guards against a reader that falls behind versions written faster than it reads them.
TEST(OperatorConfigSource, SkipsToTheNewestWhenAReadDoesNotReachTheEnd)
{
  source_.Start(nullptr);
  (void)Next<LogNewestCommand>();
  (void)Finish(Batch(0, { "1" }));
  now_ = 1000;
  (void)Next<LogReadCommand>();
  auto behind = Batch(1, { "2", "3" });
  behind.next_ = model::LogOffset(9);
  LONGS_EQUAL(3, Accepted(Finish(behind)));
  (void)Next<LogNewestCommand>();
}

// Guards against a version that never comes into force: records that the operator wrote after a
// restore of the log stand before the offset of the reader, which is valid again.
TEST(OperatorConfigSource, ReadsTheNewestAgainInAnotherEpochOfTheLog)
{
  const model::LogEpoch restored = model::kFirstLogEpoch.Next();
  source_.Start(nullptr);
  (void)Next<LogNewestCommand>();
  LONGS_EQUAL(15, Accepted(Finish(Batch(0, { "10", "12", "15" }))));
  now_ = 1000;
  LONGS_EQUAL(3, Next<LogReadCommand>().from_.Value());
  // The end of the log is not known, whatever this read found.
  const auto events = Finish(Batch(3, {}, restored));
  LONGS_EQUAL(-1, EndKnownAt(events));
  LONGS_EQUAL(0, events.size());
  (void)Next<LogNewestCommand>();
  LONGS_EQUAL(19, Accepted(Finish(Batch(2, { "19" }, restored))));
  now_ = 2000;
  LONGS_EQUAL(3, Next<LogReadCommand>().from_.Value());
  LONGS_EQUAL(20, Accepted(Finish(Batch(3, { "20" }, restored))));
}

// Guards against a version that falls to the one of the older copy.
TEST(OperatorConfigSource, KeepsItsVersionWhileARestoredLogHasAnOlderOne)
{
  const model::LogEpoch restored = model::kFirstLogEpoch.Next();
  source_.Start(nullptr);
  (void)Next<LogNewestCommand>();
  LONGS_EQUAL(15, Accepted(Finish(Batch(0, { "15" }))));
  now_ = 1000;
  (void)Next<LogReadCommand>();
  (void)Finish(Batch(1, {}, restored));
  (void)Next<LogNewestCommand>();
  LONGS_EQUAL(0, Accepted(Finish(Batch(0, { "10" }, restored))));
  now_ = 2000;
  (void)Next<LogReadCommand>();
  LONGS_EQUAL(0, Accepted(Finish(Batch(1, { "15" }, restored))));
  now_ = 3000;
  (void)Next<LogReadCommand>();
  LONGS_EQUAL(16, Accepted(Finish(Batch(2, { "16" }, restored))));
}

// Guards against an offset of before two restores in a row that is taken for one of now.
TEST(OperatorConfigSource, NoticesEachOfTwoRestores)
{
  model::LogEpoch epoch = model::kFirstLogEpoch;
  source_.Start(nullptr);
  (void)Next<LogNewestCommand>();
  (void)Finish(Batch(0, { "1" }));
  for (int i = 0; i < 2; ++i) {
    now_ += 1000;
    (void)Next<LogReadCommand>();
    epoch = epoch.Next();
    (void)Finish(Batch(1, {}, epoch));
    (void)Next<LogNewestCommand>();
    (void)Finish(Batch(0, { "1" }, epoch));
  }
}
