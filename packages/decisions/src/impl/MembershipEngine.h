#pragma once

#include "hemlockproxy/decisions/Membership.h"
#include "impl/GossipQueue.h"
#include "impl/MemberTable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace hemlockproxy::decisions::impl {

/// The state behind Membership. Its parts live in MembershipEngine.cpp (events, updates, roles),
/// MembershipProbe.cpp, MembershipJoin.cpp and MembershipDomains.cpp.
class MembershipEngine
{
public:
  explicit MembershipEngine(MembershipOptions aOptions);

  MembershipActions Handle(const MembershipEvent& aEvent,
                           model::TimePoint aNow,
                           model::RandomSource& aRandom);

  [[nodiscard]] const MembershipOptions& Options() const noexcept { return options_; }
  [[nodiscard]] const MemberRecordPtr& Self() const noexcept { return self_; }
  [[nodiscard]] const MemberTable& Table() const noexcept { return table_; }
  [[nodiscard]] std::vector<model::DaemonId> Relays(const model::FailureDomain& aDomain) const;
  [[nodiscard]] bool Reachable(const model::FailureDomain& aDomain) const;
  [[nodiscard]] std::optional<model::ConfigVersion> Floor(const model::DaemonId& aId) const;

private:
  struct Probe
  {
    std::uint32_t number_ = 0;
    model::DaemonId target_;
    model::TimePoint sentAt_;
    bool indirect_ = false;
  };
  struct ForwardedPing
  {
    model::Address requester_;
    std::uint32_t requesterNumber_ = 0;
    model::TimePoint expires_;
  };

  // Events.
  void On(const DatagramReceived& aEvent);
  void On(const SyncRequested& aEvent);
  void On(const SyncResponded& aEvent);
  void On(const SyncFailed& aEvent);
  void On(const MembershipTick& aEvent);
  void LearnSeed(const DatagramReceived& aEvent);
  void On(const LocalEndpointChanged& aEvent);
  void On(const LocalVersionChanged& aEvent);
  void On(const LocalVersionHeld& aEvent);
  void On(const AddressesLearned& aEvent);
  void On(const BeginLeaving& aEvent);
  void On(const Leave& aEvent);

  // Datagram bodies.
  void OnBody(const DatagramReceived& aEvent, const Ping& aPing);
  void OnBody(const DatagramReceived& aEvent, const Ack& aAck);
  void OnBody(const DatagramReceived& aEvent, const PingRequest& aRequest);
  void OnBody(const DatagramReceived& aEvent, const DigestOffer& aOffer);
  void OnBody(const DatagramReceived& aEvent, const DigestReply& aReply);
  void OnBody(const DatagramReceived& aEvent, const BucketEntries& aEntries);
  void OnBody(const DatagramReceived& aEvent, const RecordDelta& aDelta);

  // Updates and the own record.
  void Start();
  void ObserveSender(const model::DaemonId& aId, model::ConfigVersion aVersion);
  void Apply(const Update& aUpdate, bool aForeignSource, bool aSpread);
  void ApplyRecord(const MemberRecordPtr& aRecord, bool aForeignSource, bool aSpread);
  void AskForProof(const MemberRecordPtr& aRecord);
  void TickProof();
  void ApplyClaim(const StateClaim& aClaim, bool aSpread);
  void ApplyView(const DomainView& aView, bool aSpread);
  void AfterChange(const MemberRecordPtr& aChanged, bool aSpread);
  void Refute(std::uint64_t aIncarnation);
  void ReplaceSelf(model::MemberRecord aRecord);
  void PushSelf();
  [[nodiscard]] bool IsForeign(const model::DaemonId& aId) const;

  // Sending.
  void Send(const model::Address& aTo, DatagramBody aBody);
  void SendWithUpdates(const model::Address& aTo, const model::DaemonId& aToId, DatagramBody aBody);
  void SendWithViews(const model::Address& aTo, const model::DaemonId& aToId, DatagramBody aBody);
  [[nodiscard]] const model::Address* AddressOf(const model::DaemonId& aId) const;
  [[nodiscard]] std::size_t TransmitLimit() const;
  [[nodiscard]] double SizeScale() const;
  [[nodiscard]] std::chrono::milliseconds Jitter(std::chrono::milliseconds aBound);
  template <typename T>
  [[nodiscard]] const T& PickFrom(const std::vector<T>& aChoices);

