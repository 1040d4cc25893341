// A request that crashes every endpoint that runs it is rejected after its third crash; daemons
// that are then stopped and started again in turn let it through to their endpoints again.
#include "harness.hh"

#include <algorithm>
#include <csignal>

using namespace review;

namespace {

constexpr double kStabilitySeconds = 3;
constexpr milliseconds kEndpointBack{ 2000 };
constexpr int kMostRetries = 3;
constexpr int kRestarts = 2;
/// The request comes again so often after each restart, once a second, at any machine.
constexpr int kTries = 12;

/// A slot of a machine in which an endpoint runs; it crashes on the poisonous request and is back
/// after some seconds.
class Place
{
public:
  explicit Place(Machine& aMachine)
    : machine_(aMachine)
  {
    Begin();
  }
  ~Place()
  {
    end_ = true;
    keeper_.join();
  }

  void Begin()
  {
    keeper_ = std::thread([this] {
      int boot = 0;
      while (!end_) {
        Endpoint endpoint({ .id_ = "i-" + machine_.Name() + "-" + std::to_string(++boot),
                            .service_ = machine_.Service(),
                            .address_ = machine_.App(),
                            .control_ = machine_.Control(),
                            .zone_ = machine_.Zone(),
                            .work_ = milliseconds(60) },
                          [this, boot](Connection& aConnection, const Message& aRequest) {
                            return RunOne(aConnection, aRequest, boot);
                          });
        current_ = &endpoint;
        crash_ = false;
        while (!end_ && !crash_) {
          SleepFor(milliseconds(2));
        }
        endpoint.Crash();
        current_ = nullptr;
        for (int i = 0; i < 100 && !end_; ++i) {
          SleepFor(kEndpointBack / 100);
        }
      }
    });
  }

  /// The times at which the poisonous request arrived.
  std::vector<double> Crashes()
  {
    const std::lock_guard lock(mutex_);
    return crashes_;
  }

private:
  bool RunOne(Connection& aConnection, const Message& aRequest, int)
  {
    if (aRequest.target_ == "/look/poison") {
      {
        const std::lock_guard lock(mutex_);
        crashes_.push_back(Record::Get().Seconds());
      }
      Note("the request crashes the endpoint of " + machine_.Name());
      if (Endpoint* endpoint = current_) {
        endpoint->CloseListener();
      }
      crash_ = true;
      return false;
    }
    SleepFor(milliseconds(60));
    Endpoint* endpoint = current_;
    return !crash_ && endpoint != nullptr &&
           aConnection.Write(endpoint->Answer(aRequest, 200, "ran\n"));
  }

  Machine& machine_;
  std::mutex mutex_;
  std::vector<double> crashes_;
  std::atomic<bool> crash_{ false };
  std::atomic<bool> end_{ false };
  std::atomic<Endpoint*> current_{ nullptr };
  std::thread keeper_;
};

int SendPoison(const Machine& aEntry)
{
  const std::string id = NewRequestId();
  const Message answer =
    Call(aEntry.Outbound(),
         "GET",
         "/look/poison",
         { { "Host", "mesh.example" }, { "Request-Id", id }, { "Deadline-Ms", "1200" } },
         "",
         milliseconds(1300));
  Note("client: " + id + " GET /look/poison to " + aEntry.Name() + " -> " +
       std::to_string(answer.status_));
  return answer.status_;
}

Verdict Play()
{
  Store store(StoreAddress());
  store.PutConfig(ConfigJson(1, { "portal" }, { { "/look/", "safe", "portal" } }));
  std::vector<std::unique_ptr<Machine>> machines;
  const std::vector<std::string> zones = { "leith", "gorgie", "portobello" };
  for (int i = 0; i < 3; ++i) {
    machines.push_back(
      std::make_unique<Machine>("sidecar-" + zones[i], zones[i], "portal", i + 1, StoreAddress()));
  }
  std::vector<std::unique_ptr<Place>> places;
  for (const auto& machine : machines) {
    places.push_back(std::make_unique<Place>(*machine));
    machine->Start();
  }
  for (const auto& machine : machines) {
    machine->WaitUntilReady(milliseconds(10000));
  }
  SleepFor(milliseconds(4000));
  const auto crashes = [&] {
    std::vector<double> all;
    for (const auto& place : places) {
      const auto own = place->Crashes();
      all.insert(all.end(), own.begin(), own.end());
    }
    std::sort(all.begin(), all.end());
    return all;
  };
  // Clients come with it at any machine, until it has crashed endpoints three times.
  for (int i = 0; i < 30 && crashes().size() < 3; ++i) {
    (void)SendPoison(*machines[i % 3]);
    SleepFor(milliseconds(1000));
  }
  if (crashes().size() < 3) {
    throw CannotRun{ "the request did not crash three times" };
  }
  const double third = crashes()[2];
  SleepFor(milliseconds(4000));
  const double from = std::max(Record::Get().Seconds(), third + kStabilitySeconds);
  for (int turn = 0; turn < kRestarts; ++turn) {
    Machine& machine = *machines[turn];
    if (Trouble()) {
      machine.Signal(SIGTERM);
      (void)machine.WaitForEnd(milliseconds(6000));
      machine.Start();
      machine.WaitUntilReady(milliseconds(10000));
    } else {
      SleepFor(milliseconds(3000));
    }
    // Longer than the stability window, so that every machine is in touch when the request comes
    // again.
    SleepFor(milliseconds(4000));
    for (int i = 0; i < kTries; ++i) {
      (void)SendPoison(*machines[i % 3]);
      SleepFor(milliseconds(1000));
    }
  }
  const auto all = crashes();
  const auto late = std::count_if(all.begin(), all.end(), [&](double aAt) { return aAt > from; });
  Note(std::to_string(late) +
       " retries reached endpoints later than the stability window after the third crash; " +
       std::to_string(kMostRetries) + " are allowed");
  return late > kMostRetries ? kBroken : kHeld;
}

} // namespace

int main(int, char** aArguments)
{
  return RunCase(aArguments[1], Play);
}
