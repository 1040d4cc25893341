#include "impl/PeerMemory.h"

#include "impl/ControlCalls.h"

#include "hemlockproxy/decisions/RendezvousHash.h"
#include "hemlockproxy/runtime/FiberLoop.h"
#include "hemlockproxy/wire/DepartureCodec.h"

#include <algorithm>
#include <map>

namespace hemlockproxy::daemon::impl {

using decisions::DepartureReport;

namespace {

/// Peers that hold a daemon's departures: enough that one of them outlives the daemon when single
/// processes fail, or a failure domain.
constexpr std::size_t kOwnHolders = 3;
constexpr std::size_t kHoldersElsewhere = 1;
/// A restarted daemon asks more than it told, since members may have come or gone meanwhile.
constexpr std::size_t kMoreAsked = 2;
/// A backend server is answered within a second, also when a peer that is asked has vanished.
constexpr std::chrono::milliseconds kPeerTimeout{ 500 };
constexpr std::chrono::milliseconds kAskAgain{ 500 };

} // namespace

PeerMemory::PeerMemory(ControlTransport& aTransport,
                       model::DaemonId aSelf,
                       model::FailureDomain aDomain,
                       model::TimePoint aStart,
                       std::function<Members()> aMembers,
                       OnDepartures aOnDepartures)
  : transport_(aTransport)
  , self_(std::move(aSelf))
  , domain_(std::move(aDomain))
  , start_(aStart)
  , members_(std::move(aMembers))
  , onDepartures_(std::move(aOnDepartures))
{
}

std::vector<model::Address> PeerMemory::Holders(std::size_t aOwn, std::size_t aOther) const
{
  std::map<model::FailureDomain, std::vector<model::DaemonId>> domains;
  std::map<model::DaemonId, model::Address> addresses;
  for (const auto& member : members_()) {
    if (member->id_ != self_ && member->state_ == model::MemberState::Alive) {
      domains[member->domain_].push_back(member->id_);
      addresses[member->id_] = member->control_;
    }
  }
  std::vector<model::Address> holders;
  const std::string role = "departures " + self_.Value();
  for (const auto& [domain, ids] : domains) {
    const std::size_t count = domain == domain_ ? aOwn : aOther;
    for (const model::DaemonId& id : decisions::ChooseByRendezvous(role, ids, count)) {
      holders.push_back(addresses[id]);
    }
  }
  return holders;
}

void PeerMemory::CallAll(const std::vector<model::Address>& aPeers,
                         const DepartureReport& aReport,
                         const std::function<void(const DepartureReport&)>& aOnAnswer,
                         const std::function<void(const std::set<model::Address>&)>& aOnEnd)
{
  if (aPeers.empty()) {
    aOnEnd({});
    return;
  }
  auto round = std::make_shared<Round>(Round{ aPeers.size(), {} });
  const std::string body = wire::EncodeDepartureReport(aReport);
  for (const model::Address& peer : aPeers) {
    runtime::SpawnFiber([this, round, peer, body, aOnAnswer, aOnEnd] {
      const auto answer = transport_.Call(peer, kDeparturesPath, body, kPeerTimeout);
      if (const auto known =
            answer ? wire::DecodeDepartureReport(*answer)
                   : model::Result<DepartureReport, wire::DecodeError>(wire::DecodeError{})) {
        round->answered_.insert(peer);
        aOnAnswer(*known);
      }
      if (--round->open_ == 0) {
        aOnEnd(round->answered_);
      }
    });
  }
}

void PeerMemory::Tell(decisions::DepartureRecord aDeparture, std::function<void()> aDone)
{
  CallAll(
    Holders(kOwnHolders, kHoldersElsewhere),
    { self_, { std::move(aDeparture) } },
    [](const DepartureReport&) {},
    [done = std::move(aDone)](const auto&) { done(); });
}

std::optional<std::string> PeerMemory::HandleCall(const std::string& aBody)
{
  const auto report = wire::DecodeDepartureReport(aBody);
  if (!report) {
    return std::nullopt;
  }
  const auto now = std::chrono::steady_clock::now();
  book_.Take(now, *report);
  DepartureReport known = book_.Of(now, report->owner_);
  known.memory_ = std::chrono::floor<std::chrono::milliseconds>(now - start_);
  return wire::EncodeDepartureReport(known);
}

void PeerMemory::Tick(model::TimePoint aNow)
{
  // Reports that arrive later than this were sent after the start.
  const bool needed = longestMemory_ < decisions::kLatestReport &&
                      (heard_.empty() || aNow < start_ + decisions::kLatestReport);
  if (!needed || asking_ || aNow < nextAsk_) {
    return;
  }
  auto peers = Holders(kOwnHolders + kMoreAsked, kHoldersElsewhere + 1);
  std::erase_if(peers, [this](const model::Address& aPeer) { return heard_.contains(aPeer); });
  if (peers.empty()) {
    // The first question does not wait; choosing holders costs time by the number of members.
    nextAsk_ = heard_.empty() ? nextAsk_ : aNow + kAskAgain;
    return;
  }
  asking_ = true;
  lost_ = false;
  longestMemoryOfRound_ = {};
  CallAll(
    peers,
    { self_, {} },
    [this](const DepartureReport& aKnown) {
      if (aKnown.owner_ == self_) {
        lost_ = !onDepartures_(aKnown.records_, std::nullopt) || lost_;
        longestMemoryOfRound_ = std::max(longestMemoryOfRound_, aKnown.memory_);
      }
    },
    [this](const std::set<model::Address>& aAnswered) {
      asking_ = false;
      nextAsk_ = std::chrono::steady_clock::now() + kAskAgain;
      if (!aAnswered.empty() && !lost_ && onDepartures_({}, longestMemoryOfRound_)) {
        heard_.insert(aAnswered.begin(), aAnswered.end());
        longestMemory_ = std::max(longestMemory_, longestMemoryOfRound_);
      }
    });
}

} // namespace hemlockproxy::daemon::impl
