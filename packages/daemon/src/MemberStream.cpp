#include "hemlockproxy/daemon/MemberStream.h"

#include <algorithm>

namespace hemlockproxy::daemon {

namespace {

constexpr const char* kStream = "members";
/// Records before the own one that are read: enough that some are of the own failure domain.
constexpr std::uint64_t kRecordsBefore = 64;
constexpr std::size_t kMostRecords = 256;
/// A read is put off for up to this long after the own address is there: most daemons of a fleet
/// that starts have heard from a peer by then.
constexpr std::chrono::milliseconds kMostFirstWait{ 400 };
/// While no peer is known, the stream is read again after these times.
constexpr std::chrono::milliseconds kFirstInterval{ 1000 };
constexpr std::chrono::milliseconds kMostInterval{ 16'000 };
/// The mean wait after a failure. A fleet of 950 that returns from an outage of the log then makes
/// fewer calls in a second than the log takes.
constexpr std::chrono::milliseconds kRetryInterval{ 1000 };
/// The longest delay before the own address is put again after a restore of the log. A fleet of 950
/// then makes fewer calls in a second than the log takes.
constexpr std::chrono::milliseconds kMostRewriteDelay{ 4000 };

model::Duration Between(std::chrono::milliseconds aLeast,
                        std::chrono::milliseconds aMost,
                        model::RandomSource& aRandom)
{
  std::uniform_int_distribution<std::int64_t> spread(aLeast.count(), aMost.count());
  return std::chrono::milliseconds(spread(aRandom));
}

model::Duration Spread(std::chrono::milliseconds aMean, model::RandomSource& aRandom)
{
  return Between(aMean / 2, aMean * 3 / 2, aRandom);
}

} // namespace

MemberStream::MemberStream(LogTicket aReadTicket, LogTicket aPutTicket, model::Address aOwn)
  : readTicket_(aReadTicket)
  , putTicket_(aPutTicket)
  , own_(std::move(aOwn))
  , pageAfter_(ToString(own_))
  , readInterval_(kFirstInterval)
{
}

void MemberStream::PeerKnown() noexcept
{
  wantsRead_ = false;
  readInterval_ = kFirstInterval;
}

void MemberStream::RaiseEpoch(model::LogEpoch aEpoch,
                              model::TimePoint aNow,
                              model::RandomSource& aRandom)
{
  if (aEpoch <= epoch_) {
    return;
  }
  epoch_ = aEpoch;
  from_.reset();
  if (!wantsPut_ && putIn_ < epoch_) {
    wantsPut_ = true;
    putNotBefore_ = aNow + Between(std::chrono::milliseconds(0), kMostRewriteDelay, aRandom);
  }
}

std::optional<LogCommand> MemberStream::Next(model::TimePoint aNow)
{
  if (inFlight_) {
    return std::nullopt;
  }
  // The own address first, so that of two daemons that start together one finds the other.
  if (wantsPut_ && aNow >= putNotBefore_) {
    inFlight_ = true;
    const std::string address = ToString(own_);
    return LogCommand(LogPutCommand{ putTicket_, kStream, address, address });
  }
  if (!wantsRead_ || aNow < readNotBefore_) {
    return std::nullopt;
  }
  inFlight_ = true;
  if (from_) {
    return LogCommand(
      LogReadCommand{ readTicket_, kStream, *from_, std::chrono::milliseconds(0), kMostRecords });
  }
  return LogCommand(LogNewestCommand{ readTicket_, kStream, pageAfter_ });
}

std::vector<model::Address> MemberStream::Finish(
  const model::Result<runtime::LogBatch, runtime::LogError>& aResult,
  model::TimePoint aNow,
  model::RandomSource& aRandom)
{
  inFlight_ = false;
  if (!aResult) {
    const bool trimmed = aResult.Error().kind_ == runtime::LogErrorKind::Trimmed;
    from_.reset();
    readNotBefore_ = trimmed ? aNow : aNow + Spread(kRetryInterval, aRandom);
    return {};
  }
  std::vector<model::Address> found = OthersIn(*aResult);
  if (from_) {
    // What was put just before has been read; all others stand on the pages.
    from_.reset();
  } else {
    // From the first page again after the last one.
    pageAfter_ = aResult->moreAfter_.value_or(std::string());
  }
  wantsRead_ = false;
  readNotBefore_ = aNow + Spread(readInterval_, aRandom);
  readInterval_ = std::min(readInterval_ * 2, kMostInterval);
  return found;
}

void MemberStream::Finish(const model::Result<runtime::LogPosition, runtime::LogError>& aResult,
                          model::TimePoint aNow,
                          model::RandomSource& aRandom)
{
  inFlight_ = false;
  if (aResult) {
    putIn_ = aResult->epoch_;
  }
  wantsPut_ = !aResult.Ok() || *putIn_ < epoch_;
  putNotBefore_ = aNow + Spread(kRetryInterval, aRandom);
  if (!wantsPut_) {
    const std::uint64_t own = aResult->offset_.Value();
    from_ = model::LogOffset(own - std::min(own, kRecordsBefore));
    readNotBefore_ = aNow + Between(std::chrono::milliseconds(0), kMostFirstWait, aRandom);
  }
}

std::vector<model::Address> MemberStream::OthersIn(const runtime::LogBatch& aBatch) const
{
  std::vector<model::Address> found;
  for (const runtime::LogRecord& record : aBatch.records_) {
    if (auto address = model::ParseAddress(record.bytes_); address && *address != own_) {
      found.push_back(*address);
    }
  }
  return found;
}

} // namespace hemlockproxy::daemon
