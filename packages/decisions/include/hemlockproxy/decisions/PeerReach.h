#pragma once

#include "hemlockproxy/model/Clock.h"
#include "hemlockproxy/model/Ids.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace hemlockproxy::decisions {

struct PeerReachOptions
{
  /// A peer that owes a response and sends nothing for this time is probed. Most requests end
  /// sooner, and a probe costs less than a request that waits for its deadline.
  std::chrono::milliseconds silence_{ 250 };
  /// A silent peer is probed at this interval, so that it gets work again soon after it is back.
  std::chrono::milliseconds probeInterval_{ 250 };
  /// Probes in a row without response after which a peer is silent: one alone is lost too often on
  /// a link with loss.
  std::uint32_t probesLost_ = 2;
};

/// What the end of an exchange says about the path to a peer.
enum class PeerSign : std::uint8_t
{
  /// The peer sent a response, also a rejection.
  Heard,
  /// The connection was refused or not made in time.
  ConnectFailed,
  /// The connection broke, or the time ended without a response.
  NotHeard,
  /// The exchange was given up by this side.
  Nothing,
};

/// What is known of the path to a peer.
enum class PeerPath : std::uint8_t
{
  Open,
  /// A connection failed: the peer gets no new requests until a probe is answered. What runs there
  /// goes on, since one lost packet is enough for this.
  Doubtful,
  /// Probes were lost, too: nothing that waits there is expected to end.
  Silent,
};

/// Returns whether a peer gets new requests.
[[nodiscard]] constexpr bool IsOpen(PeerPath aPath) noexcept
{
  return aPath == PeerPath::Open;
}

struct PeerChange
{
  model::DaemonId id_;
  PeerPath path_ = PeerPath::Open;
};

/// Decides from this daemon's own exchanges which peers cannot be reached, and when to probe them.
/// Membership finds dead daemons, too, but later, and it does not see a path that is cut between
/// this daemon and a peer that others still reach.
class PeerReach
{
public:
  explicit PeerReach(const PeerReachOptions& aOptions = {})
    : options_(aOptions)
  {
  }

  /// Takes the present peers; others are forgotten.
  void SetPeers(const std::vector<model::DaemonId>& aPeers);
  /// Takes in the start and the end of an exchange.
  void Started(model::TimePoint aNow, const model::DaemonId& aPeer);
  void Ended(model::TimePoint aNow, const model::DaemonId& aPeer, PeerSign aSign);

  /// Returns the peers to probe now; each needs a call of ProbeEnded.
  [[nodiscard]] std::vector<model::DaemonId> TakeProbes(model::TimePoint aNow);
  void ProbeEnded(model::TimePoint aNow, const model::DaemonId& aPeer, bool aAnswered);

  /// Returns the changes since the last call.
  [[nodiscard]] std::vector<PeerChange> TakeChanges();
  [[nodiscard]] PeerPath PathTo(const model::DaemonId& aPeer) const;
  /// Returns how many peers get no requests.
  [[nodiscard]] std::size_t ClosedCount() const;

private:
  struct State
  {
    std::uint32_t exchanges_ = 0;
    /// Since then at least one exchange runs and the peer has sent nothing.
    model::TimePoint quietSince_{};
    std::uint32_t lostProbes_ = 0;
    bool probing_ = false;
    /// The next probe, if one is due without further signs.
    std::optional<model::TimePoint> probeAt_;
    PeerPath path_ = PeerPath::Open;
  };

  void SetPath(const model::DaemonId& aPeer, State& aState, PeerPath aPath);
  void Heard(model::TimePoint aNow, const model::DaemonId& aPeer, State& aState);
  [[nodiscard]] bool IsProbeDue(model::TimePoint aNow, const State& aState) const;

  PeerReachOptions options_;
  std::unordered_map<model::DaemonId, State> states_;
  std::vector<PeerChange> changes_;
};

} // namespace hemlockproxy::decisions
