#include "hemlockproxy/testing/ClaimStrategies.h"

#include "hemlockproxy/decisions/ClaimResolver.h"

#include <algorithm>
#include <map>
#include <optional>

namespace hemlockproxy::testing {

namespace {

using model::AttemptId;
using model::ClaimAnswer;
using model::ClaimEntry;
using model::ClaimKey;

constexpr std::size_t kDaemons = ClaimSimulator::kDaemons;
constexpr std::size_t kDomains = ClaimSimulator::kDomains;

/// Claims in the memory of one process.
class ClaimTable
{
public:
  bool Claim(const ClaimEntry& aClaim)
  {
    return held_.emplace(aClaim.key_, aClaim.attempt_).first->second == aClaim.attempt_;
  }
  void Release(const ClaimEntry& aClaim)
  {
    const auto found = held_.find(aClaim.key_);
    if (found != held_.end() && found->second == aClaim.attempt_) {
      held_.erase(found);
    }
  }
  void Clear() { held_.clear(); }

private:
  std::map<ClaimKey, AttemptId> held_;
};

/// Orders daemons by rendezvous hash of the key.
std::uint64_t Weight(ClaimKey aKey, std::size_t aDaemon)
{
  const std::uint64_t words[] = { aKey.Value(), aDaemon };
  return model::Hash64(std::string_view(reinterpret_cast<const char*>(words), sizeof words));
}

/// Returns the live daemon with the highest weight among those of a domain, if any.
std::optional<std::size_t> Choose(const ClaimSimulator& aSimulator,
                                  ClaimKey aKey,
                                  std::size_t aDomain,
                                  std::uint32_t aRank = 0)
{
  std::vector<std::size_t> live;
  for (std::size_t i = 0; i < kDaemons; ++i) {
    if (ClaimSimulator::DomainOf(i) == aDomain && aSimulator.daemons_[i].alive_) {
      live.push_back(i);
    }
  }
  std::ranges::sort(live, std::greater<>(), [&](std::size_t aOne) { return Weight(aKey, aOne); });
  return live.empty() ? std::nullopt : std::optional<std::size_t>(live[aRank % live.size()]);
}

/// Each entry remembers the keys that it has seen.
class EntryMemory : public ClaimStrategy
{
public:
  void Claim(std::size_t aEntry,
             const ClaimEntry& aClaim,
             std::uint32_t,
             model::TimePoint,
             ClaimReply aReply) override
  {
    aReply(tables_[aEntry].Claim(aClaim) ? ClaimAnswer::Granted : ClaimAnswer::Duplicate);
  }
  void Release(std::size_t aEntry,
               const ClaimEntry& aClaim,
               model::TimePoint,
               ReleaseReply aReply) override
  {
    tables_[aEntry].Release(aClaim);
    aReply(true);
  }
  void Forget(std::size_t aDaemon) override { tables_[aDaemon].Clear(); }

private:
  std::array<ClaimTable, kDaemons> tables_;
};

/// Every daemon of a key's home domain holds its claims. The table is taken to be replicated inside
/// the domain without fault, which favours this strategy; it is lost when all daemons are down.
class HomeDomain : public ClaimStrategy
{
public:
  explicit HomeDomain(ClaimSimulator& aSimulator)
    : simulator_(aSimulator)
  {
  }
  void Claim(std::size_t aEntry,
             const ClaimEntry& aClaim,
             std::uint32_t aTry,
             model::TimePoint,
             ClaimReply aReply) override
  {
    AtHome(aEntry, aClaim, aTry, [this, aClaim, reply = std::move(aReply)](std::size_t aDomain) {
      const bool granted = tables_[aDomain].Claim(aClaim);
      return [reply, granted] { reply(granted ? ClaimAnswer::Granted : ClaimAnswer::Duplicate); };
    });
  }
  void Release(std::size_t aEntry,
               const ClaimEntry& aClaim,
               model::TimePoint,
               ReleaseReply aReply) override
  {
    AtHome(aEntry, aClaim, 0, [this, aClaim, reply = std::move(aReply)](std::size_t aDomain) {
      tables_[aDomain].Release(aClaim);
      return [reply] { reply(true); };
    });
  }
  void Forget(std::size_t aDaemon) override
  {
    const std::size_t domain = ClaimSimulator::DomainOf(aDaemon);
    if (!Choose(simulator_, ClaimKey(0), domain)) {
      tables_[domain].Clear();
    }
  }

private:
  template <typename Work>
  void AtHome(std::size_t aEntry, const ClaimEntry& aClaim, std::uint32_t aTry, Work aWork)
  {
    const std::size_t domain = aClaim.key_.Value() % kDomains;
    const auto home = Choose(simulator_, aClaim.key_, domain, aTry);
    if (!home) {
      return;
    }
    simulator_.Send(aEntry, *home, [this, aEntry, domain, home, work = std::move(aWork)] {
      auto reply = work(domain);
      // Replication to another daemon of the domain before the reply.
      simulator_.At(*home, 2 * ClaimSimulator::kLocalDelay, [this, home, aEntry, reply] {
        simulator_.Send(*home, aEntry, reply);
      });
    });
  }

