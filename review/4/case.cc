// The endpoint of a machine ends and its address goes to an endpoint of another service; the
// settings file names the new service and the daemon gets SIGHUP. The machine's requests are run
// with the old service as Caller-Service.
#include "harness.hh"

#include <csignal>

using namespace review;

namespace {

constexpr milliseconds kReuseAfter{ 2000 };
constexpr int kRequests = 20;

Message Send(const Machine& aEntry, const std::string& aMethod, const std::string& aTarget)
{
  const std::string id = NewRequestId();
  const Message answer =
    Call(aEntry.Outbound(),
         aMethod,
         aTarget,
         { { "Host", "mesh.example" }, { "Request-Id", id }, { "Deadline-Ms", "1200" } },
         aMethod == "POST" ? "order" : "",
         milliseconds(1200));
  Note("client on " + aEntry.Name() + ": " + id + " " + aMethod + " " + aTarget + " -> " +
       std::to_string(answer.status_));
  return answer;
}

Verdict Play()
{
  Store store(StoreAddress());
  store.PutConfig(ConfigJson(1,
                             { "portal", "cartoons", "ledger" },
                             { { "/portal/", "safe", "portal" },
                               { "/cartoons/", "safe", "cartoons" },
                               { "/ledger/", "unsafe", "ledger" } }));
  Machine a("sidecar-a", "leith", "portal", 1, StoreAddress());
  Machine b("sidecar-b", "leith", "ledger", 2, StoreAddress());
  Machine c("sidecar-c", "gorgie", "cartoons", 3, StoreAddress());
  std::vector<Machine*> all = { &a, &b, &c };
  auto first = std::make_unique<Endpoint>(Endpoint::Options{ .id_ = "i-portal",
                                                             .service_ = "portal",
                                                             .address_ = a.App(),
                                                             .control_ = a.Control(),
                                                             .zone_ = a.Zone() });
  Endpoint ledger({ .id_ = "i-ledger",
                    .service_ = "ledger",
                    .address_ = b.App(),
                    .control_ = b.Control(),
                    .zone_ = b.Zone() });
  Endpoint cartoons({ .id_ = "i-cartoons",
                      .service_ = "cartoons",
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
  if (Send(a, "POST", "/ledger/first").status_ != 200) {
    throw CannotRun{ "the mesh does not serve" };
  }
  std::unique_ptr<Endpoint> replacement;
  if (Trouble()) {
    first->StopReports();
    (void)first->SendLeave();
    SleepFor(kReuseAfter);
    first->Crash();
    SleepFor(kReuseAfter);
    a.SetService("cartoons");
    a.Signal(SIGHUP);
    replacement = std::make_unique<Endpoint>(Endpoint::Options{ .id_ = "i-replacement",
                                                                .service_ = "cartoons",
                                                                .address_ = a.App(),
                                                                .control_ = a.Control(),
                                                                .zone_ = a.Zone() });
  }
  // Longer than config_apply_ms and the stability window together.
  SleepFor(milliseconds(6000));
  if (replacement) {
    for (int i = 0; i < 40 && replacement->Runs().empty(); ++i) {
      (void)Send(b, "GET", "/cartoons/" + std::to_string(i));
    }
    if (replacement->Runs().empty()) {
      throw CannotRun{ "the replacement gets no work" };
    }
  }
  const double from = Record::Get().Seconds();
  for (int i = 0; i < kRequests; ++i) {
    (void)Send(a, "POST", "/ledger/" + std::to_string(i));
    SleepFor(milliseconds(50));
  }
  int wrong = 0;
  int run = 0;
  for (const Run& one : ledger.Runs()) {
    if (one.at_ > from) {
      ++run;
      wrong += one.caller_ != a.Service() ? 1 : 0;
    }
  }
  Note(std::to_string(wrong) + " of " + std::to_string(run) + " requests of " + a.Name() +
       ", whose service is " + a.Service() + ", ran with another Caller-Service");
  if (run == 0) {
    throw CannotRun{ "no request was run" };
  }
  return wrong > 0 ? kBroken : kHeld;
}

} // namespace

int main(int, char** aArguments)
{
  return RunCase(aArguments[1], Play);
}
