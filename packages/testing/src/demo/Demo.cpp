#include "demo/Demo.h"

#include "bench/MeshProbe.h"
#include "hemlockproxy/testing/Cluster.h"

#include <array>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace hemlockproxy::testing::demo {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kReadyTimeout{ 20000 };
constexpr milliseconds kVersionTimeout{ 10000 };
constexpr milliseconds kCommandTimeout{ 20000 };
constexpr milliseconds kLoadTime{ 8000 };
constexpr milliseconds kBeforeFailure{ 2000 };
constexpr milliseconds kStopTimeout{ 15000 };
constexpr int kExitLimitLowered = 3;

/// Paths of the example deployments that the demo uses.
struct DemoPaths
{
  std::string service_;
  std::string lookup_;
  std::string keyed_;
};

DemoPaths PathsOf(const std::string& aDeployment)
{
  if (aDeployment == "temple-andino") {
    return { "bitacora", "/lookups/", "/sign-offs/17" };
  }
  return { "commission-portal", "/proofs/", "/deposits/17" };
}

std::string ReadFile(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Returns the value of "figure NAME VALUE UNIT" in an output, or -1.
long FigureOf(const std::string& aOutput, const std::string& aName)
{
  const std::string start = "figure " + aName + " ";
  const std::size_t at = aOutput.find(start);
  return at == std::string::npos ? -1 : std::stol(aOutput.substr(at + start.size()));
}

/// The steps of the demo; each returns whether it was verified.
class Demo
{
public:
  explicit Demo(const DemoOptions& aOptions)
    : options_(aOptions)
    , paths_(PathsOf(aOptions.deployment_))
    , files_(std::filesystem::temp_directory_path() /
             ("hemlock-demo-" + std::to_string(::getpid())))
  {
  }

  ~Demo()
  {
    std::error_code ignored;
    std::filesystem::remove_all(files_, ignored);
  }

  Demo(const Demo&) = delete;
  Demo& operator=(const Demo&) = delete;

  bool Run()
  {
    struct Step
    {
      const char* title_;
      bool (Demo::*run_)();
    };
    constexpr std::array<Step, 8> kSteps = { {
      { "start the log, the daemons and their backend servers", &Demo::Start },
      { "publish the service files", &Demo::Publish },
      { "send requests through each daemon", &Demo::Serve },
      { "send a non-repeatable request twice with one key", &Demo::ServeOnce },
      { "raise a limit", &Demo::RaiseLimit },
      { "try to lower it again", &Demo::LowerLimit },
      { "kill one instance under traffic", &Demo::KillInstance },
      { "stop one daemon gracefully under traffic", &Demo::StopDaemon },
    } };
    std::size_t verified = 0;
    for (const Step& step : kSteps) {
      std::printf("\n== %s\n", step.title_);
      const bool done = (this->*step.run_)();
      std::printf("%s\n", done ? "verified" : "NOT VERIFIED");
      std::fflush(stdout);
      verified += done ? 1 : 0;
      if (!done && cluster_ == nullptr) {
        break;
      }
    }
    if (cluster_ != nullptr) {
      PrintTimeline();
    }
    cluster_.reset();
    std::printf(
      "\n== summary\n%zu of %zu steps verified; all processes ended\n", verified, kSteps.size());
    return verified == kSteps.size();
  }

private:
  bool Start()
  {
    auto settings = bench::DeploymentSettings(options_.deployment_, options_.programs_);
    auto cluster = Cluster::Create(*settings);
    if (!cluster) {
      std::printf("%s\n", cluster.Error().message_.c_str());
      return false;
    }
    cluster_ = *std::move(cluster);
    std::printf("%zu daemons in %zu failure domains, profile %s\n",
                cluster_->Instances().size(),
                settings->domains_.size(),
                settings->profile_.c_str());
    std::filesystem::create_directories(files_);
    std::filesystem::copy(options_.examples_ + "/" + options_.deployment_,
                          files_,
                          std::filesystem::copy_options::recursive |
                            std::filesystem::copy_options::overwrite_existing);
    return true;
  }

  bool Publish()
  {
    const auto [code, output] =
      Command({ "publish", files_.string(), "--log", ToString(cluster_->Log().Listening()) });
    std::printf("%s", output.c_str());
    return code == 0 && Succeeded(cluster_->WaitUntilReady(kReadyTimeout));
  }

  bool Serve()
  {
    std::size_t answered = 0;
    for (const ClusterInstance& instance : cluster_->Instances()) {
      const auto reply = HttpGet(instance.caller_, paths_.lookup_ + instance.name_);
      answered += reply && reply->status_ == 200 ? 1 : 0;
    }
    std::printf("%zu of %zu entries answered\n", answered, cluster_->Instances().size());
    return answered == cluster_->Instances().size();
  }

  bool ServeOnce()
  {
    const auto send = [this](const ClusterInstance& aEntry) {
      HttpCall call;
      call.method_ = "POST";
      call.target_ = paths_.keyed_;
      call.headers_ = { { "Idempotency-Key", "demo-17" } };
      call.body_ = "lot 17";
      return SendHttp(aEntry.caller_, call);
    };
    const auto first = send(cluster_->Instances().front());
    const auto second = send(cluster_->Instances().back());
    std::size_t runs = 0;
    for (const ClusterInstance& instance : cluster_->Instances()) {
      const auto counts = HttpGet(instance.backendAddress_, "/runs");
      runs += counts && counts->body_.find("demo-17 1") != std::string::npos ? 1 : 0;
    }
    std::printf("first entry: %u, another entry: %u %s; runs: %zu\n",
                first ? first->status_ : 0,
                second ? second->status_ : 0,
                second ? second->Header("hemlock-reason").c_str() : "",
                runs);
    return first && first->status_ == 200 && second && second->status_ == 409 && runs == 1;
  }

  bool RaiseLimit()
  {
    SetQueueLimit(1000);
    const std::uint64_t wanted = Cluster::VersionOf(cluster_->Instances().front()).value_or(0) + 1;
    std::vector<double> bytesBefore;
    for (const ClusterInstance& instance : cluster_->Instances()) {
      bytesBefore.push_back(bench::ControlBytes(bench::ReadMetrics(instance)));
    }
    const auto [code, output] =
      Command({ "publish", files_.string(), "--log", ToString(cluster_->Log().Listening()) });
    std::printf("%s", output.c_str());
    if (code != 0 || !Succeeded(cluster_->WaitForVersion(wanted, kVersionTimeout))) {
      return false;
    }
    return PrintConvergence(wanted, bytesBefore);
  }

  bool PrintConvergence(std::uint64_t aVersion, const std::vector<double>& aBytesBefore)
  {
    std::int64_t first = INT64_MAX;
    std::vector<std::int64_t> times;
    for (const ClusterInstance& instance : cluster_->Instances()) {
      const auto at = bench::EnforcedAt(instance, aVersion);
      if (!at) {
        return false;
      }
      times.push_back(*at);
      first = std::min(first, *at);
    }
    std::size_t index = 0;
    for (const ClusterInstance& instance : cluster_->Instances()) {
      const double bytes = bench::ControlBytes(bench::ReadMetrics(instance)) - aBytesBefore[index];
      std::printf("  %-14s enforced version %llu %lld ms after the first daemon; %.0f control "
                  "bytes meanwhile\n",
                  instance.name_.c_str(),
                  static_cast<unsigned long long>(aVersion),
                  static_cast<long long>(times[index] - first),
                  bytes);
      ++index;
    }
    return true;
  }

  bool LowerLimit()
  {
    SetQueueLimit(10);
    const auto before = Cluster::VersionOf(cluster_->Instances().front());
    const auto [code, output] =
      Command({ "publish", files_.string(), "--log", ToString(cluster_->Log().Listening()) });
    std::printf("%sexit code %d\n", output.c_str(), code);
    SetQueueLimit(1000);
    return code == kExitLimitLowered && Cluster::VersionOf(cluster_->Instances().front()) == before;
  }

  bool KillInstance()
  {
    auto load = StartLoad();
    if (!load) {
      return false;
    }
    std::this_thread::sleep_for(kBeforeFailure);
    ClusterInstance& victim = cluster_->Instances()[1];
    std::printf("killing %s and its backend server\n", victim.name_.c_str());
    victim.daemon_->Kill();
    victim.backend_->Kill();
    if (!FinishLoad(*load)) {
      return false;
    }
    const bool restarted =
      Succeeded(cluster_->StartDaemon(victim)) && Succeeded(cluster_->StartBackend(victim));
    return restarted && Succeeded(cluster_->WaitUntilReady(kReadyTimeout));
  }

  bool StopDaemon()
  {
    auto load = StartLoad();
    if (!load) {
      return false;
    }
    std::this_thread::sleep_for(kBeforeFailure);
    ClusterInstance& leaving = cluster_->Instances()[2];
    std::printf("SIGTERM to %s\n", leaving.name_.c_str());
    leaving.daemon_->Signal(SIGTERM);
    const auto code = leaving.daemon_->WaitForExit(kStopTimeout);
    std::printf("it ended with code %d\n", code.value_or(-1));
    return FinishLoad(*load) && code == 0;
  }

  /// Starts load on the entries that live through the demo.
  std::optional<ChildProcess> StartLoad()
  {
    std::vector<std::string> arguments{ "--rate=200",
                                        "--duration-ms=" + std::to_string(kLoadTime.count()),
                                        "--path=" + paths_.lookup_ + "{n}" };
    for (std::size_t i = 0; i < cluster_->Instances().size(); ++i) {
      if (i != 1 && i != 2) {
        arguments.push_back("--target=" + ToString(cluster_->Instances()[i].caller_));
      }
    }
    auto load = ChildProcess::Create(options_.programs_ + "/hemlock-test-load", arguments);
    if (!load) {
      std::printf("%s\n", load.Error().message_.c_str());
      return std::nullopt;
    }
    return *std::move(load);
  }

  /// Waits for the load's end; a lookup is repeatable, so at most 1 in 100 may stay without an
  /// answer.
  bool FinishLoad(ChildProcess& aLoad)
  {
    const auto code = aLoad.WaitForExit(kCommandTimeout);
    const std::string output = aLoad.Output();
    const long sent = FigureOf(output, "sent");
    const long answered = FigureOf(output, "answered");
    std::printf(
      "%ld requests sent, %ld answered, %ld not run, %ld unknown, %ld corrupted; p99 %ld us\n",
      sent,
      answered,
      FigureOf(output, "not-run"),
      FigureOf(output, "unknown"),
      FigureOf(output, "corrupted"),
      FigureOf(output, "answered-p99"));
    constexpr long kPercent = 100;
    return code == 0 && sent > 0 && (sent - answered) * kPercent <= sent;
  }

  void SetQueueLimit(int aLimit)
  {
    const auto path = files_ / (paths_.service_ + ".yaml");
    const std::string text = ReadFile(path);
    constexpr std::string_view kKey = "queued_requests: ";
    const std::size_t value = text.find(kKey) + kKey.size();
    const std::size_t end = text.find('\n', value);
    std::ofstream(path) << text.substr(0, value) << aLimit << text.substr(end);
  }

  void PrintTimeline()
  {
    std::vector<std::string> arguments{ "timeline", "--admin" };
    for (ClusterInstance& instance : cluster_->Instances()) {
      if (instance.daemon_ && instance.daemon_->Running()) {
        arguments.push_back(ToString(instance.admin_));
      }
    }
    const auto [code, output] = Command(arguments);
    std::printf("\n== time line of all daemons\n%s", output.c_str());
  }

  /// Runs hemlockctl; returns its exit code and all output.
  std::pair<int, std::string> Command(const std::vector<std::string>& aArguments)
  {
    auto command = ChildProcess::Create(options_.programs_ + "/hemlockctl", aArguments);
    if (!command) {
      return { -1, command.Error().message_ + "\n" };
    }
    const auto code = command->WaitForExit(kCommandTimeout);
    return { code.value_or(-1), command->Output() + command->ErrorOutput() };
  }

  static bool Succeeded(const Cluster::Done& aDone)
  {
    if (!aDone) {
      std::printf("%s\n", aDone.Error().message_.c_str());
    }
    return aDone.Ok();
  }

  const DemoOptions& options_;
  DemoPaths paths_;
  std::filesystem::path files_;
  std::unique_ptr<Cluster> cluster_;
};

} // namespace

bool RunDemo(const DemoOptions& aOptions)
{
  return Demo(aOptions).Run();
}

} // namespace hemlockproxy::testing::demo
