// Stand-ins of the platform's store, backend servers and clients, and the start and end of daemons,
// for the cases of this folder. Everything runs on loopback addresses of one machine; each daemon
// has an address of its own.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

enum Verdict
{
  kHeld = 0,
  kBroken = 1,
  kCannotRun = 2
};

/// Ends the case with kCannotRun.
struct CannotRun
{
  std::string why_;
};

/// Writes lines with the seconds since the start to record.txt.
class Record
{
public:
  static Record& Get();
  void Open(const std::string& aPath);
  void Line(const std::string& aText);
  double Seconds() const;

private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point start_ = Clock::now();
};

void Note(const std::string& aText);
void SleepFor(milliseconds aTime);

using Headers = std::multimap<std::string, std::string>;

struct Message
{
  /// Of a request.
  std::string method_;
  std::string target_;
  /// Of a response; 0 when none came.
  int status_ = 0;
  /// With lower-case names.
  Headers headers_;
  std::string body_;
  /// Whether the message came whole.
  bool complete_ = false;

  std::string Field(const std::string& aName) const;
};

/// A connected socket with a buffer of what was read.
class Connection
{
public:
  explicit Connection(int aSocket)
    : socket_(aSocket)
  {
  }
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Connects from the same loopback address, as the processes of one machine do; null on failure.
  static std::shared_ptr<Connection> To(const std::string& aAddress, milliseconds aTimeout);

  bool Write(const std::string& aBytes);
  /// Writes until the deadline; returns how many bytes were taken.
  std::size_t WriteUntil(const std::string& aBytes, Clock::time_point aDeadline);
  /// Reads a request head, without its body.
  bool ReadRequestHead(Message& aRequest);
  /// Reads the body that the head of a request announces.
  bool ReadRequestBody(Message& aRequest);
  bool ReadResponse(Message& aResponse, Clock::time_point aDeadline);
  void Close();
  /// Makes the end of the connection a reset.
  void ResetAtEnd();
  int Socket() const { return socket_; }

private:
  bool Fill(Clock::time_point aDeadline);
  bool ReadHead(std::string& aHead, Clock::time_point aDeadline);
  bool ReadBody(Message& aMessage, bool aUntilClose, Clock::time_point aDeadline);

  int socket_;
  bool reset_ = false;
  std::string buffer_;
};

using ConnectionPtr = std::shared_ptr<Connection>;

/// An HTTP server with a thread for each connection. The handler returns whether the connection
/// stays open.
class Server
{
public:
  using Handler = std::function<bool(Connection&, Message&)>;
  Server(std::string aAddress, Handler aHandler);
  ~Server();
  /// Refuses new connections.
  void CloseListener();
  /// Closes the listener and all connections, as the end of a process does.
  void Stop();

private:
  void Accept();

  std::string address_;
  Handler handler_;
  int listener_ = -1;
  std::thread thread_;
  std::mutex mutex_;
  std::vector<ConnectionPtr> open_;
  std::vector<std::thread> threads_;
  std::atomic<bool> stopped_{ false };
};

/// Sends a request on a new connection, or on the given one, and waits for the response. The status
/// is 0 when no whole response came in time.
Message Call(const std::string& aAddress,
             const std::string& aMethod,
             const std::string& aTarget,
             const Headers& aHeaders,
             const std::string& aBody,
             milliseconds aTimeout,
             ConnectionPtr aConnection = nullptr);

std::string Response(int aStatus, const Headers& aHeaders, const std::string& aBody);

/// The platform's store: the log calls that a daemon makes.
class Store
{
public:
  explicit Store(const std::string& aAddress);
  /// Puts op/config, as the operator does; the return is the acknowledgement.
  void PutConfig(const std::string& aJson);

private:
  struct Topic
  {
    std::vector<std::string> records_;
  };

  bool Handle(Connection& aConnection, Message& aRequest);
  std::string Read(const std::map<std::string, std::string>& aQuery);
  std::string Newest(const std::map<std::string, std::string>& aQuery);
  std::string Append(const std::string& aTopic, const std::string& aBody);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Topic> topics_;
  bool stopped_ = false;
  std::unique_ptr<Server> server_;

public:
  ~Store();
};

/// One run of a request at an endpoint.
struct Run
{
  std::string id_;
  std::string target_;
  std::string caller_;
  double at_ = 0;
};

