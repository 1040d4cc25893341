#include "InvariantFixture.h"

#include <algorithm>
#include <array>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace hemlockproxy;
using namespace hemlockproxy::testing;

namespace {

/// The time-out of the route.
constexpr milliseconds kTimeout{ 1000 };
/// A final answer is due half a second after the time-out.
constexpr milliseconds kGrace{ 500 };
constexpr milliseconds kPause{ 100 };

/// What a caller that sends its body slowly got, and when.
struct Upload
{
  std::string answer_;
  milliseconds took_{ 0 };

  [[nodiscard]] std::string Status() const { return answer_.substr(0, answer_.find(' ', 9)); }
};

/// Sends a head and the first bytes of a body, and then a byte now and then, until an answer or the
/// end of the connection comes.
Upload SendSlowly(const model::Address& aDaemon, std::size_t aLength, std::size_t aFirst)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aDaemon.port_);
  ::inet_pton(AF_INET, aDaemon.ip_.c_str(), &address.sin_addr);
  (void)::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  const std::string start =
    "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(aLength) + "\r\n\r\n" +
    std::string(aFirst, 'x');
  const auto started = std::chrono::steady_clock::now();
  (void)!::send(socket, start.data(), start.size(), MSG_NOSIGNAL);
  Upload upload;
  while (upload.took_ < 4 * kTimeout) {
    pollfd state{ socket, POLLIN, 0 };
    const bool answered = ::poll(&state, 1, static_cast<int>(kPause.count())) > 0;
    upload.took_ =
      std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - started);
    if (answered) {
      std::array<char, 512> bytes{};
      const ssize_t got = ::recv(socket, bytes.data(), bytes.size(), 0);
      upload.answer_.assign(bytes.data(), static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
      break;
    }
    (void)!::send(socket, "x", 1, MSG_NOSIGNAL);
  }
  ::close(socket);
  return upload;
}

} // namespace

/// Two daemons of a failure domain, and callers that send their bodies more slowly than the
/// time-out of the route allows.
TEST_GROUP_BASE(SlowUpload,
                InvariantFixture){ void setup() override{ Start({ .domains_ = { { "leith", 2 } } });
Check(cluster_->Publish(FolderWith(
  "uploads",
  "service: bitacora\nroutes:\n  - prefix: /\n    methods: [POST, GET]\n    timeout: 1s\n")));
Check(cluster_->WaitUntilReady(kConvergence));
CHECK_TRUE(Within(kConvergence, [this] { return IsServed(); }));
}
[[nodiscard]] bool IsServed() const
{
  return std::all_of(Instances().begin(), Instances().end(), [](const ClusterInstance& aOne) {
    const auto reply = HttpGet(aOne.caller_, "/bytes/100");
    return reply && reply->status_ == 200;
  });
}
/// Lets callers send at the same time; returns what each got.
std::vector<Upload> SendAll(std::size_t aLength, std::size_t aFirst)
{
  std::vector<Upload> uploads(40);
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < uploads.size(); ++i) {
    callers.emplace_back([&, i] {
      uploads[i] = SendSlowly(Instances()[i % Instances().size()].caller_, aLength, aFirst);
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  return uploads;
}
}
;

// Guards against callers that have no answer at the time-out of their route, since the daemon waits
// for the rest of their bodies; and against an answer that leaves open whether the request ran.
TEST(SlowUpload, ABodyThatIsLateIsRejectedAtTheTimeout)
{
  for (const Upload& upload : SendAll(30'000, 100)) {
    CHECK_TRUE(upload.took_ <= kTimeout + kGrace);
    STRCMP_EQUAL("HTTP/1.1 408", upload.Status().c_str());
  }
  CHECK_TRUE(IsServed());
}

// Guards against slots of backend servers that requests keep beyond their time-out, since their
// bodies are passed on as they come.
TEST(SlowUpload, ABodyThatIsPassedOnEndsAtTheTimeout)
{
  for (const Upload& upload : SendAll(1'000'000, 100'000)) {
    CHECK_TRUE(upload.took_ <= kTimeout + kGrace);
    CHECK_TRUE(upload.Status() != "HTTP/1.1 200");
  }
  // All slots are free again.
  CHECK_TRUE(Within(kGrace, [this] { return IsServed(); }));
}
