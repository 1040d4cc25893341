// A small deployment that serves lookups to clients which keep their connections, for the cases that end a daemon or
// its requests.
#pragma once

#include "mesh.hh"

namespace mesh {

/// Three machines in three zones, a backend server of `bitacora` on each.
class LookupMesh {
public:
  static constexpr int kMachines = 3;
  /// Clients of each machine that send one request after another on a connection.
  static constexpr int kClients = 8;
  static constexpr long kUsualHeaderLimit = 16384;

  /// Starts all and waits until the daemons are ready and know each other.
  void Start(int workMs, const std::string& kind, int timeoutMs) {
    method_ = kind == "unsafe" ? "POST" : "GET";
    deadlineMs_ = timeoutMs;
    folder_ = TemporaryFolder();
    store_.Start();
    routes_ = { { "/lookup/", kind, "bitacora", timeoutMs, 2 } };
    Configure(1, kUsualHeaderLimit);
    const char* const zones[kMachines] = { "pe-sur-a", "pe-sur-b", "pe-sur-c" };
    for (int i = 0; i < kMachines; ++i) {
      daemons_.push_back(std::make_unique<Daemon>());
      daemons_.back()->Assign("m" + std::to_string(i + 1), zones[i], "bitacora", store_.Port(), folder_);
      daemons_.back()->Start();
      backends_.push_back(std::make_unique<Backend>("i-" + std::to_string(i + 1), *daemons_.back()));
      Backend* backend = backends_.back().get();
      backend->Start([this, backend, workMs](const Arrival& arrival) -> std::optional<std::string> {
        {
          std::lock_guard lock(mutex_);
          ++runs_[arrival.id_];
        }
        SleepMs(workMs);
        return backend->Answer(arrival, 200, "record of " + arrival.request_.Target());
      });
    }
    for (const auto& daemon : daemons_) {
      if (!daemon->WaitReady(10000)) {
        CannotRun(daemon->name_ + " is not ready");
      }
    }
    SleepMs(3000);
  }

  /// Starts the clients and checks that they are served.
  void StartClients(int forMs) {
    for (const auto& daemon : daemons_) {
      for (int i = 0; i < kClients; ++i) {
        clients_.emplace_back([this, &daemon, i] { KeepAsking(*daemon, i); });
      }
    }
    SleepMs(forMs);
    if (answered_ < kMachines * kClients) {
      CannotRun("the mesh does not serve");
    }
  }

  void StopClients() {
    stop_ = true;
    for (auto& client : clients_) {
      client.join();
    }
  }

  /// The operator's write of a version; returns with its acknowledgement.
  void Configure(int version, long maxHeaderBytes) {
    store_.PutConfig(Config(version, routes_, { "bitacora" }, maxHeaderBytes));
    Note("the store acknowledges version %d: max_header_bytes %ld", version, maxHeaderBytes);
  }

  [[nodiscard]] std::string Head(const std::string& id, const std::string& path, const std::string& fields = {}) const {
    return method_ + " " + path + " HTTP/1.1\r\nHost: furnace.example\r\nRequest-Id: " + id +
           "\r\nDeadline-Ms: " + std::to_string(deadlineMs_) + "\r\n" +
           (method_ == "POST" ? "Content-Length: 0\r\n" : "") + fields + "\r\n";
  }

  /// Counts the daemons that have ended since the last call, and notes how.
  int CountEnded() {
    int ended = 0;
    for (const auto& daemon : daemons_) {
      if (const auto end = daemon->Ended()) {
        ++ended;
        Note("%s ended: %s", daemon->name_.c_str(), end->c_str());
      }
    }
    return ended;
  }

  Store store_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::atomic<int> answered_{ 0 };
  /// Requests of kept connections that a backend server got and whose connection closed without an answer.
  std::atomic<int> cut_{ 0 };

private:
  void KeepAsking(const Daemon& daemon, int client) {
    int number = 0;
    while (!stop_) {
      const int fd = Connect("127.0.0.1", daemon.caller_);
      if (fd < 0) {
        SleepMs(100);
        continue;
      }
      Reader reader(fd);
      bool kept = false;
      while (!stop_) {
        const std::string id = daemon.name_ + "-" + std::to_string(client) + "-" + std::to_string(++number);
        SendAll(fd, Head(id, "/lookup/" + std::to_string(number)));
        const auto answer = reader.Read(Clock::now() + milliseconds(deadlineMs_ + 1000), true);
        if (answer && answer->Status() == 200 && answer->complete_) {
          ++answered_;
          kept = true;
          if (answer->Field("Connection") == "close") {
            break;
          }
          continue;
        }
        if (answer) {
          Note("%s answered %d", id.c_str(), answer->Status());
          break;
        }
        std::lock_guard lock(mutex_);
        const int ran = runs_[id];
        Note("%s: the %s connection closed without an answer; backend servers that got it: %d", id.c_str(),
             kept ? "kept" : "new", ran);
        cut_ += kept && ran > 0 ? 1 : 0;
        break;
      }
      ::close(fd);
      SleepMs(200);
    }
  }

  std::string method_;
  int deadlineMs_ = 0;
  std::string folder_;
  std::vector<Route> routes_;
  std::vector<std::unique_ptr<Backend>> backends_;
  std::vector<std::thread> clients_;
  std::atomic<bool> stop_{ false };
  std::mutex mutex_;
  std::map<std::string, int> runs_;
};

/// Ends the program with the verdict on LOST: more than three requests of kept connections.
[[noreturn]] inline void JudgeLost(LookupMesh& mesh, int ended) {
  constexpr int kAllowed = 3;
  const bool broken = mesh.cut_ > kAllowed;
  Note("answered %d; requests of kept connections that were passed on and not answered: %d (%d are allowed); daemons "
       "that ended by themselves: %d", mesh.answered_.load(), mesh.cut_.load(), kAllowed, ended);
  std::printf("%s: %d requests of kept connections not answered (%d are allowed), %d of %d daemons ended by themselves\n",
              broken ? "broken" : "held", mesh.cut_.load(), kAllowed, ended, LookupMesh::kMachines);
  Finish(broken ? 1 : 0);
}

} // namespace mesh
