#pragma once

#include "hemlockproxy/decisions/AttemptResult.h"
#include "hemlockproxy/decisions/EndpointPicker.h"
#include "hemlockproxy/decisions/OutlierEjection.h"
#include "hemlockproxy/model/Clock.h"
#include "hemlockproxy/model/Ids.h"
#include "hemlockproxy/model/RequestOutcome.h"
#include "hemlockproxy/model/Result.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hemlockproxy::decisions {

/// The price of a link to another failure domain.
struct LinkCost
{
  std::chrono::microseconds oneWayDelay_{ 4000 };
  /// How much waiting in the own domain is preferred to the link: 1 weighs the round trip by its
  /// time only.
  double factor_ = 1;
};

/// An endpoint of the service, as listed in the member table.
struct EndpointEntry
{
  model::DaemonId id_;
  model::FailureDomain domain_;
  std::uint32_t slots_ = 1;
  /// False while the daemon is suspect or leaving or the backend server drains.
  bool takesWork_ = true;
};

enum class DomainRule : std::uint8_t
{
  /// All endpoints are equal; only useful as a baseline.
  Ignore,
  /// The own failure domain first; others when the estimated wait is longer than the link costs.
  OwnFirst,
};

struct EndpointChooserOptions
{
  model::FailureDomain ownDomain_;
  DomainRule domainRule_ = DomainRule::OwnFirst;
  /// Links to other failure domains, and the one for those that are not listed.
  std::map<model::FailureDomain, LinkCost> links_;
  LinkCost defaultLink_;
  /// A new endpoint starts with a tenth of its slots and reaches all of them after this time.
  std::chrono::milliseconds warmUp_{ 10000 };
  /// The age at which a load report counts half.
  std::chrono::milliseconds reportHalfLife_{ 1000 };
  /// A failed attempt counts as work in progress for this time, so that failing fast does not look
  /// like having free slots.
  std::chrono::milliseconds failureHold_{ 1000 };
  /// The same for a refused attempt, since the load report of a full endpoint has little weight.
  std::chrono::milliseconds refusalHold_{ 200 };
  /// An endpoint that rejected a request as leaving gets no more for this time; by then the member
  /// table says so too.
  std::chrono::milliseconds leavingHold_{ 5000 };
  /// Ejections are ignored when less than this share of the endpoints would be left.
  double panicShare_ = 0.5;
  /// Nothing means no ejection.
  std::optional<OutlierEjectionOptions> ejection_ = OutlierEjectionOptions{};
  /// Null means two random choices.
  std::unique_ptr<EndpointPicker> picker_;
  /// Null means own work and a little of the reports, times the relative latency.
  std::unique_ptr<LoadScore> score_;
};

struct EndpointChooserError
{
  std::string message_;
};

/// Where to send an attempt.
struct EndpointChoice
{
  model::DaemonId endpoint_;
  bool otherDomain_ = false;
};

/// Chooses an endpoint of one service for each attempt of an entry's requests.
///
///     auto choice = chooser.Choose(now, random, tried);
///     if (!choice) { return NotRun(choice.Error()); }
///     ...
///     chooser.Finish(now, { choice->endpoint_, AttemptVerdict::Success, latency, load });
class EndpointChooser
{
public:
  /// Fails on bad ejection options.
  [[nodiscard]] static model::Result<EndpointChooser, EndpointChooserError> Create(
    EndpointChooserOptions aOptions);

  /// Takes the endpoints that the member table lists. The endpoints of the first call count as
  /// warm, since this entry may have just started; later ones as cold.
  void SetEndpoints(model::TimePoint aNow, const std::vector<EndpointEntry>& aEndpoints);
  /// Keeps an endpoint out of the choice while this daemon cannot reach it, however many others are
  /// kept out; does nothing for an endpoint that is not listed.
  void SetReachable(const model::DaemonId& aEndpoint, bool aReachable);
  /// Chooses an endpoint that is not in aTried and counts the attempt as in progress; the error is
  /// NoEndpoint.
  [[nodiscard]] model::Result<EndpointChoice, model::RefusalReason> Choose(
    model::TimePoint aNow,
    model::RandomSource& aRandom,
    const std::vector<model::DaemonId>& aTried = {});
  /// Returns whether Choose would find an endpoint.
  [[nodiscard]] bool CanChoose(model::TimePoint aNow,
                               const std::vector<model::DaemonId>& aTried) const;
  /// Takes in the end of an attempt that Choose started.
  void Finish(model::TimePoint aNow, const AttemptResult& aResult);

  [[nodiscard]] std::size_t EjectedCount(model::TimePoint aNow) const;
  /// Returns the mean latency of successful attempts without the links; 0 before the first.
  [[nodiscard]] model::Duration MeanLatency() const noexcept;

private:
  struct State
  {
    EndpointEntry entry_;
    LinkCost link_;
    bool own_ = false;
    model::TimePoint warmSince_{};
    bool warm_ = true;
    std::uint32_t inProgress_ = 0;
    double reported_ = 0;
    double othersAtReport_ = 0;
    std::optional<model::TimePoint> reportedAt_;
    model::TimePoint leavingUntil_{};
    bool reachable_ = true;
    /// Ends of the times for which failed attempts count as work.
    std::deque<model::TimePoint> held_;
  };
  using StateList = std::vector<State*>;

  EndpointChooser(EndpointChooserOptions aOptions, std::optional<OutlierEjection> aEjection);

  /// Returns whether an endpoint can be sent work at all.
  [[nodiscard]] static bool IsOpen(model::TimePoint aNow, const State& aState) noexcept;
  [[nodiscard]] State MakeState(model::TimePoint aNow, const EndpointEntry& aEntry) const;
  [[nodiscard]] StateList Candidates(model::TimePoint aNow,
                                     const std::vector<model::DaemonId>& aTried);
  [[nodiscard]] double Warmth(model::TimePoint aNow, const State& aState) const;
  [[nodiscard]] EndpointLoad LoadOf(model::TimePoint aNow, State& aState) const;
  [[nodiscard]] State* PickFrom(model::TimePoint aNow,
                                model::RandomSource& aRandom,
                                const StateList& aStates);
  [[nodiscard]] State* PickByDomain(model::TimePoint aNow,
                                    model::RandomSource& aRandom,
                                    const StateList& aStates);
  /// Counts an ended attempt as work until then.
  static void Hold(State& aState, model::TimePoint aUntil);
  /// Returns the estimated wait at an endpoint plus the price of its link.
  [[nodiscard]] double PriceNs(model::TimePoint aNow, State& aState) const;

  EndpointChooserOptions options_;
  std::optional<OutlierEjection> ejection_;
  std::map<model::DaemonId, State> states_;
  bool listed_ = false;
  std::optional<double> meanLatencyNs_;
};

} // namespace hemlockproxy::decisions
