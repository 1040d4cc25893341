#pragma once

#include "hemlockproxy/model/Clock.h"
#include "hemlockproxy/testing/FaultTable.h"

#include <cstddef>
#include <optional>

namespace hemlockproxy::testing {

/// The settable properties of a link; each applies to both directions.
struct LinkFaults
{
  std::int64_t delayMs_ = 0;
  std::int64_t jitterMs_ = 0;
  double loss_ = 0;
  bool cut_ = false;
  bool reset_ = false;
};

[[nodiscard]] std::span<const FaultField<LinkFaults>> LinkFaultTable() noexcept;

enum class LinkProtocol : std::uint8_t
{
  Tcp,
  Udp,
};

/// Up is from the client to the target.
enum class LinkDirection : std::uint8_t
{
  Up,
  Down,
};

/// What passed in one direction; payload bytes without packet headers.
struct LinkCounters
{
  std::uint64_t bytes_ = 0;
  std::uint64_t packets_ = 0;
  std::uint64_t lost_ = 0;
};

/// One listening address with its target, faults and counters; used by one thread.
class LinkPair
{
public:
  LinkPair(LinkProtocol aProtocol, std::string aTarget, std::uint64_t aSeed);

  /// Sets the name once the port is bound; it equals the listening address.
  void SetName(std::string aName) { name_ = std::move(aName); }
  [[nodiscard]] const std::string& Name() const noexcept { return name_; }
  [[nodiscard]] LinkProtocol Protocol() const noexcept { return protocol_; }

  /// Returns the faults for a client by the longest matching prefix of its IP number.
  [[nodiscard]] const LinkFaults& FaultsFor(const std::string& aClientIp) const;
  /// Returns the faults of exactly this prefix, or those it would inherit.
  [[nodiscard]] const LinkFaults& FaultsOf(const std::string& aPrefix) const;
  void SetFaults(const std::string& aPrefix, const LinkFaults& aFaults);

  /// Returns when a TCP chunk arrives at the other end; a lost segment adds a retransmission.
  [[nodiscard]] model::TimePoint ChunkArrival(const std::string& aClientIp,
                                              LinkDirection aDirection,
                                              std::size_t aBytes);
  /// Returns when a datagram arrives at the other end, or nothing when it is lost.
  [[nodiscard]] std::optional<model::TimePoint> DatagramArrival(const std::string& aClientIp,
                                                                LinkDirection aDirection,
                                                                std::size_t aBytes);
  void CountClient() noexcept { ++clients_; }

  /// Returns the pair's faults and counters as YAML below a list item.
  [[nodiscard]] std::string Stats() const;

private:
  [[nodiscard]] model::Duration Delay(const LinkFaults& aFaults);
  [[nodiscard]] bool Chance(double aProbability);
  LinkCounters& Counters(LinkDirection aDirection) noexcept;

  LinkProtocol protocol_;
  std::string name_;
  std::string target_;
  std::map<std::string, LinkFaults> faultsByPrefix_;
  LinkCounters up_;
  LinkCounters down_;
  std::uint64_t clients_ = 0;
  model::RandomSource random_;
};

} // namespace hemlockproxy::testing
