#pragma once

#include "hemlockproxy/decisions/AttemptResult.h"
#include "hemlockproxy/model/Clock.h"
#include "hemlockproxy/model/Ids.h"
#include "hemlockproxy/model/Result.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace hemlockproxy::decisions {

struct OutlierEjectionOptions
{
  /// Failures in a row that eject an endpoint.
  std::uint32_t consecutiveFailures_ = 5;
  /// Failures as a share of recent attempts that eject an endpoint, if this is also
  /// failureRatio_ times the share at the other endpoints.
  double failureShare_ = 0.25;
  double failureRatio_ = 3;
  /// Mean latency, as a multiple of the median of the other endpoints, that ejects an endpoint.
  double latencyRatio_ = 4;
  /// Recent attempts before failureShare_ and latencyRatio_ apply.
  double minimumAttempts_ = 20;
  /// How fast old attempts lose their weight.
  std::chrono::milliseconds halfLife_{ 5000 };
  /// The first ejection; each further one is twice as long, up to maximumEjection_.
  std::chrono::milliseconds baseEjection_{ 5000 };
  std::chrono::milliseconds maximumEjection_{ 300000 };
  /// At most this share of the endpoints is ejected: 0.45 allows all endpoints of one failure
  /// domain in three (3 of 7), and less than half.
  double maximumShare_ = 0.45;
};

struct OutlierEjectionError
{
  std::string message_;
};

/// Keeps endpoints out of the choice that fail or are slow, by this daemon's own attempts only.
/// What endpoints report of themselves is not used: a broken one may report that it is idle.
class OutlierEjection
{
public:
  /// Fails on shares outside 0 to 1 and on an ejection time of 0.
  [[nodiscard]] static model::Result<OutlierEjection, OutlierEjectionError> Create(
    OutlierEjectionOptions aOptions);

  /// Takes the present endpoints; others are forgotten.
  void SetEndpoints(const std::vector<model::DaemonId>& aEndpoints);
  /// Takes in the end of an attempt. aLatency is without the delay of the link, or nothing when it
  /// is not comparable, as at a cold endpoint.
  void Observe(model::TimePoint aNow,
               const model::DaemonId& aEndpoint,
               AttemptVerdict aVerdict,
               std::optional<model::Duration> aLatency);

  [[nodiscard]] bool IsEjected(model::TimePoint aNow, const model::DaemonId& aEndpoint) const;
  /// Returns when the last ejection of an endpoint ended or will end, if it was ever ejected.
  [[nodiscard]] std::optional<model::TimePoint> EjectedUntil(
    const model::DaemonId& aEndpoint) const;
  [[nodiscard]] std::size_t EjectedCount(model::TimePoint aNow) const;
  /// Returns the mean latency relative to the median of the other endpoints; 1 when unknown.
  [[nodiscard]] double RelativeLatency(const model::DaemonId& aEndpoint) const;

private:
  struct History
  {
    std::uint32_t failuresInRow_ = 0;
    double attempts_ = 0;
    double failures_ = 0;
    std::optional<model::TimePoint> decayed_;
    std::optional<double> latencyNs_;
    double latencySamples_ = 0;
    std::uint32_t ejections_ = 0;
    std::optional<model::TimePoint> ejectedUntil_;
    /// Since the last ejection ended no attempt has succeeded.
    bool onProbation_ = false;
  };

  explicit OutlierEjection(const OutlierEjectionOptions& aOptions)
    : options_(aOptions)
  {
  }

  void Decay(model::TimePoint aNow, History& aHistory) const;
  void Forgive(model::TimePoint aNow, History& aHistory) const;
  [[nodiscard]] model::Duration EjectionTime(const History& aHistory) const;
  [[nodiscard]] bool FailsTooOften(const model::DaemonId& aEndpoint, const History& aHistory) const;
  [[nodiscard]] bool IsOutlier(const model::DaemonId& aEndpoint, const History& aHistory) const;
  [[nodiscard]] bool MayEject(model::TimePoint aNow) const;

  OutlierEjectionOptions options_;
  std::unordered_map<model::DaemonId, History> histories_;
};

} // namespace hemlockproxy::decisions
