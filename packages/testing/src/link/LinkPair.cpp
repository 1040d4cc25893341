#include "link/LinkPair.h"

#include <array>
#include <cmath>
#include <sstream>

namespace hemlockproxy::testing {

namespace {

constexpr std::size_t kSegmentBytes = 1460;
/// The least retransmission time of Linux TCP.
constexpr std::chrono::milliseconds kRetransmission{ 200 };

using Field = FaultField<LinkFaults>;

const std::array kTable{
  Field{ "delay_ms", &LinkFaults::delayMs_, "milliseconds one way" },
  Field{ "jitter_ms", &LinkFaults::jitterMs_, "milliseconds: up to this much is added at random" },
  Field{ "loss",
         &LinkFaults::loss_,
         "0 to 1: share of datagrams dropped; of TCP segments delayed by 200 ms" },
  Field{ "cut", &LinkFaults::cut_, "0|1: drop datagrams and hold TCP bytes silently" },
  Field{ "reset", &LinkFaults::reset_, "0|1: reset TCP connections and drop datagrams" },
};

std::string Render(const LinkCounters& aCounters)
{
  return "{ bytes: " + std::to_string(aCounters.bytes_) +
         ", packets: " + std::to_string(aCounters.packets_) +
         ", lost: " + std::to_string(aCounters.lost_) + " }\n";
}

} // namespace

std::span<const FaultField<LinkFaults>> LinkFaultTable() noexcept
{
  return kTable;
}

LinkPair::LinkPair(LinkProtocol aProtocol, std::string aTarget, std::uint64_t aSeed)
  : protocol_(aProtocol)
  , target_(std::move(aTarget))
  , faultsByPrefix_{ { "", LinkFaults{} } }
  , random_(aSeed)
{
}

const LinkFaults& LinkPair::FaultsFor(const std::string& aClientIp) const
{
  // A prefix of the text sorts before it and after every shorter prefix.
  auto found = faultsByPrefix_.upper_bound(aClientIp);
  do {
    --found;
  } while (!aClientIp.starts_with(found->first));
  return found->second;
}

const LinkFaults& LinkPair::FaultsOf(const std::string& aPrefix) const
{
  return FaultsFor(aPrefix);
}

void LinkPair::SetFaults(const std::string& aPrefix, const LinkFaults& aFaults)
{
  faultsByPrefix_[aPrefix] = aFaults;
}

model::TimePoint LinkPair::ChunkArrival(const std::string& aClientIp,
                                        LinkDirection aDirection,
                                        std::size_t aBytes)
{
  const LinkFaults& faults = FaultsFor(aClientIp);
  const std::size_t segments = (aBytes + kSegmentBytes - 1) / kSegmentBytes;
  LinkCounters& counters = Counters(aDirection);
  counters.bytes_ += aBytes;
  counters.packets_ += segments;
  model::TimePoint arrival = std::chrono::steady_clock::now() + Delay(faults);
  if (Chance(1 - std::pow(1 - faults.loss_, static_cast<double>(segments)))) {
    ++counters.lost_;
    arrival += kRetransmission;
  }
  return arrival;
}

std::optional<model::TimePoint> LinkPair::DatagramArrival(const std::string& aClientIp,
                                                          LinkDirection aDirection,
                                                          std::size_t aBytes)
{
  const LinkFaults& faults = FaultsFor(aClientIp);
  LinkCounters& counters = Counters(aDirection);
  counters.bytes_ += aBytes;
  ++counters.packets_;
  if (faults.cut_ || faults.reset_ || Chance(faults.loss_)) {
    ++counters.lost_;
    return std::nullopt;
  }
  return std::chrono::steady_clock::now() + Delay(faults);
}

std::string LinkPair::Stats() const
{
  std::string text = "  - pair: " + name_ + "\n    target: " + target_ +
                     "\n    protocol: " + (protocol_ == LinkProtocol::Tcp ? "tcp" : "udp") +
                     "\n    clients: " + std::to_string(clients_) + "\n    up: " + Render(up_) +
                     "    down: " + Render(down_) + "    faults:\n";
  for (const auto& [prefix, faults] : faultsByPrefix_) {
    text += "      - { from: '" + prefix + "'";
    std::istringstream lines(RenderFaults(LinkFaultTable(), faults));
    for (std::string line; std::getline(lines, line);) {
      text += ", " + line;
    }
    text += " }\n";
  }
  return text;
}

model::Duration LinkPair::Delay(const LinkFaults& aFaults)
{
  model::Duration delay = std::chrono::milliseconds(aFaults.delayMs_);
  if (aFaults.jitterMs_ > 0) {
    const model::Duration most = std::chrono::milliseconds(aFaults.jitterMs_);
    delay += model::Duration(
      std::uniform_int_distribution<model::Duration::rep>(0, most.count())(random_));
  }
  return delay;
}

bool LinkPair::Chance(double aProbability)
{
  return aProbability > 0 && std::bernoulli_distribution(std::min(1.0, aProbability))(random_);
}

LinkCounters& LinkPair::Counters(LinkDirection aDirection) noexcept
{
  return aDirection == LinkDirection::Up ? up_ : down_;
}

} // namespace hemlockproxy::testing
