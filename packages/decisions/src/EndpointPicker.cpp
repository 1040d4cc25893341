#include "hemlockproxy/decisions/EndpointPicker.h"

#include <random>

namespace hemlockproxy::decisions {

namespace {

class OwnWorkScore final : public LoadScore
{
public:
  [[nodiscard]] double Score(const EndpointLoad& aLoad) const noexcept override
  {
    return (aLoad.own_ + 1) / aLoad.slots_;
  }
};

class ReportedScore final : public LoadScore
{
public:
  [[nodiscard]] double Score(const EndpointLoad& aLoad) const noexcept override
  {
    return (aLoad.reported_ + 1) / aLoad.slots_;
  }
};

class WorkAndReportScore final : public LoadScore
{
public:
  explicit WorkAndReportScore(double aOthersWeight) noexcept
    : othersWeight_(aOthersWeight)
  {
  }
  [[nodiscard]] double Score(const EndpointLoad& aLoad) const noexcept override
  {
    return (aLoad.own_ + othersWeight_ * aLoad.others_ + 1) / aLoad.slots_;
  }

private:
  double othersWeight_;
};

class LatencyAwareScore final : public LoadScore
{
public:
  explicit LatencyAwareScore(double aOthersWeight) noexcept
    : othersWeight_(aOthersWeight)
  {
  }
  [[nodiscard]] double Score(const EndpointLoad& aLoad) const noexcept override
  {
    return aLoad.relativeLatency_ * (aLoad.own_ + othersWeight_ * aLoad.others_ + 1) / aLoad.slots_;
  }

private:
  double othersWeight_;
};

std::size_t Below(std::size_t aBound, model::RandomSource& aRandom)
{
  return std::uniform_int_distribution<std::size_t>(0, aBound - 1)(aRandom);
}

class TwoChoices final : public EndpointPicker
{
public:
  [[nodiscard]] std::size_t Pick(const std::vector<double>& aScores,
                                 model::RandomSource& aRandom) override
  {
    const std::size_t first = Below(aScores.size(), aRandom);
    if (aScores.size() == 1) {
      return first;
    }
    std::size_t second = Below(aScores.size() - 1, aRandom);
    second += second >= first ? 1 : 0;
    return aScores[second] < aScores[first] ? second : first;
  }
};

class LeastScore final : public EndpointPicker
{
public:
  [[nodiscard]] std::size_t Pick(const std::vector<double>& aScores,
                                 model::RandomSource& aRandom) override
  {
    // Starting at a random place keeps entries from all taking the first of equal endpoints.
    const std::size_t start = Below(aScores.size(), aRandom);
    std::size_t best = start;
    for (std::size_t step = 1; step < aScores.size(); ++step) {
      const std::size_t index = (start + step) % aScores.size();
      best = aScores[index] < aScores[best] ? index : best;
    }
    return best;
  }
};

class RoundRobin final : public EndpointPicker
{
public:
  [[nodiscard]] std::size_t Pick(const std::vector<double>& aScores,
                                 model::RandomSource& /*aRandom*/) override
  {
    return next_++ % aScores.size();
  }

private:
  std::size_t next_ = 0;
};

} // namespace

double Occupancy(const EndpointLoad& aLoad) noexcept
{
  return (aLoad.own_ + aLoad.others_ + 1) / aLoad.slots_;
}

std::unique_ptr<LoadScore> MakeOwnWorkScore()
{
  return std::make_unique<OwnWorkScore>();
}

std::unique_ptr<LoadScore> MakeReportedScore()
{
  return std::make_unique<ReportedScore>();
}

std::unique_ptr<LoadScore> MakeWorkAndReportScore(double aOthersWeight)
{
  return std::make_unique<WorkAndReportScore>(aOthersWeight);
}

std::unique_ptr<LoadScore> MakeLatencyAwareScore(double aOthersWeight)
{
  return std::make_unique<LatencyAwareScore>(aOthersWeight);
}

std::unique_ptr<EndpointPicker> MakeTwoChoices()
{
  return std::make_unique<TwoChoices>();
}

std::unique_ptr<EndpointPicker> MakeLeastScore()
{
  return std::make_unique<LeastScore>();
}

std::unique_ptr<EndpointPicker> MakeRoundRobin()
{
  return std::make_unique<RoundRobin>();
}

} // namespace hemlockproxy::decisions
