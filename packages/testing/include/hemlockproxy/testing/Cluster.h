#pragma once

#include "hemlockproxy/testing/ChildProcess.h"
#include "hemlockproxy/testing/HttpClient.h"
#include "hemlockproxy/testing/PortAllocator.h"

#include <filesystem>
#include <map>
#include <optional>
#include <vector>

namespace hemlockproxy::testing {

/// A failure domain of a cluster with its number of instances.
struct ClusterDomain
{
  std::string name_;
  std::size_t instances_ = 1;
  /// The service of each instance; those beyond the list run ClusterSettings::service_.
  std::vector<std::string> services_;
};

/// What a cluster consists of.
struct ClusterSettings
{
  /// The folder that holds the programs of this build.
  std::string programs_;
  std::string region_ = "pe-sur";
  std::vector<ClusterDomain> domains_;
  std::string service_ = "bitacora";
  std::string profile_ = "fast";
  /// More options for every backend server.
  std::vector<std::string> backendOptions_;
  /// Puts a link between each domain and the log, and between the domains.
  bool links_ = false;
  /// Lets each backend server record its runs in a file, which RunsByKey reads.
  bool recordRuns_ = false;
  /// More lines for every daemon's settings file.
  std::string daemonSettings_;
};

/// Says which part of a cluster failed and how.
struct ClusterError
{
  std::string message_;
};

/// One instance: a daemon and its backend server.
struct ClusterInstance
{
  std::string name_;
  std::string domain_;
  std::string service_;
  model::Address caller_;
  model::Address forward_;
  model::Address control_;
  model::Address admin_;
  model::Address backendAddress_;
  /// What other daemons connect to; differs from the above where a link stands between.
  model::Address advertisedForward_;
  model::Address advertisedControl_;
  model::Address log_;
  std::optional<ChildProcess> daemon_;
  std::optional<ChildProcess> backend_;
};

/// Returns the settings file of a daemon.
[[nodiscard]] std::string SettingsText(const ClusterInstance& aInstance,
                                       const ClusterSettings& aSettings,
                                       const std::vector<model::Address>& aSeeds);

/// A log, instances in failure domains and optional links, all as processes on loopback.
///
/// The daemons of domain number d (from 1) use addresses 127.0.d.x, so that links can tell the
/// domains of their clients apart.
///
///     auto cluster = Cluster::Create({ .programs_ = bin, .domains_ = { { "leith", 2 } } });
///     (*cluster)->Publish("examples/tesserae-thistle");
///     (*cluster)->WaitUntilReady(std::chrono::seconds(5));
class Cluster
{
public:
  using Done = model::Result<model::Unit, ClusterError>;

  /// Starts all processes; does not wait for readiness, which needs a published configuration.
  [[nodiscard]] static model::Result<std::unique_ptr<Cluster>, ClusterError> Create(
    ClusterSettings aSettings);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  [[nodiscard]] std::vector<ClusterInstance>& Instances() noexcept { return instances_; }
  [[nodiscard]] ChildProcess& Log() { return *log_; }
  [[nodiscard]] ChildProcess& Link() { return *link_; }

  /// Starts or restarts the daemon of an instance with the same addresses.
  Done StartDaemon(ClusterInstance& aInstance);
  /// Starts or restarts the backend server of an instance.
  Done StartBackend(ClusterInstance& aInstance);
  /// Publishes a folder with hemlockctl.
  Done Publish(const std::string& aFolder);
  /// Waits until each running daemon responds 200 to GET /ready.
  Done WaitUntilReady(std::chrono::milliseconds aTimeout);
  /// Waits until each running daemon enforces at least this configuration version.
  Done WaitForVersion(std::uint64_t aVersion, std::chrono::milliseconds aTimeout);
  /// Returns the version in GET /status; nothing when the daemon does not respond.
  [[nodiscard]] static std::optional<std::uint64_t> VersionOf(const ClusterInstance& aInstance);

  /// Returns the path of an instance's settings file.
  [[nodiscard]] std::string SettingsPath(const ClusterInstance& aInstance) const;

  /// Returns how often each idempotency key ran on all backend servers, crashed ones included.
  [[nodiscard]] std::map<std::string, std::size_t> RunsByKey() const;

  /// Cuts or restores the links between a domain and the log.
  Done SetLogCut(const std::string& aDomain, bool aCut);
  /// Cuts or restores the links between two domains.
  Done SetDomainCut(const std::string& aFirst, const std::string& aSecond, bool aCut);

  /// Sets delay one way and loss of all links between domains.
  Done SetDomainLinks(std::chrono::milliseconds aDelay, double aLoss);

private:
  explicit Cluster(ClusterSettings aSettings);

  Done Start();
  Done AssignAddresses();
  Done StartLinks();
  Done SetFaults(const std::string& aPair, const std::string& aFrom, bool aCut);
  [[nodiscard]] std::string Program(const char* aName) const;
  [[nodiscard]] std::string RunsPath(const ClusterInstance& aInstance) const;
  [[nodiscard]] std::string ClientPrefix(const std::string& aDomain) const;
  template <typename Condition>
  Done WaitForAll(const char* aWhat, std::chrono::milliseconds aTimeout, Condition aCondition);

  ClusterSettings settings_;
  PortAllocator ports_;
  std::filesystem::path folder_;
  std::vector<model::Address> seeds_;
  std::vector<std::string> linkOptions_;
  std::optional<ChildProcess> log_;
  std::optional<ChildProcess> link_;
  std::vector<ClusterInstance> instances_;
};

} // namespace hemlockproxy::testing