  ClaimSimulator& simulator_;
  std::array<ClaimTable, kDomains> tables_;
};

/// The claim is held by a majority of three live daemons in three domains, by rendezvous hash.
class Peers : public ClaimStrategy
{
public:
  explicit Peers(ClaimSimulator& aSimulator)
    : simulator_(aSimulator)
  {
  }
  void Claim(std::size_t aEntry,
             const ClaimEntry& aClaim,
             std::uint32_t,
             model::TimePoint,
             ClaimReply aReply) override
  {
    struct Votes
    {
      std::size_t granted_ = 0;
      std::size_t refused_ = 0;
    };
    auto votes = std::make_shared<Votes>();
    for (const std::size_t peer : ChoosePeers(aClaim.key_)) {
      simulator_.Send(aEntry, peer, [this, aEntry, peer, aClaim, votes, aReply] {
        const bool granted = tables_[peer].Claim(aClaim);
        simulator_.Send(peer, aEntry, [this, aEntry, aClaim, votes, granted, aReply] {
          std::size_t& count = granted ? votes->granted_ : votes->refused_;
          if (++count == kMajority) {
            if (!granted) {
              Release(aEntry, aClaim, {}, [](bool) {});
            }
            aReply(granted ? ClaimAnswer::Granted : ClaimAnswer::Duplicate);
          }
        });
      });
    }
  }
  void Release(std::size_t aEntry,
               const ClaimEntry& aClaim,
               model::TimePoint,
               ReleaseReply aReply) override
  {
    for (const std::size_t peer : ChoosePeers(aClaim.key_)) {
      simulator_.Send(aEntry, peer, [this, peer, aClaim] { tables_[peer].Release(aClaim); });
    }
    aReply(true);
  }
  void Forget(std::size_t aDaemon) override { tables_[aDaemon].Clear(); }

private:
  static constexpr std::size_t kPeers = 3;
  static constexpr std::size_t kMajority = 2;

  [[nodiscard]] std::vector<std::size_t> ChoosePeers(ClaimKey aKey) const
  {
    std::vector<std::size_t> peers;
    for (std::size_t i = 0; i < kDomains; ++i) {
      if (const auto peer = Choose(simulator_, aKey, (aKey.Value() + i) % kDomains)) {
        peers.push_back(*peer);
      }
    }
    peers.resize(std::min(peers.size(), kPeers));
    return peers;
  }

