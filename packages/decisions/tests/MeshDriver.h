#pragma once

#include "hemlockproxy/decisions/Distribution.h"
#include "hemlockproxy/decisions/Membership.h"

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <set>

namespace hemlockproxy::decisions::tests {

using namespace std::chrono_literals;

/// A message as handed to the network, for counting bytes.
using Payload = std::variant<Datagram,
                             Notice,
                             NoticeAck,
                             LogReport,
                             SyncRequest,
                             SyncResponse,
                             FetchRequest,
                             FetchResponse>;

struct MeshOptions
{
  std::size_t domains_ = 2;
  std::size_t perDomain_ = 3;
  Profile profile_ = Profile::Fast;
  std::uint64_t seed_ = 1;
  std::function<void(MembershipOptions&, DistributionOptions&)> adjust_;
};

/// Runs the state machines of many daemons over a message queue in virtual time, with a log.
class Mesh
{
public:
  struct Node
  {
    std::size_t domain_ = 0;
    model::Address address_;
    model::DaemonId id_;
    std::optional<Membership> membership_;
    std::optional<Distribution> distribution_;
    model::RandomSource random_;
    /// Counts the processes that ran on this address.
    std::uint64_t process_ = 0;
    bool paused_ = false;
    bool reading_ = false;
    /// The node cannot reach the log.
    bool logCut_ = false;
    std::size_t logPosition_ = 0;
    /// Since when the process runs without a pause.
    model::TimePoint since_;
    std::vector<std::function<void()>> backlog_;
  };

  explicit Mesh(MeshOptions aOptions)
    : options_(std::move(aOptions))
    , random_(options_.seed_)
  {
    for (std::size_t i = 0; i < options_.domains_ * options_.perDomain_; ++i) {
      Node& node = nodes_.emplace_back();
      node.domain_ = i / options_.perDomain_;
      const std::size_t host = i % options_.perDomain_ + 1;
      node.address_ = { "10." + std::to_string(node.domain_) + ".0." + std::to_string(host), 7000 };
      node.id_ = model::DaemonId(model::ToString(node.address_));
      byId_[node.id_] = i;
    }
  }

  void Start(std::size_t aNode)
  {
    Node& node = nodes_[aNode];
    MembershipOptions membership;
    membership.id_ = node.id_;
    membership.region_ = model::Region("pe-sur");
    membership.domain_ = Domain(node.domain_);
    membership.control_ = node.address_;
    membership.forward_ = { node.address_.ip_, 7001 };
    for (std::size_t first = 0; first < nodes_.size(); first += options_.perDomain_) {
      membership.seeds_.push_back(nodes_[first].address_);
      membership.seeds_.push_back(nodes_[first + options_.perDomain_ - 1].address_);
    }
    DistributionOptions distribution = DistributionOptions::ForProfile(options_.profile_);
    distribution.id_ = node.id_;
    if (options_.adjust_) {
      options_.adjust_(membership, distribution);
    }
    node.membership_.emplace(*Membership::Create(std::move(membership)));
    node.distribution_.emplace(*Distribution::Create(std::move(distribution)));
    node.random_.seed(random_());
    node.paused_ = node.reading_ = false;
    node.logPosition_ = 0;
    node.since_ = now_;
    const std::uint64_t process = ++node.process_;
    Do(aNode, LocalEndpointChanged{ model::Endpoint{ model::ServiceName("bitacora"), 20, 100 } });
    Post(std::chrono::milliseconds(random_() % 100), [=, this] { Tick(aNode, process); });
  }
  void StartAll()
  {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      Start(i);
    }
  }
  /// Ends the node's process without notice.
  void Kill(std::size_t aNode)
  {
    nodes_[aNode].membership_.reset();
    nodes_[aNode].distribution_.reset();
    nodes_[aNode].backlog_.clear();
    ++nodes_[aNode].process_;
  }
  void Pause(std::size_t aNode) { nodes_[aNode].paused_ = true; }
  void Resume(std::size_t aNode)
  {
    nodes_[aNode].paused_ = false;
    nodes_[aNode].since_ = now_;
    for (auto& run : std::exchange(nodes_[aNode].backlog_, {})) {
      PostTo(aNode, 0ms, std::move(run));
    }
  }
  void SetCut(std::size_t aDomain, std::size_t aOther, bool aCut)
  {
    const std::pair pair = std::minmax(aDomain, aOther);
    aCut ? (void)cuts_.insert(pair) : (void)cuts_.erase(pair);
  }
  /// Appends a configuration that changes one resource.
  model::ConfigVersion Publish()
  {
    auto next = std::make_shared<model::Configuration>();
    if (!log_.empty()) {
      *next = *log_.back();
    }
    next->version_ = next->version_.Next();
    constexpr std::uint64_t kServices = 37;
    model::ServiceConfig service;
    service.name_ = model::ServiceName("s" + std::to_string(next->version_.Value() % kServices));
    service.limits_[model::LimitKind::QueuedRequests] = next->version_.Value();
    next->content_[service.name_] = model::MakeResource(service);
    log_.push_back(next);
    return next->version_;
  }
  void RunFor(model::Duration aTime)
  {
    const model::TimePoint end = now_ + aTime;
    while (!jobs_.empty() && jobs_.top().at_ <= end) {
      const Job job = jobs_.top();
      jobs_.pop();
      now_ = job.at_;
      job.run_();
    }
    now_ = end;
  }
  /// Hands an event to a node's Membership or Distribution and executes the actions.
  template <typename Event>
  void Do(std::size_t aNode, const Event& aEvent)
  {
    const auto run = [&](auto& aMachine) {
      for (const auto& action : aMachine.Handle(aEvent, now_, nodes_[aNode].random_)) {
        std::visit([&](const auto& aOne) { Execute(aNode, aOne); }, action);
      }
    };
    if constexpr (std::is_constructible_v<MembershipEvent, const Event&>) {
      run(*nodes_[aNode].membership_);
    } else {
      run(*nodes_[aNode].distribution_);
    }
  }

