// Case 13: a daemon and the peer that remembers its departures are killed at once; another peer's long uptime is taken
// for a proof that nothing has left, and late reports bring work to a backend server that has left.
#include "../stand_in_3/mesh.hh"

#include <xxhash.h>

using namespace mesh;

namespace {

constexpr int kDrainMs = 2000;
constexpr int kStabilityMs = 3000;
constexpr int kHeartbeatMs = 1500;
/// How late the last two reports of the leaving backend server arrive.
constexpr int kLateMs = 4500;

std::uint64_t Hash(const std::string& text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

/// Returns the daemon of another zone that remembers the departures at a daemon. A kill may strike any of them; the
/// case computes which one it is, as packages/decisions/src/RendezvousHash.cpp does, to strike that one each time.
Daemon* HolderOf(const Daemon& owner, const std::vector<Daemon*>& others) {
  const auto id = [](const Daemon& daemon) { return "127.0.0.1:" + std::to_string(daemon.control_); };
  const std::uint64_t seed = Hash("departures " + id(owner), 0);
  return *std::max_element(others.begin(), others.end(), [&](const Daemon* left, const Daemon* right) {
    return Hash(id(*left), seed) < Hash(id(*right), seed);
  });
}

void Kill(Daemon& daemon) {
  Note("SIGKILL to %s", daemon.name_.c_str());
  daemon.Signal(SIGKILL);
}

void StartAgain(Daemon& daemon) {
  for (int i = 0; i < 200 && daemon.pid_ > 0 && !daemon.Ended(); ++i) {
    SleepMs(5);
  }
  daemon.Start();
}

} // namespace

int main(int count, char** arguments) {
  Record::Get().Open(std::string(count > 1 ? arguments[1] : ".") + "/record.txt");
  const bool trouble = Trouble();
  const std::string folder = TemporaryFolder();
  Store store;
  store.Start();
  store.PutConfig(Config(1, { { "/lookup/", "safe", "bitacora" }, { "/chart/", "download", "archivo" } },
                         { "bitacora", "archivo" }));
  Daemon first;
  Daemon peers[3];
  first.Assign("a1", "pe-sur-a", "bitacora", store.Port(), folder);
  peers[0].Assign("b1", "pe-sur-b", "bitacora", store.Port(), folder);
  peers[1].Assign("b2", "pe-sur-b", "bitacora", store.Port(), folder);
  peers[2].Assign("b3", "pe-sur-b", "archivo", store.Port(), folder);
  first.Start();
  for (Daemon& peer : peers) {
    peer.Start();
  }
  std::mutex mutex;
  std::vector<std::pair<std::string, Clock::time_point>> reached;
  std::vector<std::unique_ptr<Backend>> backends;
  const auto serve = [&mutex, &reached](Backend* backend) {
    return [backend, &mutex, &reached](const Arrival& arrival) -> std::optional<std::string> {
      Note("%s reaches %s", arrival.id_.c_str(), backend->Id().c_str());
      {
        std::lock_guard lock(mutex);
        reached.emplace_back(backend->Id(), arrival.at_);
      }
      SleepMs(50);
      return backend->Answer(arrival, 200, "record of " + arrival.request_.Target());
    };
  };
  Backend leaving("i-a1", first);
  leaving.Start(serve(&leaving), false);
  for (Daemon& peer : peers) {
    backends.push_back(std::make_unique<Backend>("i-" + peer.name_, peer));
    backends.back()->Start(serve(backends.back().get()));
  }
  for (const Daemon* daemon : { &first, &peers[0], &peers[1], &peers[2] }) {
    if (!daemon->WaitReady(10000)) {
      CannotRun(daemon->name_ + " is not ready");
    }
  }
  // Reports on time, for longer than a report may be late.
  for (int i = 0; i < 9; ++i) {
    if (!leaving.Report()) {
      CannotRun("a status report is not acknowledged");
    }
    SleepMs(kHeartbeatMs);
  }
  const auto ask = [&first](const std::string& id) {
    const int fd = Connect("127.0.0.1", first.caller_);
    if (fd < 0) {
      return -1;
    }
    SendAll(fd, "GET /lookup/1 HTTP/1.1\r\nHost: furnace.example\r\nRequest-Id: " + id +
                  "\r\nDeadline-Ms: 1500\r\nConnection: close\r\n\r\n");
    const auto answer = Reader(fd).Read(Clock::now() + milliseconds(2000), true);
    ::close(fd);
    return answer ? answer->Status() : 0;
  };
  if (ask("before") != 200) {
    CannotRun("the mesh does not serve");
  }
  // Two more reports are sent at the usual pace and arrive late.
  const auto sentFirst = Clock::now();
  const std::string lateFirst = leaving.MakeReport();
  Note("i-a1 sends report 10 (ready), which will be late");
  SleepMs(kHeartbeatMs);
  const std::string lateSecond = leaving.MakeReport();
  Note("i-a1 sends report 11 (ready), which will be late");
  SleepMs(500);
  if (!leaving.Leave()) {
    CannotRun("the leave is not acknowledged");
  }
  const auto acknowledged = Clock::now();
  Note("a1 acknowledges that i-a1 is gone; i-a1 serves on for some seconds");
  SleepMs(300);
  Daemon* const holder = HolderOf(first, { &peers[0], &peers[1], &peers[2] });
  auto started = Clock::now();
  if (trouble) {
    Kill(first);
    Kill(*holder);
    SleepMs(700);
    StartAgain(first);
    StartAgain(*holder);
    started = Clock::now();
    if (!first.WaitReady(5000)) {
      CannotRun("a1 is not ready again");
    }
  }
  std::this_thread::sleep_until(sentFirst + milliseconds(kLateMs));
  Note("report 10 arrives at a1: %s", leaving.Deliver(lateFirst) ? "acknowledged" : "not acknowledged");
  std::this_thread::sleep_until(sentFirst + milliseconds(kLateMs + kHeartbeatMs));
  Note("report 11 arrives at a1: %s", leaving.Deliver(lateSecond) ? "acknowledged" : "not acknowledged");
  // Both a1, which takes and sends on the requests, and the acknowledgement are past their times.
  const auto judgedFrom = std::max(acknowledged + milliseconds(kDrainMs), started + milliseconds(kStabilityMs));
  std::this_thread::sleep_until(judgedFrom + milliseconds(200));
  int answered = 0;
  for (int i = 0; i < 30; ++i) {
    const std::string id = "after-" + std::to_string(i);
    const int status = ask(id);
    Note("%s: %d", id.c_str(), status);
    answered += status == 200 ? 1 : 0;
    SleepMs(100);
  }
  int broken = 0;
  {
    std::lock_guard lock(mutex);
    for (const auto& [backend, at] : reached) {
      broken += backend == "i-a1" && at > judgedFrom ? 1 : 0;
    }
  }
  Note("%d of 30 requests answered; %d reached i-a1 later than %d ms after the acknowledgement, by a machine in touch",
       answered, broken, kDrainMs);
  if (answered == 0) {
    CannotRun("the mesh does not serve at the end");
  }
  std::printf("%s: %d requests reached a backend server that had left, %d of 30 were answered\n",
              broken > 0 ? "broken" : "held", broken, answered);
  Finish(broken > 0 ? 1 : 0);
}
