#include "EndlessForms.h"
#include "InvariantFixture.h"

#include <algorithm>
#include <array>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace hemlockproxy;
using namespace hemlockproxy::testing;
using runtime::test::EndlessForm;

namespace {

/// The bound of the whole process, which the settings state.
constexpr std::size_t kMemoryBytes = 40'000'000;
constexpr std::size_t kCallers = 24;
constexpr milliseconds kPlayed{ 700 };

std::string Escaped(const std::string& aBytes)
{
  constexpr std::array kDigits = { '0', '1', '2', '3', '4', '5', '6', '7',
                                   '8', '9', 'A', 'B', 'C', 'D', 'E', 'F' };
  std::string text;
  for (const char byte : aBytes) {
    const auto value = static_cast<unsigned char>(byte);
    text += { '%', kDigits[value / kDigits.size()], kDigits[value % kDigits.size()] };
  }
  return text;
}

/// A caller that sends a request and reads nothing.
class SilentCaller
{
public:
  SilentCaller(const model::Address& aDaemon, const std::string& aRequest)
    : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aDaemon.port_);
    ::inet_pton(AF_INET, aDaemon.ip_.c_str(), &address.sin_addr);
    (void)::connect(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    (void)!::send(socket_, aRequest.data(), aRequest.size(), MSG_NOSIGNAL);
  }
  SilentCaller(SilentCaller&& aOther) noexcept
    : socket_(std::exchange(aOther.socket_, -1))
  {
  }
  SilentCaller(const SilentCaller&) = delete;
  SilentCaller& operator=(const SilentCaller&) = delete;
  SilentCaller& operator=(SilentCaller&&) = delete;
  ~SilentCaller()
  {
    if (socket_ >= 0) {
      ::close(socket_);
    }
  }

private:
  int socket_;
};

} // namespace

/// Three instances of which each backend server may send bytes without end; the daemons are told to
/// have little memory.
TEST_GROUP_BASE(EndlessBackend, InvariantFixture)
{
  void setup() override
  {
    Start({ .domains_ = { { "leith", 2 }, { "gorgie", 1 } },
            .daemonSettings_ = "memory_mb: 40\ndescriptors: 400\ntraffic_spin: false\n" });
    Check(cluster_->Publish(FolderWith("endless",
                                       "service: bitacora\nroutes:\n"
                                       "  - prefix: /endless\n    timeout: 1s\n"
                                       "  - prefix: /\n    timeout: 3s\n")));
    Check(cluster_->WaitUntilReady(kConvergence));
    CHECK_TRUE(OthersAreServed());
  }

  [[nodiscard]] static std::size_t MemoryOf(const ClusterInstance& aInstance)
  {
    std::ifstream file("/proc/" + std::to_string(aInstance.daemon_->Pid()) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  }
  [[nodiscard]] bool OthersAreServed() const
  {
    return std::all_of(Instances().begin(), Instances().end(), [](const ClusterInstance& aOne) {
      return Within(kConvergence, [&aOne] {
        const auto reply = HttpGet(aOne.caller_, "/bytes/100");
        return reply && reply->status_ == 200;
      });
    });
  }
  /// Lets callers ask all daemons for an answer without end, and checks the memory meanwhile.
  void Play(const EndlessForm& aForm, const std::string& aMethod)
  {
    const std::string request = aMethod + " /endless?start=" + Escaped(aForm.start_) +
                                "&repeated=" + Escaped(aForm.repeated_.substr(0, 64)) +
                                " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
    std::vector<SilentCaller> callers;
    for (std::size_t i = 0; i < kCallers; ++i) {
      callers.emplace_back(Instances()[i % Instances().size()].caller_, request);
    }
    const auto end = std::chrono::steady_clock::now() + kPlayed;
    while (std::chrono::steady_clock::now() < end) {
      for (ClusterInstance& instance : Instances()) {
        CHECK_TRUE_TEXT(instance.daemon_->Running(), aForm.name_);
        highest_ = std::max(highest_, MemoryOf(instance));
        CHECK_TRUE_TEXT(MemoryOf(instance) <= kMemoryBytes, aForm.name_);
      }
      Sleep(milliseconds(25));
    }
  }

  std::size_t highest_ = 0;
};

// Guards against a daemon that keeps the bytes of a faulty backend server until its memory is used
// up, after which all requests on its instance end: in each place of an answer, for callers that do
// not read, with several faulty servers at once.
TEST(EndlessBackend, CostsNoMoreMemoryThanStated)
{
  for (const char* method : { "GET", "HEAD", "POST" }) {
    for (const EndlessForm& form : runtime::test::EndlessForms()) {
      Play(form, method);
    }
  }
  Figure("endless-backend-memory", static_cast<double>(highest_) / 1e6, "MB");
  CHECK_TRUE(OthersAreServed());
}