/// One start of an endpoint with its status reports.
class Endpoint
{
public:
  struct Options
  {
    std::string id_;
    std::string service_;
    std::string address_;
    std::string control_;
    std::string zone_;
    int slots_ = 9;
    milliseconds work_{ 30 };
    milliseconds heartbeat_{ 1500 };
    /// Sends its status reports by itself.
    bool reports_ = true;
  };
  /// Called with each request that was read whole and is to run; returns whether the connection
  /// stays open. When empty, the endpoint works and answers 200.
  using OnRun = std::function<bool(Connection&, const Message&)>;

  explicit Endpoint(Options aOptions, OnRun aOnRun = {});
  ~Endpoint();

  /// Ends like a process that is killed: no word to anybody.
  void Crash();
  /// The first part of a crash: refuses connections and sends no more reports.
  void CloseListener();
  /// Says that it leaves by DELETE; goes on serving. Returns whether that was acknowledged.
  bool SendLeave();
  /// Sends a status report with the next sequence number. Returns whether it was acknowledged.
  bool Report(const std::string& aState = "ready");
  /// Returns the body of the next status report without sending it.
  std::string MakeReport(const std::string& aState);
  bool SendReport(const std::string& aBody);
  void StopReports() { reporting_ = false; }
  void RejectHealth() { leaving_ = true; }
  /// Called with the head of each request other than health checks; true when it took the
  /// connection over.
  void SetOnHead(OnRun aOnHead) { onHead_ = std::move(aOnHead); }

  std::vector<Run> Runs();
  void NoteRun(const Message& aRequest);
  const Options& Option() const { return options_; }
  std::int64_t Born() const { return born_; }
  std::string Answer(const Message& aRequest, int aStatus, const std::string& aBody) const;

private:
  bool Handle(Connection& aConnection, Message& aRequest);

  Options options_;
  OnRun onRun_;
  OnRun onHead_;
  std::int64_t born_;
  std::uint64_t sequence_ = 0;
  std::mutex mutex_;
  std::vector<Run> runs_;
  std::atomic<bool> reporting_;
  std::atomic<bool> leaving_{ false };
  std::atomic<bool> ended_{ false };
  std::unique_ptr<Server> server_;
  std::thread reporter_;
};

/// A machine: its addresses and its daemon's process.
class Machine
{
public:
  Machine(std::string aName,
          std::string aZone,
          std::string aService,
          int aNumber,
          std::string aStore);
  ~Machine();

  /// Gives the process a pipe as standard output and error from its next start on; returns the end
  /// to read from.
  int PipeOutput();
  void Start();
  void Signal(int aSignal);
  /// Waits for the end of the process; kills it after the limit. Returns whether it ended by
  /// itself.
  bool WaitForEnd(milliseconds aLimit);
  void Kill();
  bool Ready();
  void WaitUntilReady(milliseconds aLimit);
  bool Running();
  /// Changes the service in the settings file, as the platform does when it renders the file again.
  void SetService(const std::string& aService);

  std::string Address(int aPort) const { return ip_ + ":" + std::to_string(aPort); }
  std::string Outbound() const { return Address(8141); }
  std::string Control() const { return Address(8146); }
  std::string App() const { return Address(8147); }
  std::string ReadyAddress() const { return Address(8140); }
  const std::string& Name() const { return name_; }
  const std::string& Zone() const { return zone_; }
  const std::string& Service() const { return service_; }

private:
  void WriteSettings();

  std::string name_;
  std::string zone_;
  std::string service_;
  std::string ip_;
  std::string store_;
  int adminPort_;
  std::string settings_;
  int output_ = -1;
  pid_t pid_ = -1;
};

/// Whether the case plays its disruption.
bool Trouble();
/// A free loopback address for the store.
std::string StoreAddress();
std::string NewRequestId();
std::string HostOf(const std::string& aName);

struct Route
{
  std::string prefix_;
  std::string kind_;
  std::string service_;
  int timeoutMs_ = 1200;
  int attempts_ = 2;
};

std::string ConfigJson(int aVersion,
                       const std::vector<std::string>& aServices,
                       const std::vector<Route>& aRoutes,
                       std::uint64_t aBodyBytes = 67108864);

/// Runs a case: opens record.txt, ends all processes at the end, and prints the verdict.
int RunCase(const char* aRecordPath, const std::function<Verdict()>& aCase);

} // namespace review