  [[nodiscard]] Node& At(std::size_t aNode) { return nodes_[aNode]; }
  [[nodiscard]] std::size_t Size() const noexcept { return nodes_.size(); }
  [[nodiscard]] bool Up(std::size_t aNode) const { return nodes_[aNode].membership_.has_value(); }
  [[nodiscard]] model::TimePoint Now() const noexcept { return now_; }
  [[nodiscard]] const std::vector<model::ConfigurationPtr>& Log() const noexcept { return log_; }
  [[nodiscard]] static model::FailureDomain Domain(std::size_t aDomain)
  {
    return model::FailureDomain("pe-sur-" + std::string(1, static_cast<char>('a' + aDomain)));
  }
  [[nodiscard]] model::ConfigVersion Enforced(std::size_t aNode) const
  {
    const auto& enforced = nodes_[aNode].distribution_->Enforced();
    return enforced ? enforced->version_ : model::ConfigVersion();
  }
  /// Returns how many running nodes enforce the version.
  [[nodiscard]] std::size_t CountEnforcing(model::ConfigVersion aVersion) const
  {
    std::size_t count = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      count += Up(i) && Enforced(i) == aVersion ? 1 : 0;
    }
    return count;
  }
  /// Returns how many running nodes list exactly the running nodes as alive.
  [[nodiscard]] std::size_t CountCompleteTables() const
  {
    std::vector<model::DaemonId> running;
    for (const auto& [id, node] : byId_) {
      if (Up(node)) {
        running.push_back(id);
      }
    }
    return static_cast<std::size_t>(
      std::count_if(nodes_.begin(), nodes_.end(), [&](const Node& aNode) {
        std::vector<model::DaemonId> alive;
        if (aNode.membership_) {
          for (const MemberRecordPtr& member : aNode.membership_->Members()) {
            if (member->state_ == model::MemberState::Alive) {
              alive.push_back(member->id_);
            }
          }
        }
        return aNode.membership_ && alive == running;
      }));
  }

  /// Share of datagrams that are lost.
  unsigned lossPercent_ = 0;
  /// Delays vary between one and two times these, so datagrams overtake each other.
  std::chrono::microseconds delayInside_{ 200 };
  std::chrono::microseconds delayBetween_{ 4000 };
  bool logAvailable_ = true;
  /// Gives every joiner all records at once, to start at rest.
  bool warmStart_ = false;
  std::function<void(std::size_t, std::size_t, const Payload&)> onSend_;
  std::function<void(std::size_t, const EnforceVersion&)> onEnforce_;

