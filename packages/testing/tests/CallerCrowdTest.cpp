#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include "MeshFixture.h"

using namespace hemlockproxy::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// The instance that the daemon is told to have, and the crowd. The bounds below are the instance's
// own: the whole process stays within them.
constexpr std::size_t kMemoryBytes = 40'000'000;
constexpr std::size_t kDescriptors = 160;
constexpr std::size_t kCrowd = 300;
constexpr int kRounds = 40;
constexpr std::size_t kPortion = 8192;

const std::string kSettings =
  "memory_mb: 40\ndescriptors: 160\nstall_timeout: 1s\ntraffic_spin: false\n";

/// A caller's socket that never reads and never blocks.
class CrowdSocket
{
public:
  explicit CrowdSocket(const hemlockproxy::model::Address& aServer)
    : socket_(::socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aServer.port_);
    ::inet_pton(AF_INET, aServer.ip_.c_str(), &address.sin_addr);
    (void)::connect(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  }
  CrowdSocket(CrowdSocket&& aOther) noexcept
    : socket_(std::exchange(aOther.socket_, -1))
    , left_(std::move(aOther.left_))
  {
  }
  CrowdSocket(const CrowdSocket&) = delete;
  CrowdSocket& operator=(const CrowdSocket&) = delete;
  CrowdSocket& operator=(CrowdSocket&&) = delete;
  ~CrowdSocket()
  {
    if (socket_ >= 0) {
      ::close(socket_);
    }
  }

  /// Adds the portion unless an earlier one is still unsent, and sends what the system takes.
  void Send(const std::string& aPortion)
  {
    if (left_.empty()) {
      left_ = aPortion;
    }
    const ssize_t sent = ::send(socket_, left_.data(), left_.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent > 0) {
      left_.erase(0, static_cast<std::size_t>(sent));
    }
  }

private:
  int socket_;
  std::string left_;
};

std::string Repeated(const std::string& aText, std::size_t aBytes)
{
  std::string all;
  while (all.size() < aBytes) {
    all += aText;
  }
  return all;
}

const std::string kStart = "GET /lookup HTTP/1.1\r\nHost: a\r\n";
const std::string kChunked =
  "POST /lookup HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

/// One daemon with the settings of a small instance, and callers that exceed what it can hold.
TEST_GROUP_BASE(CallerCrowd, MeshFixture){
  void setup() override{ Start({ .domains_ = { { "pe-sur-a", 1 } }, .daemonSettings_ = kSettings });
Check(cluster_->Publish(services_.Path()));
Check(cluster_->WaitUntilReady(seconds(8)));
WaitForEndpoints(Instance(), 1);
}
ClusterInstance& Instance()
{
  return cluster_->Instances()[0];
}

[[nodiscard]] std::size_t Memory()
{
  std::ifstream file("/proc/" + std::to_string(Instance().daemon_->Pid()) + "/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}
[[nodiscard]] std::size_t Descriptors()
{
  const std::filesystem::directory_iterator all("/proc/" +
                                                std::to_string(Instance().daemon_->Pid()) + "/fd");
  return static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

/// Opens the crowd; each caller sends the first bytes and then the portion again and again. Ends
/// early when a bound is exceeded, since the machine's memory is not part of the test.
void Play(const std::string& aFirst, const std::string& aPortion)
{
  std::vector<CrowdSocket> crowd;
  for (std::size_t i = 0; i < kCrowd; ++i) {
    crowd.emplace_back(Instance().caller_);
    crowd.back().Send(aFirst);
  }
  std::size_t memory = 0;
  std::size_t descriptors = 0;
  for (int round = 0; round < kRounds && memory <= kMemoryBytes; ++round) {
    if (!aPortion.empty()) {
      for (CrowdSocket& one : crowd) {
        one.Send(aPortion);
      }
    }
    std::this_thread::sleep_for(milliseconds(25));
    CHECK_TRUE(Instance().daemon_->Running());
    memory = std::max(memory, Memory());
    descriptors = std::max(descriptors, Descriptors());
  }
  UT_PRINT(("at most " + std::to_string(memory / 1000) + " kB and " + std::to_string(descriptors) +
            " descriptors")
             .c_str());
  CHECK_TRUE(memory <= kMemoryBytes);
  CHECK_TRUE(descriptors <= kDescriptors);
  // The crowd is still connected. Running requests of the crowd may fill the bounds until they
  // end, so an ordinary caller may have to ask again.
  CHECK_TRUE(OrdinaryRequestIsAnswered());
  CHECK_TRUE(Instance().daemon_->Running());
}
bool OrdinaryRequestIsAnswered()
{
  constexpr int kMostAttempts = 60;
  for (int i = 0; i < kMostAttempts; ++i) {
    const auto reply = HttpGet(Instance().caller_, "/lookup");
    if (reply && reply->status_ == 200) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(500));
  }
  return false;
}
}
;

// Guards against requests of legal size whose parsed fields take many times their bytes.
TEST(CallerCrowd, ManyShortHeaderLines)
{
  Play("GET /delay/3000 HTTP/1.1\r\nHost: a\r\n" + Repeated("x:y\r\n", 9000) + "\r\n", "");
}

// Guards against lines that are counted less than they cost: empty values and folded lines.
TEST(CallerCrowd, OddLines)
{
  Play("GET /delay/3000 HTTP/1.1\r\nHost: a\r\n" + Repeated("x:\r\ny:\t\r\n \tz\r\n", 15000) +
         "\r\n",
       "");
}

// Guards against a head that never ends and whose lines are parsed as they come.
TEST(CallerCrowd, HeadsWithoutEnd)
{
  Play(kStart, Repeated("x:y\r\n", kPortion));
}

// Guards against one header line that never ends.
TEST(CallerCrowd, LinesWithoutEnd)
{
  Play(kStart + "x:", std::string(kPortion, 'y'));
}

// Guards against empty lines before a request that no bound counts.
TEST(CallerCrowd, EmptyLinesWithoutEnd)
{
  Play("\r\n", Repeated("\r\n", kPortion));
}

// Guards against a chunk extension that never ends, and so is buffered.
TEST(CallerCrowd, ChunkExtensionsWithoutEnd)
{
  Play(kChunked + "1;", std::string(kPortion, 'e'));
}

// Guards against trailer lines that cost more than the head was allowed to.
TEST(CallerCrowd, TrailersWithoutEnd)
{
  Play(kChunked + "0\r\n", Repeated("x:y\r\n", kPortion));
}

// Guards against connections that are only held.
TEST(CallerCrowd, IdleConnections)
{
  Play("", "");
}

// Guards against responses that are held for callers that never read them.
TEST(CallerCrowd, ResponsesThatNobodyReads)
{
  Play(Repeated("GET /bytes/60000 HTTP/1.1\r\nHost: a\r\n\r\n", 600), "");
}
