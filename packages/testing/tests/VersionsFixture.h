#pragma once

#include <set>

#include "hemlockproxy/testing/LogAccess.h"

#include "InvariantFixture.h"

namespace hemlockproxy::testing {

/// Base of the groups that publish versions under failures.
class VersionsFixture : public InvariantFixture
{
public:
  std::vector<std::string> marks_{ "first" };
  std::vector<std::uint64_t> highest_;
  std::string falls_;
  std::mutex mutex_;
  std::unique_ptr<Repeater> watch_;

  void teardown() override { watch_.reset(); }

  /// Starts a cluster at version 1 and reads each daemon's version all the time from then on.
  void StartWatched(std::vector<ClusterDomain> aDomains)
  {
    StartServing({ .domains_ = std::move(aDomains), .links_ = true });
    highest_.resize(Instances().size());
    watch_ = std::make_unique<Repeater>(
      Instances().size(), [this](std::size_t aDaemon, std::size_t) { Watch(aDaemon); });
  }

  /// Version 0 means that a restarted daemon holds none yet; it serves nothing then.
  void Watch(std::size_t aDaemon)
  {
    const std::uint64_t version = Cluster::VersionOf(Instances()[aDaemon]).value_or(0);
    if (version > 0) {
      const std::lock_guard lock(mutex_);
      if (version < highest_[aDaemon]) {
        falls_ += Instances()[aDaemon].name_ + " fell from version " +
                  std::to_string(highest_[aDaemon]) + " to " + std::to_string(version) + "\n";
      }
      highest_[aDaemon] = std::max(highest_[aDaemon], version);
    }
    Sleep(milliseconds(15));
  }

  void PublishMark(const std::string& aMark)
  {
    Publish(aMark);
    marks_.push_back(aMark);
  }

  /// Returns the marks whose routes the daemon has; more than one would mean mixed versions.
  [[nodiscard]] std::set<std::string> MarksOf(const ClusterInstance& aInstance) const
  {
    std::set<std::string> found;
    for (const std::string& mark : marks_) {
      const auto reply = HttpGet(aInstance.caller_, "/marks/" + mark);
      const std::string reason = reply ? reply->Header("hemlock-reason") : std::string();
      // Both reasons are given only where no route matches.
      const bool lacks = reason == "no-route" || reason == "configuration-outdated";
      if (reply && !lacks && reply->status_ != 404) {
        found.insert(mark);
      }
    }
    return found;
  }

  /// Checks that each daemon gets to exactly this version and to its content in time.
  void CheckAllAt(std::uint64_t aVersion, const std::set<std::string>& aMarks)
  {
    const auto begun = std::chrono::steady_clock::now();
    for (const ClusterInstance& instance : Instances()) {
      const auto left = std::chrono::duration_cast<milliseconds>(begun + kConvergence -
                                                                 std::chrono::steady_clock::now());
      const bool converged = Within(left, [&] {
        return Cluster::VersionOf(instance) == aVersion && MarksOf(instance) == aMarks;
      });
      CHECK_TRUE_TEXT(converged,
                      (instance.name_ + " is not at version " + std::to_string(aVersion) +
                       Statuses() + instance.daemon_->ErrorOutput())
                        .c_str());
    }
    const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - begun;
    Figure("versions-converged-" + std::to_string(aVersion), taken.count(), "s");
  }

  void CheckNoFall()
  {
    const std::lock_guard lock(mutex_);
    STRCMP_EQUAL("", falls_.c_str());
  }

  void LogFault(const std::string& aFault)
  {
    LONGS_EQUAL(200, Reply(HttpPost(cluster_->Log().Listening(), "/faults?" + aFault)).status_);
  }

  void KillAndRestart(ClusterInstance& aInstance)
  {
    aInstance.daemon_->Kill();
    Check(cluster_->StartDaemon(aInstance));
  }

  void Append(const std::string& aRecord)
  {
    bool appended = false;
    WithLog(cluster_->Log().Listening(),
            [&](runtime::LogPort& aLog) { appended = aLog.Append("config", aRecord).Ok(); });
    CHECK_TRUE(appended);
  }
};

} // namespace hemlockproxy::testing
