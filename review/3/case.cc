// An endpoint falls silent twice: while it sends downloads, and while it should read uploads. Their
// callers get no final answer at the route's time-out, nor half a second later.
#include "harness.hh"

#include <algorithm>

using namespace review;

namespace {

constexpr int kTimeoutMs = 800;
/// The clients' time budget; they leave when it is over.
constexpr int kBudgetMs = 1500;
/// From the rule: a final answer is due half a second after the time-out.
constexpr milliseconds kGrace{ 500 };
constexpr std::size_t kLeastUnfinished = 8;
constexpr int kDownloads = 12;
constexpr int kServers = 7;
constexpr int kPieces = 5;
constexpr std::size_t kPieceBytes = 64 * 1024;
constexpr milliseconds kPieceTime{ 100 };
constexpr int kUploads = 14;
constexpr std::size_t kUploadBytes = 4'000'000;
constexpr milliseconds kSilence{ 4500 };

struct Sent
{
  std::string id_;
  Message answer_;
  std::chrono::duration<double> took_{};
};

/// An endpoint that can fall silent: it neither reads nor writes then, and its connections stay
/// open. After the silence it drops the connections of that time.
class Silence
{
public:
  void Begin()
  {
    silent_ = true;
    Note("endpoint i-dark falls silent");
  }
  void End()
  {
    if (silent_) {
      ++ended_;
      silent_ = false;
      Note("endpoint i-dark is back");
    }
  }
  /// Returns false when the connection was held by a silence that has ended.
  bool Pass() const
  {
    const int before = ended_;
    while (silent_ && ended_ == before) {
      SleepFor(milliseconds(10));
    }
    return ended_ == before;
  }

private:
  std::atomic<bool> silent_{ false };
  std::atomic<int> ended_{ 0 };
};

/// Answers a download without a length, piece by piece, and an upload at once.
bool Serve(const Endpoint& aEndpoint,
           Connection& aConnection,
           const Message& aRequest,
           const Silence& aSilence)
{
  if (aRequest.method_ == "POST") {
    return aConnection.Write(aEndpoint.Answer(aRequest, 200, "stored\n"));
  }
  aConnection.Write("HTTP/1.1 200 OK\r\nRequest-Id: " + aRequest.Field("request-id") +
                    "\r\nServer-Stamp: stamp\r\nConnection: close\r\n\r\n");
  for (int i = 0; i < kPieces; ++i) {
    SleepFor(kPieceTime);
    if (!aSilence.Pass()) {
      aConnection.ResetAtEnd();
      break;
    }
    if (!aConnection.Write(std::string(kPieceBytes, 'x'))) {
      break;
    }
  }
  return false;
}

void Send(std::vector<Sent>& aSent,
          std::vector<std::thread>& aClients,
          const Machine& aEntry,
          const std::string& aMethod,
          const std::string& aPrefix,
          std::size_t aBytes)
{
  for (std::size_t i = 0; i < aSent.size(); ++i) {
    aClients.emplace_back([&aSent, &aEntry, aMethod, aPrefix, aBytes, i] {
      Sent& one = aSent[i];
      one.id_ = NewRequestId();
      const auto started = Clock::now();
      one.answer_ = Call(aEntry.Outbound(),
                         aMethod,
                         aPrefix + std::to_string(i),
                         { { "Host", "mesh.example" },
                           { "Request-Id", one.id_ },
                           { "Deadline-Ms", std::to_string(kBudgetMs) } },
                         std::string(aBytes, 'x'),
                         milliseconds(kBudgetMs));
      one.took_ = Clock::now() - started;
    });
  }
}

void Join(std::vector<std::thread>& aClients)
{
  for (std::thread& client : aClients) {
    client.join();
  }
  aClients.clear();
}

Verdict Play()
{
  Store store(StoreAddress());
  store.PutConfig(ConfigJson(1,
                             { "portal", "cartoons" },
                             { { "/portal/", "safe", "portal" },
                               { "/files/", "download", "cartoons", kTimeoutMs },
                               { "/proofs/", "unsafe", "cartoons", kTimeoutMs } }));
  Machine a("sidecar-a", "leith", "portal", 1, StoreAddress());
  // Seven endpoints serve the files; the one that falls silent is the nearest.
  std::vector<std::unique_ptr<Machine>> servers;
  for (int i = 0; i < kServers; ++i) {
    const char* zone = i == 0 ? "leith" : i % 2 == 0 ? "gorgie" : "portobello";
    servers.push_back(std::make_unique<Machine>(
      "sidecar-" + std::to_string(i + 1), zone, "cartoons", i + 2, StoreAddress()));
  }
  Machine& b = *servers.front();
  Silence silence;
  const Silence none;
  Endpoint portal({ .id_ = "i-portal",
                    .service_ = "portal",
                    .address_ = a.App(),
                    .control_ = a.Control(),
                    .zone_ = a.Zone() });
  std::vector<std::unique_ptr<Endpoint>> endpoints(kServers);
  for (int i = 0; i < kServers; ++i) {
    const Machine& machine = *servers[i];
    endpoints[i] = std::make_unique<Endpoint>(
      Endpoint::Options{ .id_ = i == 0 ? "i-dark" : "i-" + machine.Name(),
                         .service_ = "cartoons",
                         .address_ = machine.App(),
                         .control_ = machine.Control(),
                         .zone_ = machine.Zone() },
      [&, i](Connection& aConnection, const Message& aRequest) {
        return Serve(*endpoints[i], aConnection, aRequest, i == 0 ? silence : none);
      });
  }
  // A request that arrives in the silence is not read.
  endpoints.front()->SetOnHead([&](Connection& aConnection, const Message&) {
    const bool passes = silence.Pass();
    if (!passes) {
      aConnection.ResetAtEnd();
    }
    return !passes;
  });
  a.Start();
  for (const auto& machine : servers) {
    machine->Start();
  }
  a.WaitUntilReady(milliseconds(10000));
  for (const auto& machine : servers) {
    machine->WaitUntilReady(milliseconds(10000));
  }
  // Longer than the stability window: all machines are in touch.
  SleepFor(milliseconds(5000));
  std::vector<std::thread> clients;
  std::vector<Sent> downloads(kDownloads);
  Send(downloads, clients, a, "GET", "/files/", 0);
  SleepFor(milliseconds(200));
  if (Trouble()) {
    silence.Begin();
    SleepFor(kSilence);
    silence.End();
  }
  Join(clients);
  SleepFor(milliseconds(5000));
  std::vector<Sent> uploads(kUploads);
  if (Trouble()) {
    silence.Begin();
  }
  Send(uploads, clients, b, "POST", "/proofs/", kUploadBytes);
  if (Trouble()) {
    SleepFor(kSilence);
    silence.End();
  }
  Join(clients);
  std::size_t longer = 0;
  std::size_t unfinished = 0;
  const double timeout = kTimeoutMs / 1000.0;
  const double due = timeout + std::chrono::duration<double>(kGrace).count();
  for (const auto* sent : { &downloads, &uploads }) {
    for (const Sent& one : *sent) {
      Note(std::string(sent == &downloads ? "download " : "upload ") + one.id_ + " -> " +
           std::to_string(one.answer_.status_) +
           (one.answer_.complete_ ? ", complete, " : ", not complete, ") + "end after " +
           std::to_string(one.took_.count()) + " s");
      longer += one.took_.count() > timeout ? 1 : 0;
      unfinished += one.took_.count() > due ? 1 : 0;
    }
  }
  Note(std::to_string(longer) + " requests lasted longer than timeout_ms; " +
       std::to_string(unfinished) + " of them had no final answer 0.5 s after it");
  return unfinished >= kLeastUnfinished && unfinished * 4 > longer ? kBroken : kHeld;
}

} // namespace

int main(int, char** aArguments)
{
  return RunCase(aArguments[1], Play);
}
