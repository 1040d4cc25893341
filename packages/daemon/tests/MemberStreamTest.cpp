#include "hemlockproxy/daemon/MemberStream.h"

#include <algorithm>
#include <map>
#include <numeric>

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::daemon;
using std::chrono::milliseconds;

namespace {

constexpr LogTicket kRead = 1;
constexpr LogTicket kPut = 2;
constexpr model::LogEpoch kEpoch{ 4 };

model::TimePoint At(std::int64_t aMs)
{
  return model::TimePoint() + std::chrono::hours(1) + milliseconds(aMs);
}

model::Address AddressOf(std::size_t aNumber)
{
  return { "10.0." + std::to_string(aNumber / 250) + "." + std::to_string(1 + aNumber % 250),
           7660 };
}

runtime::LogRecord RecordOf(std::uint64_t aOffset, std::size_t aNumber)
{
  const std::string address = ToString(AddressOf(aNumber));
  return { model::LogOffset(aOffset), {}, address, address };
}

/// Lets a fleet start at once against a log in memory; returns the calls per daemon. Fails the test
/// unless the addresses found connect all daemons.
double CallsPerDaemon(std::size_t aDaemons)
{
  model::RandomSource random{ aDaemons };
  std::vector<MemberStream> streams;
  std::vector<std::size_t> order(aDaemons);
  std::iota(order.begin(), order.end(), 0);
  std::shuffle(order.begin(), order.end(), random);
  for (std::size_t i = 0; i < aDaemons; ++i) {
    streams.emplace_back(kRead, kPut, AddressOf(i));
  }
  std::vector<runtime::LogRecord> log;
  std::map<model::Address, std::size_t> numbers;
  std::size_t calls = 0;
  for (const std::size_t i : order) {
    CHECK_TRUE(std::holds_alternative<LogPutCommand>(*streams[i].Next(At(0))));
    ++calls;
    const model::LogOffset offset(log.size());
    log.push_back(RecordOf(offset.Value(), i));
    numbers[AddressOf(i)] = i;
    streams[i].Finish(
      model::Result<runtime::LogPosition, runtime::LogError>({ kEpoch, offset }), At(0), random);
  }
  std::vector<std::size_t> group(aDaemons);
  std::iota(group.begin(), group.end(), 0);
  const auto rootOf = [&group](std::size_t aOne) {
    while (group[aOne] != aOne) {
      aOne = group[aOne];
    }
    return aOne;
  };
  for (std::size_t i = 0; i < aDaemons; ++i) {
    const auto command = streams[i].Next(At(400));
    CHECK_TRUE(command.has_value());
    ++calls;
    const auto& read = std::get<LogReadCommand>(*command);
    const auto first = log.begin() + static_cast<std::ptrdiff_t>(read.from_.Value());
    const auto left = static_cast<std::size_t>(log.end() - first);
    runtime::LogBatch batch;
    batch.records_.assign(first, first + static_cast<std::ptrdiff_t>(std::min(left, read.most_)));
    for (const model::Address& found : streams[i].Finish(batch, At(400), random)) {
      group[rootOf(numbers.at(found))] = rootOf(i);
    }
  }
  for (std::size_t i = 0; i < aDaemons; ++i) {
    LONGS_EQUAL(rootOf(0), rootOf(i));
  }
  return static_cast<double>(calls) / static_cast<double>(aDaemons);
}

} // namespace

/// One daemon with prepared answers of the log.
TEST_GROUP(MemberStream)
{
  MemberStream stream_{ kRead, kPut, AddressOf(0) };
  model::RandomSource random_{ 1 };
  std::int64_t now_ = 0;

  template <typename Command>
  Command Next()
  {
    const auto command = stream_.Next(At(now_));
    CHECK_TRUE(command.has_value());
    const auto* found = std::get_if<Command>(&*command);
    CHECK_TRUE(found != nullptr);
    return *found;
  }
  void Put(std::uint64_t aOffset, model::LogEpoch aEpoch = kEpoch)
  {
    (void)Next<LogPutCommand>();
    stream_.Finish(
      model::Result<runtime::LogPosition, runtime::LogError>({ aEpoch, model::LogOffset(aOffset) }),
      At(now_),
      random_);
  }
  void RaiseEpoch(model::LogEpoch aEpoch)
  {
    stream_.RaiseEpoch(aEpoch, At(now_), random_);
  }
  /// Returns whether the own address is put within a time.
  bool PutsWithin(milliseconds aTime)
  {
    const auto command = stream_.Next(At(now_ + aTime.count()));
    const bool puts = command && std::holds_alternative<LogPutCommand>(*command);
    stream_.NotSubmitted();
    return puts;
  }
  std::size_t Answer(const model::Result<runtime::LogBatch, runtime::LogError>& aResult)
  {
    return stream_.Finish(aResult, At(now_), random_).size();
  }
};

// Guards against a start that reads the addresses of the whole fleet.
TEST(MemberStream, ReadsWhatWasPutJustBeforeTheOwnAddress)
{
  Put(500);
  now_ += 400;
  const auto read = Next<LogReadCommand>();
  LONGS_EQUAL(436, read.from_.Value());
  CHECK_TRUE(read.wait_ == milliseconds(0));
  runtime::LogBatch batch;
  batch.records_ = { RecordOf(499, 7), RecordOf(500, 0), RecordOf(501, 8) };
  LONGS_EQUAL(2, Answer(batch));
  now_ += 60'000;
  CHECK_FALSE(stream_.Next(At(now_)).has_value());
}

