#include "hemlockproxy/testing/Cluster.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <thread>

namespace hemlockproxy::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kPollInterval{ 10 };
constexpr milliseconds kPublishTimeout{ 10'000 };
/// A paused daemon must not hold up the check of the others for long.
constexpr milliseconds kStatusTimeout{ 500 };

/// The arguments of hemlockctl and hemlockproxy, in one place each.
std::vector<std::string> PublishArguments(const std::string& aFolder, const model::Address& aLog)
{
  return { "publish", aFolder, "--log", ToString(aLog) };
}

std::vector<std::string> DaemonArguments(const std::string& aSettingsPath)
{
  return { "--settings", aSettingsPath };
}

model::Result<HttpReply, HttpClientError> AskAdmin(const ClusterInstance& aInstance,
                                                   const char* aTarget)
{
  return SendHttp(aInstance.admin_, HttpCall{ .target_ = aTarget, .timeout_ = kStatusTimeout });
}

} // namespace

std::string SettingsText(const ClusterInstance& aInstance,
                         const ClusterSettings& aSettings,
                         const std::vector<model::Address>& aSeeds)
{
  std::string text =
    "name: " + aInstance.name_ + "\nregion: " + aSettings.region_ +
    "\nfailure_domain: " + aInstance.domain_ + "\ncaller: " + ToString(aInstance.caller_) +
    "\nforward: " + ToString(aInstance.forward_) + "\ncontrol: " + ToString(aInstance.control_) +
    "\nadmin: " + ToString(aInstance.admin_) + "\nlog: " + ToString(aInstance.log_) +
    "\nprofile: " + aSettings.profile_ + "\n";
  if (aSettings.links_) {
    text += "advertise_forward: " + ToString(aInstance.advertisedForward_) +
            "\nadvertise_control: " + ToString(aInstance.advertisedControl_) + "\n";
  }
  text += aSettings.daemonSettings_ + "seeds:\n";
  for (const model::Address& seed : aSeeds) {
    text += "  - " + ToString(seed) + "\n";
  }
  return text;
}

Cluster::Cluster(ClusterSettings aSettings)
  : settings_(std::move(aSettings))
{
}

