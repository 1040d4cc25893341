// The datagrams by which shares of allowances are lent.

#include "hemlockproxy/wire/MembershipCodec.h"

#include "impl/AllowanceThrift.h"
#include "impl/MembershipThrift.h"

#include <cmath>
#include <utility>

namespace hemlockproxy::wire {

namespace {

/// Of a datagram without customers, with room to spare.
constexpr std::size_t kHeaderBytes = 128;
/// Of one customer beside its name.
constexpr std::size_t kEntryBytes = 24;

bool IsShare(double aShare) noexcept
{
  return aShare >= 0 && aShare <= 1;
}

gen::AllowanceStampT Write(const decisions::AllowanceStamp& aStamp)
{
  gen::AllowanceStampT out;
  out.epoch = static_cast<std::int64_t>(aStamp.epoch_);
  out.time_ms = static_cast<std::int64_t>(aStamp.time_);
  return out;
}

std::optional<decisions::AllowanceStamp> Read(const gen::AllowanceStampT& aStamp)
{
  // About 30,000 years, so that times can be added up.
  constexpr std::int64_t kMostTime = 1'000'000'000'000'000;
  if (aStamp.time_ms < 0 || aStamp.time_ms > kMostTime) {
    return std::nullopt;
  }
  return decisions::AllowanceStamp{ static_cast<std::uint64_t>(aStamp.epoch),
                                    static_cast<std::uint64_t>(aStamp.time_ms) };
}

std::optional<decisions::AllowanceLevel> ReadLevel(std::int8_t aLevel)
{
  using decisions::AllowanceLevel;
  const auto level = static_cast<AllowanceLevel>(aLevel);
  return level == AllowanceLevel::Domain || level == AllowanceLevel::Root ? std::optional(level)
                                                                          : std::nullopt;
}

gen::AllowanceDemandT Write(const decisions::AllowanceDemand& aDemand)
{
  gen::AllowanceDemandT out;
  out.customer = aDemand.customer_.Value();
  out.per_second = aDemand.perSecond_;
  if (aDemand.tokens_ > 0) {
    out.__set_tokens(static_cast<std::int32_t>(aDemand.tokens_));
  }
  return out;
}

gen::AllowanceLoanT Write(const decisions::AllowanceLoan& aLoan)
{
  gen::AllowanceLoanT out;
  out.customer = aLoan.customer_.Value();
  if (aLoan.share_ > 0) {
    out.__set_share(aLoan.share_);
  }
  if (aLoan.tokens_ > 0) {
    out.__set_tokens(static_cast<std::int32_t>(aLoan.tokens_));
  }
  if (aLoan.exhausted_) {
    out.__set_exhausted(true);
  }
  return out;
}

gen::DatagramT Header(const model::DaemonId& aFrom, model::HybridTimestamp aStamp)
{
  gen::DatagramT out;
  out.sender = impl::MembershipWriter::Id(aFrom);
  out.wall_ms = aStamp.wallMs_;
  if (aStamp.counter_ > 0) {
    out.__set_counter(static_cast<std::int32_t>(aStamp.counter_));
  }
  return out;
}

/// Encodes entries in datagrams that aMake builds from as many of them as fit.
template <typename Entry, typename Make>
auto Split(const std::vector<Entry>& aEntries, const Make& aMake)
{
  using Written = decltype(Write(std::declval<const Entry&>()));
  std::vector<std::string> datagrams;
  std::vector<Written> part;
  std::size_t bytes = kHeaderBytes;
  for (const Entry& entry : aEntries) {
    const std::size_t size = entry.customer_.Value().size() + kEntryBytes;
    if (bytes + size > kDatagramBytes && !part.empty()) {
      datagrams.push_back(EncodeThrift(aMake(std::exchange(part, {}))));
      bytes = kHeaderBytes;
    }
    part.push_back(Write(entry));
    bytes += size;
  }
  if (!part.empty() || datagrams.empty()) {
    datagrams.push_back(EncodeThrift(aMake(std::move(part))));
  }
  return datagrams;
}

} // namespace

std::vector<std::string> EncodeAllowanceAsk(const decisions::AllowanceAsk& aAsk,
                                            const model::DaemonId& aFrom,
                                            model::HybridTimestamp aStamp)
{
  return Split(aAsk.demands_, [&](std::vector<gen::AllowanceDemandT> aDemands) {
    gen::AllowanceAskT body;
    body.level = static_cast<std::int8_t>(aAsk.level_);
    body.stamp = Write(aAsk.stamp_);
    if (aAsk.echo_.epoch_ != 0) {
      body.__set_echo(Write(aAsk.echo_));
      body.__set_pledge(aAsk.pledge_);
    }
    body.demands = std::move(aDemands);
    gen::DatagramT out = Header(aFrom, aStamp);
    out.body.__set_allowance_ask(body);
    return out;
  });
}

std::vector<std::string> EncodeAllowanceGrant(const decisions::AllowanceGrant& aGrant,
                                              const model::DaemonId& aFrom,
                                              model::HybridTimestamp aStamp)
{
  return Split(aGrant.loans_, [&](std::vector<gen::AllowanceLoanT> aLoans) {
    gen::AllowanceGrantT body;
    body.level = static_cast<std::int8_t>(aGrant.level_);
    body.stamp = Write(aGrant.stamp_);
    body.echo = Write(aGrant.echo_);
    body.loans = std::move(aLoans);
    gen::DatagramT out = Header(aFrom, aStamp);
    out.body.__set_allowance_grant(body);
    return out;
  });
}

namespace impl {

std::optional<decisions::AllowanceAsk> ReadAsk(const gen::AllowanceAskT& aBody)
{
  const auto level = ReadLevel(aBody.level);
  const auto stamp = Read(aBody.stamp);
  const auto echo =
    aBody.__isset.echo ? Read(aBody.echo) : std::optional(decisions::AllowanceStamp{});
  const double pledge = aBody.__isset.pledge ? aBody.pledge : 0;
  if (!level || !stamp || !echo || !IsShare(pledge)) {
    return std::nullopt;
  }
  decisions::AllowanceAsk out{ *level, *stamp, *echo, pledge, {} };
  for (const gen::AllowanceDemandT& demand : aBody.demands) {
    const std::int32_t tokens = demand.__isset.tokens ? demand.tokens : 0;
    if (!std::isfinite(demand.per_second) || demand.per_second < 0 || tokens < 0) {
      return std::nullopt;
    }
    out.demands_.push_back({ model::CustomerName(demand.customer),
                             demand.per_second,
                             static_cast<std::uint32_t>(tokens) });
  }
  return out;
}

std::optional<decisions::AllowanceGrant> ReadGrant(const gen::AllowanceGrantT& aBody)
{
  const auto level = ReadLevel(aBody.level);
  const auto stamp = Read(aBody.stamp);
  const auto echo = Read(aBody.echo);
  if (!level || !stamp || !echo) {
    return std::nullopt;
  }
  decisions::AllowanceGrant out{ *level, *stamp, *echo, {} };
  for (const gen::AllowanceLoanT& loan : aBody.loans) {
    const double share = loan.__isset.share ? loan.share : 0;
    const std::int32_t tokens = loan.__isset.tokens ? loan.tokens : 0;
    if (!IsShare(share) || tokens < 0) {
      return std::nullopt;
    }
    out.loans_.push_back({ model::CustomerName(loan.customer),
                           share,
                           static_cast<std::uint32_t>(tokens),
                           loan.__isset.exhausted && loan.exhausted });
  }
  return out;
}

} // namespace impl

} // namespace hemlockproxy::wire