private:
  struct Job
  {
    model::TimePoint at_;
    std::uint64_t order_ = 0;
    std::function<void()> run_;
    friend bool operator<(const Job& aLeft, const Job& aRight)
    {
      return std::pair(aLeft.at_, aLeft.order_) > std::pair(aRight.at_, aRight.order_);
    }
  };

  void Post(model::Duration aDelay, std::function<void()> aRun)
  {
    jobs_.push(Job{ now_ + aDelay, jobCount_++, std::move(aRun) });
  }
  void PostTo(std::size_t aNode, model::Duration aDelay, std::function<void()> aRun)
  {
    Post(aDelay, [this, aNode, run = std::move(aRun)] {
      if (Up(aNode)) {
        nodes_[aNode].paused_ ? nodes_[aNode].backlog_.push_back(run) : run();
      }
    });
  }
  void Tick(std::size_t aNode, std::uint64_t aProcess)
  {
    if (nodes_[aNode].process_ == aProcess) {
      if (!nodes_[aNode].paused_) {
        Do(aNode, MembershipTick{});
        Do(aNode, DistributionTick{});
        if (nodes_[aNode].reading_) {
          ReadLog(aNode);
        }
      }
      Post(100ms, [=, this] { Tick(aNode, aProcess); });
    }
  }
  void ReadLog(std::size_t aNode)
  {
    Node& node = nodes_[aNode];
    while (logAvailable_ && !node.logCut_ && node.logPosition_ < log_.size()) {
      Do(aNode,
         LogVersionAccepted{ log_[node.logPosition_++],
                             std::make_shared<model::CheckpointRecord>() });
    }
    if (logAvailable_ && !node.logCut_) {
      Do(aNode, LogTailReached{ now_ });
    } else {
      Do(aNode, LogReadFailed{});
    }
  }
  [[nodiscard]] model::Duration Delay(std::size_t aNode, std::size_t aOther)
  {
    const auto base =
      nodes_[aNode].domain_ == nodes_[aOther].domain_ ? delayInside_ : delayBetween_;
    return base + base * static_cast<int>(random_() % 1000) / 1000;
  }
  [[nodiscard]] bool Connected(std::size_t aNode, std::size_t aOther) const
  {
    return !cuts_.contains(std::minmax(nodes_[aNode].domain_, nodes_[aOther].domain_));
  }
  void Count(std::size_t aFrom, std::size_t aTo, const Payload& aPayload) const
  {
    if (onSend_) {
      onSend_(aFrom, aTo, aPayload);
    }
  }
  template <typename Event, typename Message>
  void SendUnreliably(std::size_t aFrom, std::size_t aTo, const Message& aMessage, Event aEvent)
  {
    Count(aFrom, aTo, aMessage);
    if (Connected(aFrom, aTo) && random_() % 100 >= lossPercent_) {
      PostTo(aTo, Delay(aFrom, aTo), [=, this] { Do(aTo, aEvent); });
    }
  }
  /// Calls aServe on the other node, and aDone with its result or with nothing when it fails.
  template <typename Request, typename Serve, typename Done>
  void Call(std::size_t aFrom, std::size_t aTo, const Request& aRequest, Serve aServe, Done aDone)
  {
    Count(aFrom, aTo, aRequest);
    // Opening the connection takes one round trip before the request is on its way.
    Post(3 * Delay(aFrom, aTo), [=, this, process = nodes_[aFrom].process_] {
      const bool served = Connected(aFrom, aTo) && Up(aTo) && !nodes_[aTo].paused_;
      const auto result = served ? aServe() : decltype(aServe()){};
      if (result) {
        Count(aTo, aFrom, *result);
      }
      PostTo(aFrom, result ? Delay(aFrom, aTo) : 500ms, [=, this] {
        if (nodes_[aFrom].process_ == process) {
          aDone(result);
        }
      });
    });
  }

  void Execute(std::size_t aNode, const SendDatagram& aAction)
  {
    const DatagramReceived event{ nodes_[aNode].address_, aAction.datagram_ };
    SendUnreliably(aNode, Find(aAction.to_), aAction.datagram_, event);
  }
  void Execute(std::size_t aNode, const SendNotice& aAction)
  {
    SendUnreliably(
      aNode, byId_.at(aAction.to_), aAction.notice_, NoticeReceived{ aAction.notice_ });
  }
  void Execute(std::size_t aNode, const SendNoticeAck& aAction)
  {
    SendUnreliably(aNode, byId_.at(aAction.to_), aAction.ack_, NoticeAckReceived{ aAction.ack_ });
  }
  void Execute(std::size_t aNode, const SendSync& aAction)
  {
    const std::size_t to = Find(aAction.to_);
    const auto serve = [=, this]() -> std::optional<SyncResponse> {
      reply_.reset();
      Do(to, SyncRequested{ nodes_[aNode].address_, aAction.request_ });
      if (warmStart_) {
        SyncTable table{ nodes_[to].id_, Enforced(to), {}, {}, std::nullopt, std::nullopt };
        for (const Node& node : nodes_) {
          table.members_.push_back(node.membership_->Self());
        }
        reply_ = std::move(table);
      }
      return reply_;
    };
    Call(aNode, to, aAction.request_, serve, [=, this](const auto& aResult) {
      aResult ? Do(aNode, SyncResponded{ aAction.to_, *aResult })
              : Do(aNode, SyncFailed{ aAction.to_ });
    });
  }
  void Execute(std::size_t /*aNode*/, const LogEpochRaised& /*aAction*/) {}
  void Execute(std::size_t aNode, const SendLogReport& aAction)
  {
    SendUnreliably(
      aNode, byId_.at(aAction.to_), aAction.report_, LogReportReceived{ aAction.report_ });
  }
  void Execute(std::size_t aNode, const SendFetch& aAction)
  {
    const std::size_t to = byId_.at(aAction.to_);
    const auto serve = [=, this]() -> std::optional<FetchResponse> {
      const FetchRequested event{ nodes_[aNode].id_, aAction.request_ };
      const auto actions = nodes_[to].distribution_->Handle(event, now_, nodes_[to].random_);
      return std::get<ReplyFetch>(actions.front()).response_;
    };
    Call(aNode, to, aAction.request_, serve, [=, this](const auto& aResult) {
      aResult ? Do(aNode, FetchResponded{ aAction.to_, *aResult })
              : Do(aNode, FetchFailed{ aAction.to_ });
    });
  }
  void Execute(std::size_t, const ReplySync& aAction) { reply_ = aAction.response_; }
  void Execute(std::size_t aNode, const EnforceVersion& aAction)
  {
    if (onEnforce_) {
      onEnforce_(aNode, aAction);
    }
    Do(aNode, LocalVersionChanged{ aAction.configuration_->version_ });
  }
  void Execute(std::size_t aNode, const VersionHeld& aAction)
  {
    Do(aNode, LocalVersionHeld{ aAction.version_ });
  }
  void Execute(std::size_t aNode, const PeerVersionSeen& aAction)
  {
    Do(aNode, PeerVersionReported{ aAction.id_, aAction.version_ });
  }
  void Execute(std::size_t aNode, const FloorRaised& aAction)
  {
    Do(aNode, VersionFloorRaised{ aAction.floor_ });
  }
  void Execute(std::size_t aNode, const FloorSettled&) { Do(aNode, VersionFloorSettled{}); }
  void Execute(std::size_t aNode, const StartReading&) { nodes_[aNode].reading_ = true; }
  void Execute(std::size_t aNode, const StopReading&) { nodes_[aNode].reading_ = false; }
  void Execute(std::size_t aNode, const ReadLogTail&)
  {
    PostTo(aNode, 20ms, [=, this] { ReadLog(aNode); });
  }
  void Execute(std::size_t aNode, const RolesChanged&)
  {
    const Membership& membership = *nodes_[aNode].membership_;
    const model::FailureDomain own = membership.Self()->domain_;
    PeerView view{ membership.Live(own), {} };
    for (const model::FailureDomain& domain : membership.Domains()) {
      if (domain != own && membership.Reachable(domain)) {
        const auto relays = membership.Relays(domain);
        view.foreignRelays_.insert(view.foreignRelays_.end(), relays.begin(), relays.end());
      }
    }
    Do(aNode, PeersChanged{ std::move(view) });
  }
  void Execute(std::size_t aNode, const DomainReachabilityChanged&)
  {
    Execute(aNode, RolesChanged{});
  }
  void Execute(std::size_t, const MemberChanged&) {}
  void Execute(std::size_t, const MemberForgotten&) {}
  void Execute(std::size_t, const ReplyFetch&) {}
  void Execute(std::size_t, const BecomeReady&) {}
  void Execute(std::size_t, const AppendCheckpoint&) {}
  [[nodiscard]] std::size_t Find(const model::Address& aAddress) const
  {
    return byId_.at(model::DaemonId(model::ToString(aAddress)));
  }

  MeshOptions options_;
  std::vector<Node> nodes_;
  std::map<model::DaemonId, std::size_t> byId_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  std::vector<model::ConfigurationPtr> log_;
  std::priority_queue<Job> jobs_;
  std::uint64_t jobCount_ = 0;
  std::optional<SyncResponse> reply_;
  model::TimePoint now_{ 1h };
  model::RandomSource random_;
};

} // namespace hemlockproxy::decisions::tests