  ClaimSimulator& simulator_;
  std::array<ClaimTable, kDaemons> tables_;
};

/// Claims in log streams, resolved by decisions::ClaimResolver per shard and failure domain.
class LogClaims : public ClaimStrategy
{
public:
  explicit LogClaims(ClaimSimulator& aSimulator)
    : simulator_(aSimulator)
  {
  }
  void Claim(std::size_t aEntry,
             const ClaimEntry& aClaim,
             std::uint32_t aTry,
             model::TimePoint aDeadline,
             ClaimReply aReply) override
  {
    Call(aEntry,
         aClaim,
         aTry,
         [this, aEntry, aClaim, aDeadline, reply = std::move(aReply)](std::size_t aDaemon,
                                                                      std::size_t aShard) {
           Resolver& resolver = Get(aDaemon, aShard);
           resolver.claims_.emplace(aClaim.attempt_, Waiting<ClaimReply>{ aEntry, reply });
           Tell(aDaemon, aShard, decisions::ClaimRequested{ aClaim, aDeadline });
         });
  }
  void Release(std::size_t aEntry,
               const ClaimEntry& aClaim,
               model::TimePoint aDeadline,
               ReleaseReply aReply) override
  {
    Call(aEntry,
         aClaim,
         0,
         [this, aEntry, aClaim, aDeadline, reply = std::move(aReply)](std::size_t aDaemon,
                                                                      std::size_t aShard) {
           Resolver& resolver = Get(aDaemon, aShard);
           resolver.releases_.emplace(aClaim.attempt_, Waiting<ReleaseReply>{ aEntry, reply });
           Tell(aDaemon, aShard, decisions::ReleaseRequested{ aClaim, aDeadline });
         });
  }
  void Forget(std::size_t aDaemon) override { resolvers_[aDaemon] = {}; }

private:
  static constexpr std::size_t kShards = 4;
  static constexpr std::size_t kPage = 500;

  template <typename Reply>
  struct Waiting
  {
    std::size_t entry_ = 0;
    Reply reply_;
  };

  struct Resolver
  {
    decisions::ClaimResolver state_;
    std::multimap<AttemptId, Waiting<ClaimReply>> claims_;
    std::multimap<AttemptId, Waiting<ReleaseReply>> releases_;
    model::TimePoint tickAt_ = model::TimePoint::max();
  };

