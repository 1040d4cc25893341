#pragma once

#include "hemlockproxy/daemon/PlatformThread.h"
#include "hemlockproxy/decisions/ClaimResolver.h"
#include "hemlockproxy/wire/ClaimsCodec.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hemlockproxy::daemon {

/// The number of claims streams in the log. Every daemon of a mesh must use the same number.
inline constexpr std::size_t kClaimShards = 4;

/// The path of claim calls on the control address.
inline constexpr const char* kClaimsPath = "/control/claims";

/// Returns the members that resolve the claims of a shard in this failure domain, in order of
/// preference.
[[nodiscard]] std::vector<model::DaemonId> ChooseResolvers(
  std::size_t aShard,
  const std::vector<model::DaemonId>& aLive);

/// Resolves claims for the entries of the failure domain. Used on the control thread.
class ClaimService
{
public:
  using Submit = std::function<bool(LogCommand)>;

  /// All tickets from aFirstTicket on belong to the service.
  ClaimService(LogTicket aFirstTicket, Submit aSubmit);
  ~ClaimService();
  ClaimService(const ClaimService&) = delete;
  ClaimService& operator=(const ClaimService&) = delete;

  /// Starts resolvers for the shards that this daemon is chosen for, and ends idle ones that it is
  /// not chosen for.
  void AssignShards(const model::DaemonId& aSelf, const std::vector<model::DaemonId>& aLive);
  /// Handles a claim call; suspends the fiber until the answer is there.
  [[nodiscard]] std::optional<std::string> HandleCall(const std::string& aBody);
  /// Takes in a log result; returns false when the ticket is another part's.
  [[nodiscard]] bool Finish(const LogReadResult& aResult);
  [[nodiscard]] bool Finish(const LogAppendResult& aResult);
  void Tick(model::TimePoint aNow);

private:
  struct Shard;

  void StartTicker();
  [[nodiscard]] bool Waiting() const noexcept;
  [[nodiscard]] Shard& Open(std::size_t aShard);
  void Feed(std::size_t aShard, const decisions::ResolverEvent& aEvent);
  void Execute(std::size_t aShard, const decisions::ResolverAction& aAction);
  [[nodiscard]] LogTicket TicketOf(std::size_t aShard, std::size_t aBank) const noexcept;
  /// Returns the shard that a ticket of a bank belongs to; nothing for other tickets.
  [[nodiscard]] std::optional<std::size_t> ShardOfTicket(LogTicket aTicket,
                                                         std::size_t aBank) const noexcept;
  [[nodiscard]] bool IsCurrent(LogTicket aTicket, std::size_t aShard) const noexcept;

  LogTicket firstTicket_;
  Submit submit_;
  std::map<std::size_t, std::unique_ptr<Shard>> shards_;
  /// Numbers the resolvers, so that a result for an ended one does not reach its successor.
  std::uint64_t generation_ = 0;
  bool ticking_ = false;
};

} // namespace hemlockproxy::daemon
