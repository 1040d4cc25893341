// Case 11: the operator raises max_header_bytes above 64 KiB, and one request inside the new limit ends each daemon
// that reads it.
#include "../stand_in_3/lookup.hh"

using namespace mesh;

int main(int count, char** arguments) {
  constexpr long kRaisedLimit = 131072;
  // Inside the limit in force in both runs.
  constexpr std::size_t kUsualField = 12000;
  constexpr std::size_t kLongField = 70000;
  Record::Get().Open(std::string(count > 1 ? arguments[1] : ".") + "/record.txt");
  const bool trouble = Trouble();
  LookupMesh mesh;
  mesh.Start(300, "safe", 1500);
  mesh.StartClients(3000);
  if (trouble) {
    mesh.Configure(2, kRaisedLimit);
  }
  // Twice config_apply_ms.
  SleepMs(4000);
  int ended = 0;
  for (const auto& daemon : mesh.daemons_) {
    const std::string id = "long-" + daemon->name_;
    const std::size_t size = trouble ? kLongField : kUsualField;
    Note("%s is sent to %s with one field of %zu bytes", id.c_str(), daemon->name_.c_str(), size);
    const int fd = Connect("127.0.0.1", daemon->caller_);
    SendAll(fd, mesh.Head(id, "/lookup/long", "Cookie: " + std::string(size, 'x') + "\r\n"));
    const auto answer = Reader(fd).Read(Clock::now() + milliseconds(2500), true);
    ::close(fd);
    Note("%s: %s", id.c_str(), answer ? answer->start_.c_str() : "no answer, the connection closed");
    SleepMs(500);
    ended += mesh.CountEnded();
  }
  SleepMs(1000);
  mesh.StopClients();
  JudgeLost(mesh, ended);
}
