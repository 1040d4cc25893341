// A daemon acknowledges that its endpoint leaves, is killed and started again, and sends work to
// that endpoint.
#include "harness.hh"

#include <csignal>

using namespace review;

namespace {

constexpr milliseconds kDrain{ 2000 };
constexpr milliseconds kStability{ 3000 };

/// Sends lookups through both machines until the end of a time; returns nothing, since the
/// endpoints record their runs.
void SendLookups(const std::vector<Machine*>& aEntries, milliseconds aTime)
{
  const auto end = Clock::now() + aTime;
  int number = 0;
  while (Clock::now() < end) {
    for (Machine* entry : aEntries) {
      const std::string id = NewRequestId();
      const std::string target = "/look/" + std::to_string(++number);
      const Message answer =
        Call(entry->Outbound(),
             "GET",
             target,
             { { "Host", "mesh.example" }, { "Request-Id", id }, { "Deadline-Ms", "1200" } },
             "",
             milliseconds(1200));
      Note("client: " + id + " " + target + " to " + entry->Name() + " -> " +
           std::to_string(answer.status_));
    }
    SleepFor(milliseconds(40));
  }
}

Verdict Play()
{
  Store store(StoreAddress());
  store.PutConfig(ConfigJson(1, { "portal" }, { { "/look/", "safe", "portal" } }));
  Machine a("sidecar-a", "leith", "portal", 1, StoreAddress());
  Machine b("sidecar-b", "leith", "portal", 2, StoreAddress());
  Machine c("sidecar-c", "gorgie", "portal", 3, StoreAddress());
  std::vector<Machine*> all = { &a, &b, &c };
  Endpoint leaving({ .id_ = "i-leaves",
                     .service_ = "portal",
                     .address_ = a.App(),
                     .control_ = a.Control(),
                     .zone_ = a.Zone() });
  Endpoint second({ .id_ = "i-b",
                    .service_ = "portal",
                    .address_ = b.App(),
                    .control_ = b.Control(),
                    .zone_ = b.Zone() });
  Endpoint third({ .id_ = "i-c",
                   .service_ = "portal",
                   .address_ = c.App(),
                   .control_ = c.Control(),
                   .zone_ = c.Zone() });
  for (Machine* machine : all) {
    machine->Start();
  }
  for (Machine* machine : all) {
    machine->WaitUntilReady(milliseconds(10000));
  }
  SleepFor(milliseconds(1500));
  SendLookups({ &b, &c }, milliseconds(3000));
  if (leaving.Runs().empty()) {
    throw CannotRun{ "the endpoint got no work before it left" };
  }
  // The machine has been in touch for kStability. Two status reports are late on their way; the
  // endpoint made them before it left, a heartbeat apart.
  leaving.StopReports();
  SleepFor(milliseconds(200));
  const std::string first = leaving.MakeReport("ready");
  SleepFor(milliseconds(1500));
  const std::string next = leaving.MakeReport("ready");
  leaving.RejectHealth();
  if (!leaving.SendLeave()) {
    throw CannotRun{ "the daemon did not acknowledge the DELETE" };
  }
  const double acknowledged = Record::Get().Seconds();
  if (Trouble()) {
    a.Kill();
    SleepFor(milliseconds(300));
    a.Start();
    a.WaitUntilReady(milliseconds(10000));
  }
  const double started = Record::Get().Seconds();
  SleepFor(milliseconds(1000));
  Note("the first late status report arrives: " + first);
  leaving.SendReport(first);
  SleepFor(milliseconds(1500));
  Note("the second late status report arrives: " + next);
  leaving.SendReport(next);
  SendLookups({ &b, &c }, milliseconds(5000));
  const double from = std::max(acknowledged + std::chrono::duration<double>(kDrain).count(),
                               started + std::chrono::duration<double>(kStability).count());
  std::size_t late = 0;
  for (const Run& run : leaving.Runs()) {
    late += run.at_ > from ? 1 : 0;
  }
  Note(std::to_string(late) + " requests reached i-leaves later than drain_ms after the "
                              "acknowledgement, with all machines in touch");
  return late > 0 ? kBroken : kHeld;
}

} // namespace

int main(int, char** aArguments)
{
  return RunCase(aArguments[1], Play);
}