  // Probing.
  void TickProbe();
  void TickSuspicion();
  void TellSuspects();
  void StartProbe();
  void SendIndirectProbes();
  void SkipPause(model::Duration aGap);
  [[nodiscard]] std::optional<model::DaemonId> NextProbeTarget();

  // Join, floors, reconnection.
  void TickJoin();
  void TickFloor();
  void TickReconnect();
  void TickGreet();
  void TickForget();
  void Introduce(std::vector<model::Address> aAddresses);
  void RetryJoinAfter(std::chrono::milliseconds aDelay);
  void MergeTable(const SyncTable& aTable);
  void Reply(SyncResponse aResponse);
  [[nodiscard]] model::ConfigVersion FloorFor(const model::DaemonId& aId) const;
  [[nodiscard]] bool AdmitJoin();
  [[nodiscard]] SyncTable MakeTable(const SyncRequest& aRequest) const;
  [[nodiscard]] std::vector<model::DaemonId> FloorCandidates() const;

  // Digest exchange and reachability of domains.
  void TickDigest();
  void TickRepair();
  void TickRoles();
  void OfferDigest(const model::DaemonId& aTo);
  void OfferTo(const model::FailureDomain& aDomain);
  void UpdateOwnView();
  void PublishView(std::vector<model::FailureDomain> aUnreachable);
  void RecomputeReachability();
  void SendEntries(const model::Address& aTo,
                   const model::FailureDomain& aDomain,
                   std::uint16_t aBuckets);
  void SendDelta(const model::Address& aTo,
                 const std::vector<Update>& aRecords,
                 const std::vector<model::DaemonId>& aWanted);

  MembershipOptions options_;
  MemberRecordPtr self_;
  model::ConfigVersion version_;
  model::ConfigVersion held_;
  MemberTable table_;
  GossipQueue gossip_;
  std::map<model::DaemonId, model::ConfigVersion> floors_;

  // Valid while Handle runs.
  model::TimePoint now_;
  model::RandomSource* random_ = nullptr;
  MembershipActions out_;

  bool started_ = false;
  bool left_ = false;
  model::TimePoint lastTick_;

  std::uint32_t lastNumber_ = 0;
  std::optional<Probe> probe_;
  model::TimePoint nextProbe_;
  std::vector<model::DaemonId> probeOrder_;
  std::map<std::uint32_t, ForwardedPing> forwarded_;
  /// Members under suspicion, with the time at which they are taken for dead.
  std::map<model::DaemonId, model::TimePoint> suspects_;
  /// When a datagram of each member came last.
  std::map<model::DaemonId, model::TimePoint> heardFrom_;
  /// Members of the own domain that only other domains know, with the time until which they may
  /// prove that they are alive.
  std::map<model::DaemonId, std::pair<MemberRecordPtr, model::TimePoint>> unproven_;

  bool joined_ = false;
  std::set<model::Address> addresses_;
  std::vector<model::Address> joinQueue_;
  std::optional<model::Address> joinPending_;
  model::TimePoint nextJoin_;
  std::chrono::milliseconds joinBackoff_{ 0 };
  double joinTokens_ = 0.0;
  model::TimePoint joinRefilled_;
  bool floorSettled_ = false;
  std::set<model::DaemonId> floorHeard_;
  model::TimePoint nextFloorRound_;
  model::TimePoint nextReconnect_;
  model::TimePoint nextGreet_;
  model::TimePoint startedAt_;
  model::TimePoint nextForget_;

  /// Domains with changed members since the last TickRoles.
  std::set<model::FailureDomain> changedDomains_;
  bool relay_ = false;
  std::map<model::FailureDomain, std::vector<model::DaemonId>> relays_;
  std::map<model::FailureDomain, model::TimePoint> lastHeard_;
  std::map<model::DaemonId, DomainView> views_;
  std::set<model::FailureDomain> unreachable_;
  model::TimePoint nextDigest_;
  model::TimePoint nextRepair_;
};

/// Returns the record as shown to other domains, which take no part in suspicion.
[[nodiscard]] MemberRecordPtr WithoutSuspicion(const MemberRecordPtr& aRecord);

template <typename T>
const T& MembershipEngine::PickFrom(const std::vector<T>& aChoices)
{
  return aChoices[(*random_)() % aChoices.size()];
}

} // namespace hemlockproxy::decisions::impl
