#include "load/LoadReport.h"

#include <algorithm>

namespace hemlockproxy::testing {

namespace {

std::string Figure(const std::string& aName, std::uint64_t aValue, const char* aUnit)
{
  return "figure " + aName + " " + std::to_string(aValue) + " " + aUnit + "\n";
}

std::uint32_t Percentile(const std::vector<std::uint32_t>& aSorted, std::size_t aPercent)
{
  constexpr std::size_t kWhole = 100;
  const std::size_t rank = (aSorted.size() * aPercent + kWhole - 1) / kWhole;
  return aSorted[std::max<std::size_t>(rank, 1) - 1];
}

constexpr std::chrono::milliseconds kRefusedAtOnce{ 50 };

std::uint64_t CountBelow(const std::vector<std::uint32_t>& aLatencies,
                         std::chrono::microseconds aBound)
{
  return static_cast<std::uint64_t>(
    std::count_if(aLatencies.begin(), aLatencies.end(), [aBound](std::uint32_t aLatency) {
      return std::chrono::microseconds(aLatency) < aBound;
    }));
}

} // namespace

void LoadReport::CountResult(const LoadResult& aResult, std::chrono::microseconds aLatency)
{
  corrupted_ += aResult.corrupted_ ? 1 : 0;
  if (!aResult.reason_.empty()) {
    ++reasons_[aResult.reason_];
  }
  latencies_[static_cast<std::size_t>(aResult.outcome_)].push_back(
    static_cast<std::uint32_t>(std::min<std::int64_t>(aLatency.count(), UINT32_MAX)));
}

std::string LoadReport::Figures(std::chrono::milliseconds aDeadline)
{
  constexpr std::array kPercents{ 50, 90, 99 };
  std::string text = Figure("sent", sent_, "requests");
  for (std::size_t i = 0; i < kOutcomes; ++i) {
    const std::string name = ToString(static_cast<model::RequestOutcome>(i));
    text += Figure(name, latencies_[i].size(), "requests");
  }
  text += Figure("corrupted", corrupted_, "requests");
  text += Figure("repeats", repeats_, "requests");
  text += Figure("dropped", dropped_, "requests");
  text += Figure(
    "not-run-within-50ms",
    CountBelow(latencies_[static_cast<std::size_t>(model::RequestOutcome::NotRun)], kRefusedAtOnce),
    "requests");
  if (aDeadline.count() > 0) {
    std::uint64_t used = 0;
    for (const auto outcome : { model::RequestOutcome::NotRun, model::RequestOutcome::Unknown }) {
      const auto& latencies = latencies_[static_cast<std::size_t>(outcome)];
      used += latencies.size() - CountBelow(latencies, aDeadline);
    }
    text += Figure("deadline-used", used, "requests");
  }
  for (const auto& [reason, count] : reasons_) {
    text += Figure("reason-" + reason, count, "requests");
  }
  for (std::size_t i = 0; i < kOutcomes; ++i) {
    std::vector<std::uint32_t>& sorted = latencies_[i];
    if (sorted.empty()) {
      continue;
    }
    std::sort(sorted.begin(), sorted.end());
    const std::string name = ToString(static_cast<model::RequestOutcome>(i));
    for (const int percent : kPercents) {
      text += Figure(name + "-p" + std::to_string(percent),
                     Percentile(sorted, static_cast<std::size_t>(percent)),
                     "us");
    }
    text += Figure(name + "-max", sorted.back(), "us");
  }
  return text;
}

} // namespace hemlockproxy::testing
