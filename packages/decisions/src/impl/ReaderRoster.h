#pragma once

#include "hemlockproxy/decisions/Distribution.h"

#include <map>
#include <vector>

namespace hemlockproxy::decisions::impl {

/// Decides whether this daemon reads the log for its failure domain.
///
/// The members are ranked by rendezvous hash. A member reads when fewer than logReaders_ members of
/// better rank are known to read. The live members alone do not tell that: one may have stopped
/// without notice, lost the log or not have begun.
class ReaderRoster
{
public:
  /// The options must outlive the roster.
  explicit ReaderRoster(const DistributionOptions& aOptions)
    : options_(aOptions)
  {
  }

  /// Takes the live members of the own domain, this daemon included.
  void SetMembers(model::TimePoint aNow, const std::vector<model::DaemonId>& aMembers);
  /// A member reported that it reads the log, or that it cannot.
  void Reported(model::TimePoint aNow, const model::DaemonId& aId, bool aReads);

  /// Returns whether this daemon reads the log; aReading tells whether it does so now.
  [[nodiscard]] bool ShouldRead(model::TimePoint aNow, bool aReading) const;
  /// Returns the place of this daemon in the ranking; the ranking's length when it has none.
  [[nodiscard]] std::size_t Rank() const noexcept { return rank_; }
  /// Returns the members that the reports of this daemon are sent to.
  [[nodiscard]] std::vector<model::DaemonId> Receivers() const;
  /// Returns the members without a rank to which this daemon passes on the reports of others. Each
  /// of them is served by two members, since one may stand still.
  [[nodiscard]] const std::vector<model::DaemonId>& Followers() const noexcept
  {
    return followers_;
  }

private:
  struct Reader
  {
    /// Until then the member is taken to read.
    model::TimePoint until_;
    bool reported_ = false;
  };

  void AssignFollowers(const std::vector<model::DaemonId>& aMembers);

  const DistributionOptions& options_;
  std::vector<model::DaemonId> ranking_;
  std::size_t rank_ = 0;
  std::vector<model::DaemonId> followers_;
  std::map<model::DaemonId, Reader> readers_;
};

} // namespace hemlockproxy::decisions::impl