  template <typename Work>
  void Call(std::size_t aEntry, const ClaimEntry& aClaim, std::uint32_t aTry, Work aWork)
  {
    const std::size_t shard = model::ShardOf(aClaim.key_, kShards);
    const auto chosen = Choose(simulator_, ClaimKey(shard), ClaimSimulator::DomainOf(aEntry), aTry);
    if (chosen) {
      simulator_.Send(
        aEntry, *chosen, [work = std::move(aWork), chosen, shard] { work(*chosen, shard); });
    }
  }
  Resolver& Get(std::size_t aDaemon, std::size_t aShard)
  {
    auto& resolver = resolvers_[aDaemon][aShard];
    if (!resolver) {
      resolver = std::make_unique<Resolver>();
    }
    return *resolver;
  }
  void Tell(std::size_t aDaemon, std::size_t aShard, const decisions::ResolverEvent& aEvent)
  {
    Resolver& resolver = Get(aDaemon, aShard);
    for (const auto& action : resolver.state_.Handle(aEvent, simulator_.Now())) {
      std::visit([&](const auto& aOne) { Do(aDaemon, aShard, aOne); }, action);
    }
    const model::TimePoint next = resolver.state_.NextTick(simulator_.Now());
    if (next < resolver.tickAt_ || resolver.tickAt_ <= simulator_.Now()) {
      resolver.tickAt_ = next;
      simulator_.At(aDaemon,
                    std::max(next - simulator_.Now(), model::Duration(1)),
                    [this, aDaemon, aShard] { Tell(aDaemon, aShard, decisions::ResolverTick{}); });
    }
  }
  void Do(std::size_t aDaemon, std::size_t aShard, const decisions::AppendBatch& aAction)
  {
    ++simulator_.appends_;
    const auto half = model::Duration(simulator_.appendTime_) / 2;
    const std::uint64_t life = simulator_.daemons_[aDaemon].incarnation_;
    simulator_.After(half, [this, aDaemon, aShard, half, life, record = aAction.record_] {
      decisions::ResolverEvent reply = decisions::AppendFailed{};
      if (simulator_.LogReachable(aDaemon)) {
        auto& stream = streams_[aShard];
        const model::LogOffset offset(stream.size());
        stream.push_back({ offset, LogNow(), record });
        reply = decisions::AppendSucceeded{ offset };
        if (simulator_.Chance(simulator_.appendResponseLoss_)) {
          reply = decisions::AppendUnknown{};
        }
      }
      // A lost response is noticed by the time-out of the log client.
      const bool lost = std::holds_alternative<decisions::AppendUnknown>(reply);
      if (simulator_.daemons_[aDaemon].incarnation_ != life) {
        return;
      }
      simulator_.At(aDaemon, lost ? model::Duration(kLogTimeout) : half, [=, this] {
        Tell(aDaemon, aShard, reply);
      });
    });
  }
  void Do(std::size_t aDaemon, std::size_t aShard, const decisions::ReadRecords& aAction)
  {
    // A read takes half as long as an append.
    const auto time = model::Duration(simulator_.appendTime_) / 2;
    simulator_.At(aDaemon, time, [this, aDaemon, aShard, offset = aAction.offset_] {
      if (!simulator_.LogReachable(aDaemon)) {
        Tell(aDaemon, aShard, decisions::ReadFailed{});
        return;
      }
      const auto& stream = streams_[aShard];
      decisions::RecordsRead read{ model::LogOffset(0), model::LogOffset(stream.size()), {} };
      const std::size_t end = std::min(stream.size(), offset.Value() + kPage);
      for (std::size_t i = offset.Value(); i < end; ++i) {
        read.records_.push_back(stream[i]);
      }
      Tell(aDaemon, aShard, read);
    });
  }
  void Do(std::size_t aDaemon, std::size_t aShard, const decisions::AnswerClaim& aAction)
  {
    Answer(aDaemon, Get(aDaemon, aShard).claims_, aAction.entry_.attempt_, aAction.answer_);
  }
  void Do(std::size_t aDaemon, std::size_t aShard, const decisions::AnswerRelease& aAction)
  {
    Answer(aDaemon, Get(aDaemon, aShard).releases_, aAction.entry_.attempt_, aAction.recorded_);
  }
  template <typename Calls, typename Value>
  void Answer(std::size_t aDaemon, Calls& aCalls, const AttemptId& aAttempt, Value aValue)
  {
    const auto [first, last] = aCalls.equal_range(aAttempt);
    for (auto call = first; call != last; ++call) {
      simulator_.Send(
        aDaemon, call->second.entry_, [reply = call->second.reply_, aValue] { reply(aValue); });
    }
    aCalls.erase(first, last);
  }
  [[nodiscard]] model::WallTime LogNow() const
  {
    constexpr std::chrono::seconds kLogStart{ 1'800'000'000 };
    return model::WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(
      kLogStart + simulator_.Now().time_since_epoch()));
  }

  static constexpr std::chrono::milliseconds kLogTimeout{ 500 };

  ClaimSimulator& simulator_;
  std::array<std::array<std::unique_ptr<Resolver>, kShards>, kDaemons> resolvers_;
  std::array<std::vector<model::LoggedClaims>, kShards> streams_;
};

} // namespace

const std::vector<std::string>& ClaimStrategyNames()
{
  static const std::vector<std::string> names{ "entry-memory", "home-domain", "peers", "log" };
  return names;
}

std::unique_ptr<ClaimStrategy> MakeClaimStrategy(const std::string& aName,
                                                 ClaimSimulator& aSimulator)
{
  if (aName == "entry-memory") {
    return std::make_unique<EntryMemory>();
  }
  if (aName == "home-domain") {
    return std::make_unique<HomeDomain>(aSimulator);
  }
  if (aName == "peers") {
    return std::make_unique<Peers>(aSimulator);
  }
  return std::make_unique<LogClaims>(aSimulator);
}

} // namespace hemlockproxy::testing
