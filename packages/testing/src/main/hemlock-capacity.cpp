// Measures the control traffic and the cost of membership and distribution in virtual time.
// Prints one line per figure: figure NAME VALUE UNIT.

#include "MeshDriver.h"

#include "hemlockproxy/wire/DistributionCodec.h"
#include "hemlockproxy/wire/MembershipCodec.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <malloc.h>
#include <string>
#include <vector>

using namespace hemlockproxy;
using namespace hemlockproxy::decisions;
using namespace hemlockproxy::decisions::tests;

namespace {

constexpr std::size_t kUdpHeader = 28;
/// Headers of HTTP and of about six TCP segments; an assumption, not measured.
constexpr std::size_t kHttpOverhead = 500;
constexpr std::int64_t kWallMs = 1764800000000;

void Print(const std::string& aName, double aValue, const char* aUnit)
{
  std::printf("figure %s %.3f %s\n", aName.c_str(), aValue, aUnit);
}

std::size_t EncodedSize(const Payload& aPayload)
{
  const model::HybridTimestamp stamp{ kWallMs, 1 };
  if (const auto* datagram = std::get_if<Datagram>(&aPayload)) {
    Datagram stamped = *datagram;
    stamped.stamp_ = stamp;
    return wire::EncodeDatagram(stamped).size() + kUdpHeader;
  }
  if (const auto* notice = std::get_if<Notice>(&aPayload)) {
    return wire::EncodeNotice(*notice, notice->version_, stamp).size() + kUdpHeader;
  }
  if (const auto* ack = std::get_if<NoticeAck>(&aPayload)) {
    return wire::EncodeNoticeAck(*ack, ack->version_, stamp).size() + kUdpHeader;
  }
  if (const auto* request = std::get_if<SyncRequest>(&aPayload)) {
    return wire::EncodeSyncRequest(*request).size() + kHttpOverhead;
  }
  if (const auto* response = std::get_if<SyncResponse>(&aPayload)) {
    return wire::EncodeSyncResponse(*response).size() + kHttpOverhead;
  }
  if (const auto* request = std::get_if<FetchRequest>(&aPayload)) {
    return wire::EncodeFetchRequest(*request).size() + kHttpOverhead;
  }
  return wire::EncodeFetchResponse(std::get<FetchResponse>(aPayload)).size() + kHttpOverhead;
}

/// Counts the bytes of each member, sent and received, in total and in the worst second.
class Meter
{
public:
  explicit Meter(Mesh& aMesh)
    : mesh_(aMesh)
  {
    Reset();
    mesh_.onSend_ = [this](std::size_t aFrom, std::size_t aTo, const Payload& aPayload) {
      const std::size_t size = EncodedSize(aPayload);
      if (std::holds_alternative<Datagram>(aPayload)) {
        largest_ = std::max(largest_, size - kUdpHeader);
      }
      Add(aFrom, size);
      Add(aTo, size);
      ++messages_;
    };
  }

  void Reset()
  {
    total_.assign(mesh_.Size(), 0);
    inSecond_.assign(mesh_.Size(), 0);
    peak_.assign(mesh_.Size(), 0);
    messages_ = 0;
    since_ = second_ = mesh_.Now();
    cpuSince_ = std::clock();
  }

  [[nodiscard]] double Seconds() const
  {
    return std::chrono::duration<double>(mesh_.Now() - since_).count();
  }
  /// Returns bytes per second of the member at a rank from 0 (least) to 1 (busiest).
  [[nodiscard]] double Rate(double aRank) const { return At(total_, aRank) / Seconds(); }
  [[nodiscard]] double Peak() const { return At(peak_, 1.0); }
  [[nodiscard]] double Bytes(std::size_t aNode) const { return static_cast<double>(total_[aNode]); }
  [[nodiscard]] double Sum() const
  {
    double sum = 0;
    for (const std::size_t bytes : total_) {
      sum += static_cast<double>(bytes);
    }
    return sum;
  }
  [[nodiscard]] double MessagesPerMember() const
  {
    return 2.0 * static_cast<double>(messages_) / Seconds() / static_cast<double>(mesh_.Size());
  }
  [[nodiscard]] double CpuMicros() const
  {
    constexpr double kMicros = 1e6;
    const double used = static_cast<double>(std::clock() - cpuSince_) / CLOCKS_PER_SEC;
    return used * kMicros / Seconds() / static_cast<double>(mesh_.Size());
  }
  [[nodiscard]] std::size_t LargestDatagram() const noexcept { return largest_; }

private:
  static double At(std::vector<std::size_t> aBytes, double aRank)
  {
    std::sort(aBytes.begin(), aBytes.end());
    return static_cast<double>(
      aBytes[static_cast<std::size_t>(aRank * static_cast<double>(aBytes.size() - 1))]);
  }
  void Add(std::size_t aNode, std::size_t aBytes)
  {
    if (mesh_.Now() - second_ >= 1s) {
      second_ = mesh_.Now();
      std::fill(inSecond_.begin(), inSecond_.end(), 0);
    }
    total_[aNode] += aBytes;
    inSecond_[aNode] += aBytes;
    peak_[aNode] = std::max(peak_[aNode], inSecond_[aNode]);
  }

