#pragma once

#include "hemlockproxy/model/RequestOutcome.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hemlockproxy::testing {

/// What is known about one request when it ends.
struct LoadResult
{
  model::RequestOutcome outcome_ = model::RequestOutcome::Unknown;
  /// The response was delimited correctly, but it is not the response to this request.
  bool corrupted_ = false;
  /// The Hemlock-Reason header, or the local reason such as "connect-failed".
  std::string reason_;
};

/// Counts the results of a load run.
class LoadReport
{
public:
  void CountSent() { ++sent_; }
  void CountRepeat() { ++repeats_; }
  /// A request that was never sent because too many waited for a connection.
  void CountDropped() { ++dropped_; }
  void CountResult(const LoadResult& aResult, std::chrono::microseconds aLatency);

  [[nodiscard]] std::uint64_t Corrupted() const noexcept { return corrupted_; }
  /// Returns the lines `figure NAME VALUE UNIT`; latencies run from the intended send time. With a
  /// deadline, requests that ended without an answer at or after it are counted.
  [[nodiscard]] std::string Figures(std::chrono::milliseconds aDeadline);

private:
  static constexpr std::size_t kOutcomes = 3;

  std::uint64_t sent_ = 0;
  std::uint64_t repeats_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t corrupted_ = 0;
  std::map<std::string, std::uint64_t> reasons_;
  std::array<std::vector<std::uint32_t>, kOutcomes> latencies_;
};

} // namespace hemlockproxy::testing
