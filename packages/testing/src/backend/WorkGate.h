#pragma once

#include "backend/BackendFaults.h"
#include "hemlockproxy/testing/HttpServer.h"

#include <cstdio>
#include <map>

namespace hemlockproxy::testing {

/// The state that all connections of a backend server share: slots, run counts and faults.
class WorkGate
{
public:
  /// The counts of runs are also appended to aRunsFile, line by line, unless it is null.
  WorkGate(std::size_t aSlots, std::FILE* aRunsFile);

  /// Waits for a slot; returns false when the peer closes before one is free.
  [[nodiscard]] bool Enter(HttpConnection& aConnection);
  void Leave();

  /// Counts a run by its key and tag (either may be empty); returns the number of the run.
  std::uint64_t CountRun(const std::string& aKey, const std::string& aTag);
  void CountCancelled();

  [[nodiscard]] RequestFaults FaultsFor(const std::string& aPath, const std::string& aTag);
  [[nodiscard]] BackendFaults Faults() const;
  void SetFaults(const BackendFaults& aFaults);

  /// Returns the value of Hemlock-Load, with the load faults applied.
  [[nodiscard]] std::string LoadReport();
  /// Returns lines `key count` of idempotency keys, or of tags.
  [[nodiscard]] std::string Runs(bool aByTag) const;
  /// Returns the counters as YAML.
  [[nodiscard]] std::string Stats() const;

private:
  mutable std::mutex mutex_;
  std::condition_variable freed_;
  const std::size_t slots_;
  std::size_t inProgress_ = 0;
  std::size_t waiting_ = 0;
  std::size_t mostInProgress_ = 0;
  std::uint64_t runs_ = 0;
  std::uint64_t cancelled_ = 0;
  std::map<std::string, std::uint64_t> runsByKey_;
  std::map<std::string, std::uint64_t> runsByTag_;
  BackendFaults faults_;
  std::string reportedLoad_;
  std::chrono::steady_clock::time_point reportedAt_;
  std::FILE* runsFile_;
};

} // namespace hemlockproxy::testing