  Mesh& mesh_;
  std::vector<std::size_t> total_;
  std::vector<std::size_t> inSecond_;
  std::vector<std::size_t> peak_;
  std::size_t messages_ = 0;
  std::size_t largest_ = 0;
  model::TimePoint since_;
  model::TimePoint second_;
  std::clock_t cpuSince_ = 0;
};

/// Starts all members with complete tables and one configuration of 37 services.
void StartAtRest(Mesh& aMesh)
{
  constexpr int kServices = 37;
  for (int i = 0; i < kServices; ++i) {
    (void)aMesh.Publish();
  }
  aMesh.warmStart_ = true;
  aMesh.StartAll();
  aMesh.RunFor(20s);
  aMesh.warmStart_ = false;
}

/// Runs until the condition holds; returns the seconds that it took, or -1 when it did not.
template <typename Condition>
double TimeUntil(Mesh& aMesh, model::Duration aLimit, model::Duration aStep, Condition aCondition)
{
  const model::TimePoint start = aMesh.Now();
  while (!aCondition()) {
    if (aMesh.Now() - start > aLimit) {
      return -1.0;
    }
    aMesh.RunFor(aStep);
  }
  return std::chrono::duration<double>(aMesh.Now() - start).count();
}

double TimeToTables(Mesh& aMesh, std::size_t aMembers)
{
  return TimeUntil(aMesh, 60s, 2s, [&] { return aMesh.CountCompleteTables() == aMembers; });
}

void MeasureRest(Mesh& aMesh, Meter& aMeter, const std::string& aName)
{
  aMeter.Reset();
  aMesh.RunFor(20s);
  Print(aName + ".rest.busiest", aMeter.Rate(1.0), "B/s");
  Print(aName + ".rest.median", aMeter.Rate(0.5), "B/s");
  Print(aName + ".rest.messages_per_member", aMeter.MessagesPerMember(), "1/s");
  Print(aName + ".rest.cpu_per_member", aMeter.CpuMicros(), "us/s");
}

void MeasureVersions(Mesh& aMesh, Meter& aMeter, const std::string& aName)
{
  constexpr double kIdleSeconds = 5.0;
  for (const unsigned loss : { 0U, 1U }) {
    const std::string prefix = aName + ".version.loss" + std::to_string(loss);
    aMesh.lossPercent_ = loss;
    aMeter.Reset();
    aMesh.RunFor(5s);
    const double idlePerSecond = aMeter.Sum() / kIdleSeconds;
    aMeter.Reset();
    const model::ConfigVersion version = aMesh.Publish();
    const double seconds =
      TimeUntil(aMesh, 60s, 100ms, [&] { return aMesh.CountEnforcing(version) == aMesh.Size(); });
    aMesh.RunFor(2s);
    Print(prefix + ".time_to_all", seconds, "s");
    const double extra = aMeter.Sum() - idlePerSecond * aMeter.Seconds();
    Print(prefix + ".bytes_per_member", extra / static_cast<double>(aMesh.Size()), "B");
  }
  aMesh.lossPercent_ = 0;
}

/// 1 failure and 12 restarts in 36 seconds: the daily mix of 4 and 50 at about 600 times the rate.
void MeasureChurn(Mesh& aMesh, Meter& aMeter, const std::string& aName)
{
  constexpr std::size_t kRestarts = 12;
  const std::size_t failed = aMesh.Size() - 1;
  aMeter.Reset();
  aMesh.Kill(failed);
  for (std::size_t i = 0; i < kRestarts; ++i) {
    const std::size_t node = i * aMesh.Size() / (kRestarts + 1) + 1;
    aMesh.Kill(node);
    aMesh.RunFor(1s);
    aMesh.Start(node);
    aMesh.RunFor(2s);
  }
  Print(aName + ".churn600x.busiest", aMeter.Rate(1.0), "B/s");
  Print(aName + ".churn600x.median", aMeter.Rate(0.5), "B/s");
  aMesh.Start(failed);
  aMeter.Reset();
  Print(aName + ".join.time_to_all_tables", TimeToTables(aMesh, aMesh.Size()), "s");
  Print(aName + ".join.bytes_of_joiner", aMeter.Bytes(failed), "B");
}

void MeasureRackLoss(Mesh& aMesh, Meter& aMeter, const std::string& aName)
{
  constexpr std::size_t kRack = 20;
  for (std::size_t i = 1; i <= kRack; ++i) {
    aMesh.Kill(i);
  }
  aMeter.Reset();
  Print(aName + ".rack.time_to_all_tables", TimeToTables(aMesh, aMesh.Size() - kRack), "s");
  Print(aName + ".rack.busiest", aMeter.Rate(1.0), "B/s");
  Print(aName + ".rack.peak_second", aMeter.Peak(), "B");
}

/// The first domain is cut off for a minute in which its lost rack comes back, then returns.
void MeasureDomainReturn(Mesh& aMesh, Meter& aMeter, const std::string& aName, std::size_t aDomains)
{
  const auto cut = [&](bool aCut) {
    for (std::size_t i = 1; i < aDomains; ++i) {
      aMesh.SetCut(0, i, aCut);
    }
  };
  cut(true);
  for (std::size_t i = 0; i < aMesh.Size(); ++i) {
    if (!aMesh.Up(i)) {
      aMesh.Start(i);
    }
  }
  aMesh.RunFor(60s);
  cut(false);
  aMeter.Reset();
  Print(aName + ".domain_return.time_to_all_tables", TimeToTables(aMesh, aMesh.Size()), "s");
  Print(aName + ".domain_return.busiest", aMeter.Rate(1.0), "B/s");
  Print(aName + ".domain_return.peak_second", aMeter.Peak(), "B");
}

/// All members of the first domain restart at once without any state.
void MeasureDomainRestart(Mesh& aMesh, Meter& aMeter, const std::string& aName, std::size_t aCount)
{
  for (std::size_t i = 0; i < aCount; ++i) {
    aMesh.Kill(i);
  }
  aMesh.RunFor(5s);
  for (std::size_t i = 0; i < aCount; ++i) {
    aMesh.Start(i);
  }
  aMeter.Reset();
  Print(aName + ".domain_restart.time_to_all_tables", TimeToTables(aMesh, aMesh.Size()), "s");
  Print(aName + ".domain_restart.busiest", aMeter.Rate(1.0), "B/s");
  Print(aName + ".domain_restart.median", aMeter.Rate(0.5), "B/s");
  Print(aName + ".domain_restart.peak_second", aMeter.Peak(), "B");
}

void MeasureMemory(Mesh& aMesh, const std::string& aName)
{
  SyncTable table{ aMesh.At(1).id_, {}, aMesh.At(1).membership_->Members(), {}, {}, {} };
  const std::string bytes = wire::EncodeSyncResponse(table);
  const auto members = static_cast<double>(aMesh.Size());
  Print(aName + ".sync.bytes_per_record", static_cast<double>(bytes.size()) / members, "B");
  MembershipOptions options;
  options.control_ = { "10.9.9.9", 7000 };
  options.id_ = model::DaemonId(model::ToString(options.control_));
  options.region_ = model::Region("pe-sur");
  options.domain_ = Mesh::Domain(0);
  auto membership = *Membership::Create(options);
  model::RandomSource random(1);
  const auto before = mallinfo2().uordblks;
  {
    auto decoded = *wire::DecodeSyncResponse(bytes);
    (void)membership.Handle(
      SyncResponded{ aMesh.At(1).address_, std::move(decoded) }, aMesh.Now(), random);
  }
  const auto after = mallinfo2().uordblks;
  Print(aName + ".memory_per_record", static_cast<double>(after - before) / members, "B");
}

void MeasureLargeMesh()
{
  constexpr std::size_t kDomains = 4;
  constexpr std::size_t kPerDomain = 238;
  const std::string name = "mesh950";
  {
    Mesh mesh(MeshOptions{ kDomains, kPerDomain, Profile::Frugal });
    Meter meter(mesh);
    StartAtRest(mesh);
    MeasureVersions(mesh, meter, name + ".frugal");
  }
  Mesh mesh(MeshOptions{ kDomains, kPerDomain, Profile::Fast });
  Meter meter(mesh);
  StartAtRest(mesh);
  MeasureRest(mesh, meter, name);
  MeasureVersions(mesh, meter, name + ".fast");
  MeasureMemory(mesh, name);
  MeasureChurn(mesh, meter, name);
  MeasureRackLoss(mesh, meter, name);
  MeasureDomainReturn(mesh, meter, name, kDomains);
  MeasureDomainRestart(mesh, meter, name, kPerDomain);
  Print(name + ".largest_datagram", static_cast<double>(meter.LargestDatagram()), "B");
}

} // namespace

int main()
{
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  for (const std::size_t size : { 10, 30, 100, 240 }) {
    const std::string name = "domain" + std::to_string(size);
    Mesh mesh(MeshOptions{ 1, size });
    Meter meter(mesh);
    StartAtRest(mesh);
    MeasureRest(mesh, meter, name);
    MeasureVersions(mesh, meter, name + ".fast");
  }
  MeasureLargeMesh();
  return 0;
}