Cluster::~Cluster()
{
  if (!folder_.empty()) {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
}

model::Result<std::unique_ptr<Cluster>, ClusterError> Cluster::Create(ClusterSettings aSettings)
{
  std::unique_ptr<Cluster> cluster(new Cluster(std::move(aSettings)));
  if (const Done started = cluster->Start(); !started) {
    return started.Error();
  }
  return cluster;
}

Cluster::Done Cluster::Start()
{
  std::string name = (std::filesystem::temp_directory_path() / "hemlock-cluster-XXXXXX").string();
  if (::mkdtemp(name.data()) == nullptr) {
    return ClusterError{ "cannot create the folder " + name };
  }
  folder_ = name;
  auto log = ChildProcess::CreateServer(Program("hemlock-test-log"), {});
  if (!log) {
    return ClusterError{ "hemlock-test-log: " + log.Error().message_ };
  }
  log_ = std::move(*log);
  if (Done assigned = AssignAddresses(); !assigned) {
    return assigned;
  }
  if (Done linked = StartLinks(); !linked) {
    return linked;
  }
  for (ClusterInstance& instance : instances_) {
    if (Done daemon = StartDaemon(instance); !daemon) {
      return daemon;
    }
    if (Done backend = StartBackend(instance); !backend) {
      return backend;
    }
  }
  return model::Unit{};
}

Cluster::Done Cluster::AssignAddresses()
{
  std::string error;
  const auto next = [&](const std::string& aIp) {
    const auto port = ports_.Next();
    if (!port) {
      error = port.Error().message_;
    }
    return model::Address{ aIp, port ? *port : std::uint16_t{ 0 } };
  };
  const auto linked = [&](const char* aProtocol, const model::Address& aTarget) {
    model::Address listen = next(aTarget.ip_);
    linkOptions_.push_back(std::string(aProtocol) + ToString(listen) + "=" + ToString(aTarget));
    return listen;
  };
  for (const ClusterDomain& domain : settings_.domains_) {
    const std::string prefix = ClientPrefix(domain.name_);
    // The log's link of a domain has an address of that domain, which names it in SetLogCut.
    model::Address log = log_->Listening();
    if (settings_.links_) {
      const model::Address listen = next(prefix + "254");
      linkOptions_.push_back("--tcp=" + ToString(listen) + "=" + ToString(log));
      log = listen;
    }
    for (std::size_t i = 1; i <= domain.instances_; ++i) {
      const std::string ip = prefix + std::to_string(i);
      ClusterInstance instance{ .name_ = domain.name_ + "-" + std::to_string(i),
                                .domain_ = domain.name_,
                                .service_ = i <= domain.services_.size() ? domain.services_[i - 1]
                                                                         : settings_.service_,
                                .caller_ = next(ip),
                                .forward_ = next(ip),
                                .control_ = next(ip),
                                .admin_ = next(ip),
                                .backendAddress_ = next(ip),
                                .log_ = log };
      instance.advertisedForward_ = instance.forward_;
      instance.advertisedControl_ = instance.control_;
      if (settings_.links_) {
        instance.advertisedForward_ = linked("--tcp=", instance.forward_);
        instance.advertisedControl_ = linked("--tcp=", instance.control_);
        linkOptions_.push_back("--udp=" + ToString(instance.advertisedControl_) + "=" +
                               ToString(instance.control_));
      }
      if (i == 1) {
        seeds_.push_back(instance.advertisedControl_);
      }
      instances_.push_back(std::move(instance));
    }
  }
  return error.empty() ? Done(model::Unit{}) : Done(ClusterError{ error });
}

Cluster::Done Cluster::StartLinks()
{
  if (!settings_.links_) {
    return model::Unit{};
  }
  auto link = ChildProcess::CreateServer(Program("hemlock-test-link"), linkOptions_);
  if (!link) {
    return ClusterError{ "hemlock-test-link: " + link.Error().message_ };
  }
  link_ = std::move(*link);
  return model::Unit{};
}

Cluster::Done Cluster::StartDaemon(ClusterInstance& aInstance)
{
  aInstance.daemon_.reset();
  const std::string path = SettingsPath(aInstance);
  std::ofstream(path) << SettingsText(aInstance, settings_, seeds_);
  auto daemon = ChildProcess::Create(Program("hemlockproxy"), DaemonArguments(path));
  if (!daemon) {
    return ClusterError{ aInstance.name_ + ": " + daemon.Error().message_ };
  }
  aInstance.daemon_ = std::move(*daemon);
  return model::Unit{};
}

Cluster::Done Cluster::StartBackend(ClusterInstance& aInstance)
{
  aInstance.backend_.reset();
  std::vector<std::string> options{ "--listen=" + ToString(aInstance.backendAddress_),
                                    "--service=" + aInstance.service_,
                                    "--admin=" + ToString(aInstance.admin_) };
  options.insert(options.end(), settings_.backendOptions_.begin(), settings_.backendOptions_.end());
  if (settings_.recordRuns_) {
    options.push_back("--runs-file=" + RunsPath(aInstance));
  }
  auto backend = ChildProcess::CreateServer(Program("hemlock-test-backend"), options);
  if (!backend) {
    return ClusterError{ aInstance.name_ + " backend server: " + backend.Error().message_ };
  }
  aInstance.backend_ = std::move(*backend);
  return model::Unit{};
}

Cluster::Done Cluster::Publish(const std::string& aFolder)
{
  auto publish =
    ChildProcess::Create(Program("hemlockctl"), PublishArguments(aFolder, log_->Listening()));
  if (!publish) {
    return ClusterError{ "hemlockctl: " + publish.Error().message_ };
  }
  const std::optional<int> code = publish->WaitForExit(kPublishTimeout);
  if (code != 0) {
    return ClusterError{ "hemlockctl publish " +
                         (code ? "ended with code " + std::to_string(*code) : "did not end") +
                         ": " + publish->ErrorOutput() };
  }
  return model::Unit{};
}

Cluster::Done Cluster::WaitUntilReady(milliseconds aTimeout)
{
  return WaitForAll("ready", aTimeout, [](const ClusterInstance& aInstance) {
    const auto reply = AskAdmin(aInstance, "/ready");
    return reply.Ok() && reply->status_ == 200;
  });
}

Cluster::Done Cluster::WaitForVersion(std::uint64_t aVersion, milliseconds aTimeout)
{
  return WaitForAll("at the version", aTimeout, [aVersion](const ClusterInstance& aInstance) {
    return VersionOf(aInstance).value_or(0) >= aVersion;
  });
}

std::optional<std::uint64_t> Cluster::VersionOf(const ClusterInstance& aInstance)
{
  constexpr std::string_view kKey = "version: ";
  const auto reply = AskAdmin(aInstance, "/status");
  if (!reply) {
    return std::nullopt;
  }
  const std::string text = "\n" + reply->body_;
  const std::size_t at = text.find("\n" + std::string(kKey));
  std::uint64_t version = 0;
  if (at == std::string::npos) {
    return std::nullopt;
  }
  const char* start = text.data() + at + 1 + kKey.size();
  const auto [end, error] = std::from_chars(start, text.data() + text.size(), version);
  return error == std::errc() ? std::optional(version) : std::nullopt;
}

std::string Cluster::SettingsPath(const ClusterInstance& aInstance) const
{
  return (folder_ / (aInstance.name_ + ".yaml")).string();
}

std::string Cluster::RunsPath(const ClusterInstance& aInstance) const
{
  return (folder_ / (aInstance.name_ + ".runs")).string();
}

std::map<std::string, std::size_t> Cluster::RunsByKey() const
{
  // Each line of a runs file reads `key=K tag=T`.
  constexpr std::string_view kKey = "key=";
  std::map<std::string, std::size_t> runs;
  for (const ClusterInstance& instance : instances_) {
    std::ifstream file(RunsPath(instance));
    for (std::string line; std::getline(file, line);) {
      ++runs[line.substr(kKey.size(), line.find(' ') - kKey.size())];
    }
  }
  return runs;
}

Cluster::Done Cluster::SetLogCut(const std::string& aDomain, bool aCut)
{
  for (const ClusterInstance& instance : instances_) {
    if (instance.domain_ == aDomain) {
      return SetFaults(ToString(instance.log_), "", aCut);
    }
  }
  return ClusterError{ "unknown domain '" + aDomain + "'" };
}

Cluster::Done Cluster::SetDomainCut(const std::string& aFirst,
                                    const std::string& aSecond,
                                    bool aCut)
{
  for (const ClusterInstance& instance : instances_) {
    if (instance.domain_ != aFirst && instance.domain_ != aSecond) {
      continue;
    }
    const std::string from = ClientPrefix(instance.domain_ == aFirst ? aSecond : aFirst);
    for (const model::Address& pair :
         { instance.advertisedForward_, instance.advertisedControl_ }) {
      if (Done set = SetFaults(ToString(pair), from, aCut); !set) {
        return set;
      }
    }
  }
  return model::Unit{};
}

Cluster::Done Cluster::SetDomainLinks(milliseconds aDelay, double aLoss)
{
  if (!link_) {
    return ClusterError{ "the cluster has no links; set links_" };
  }
  const std::string faults =
    "&delay_ms=" + std::to_string(aDelay.count()) + "&loss=" + std::to_string(aLoss);
  for (const ClusterInstance& instance : instances_) {
    for (const ClusterDomain& domain : settings_.domains_) {
      if (domain.name_ == instance.domain_) {
        continue;
      }
      for (const model::Address& pair :
           { instance.advertisedForward_, instance.advertisedControl_ }) {
        const auto reply =
          HttpPost(link_->Listening(),
                   "/set?pair=" + ToString(pair) + "&from=" + ClientPrefix(domain.name_) + faults);
        if (!reply || reply->status_ != 200) {
          return ClusterError{ "link: " + (reply ? reply->body_ : reply.Error().message_) };
        }
      }
    }
  }
  return model::Unit{};
}

Cluster::Done Cluster::SetFaults(const std::string& aPair, const std::string& aFrom, bool aCut)
{
  if (!link_) {
    return ClusterError{ "the cluster has no links; set links_" };
  }
  const auto reply = HttpPost(
    link_->Listening(), "/set?pair=" + aPair + "&from=" + aFrom + "&cut=" + (aCut ? "1" : "0"));
  if (!reply || reply->status_ != 200) {
    return ClusterError{ "link: " + (reply ? reply->body_ : reply.Error().message_) };
  }
  return model::Unit{};
}

std::string Cluster::Program(const char* aName) const
{
  return settings_.programs_ + "/" + aName;
}

std::string Cluster::ClientPrefix(const std::string& aDomain) const
{
  const auto found =
    std::find_if(settings_.domains_.begin(),
                 settings_.domains_.end(),
                 [&](const ClusterDomain& aCandidate) { return aCandidate.name_ == aDomain; });
  return "127.0." + std::to_string(found - settings_.domains_.begin() + 1) + ".";
}

template <typename Condition>
Cluster::Done Cluster::WaitForAll(const char* aWhat, milliseconds aTimeout, Condition aCondition)
{
  const auto end = steady_clock::now() + aTimeout;
  for (ClusterInstance& instance : instances_) {
    while (instance.daemon_ && !aCondition(instance)) {
      const bool running = instance.daemon_->Running();
      if (!running || steady_clock::now() >= end) {
        return ClusterError{ instance.name_ + (running ? " is not " : " ended before it was ") +
                             aWhat + ": " + instance.daemon_->ErrorOutput() };
      }
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  return model::Unit{};
}

} // namespace hemlockproxy::testing