// Guards against a read by each daemon of a fleet that starts, although most have heard of a peer.
TEST(MemberStream, ReadsNothingOnceAPeerIsKnown)
{
  Put(500);
  stream_.PeerKnown();
  now_ += 400;
  CHECK_FALSE(stream_.Next(At(now_)).has_value());
}

// Guards against a daemon that stays alone because the records before its own have expired.
TEST(MemberStream, ReadsPagesInTurnWhenTheHistoryIsGone)
{
  Put(500);
  now_ += 400;
  (void)Next<LogReadCommand>();
  (void)Answer(
    runtime::LogError{ runtime::LogErrorKind::Trimmed, "gone", model::LogOffset(490), {} });
  STRCMP_EQUAL(ToString(AddressOf(0)).c_str(), Next<LogNewestCommand>().pageAfter_->c_str());
  runtime::LogBatch page;
  page.records_ = { RecordOf(3, 5) };
  page.moreAfter_ = ToString(AddressOf(5));
  LONGS_EQUAL(1, Answer(page));
  stream_.Refresh();
  now_ += 1500;
  STRCMP_EQUAL(ToString(AddressOf(5)).c_str(), Next<LogNewestCommand>().pageAfter_->c_str());
  page.moreAfter_.reset();
  (void)Answer(page);
  stream_.Refresh();
  now_ += 3000;
  STRCMP_EQUAL("", Next<LogNewestCommand>().pageAfter_->c_str());
}

// Guards against calls without end of a daemon that is the last of its failure domain.
TEST(MemberStream, ReadsRarerTheLongerItStaysAlone)
{
  std::size_t reads = 0;
  Put(0);
  for (; now_ < 60'000; now_ += 100) {
    stream_.Refresh();
    if (const auto command = stream_.Next(At(now_))) {
      ++reads;
      (void)Answer(runtime::LogBatch());
    }
  }
  CHECK_TRUE(reads >= 4 && reads <= 10);
  // Alone once more after peers were known, it looks for others at once.
  stream_.PeerKnown();
  stream_.Refresh();
  now_ += 30'000;
  (void)Next<LogNewestCommand>();
  (void)Answer(runtime::LogBatch());
  stream_.Refresh();
  now_ += 1500;
  (void)Next<LogNewestCommand>();
}

TEST(MemberStream, TriesAgainAfterAFailureOfTheLog)
{
  (void)Next<LogPutCommand>();
  const runtime::LogError outage{ runtime::LogErrorKind::Unavailable, "outage", {}, {} };
  stream_.Finish(model::Result<runtime::LogPosition, runtime::LogError>(outage), At(now_), random_);
  (void)Next<LogNewestCommand>();
  (void)Answer(outage);
  CHECK_FALSE(stream_.Next(At(now_)).has_value());
  now_ += 1500;
  Put(3);
  now_ += 400;
  LONGS_EQUAL(0, Next<LogReadCommand>().from_.Value());
}

// Guards against a daemon that nobody finds after a restore of the log, since its address was
// written after the copy was made.
TEST(MemberStream, PutsTheOwnAddressAgainAfterARestore)
{
  stream_.PeerKnown();
  Put(500);
  RaiseEpoch(kEpoch);
  CHECK_FALSE(PutsWithin(milliseconds(60'000)));
  RaiseEpoch(kEpoch.Next());
  CHECK_TRUE(PutsWithin(milliseconds(4000)));
  now_ += 4000;
  // The response to a put of before the restore does not count.
  Put(501, kEpoch);
  CHECK_TRUE(PutsWithin(milliseconds(1500)));
  now_ += 1500;
  Put(502, kEpoch.Next());
  CHECK_FALSE(PutsWithin(milliseconds(60'000)));
}

// Guards against a read from the offset at which the own address stood before the restore.
TEST(MemberStream, ReadsPagesWhenTheLogWasRestoredBeforeItsFirstRead)
{
  Put(500);
  RaiseEpoch(kEpoch.Next());
  now_ += 4000;
  Put(3, kEpoch.Next());
  now_ += 400;
  LONGS_EQUAL(0, Next<LogReadCommand>().from_.Value());
}

TEST_GROUP(MemberStreamFleet){};

// Guards against a whole fleet that writes at the same moment after a restore.
TEST(MemberStreamFleet, SpreadsItsWritesAfterARestore)
{
  constexpr std::size_t kDaemons = 950;
  constexpr std::int64_t kWritesPerSecond = 400;
  model::RandomSource random{ 1 };
  std::map<std::int64_t, std::int64_t> writes;
  for (std::size_t i = 0; i < kDaemons; ++i) {
    MemberStream stream(kRead, kPut, AddressOf(i));
    stream.PeerKnown();
    (void)stream.Next(At(0));
    stream.Finish(
      model::Result<runtime::LogPosition, runtime::LogError>({ kEpoch, model::LogOffset(i) }),
      At(0),
      random);
    stream.RaiseEpoch(kEpoch.Next(), At(10'000), random);
    std::int64_t now = 10'000;
    while (!stream.Next(At(now))) {
      now += 100;
    }
    ++writes[now / 1000];
  }
  for (const auto& [second, count] : writes) {
    CHECK_TRUE(count <= kWritesPerSecond);
  }
}

// Guards against a cost per daemon that grows with the fleet.
TEST(MemberStreamFleet, NeedsTwoCallsPerDaemonAtEachSize)
{
  for (const std::size_t daemons : { 30, 195, 950 }) {
    DOUBLES_EQUAL(2.0, CallsPerDaemon(daemons), 0);
  }
}
