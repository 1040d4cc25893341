// Stand-ins for the cases of the third review: the platform's store and operator, backend servers, callers, and a
// runner of the project's own daemons. All of them speak only what the platform's pages say, on loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace mesh {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline void SleepMs(int ms) { std::this_thread::sleep_for(milliseconds(ms)); }

// ---------------------------------------------------------------------------------------------- record

/// Writes record.txt: one line an event, with the milliseconds since the start.
class Record {
public:
  static Record& Get() { static Record one; return one; }
  void Open(const std::string& path) { out_.open(path, std::ios::trunc); start_ = Clock::now(); }
  void Line(const char* format, ...) {
    char text[2048];
    va_list args;
    va_start(args, format);
    std::vsnprintf(text, sizeof text, format, args);
    va_end(args);
    const auto ms = std::chrono::duration_cast<milliseconds>(Clock::now() - start_).count();
    std::lock_guard lock(mutex_);
    out_ << ms << " " << text << "\n" << std::flush;
  }
private:
  std::ofstream out_;
  Clock::time_point start_ = Clock::now();
  std::mutex mutex_;
};

template <typename... Args>
void Note(const char* format, Args... args) {
  if constexpr (sizeof...(Args) == 0) {
    Record::Get().Line("%s", format);
  } else {
    Record::Get().Line(format, args...);
  }
}

/// Ends the program as "could not run".
[[noreturn]] inline void CannotRun(const std::string& why);

// ---------------------------------------------------------------------------------------------- sockets

inline int Listen(const std::string& ip, int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 512) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

inline int PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

/// Returns the first port of a block that no other run uses: its first port is held to the end of the process. The
/// blocks lie below the ports that the system gives to outgoing connections.
inline int PortBlock(int size) {
  constexpr int kFirst = 20000;
  constexpr int kLast = 32000;
  std::mt19937 random(std::random_device{}());
  std::uniform_int_distribution<int> draw(0, (kLast - kFirst) / size - 1);
  for (int tries = 0; tries < 1000; ++tries) {
    const int port = kFirst + size * draw(random);
    if (Listen("127.0.0.1", port) >= 0) {
      return port;
    }
  }
  CannotRun("no free block of ports");
}

/// Returns a port that is free for TCP and UDP.
inline int FreePort() {
  constexpr int kBlock = 100;
  static const int block = PortBlock(kBlock);
  static int next = block;
  while (++next < block + kBlock) {
    const int tcp = Listen("127.0.0.1", next);
    const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(next));
    ::inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    const bool free = tcp >= 0 && ::bind(udp, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    ::close(udp);
    if (tcp >= 0) {
      ::close(tcp);
    }
    if (free) {
      return next;
    }
  }
  CannotRun("no free port");
}

inline int Connect(const std::string& ip, int port, int timeoutMs = 1000) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    pollfd state{ fd, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof error;
    if (errno != EINPROGRESS || ::poll(&state, 1, timeoutMs) <= 0 ||
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      ::close(fd);
      return -1;
    }
  }
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t now = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (now <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(now);
  }
  return true;
}

// ---------------------------------------------------------------------------------------------- HTTP

struct Message {
  std::string start_;
  std::vector<std::pair<std::string, std::string>> fields_;
  std::string body_;
  /// The body ended as its framing says.
  bool complete_ = false;

  [[nodiscard]] std::string Field(const std::string& name) const {
    for (const auto& [key, value] : fields_) {
      if (::strcasecmp(key.c_str(), name.c_str()) == 0) {
        return value;
      }
    }
    return {};
  }
  [[nodiscard]] bool Has(const std::string& name) const {
    return std::any_of(fields_.begin(), fields_.end(),
                       [&](const auto& one) { return ::strcasecmp(one.first.c_str(), name.c_str()) == 0; });
  }
  [[nodiscard]] int Status() const { return start_.size() > 12 ? std::atoi(start_.c_str() + 9) : 0; }
  [[nodiscard]] std::string Method() const { return start_.substr(0, start_.find(' ')); }
  [[nodiscard]] std::string Target() const {
    const auto first = start_.find(' ');
    const auto last = start_.find(' ', first + 1);
    return first == std::string::npos ? "" : start_.substr(first + 1, last - first - 1);
  }
};

/// Reads messages from a connection, blocking with a deadline.
class Reader {
public:
  explicit Reader(int fd) : fd_(fd) {}

  /// Reads one message; nothing when the connection ended or the time was over before its head was whole. A body that
  /// breaks off leaves complete_ false.
  std::optional<Message> Read(Clock::time_point until, bool response, bool noBody = false) {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!More(until)) {
        return std::nullopt;
      }
    }
    Message message;
    std::istringstream head(buffer_.substr(0, end + 2));
    buffer_.erase(0, end + 4);
    std::string line;
    bool first = true;
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      if (first) {
        message.start_ = line;
        first = false;
        continue;
      }
      const auto colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      std::string value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(" \t"));
      message.fields_.emplace_back(line.substr(0, colon), value);
    }
    if (noBody) {
      message.complete_ = true;
    } else if (message.Field("Transfer-Encoding").find("chunked") != std::string::npos) {
      message.complete_ = ReadChunks(until, message.body_);
    } else if (message.Has("Content-Length")) {
      message.complete_ = ReadLength(until, std::strtoull(message.Field("Content-Length").c_str(), nullptr, 10),
                                     message.body_);
    } else if (response) {
      while (More(until)) {
      }
      message.body_ = std::exchange(buffer_, {});
      message.complete_ = closed_;
    } else {
      message.complete_ = true;
    }
    return message;
  }

  [[nodiscard]] bool Closed() const { return closed_; }
  [[nodiscard]] const std::string& Left() const { return buffer_; }

private:
  bool More(Clock::time_point until) {
    const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
    pollfd state{ fd_, POLLIN, 0 };
    if (left <= 0 || ::poll(&state, 1, static_cast<int>(left)) <= 0) {
      return false;
    }
    char bytes[16384];
    const ssize_t got = ::recv(fd_, bytes, sizeof bytes, 0);
    if (got <= 0) {
      closed_ = got == 0;
      ended_ = true;
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(got));
    return true;
  }
  bool ReadLength(Clock::time_point until, std::size_t length, std::string& out) {
    while (buffer_.size() < length) {
      if (!More(until)) {
        out = std::exchange(buffer_, {});
        return false;
      }
    }
    out = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return true;
  }
  bool ReadChunks(Clock::time_point until, std::string& out) {
    while (true) {
      std::size_t end = 0;
      while ((end = buffer_.find("\r\n")) == std::string::npos) {
        if (!More(until)) {
          return false;
        }
      }
      const std::size_t size = std::strtoull(buffer_.c_str(), nullptr, 16);
      buffer_.erase(0, end + 2);
      std::string part;
      if (!ReadLength(until, size + 2, part)) {
        out += part;
        return false;
      }
      if (size == 0) {
        return true;
      }
      out += part.substr(0, size);
    }
  }

  int fd_;
  std::string buffer_;
  bool closed_ = false;
  bool ended_ = false;
};

inline std::string QueryValue(const std::string& target, const std::string& name) {
  const auto question = target.find('?');
  std::string query = question == std::string::npos ? "" : "&" + target.substr(question + 1);
  const auto at = query.find("&" + name + "=");
  if (at == std::string::npos) {
    return {};
  }
  const auto from = at + name.size() + 2;
  return query.substr(from, query.find('&', from) - from);
}

inline std::string Response(int status, const std::string& fields, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields + "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections and serves each in a thread.
class Server {
public:
  using Handler = std::function<void(int)>;
  ~Server() { Stop(); }
  bool Start(const std::string& ip, int port, Handler handler) {
    fd_ = Listen(ip, port);
    if (fd_ < 0) {
      return false;
    }
    thread_ = std::thread([this, handler] {
      while (!stopping_) {
        pollfd state{ fd_, POLLIN, 0 };
        if (::poll(&state, 1, 50) <= 0) {
          continue;
        }
        const int connection = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0) {
          continue;
        }
        const int one = 1;
        ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        {
          std::lock_guard lock(mutex_);
          connections_.insert(connection);
        }
        std::thread([this, handler, connection] {
          handler(connection);
          std::lock_guard lock(mutex_);
          connections_.erase(connection);
          ::close(connection);
        }).detach();
      }
    });
    return true;
  }
  void Stop() {
    if (thread_.joinable()) {
      stopping_ = true;
      thread_.join();
      ::close(fd_);
    }
  }
  /// Ends all connections, as the end of a process does.
  void Cut() {
    std::lock_guard lock(mutex_);
    for (const int connection : connections_) {
      ::shutdown(connection, SHUT_RDWR);
    }
  }
private:
  int fd_ = -1;
  std::atomic<bool> stopping_{ false };
  std::mutex mutex_;
  std::set<int> connections_;
  std::thread thread_;
};

// ---------------------------------------------------------------------------------------------- the store

/// The platform's store: a log with keyed topics. The operator writes op/config through Put.
class Store {
public:
  void Start() {
    port_ = FreePort();
    if (!server_.Start("127.0.0.1", port_, [this](int fd) { Serve(fd); })) {
      CannotRun("the store cannot listen");
    }
  }
  [[nodiscard]] int Port() const { return port_; }

  /// The operator's write; returns when the store has acknowledged it.
  void PutConfig(const std::string& json) { Append("keyed.op", std::string(1, 6) + "config" + json); }

private:
  static constexpr int kAnswerMs = 4;

  std::uint64_t Append(const std::string& topic, std::string content) {
    std::lock_guard lock(mutex_);
    auto& records = topics_[topic];
    records.push_back(std::move(content));
    changed_.notify_all();
    return records.size() - 1;
  }

  static std::string Big(std::uint64_t value, int bytes) {
    std::string out;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
      out += static_cast<char>(value >> shift & 0xff);
    }
    return out;
  }

  static std::string Base64(const std::string& text) {
    static const char* const kLetters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    std::size_t i = 0;
    for (; i + 2 < text.size(); i += 3) {
      const std::uint32_t v = static_cast<unsigned char>(text[i]) << 16 |
                              static_cast<unsigned char>(text[i + 1]) << 8 | static_cast<unsigned char>(text[i + 2]);
      for (int shift = 18; shift >= 0; shift -= 6) {
        out += kLetters[v >> shift & 63];
      }
    }
    if (i < text.size()) {
      std::uint32_t v = static_cast<unsigned char>(text[i]) << 16;
      const bool two = i + 1 < text.size();
      v |= two ? static_cast<unsigned char>(text[i + 1]) << 8 : 0;
      out += kLetters[v >> 18 & 63];
      out += kLetters[v >> 12 & 63];
      out += two ? kLetters[v >> 6 & 63] : '=';
      out += '=';
    }
    return out;
  }

  static std::string Escaped(const std::string& key) {
    std::string out;
    for (const char c : key) {
      out += c == '"' || c == '\\' ? std::string("\\") + c : std::string(1, c);
    }
    return out;
  }

  std::string Newest(const std::string& topic) {
    std::lock_guard lock(mutex_);
    std::map<std::string, std::pair<std::size_t, std::string>> newest;
    const auto& records = topics_[topic];
    for (std::size_t i = 0; i < records.size(); ++i) {
      const std::size_t length = static_cast<unsigned char>(records[i][0]);
      const std::string key = records[i].substr(1, length);
      const std::string value = records[i].substr(1 + length);
      if (value.empty()) {
        newest.erase(key);
      } else {
        newest[key] = { i, value };
      }
    }
    std::string items;
    for (const auto& [key, entry] : newest) {
      items += (items.empty() ? "" : ",") + std::string("{\"key\":\"") + Escaped(key) + "\",\"value\":\"" +
               Base64(entry.second) + "\",\"offset\":" + std::to_string(entry.first) + "}";
    }
    return "{\"items\":[" + items + "],\"has_more\":false,\"end_offset\":" + std::to_string(records.size()) + "}";
  }

  std::string ReadFrom(const std::string& topic, std::size_t from, int waitMs) {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, milliseconds(waitMs), [&] { return topics_[topic].size() > from; });
    const auto& records = topics_[topic];
    std::string body = Big(records.size(), 8) + Big(0, 8);
    for (std::size_t i = from; i < records.size(); ++i) {
      body += Big(records[i].size(), 4) + records[i];
    }
    return body;
  }

  void Serve(int fd) {
    Reader reader(fd);
    while (true) {
      const auto request = reader.Read(Clock::now() + std::chrono::seconds(120), false);
      if (!request) {
        return;
      }
      const std::string target = request->Target();
      const std::string path = target.substr(0, target.find('?'));
      const std::string topic = QueryValue(target, "topic");
      std::string answer;
      if (path == "/v1/log-newest") {
        answer = Response(200, "Content-Type: application/json\r\n", Newest(topic));
      } else if (path == "/v1/log-read") {
        answer = Response(200, "", ReadFrom(topic, std::strtoull(QueryValue(target, "from").c_str(), nullptr, 10),
                                            std::atoi(QueryValue(target, "wait_ms").c_str())));
      } else if (path == "/v1/log-append") {
        std::uint64_t first = 0;
        std::uint64_t end = 0;
        for (std::size_t at = 0; at + 4 <= request->body_.size();) {
          std::size_t length = 0;
          for (int i = 0; i < 4; ++i) {
            length = length << 8 | static_cast<unsigned char>(request->body_[at + i]);
          }
          end = Append(topic, request->body_.substr(at + 4, length)) + 1;
          first = at == 0 ? end - 1 : first;
          at += 4 + length;
        }
        answer = Response(200, "Content-Type: application/json\r\n",
                          "{\"offset\":" + std::to_string(first) + ",\"end_offset\":" + std::to_string(end) + "}");
      } else {
        answer = Response(404, "", "");
      }
      SleepMs(kAnswerMs);
      if (!SendAll(fd, answer)) {
        return;
      }
    }
  }

  int port_ = 0;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::vector<std::string>> topics_;
  Server server_;
};

// ---------------------------------------------------------------------------------------------- daemons

inline std::vector<pid_t>& Started() { static std::vector<pid_t> pids; return pids; }

inline void EndAll() {
  for (const pid_t pid : Started()) {
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
  }
  Started().clear();
}

inline std::string& RunFolder() { static std::string folder; return folder; }

[[noreturn]] inline void Finish(int code) {
  EndAll();
  if (!RunFolder().empty()) {
    std::error_code ignored;
    std::filesystem::remove_all(RunFolder(), ignored);
  }
  std::fflush(stdout);
  std::_Exit(code);
}

[[noreturn]] inline void CannotRun(const std::string& why) {
  Note("the case could not run: %s", why.c_str());
  std::printf("could not run: %s\n", why.c_str());
  Finish(2);
}

/// What the pages set for a small deployment (sites/temple-andino).
struct Bounds {
  int heartbeatMs = 1500;
  int configApplyMs = 2000;
  int graceS = 6;
};

/// One machine: a daemon of the project and the addresses of its backend server.
struct Daemon {
  std::string name_;
  std::string zone_;
  std::string service_;
  int caller_ = 0;
  int forward_ = 0;
  int ready_ = 0;
  int reports_ = 0;
  int control_ = 0;
  int metrics_ = 0;
  int admin_ = 0;
  int app_ = 0;
  int store_ = 0;
  std::string folder_;
  Bounds bounds_;
  pid_t pid_ = -1;

  void Assign(const std::string& name, const std::string& zone, const std::string& service, int store,
              const std::string& folder) {
    name_ = name;
    zone_ = zone;
    service_ = service;
    store_ = store;
    folder_ = folder;
    for (int* port : { &caller_, &forward_, &ready_, &reports_, &control_, &metrics_, &admin_, &app_ }) {
      *port = FreePort();
    }
  }

  /// Starts the process with the command of deploy/system.toml and settings as its template renders them.
  void Start() {
    const std::string path = folder_ + "/" + name_ + ".yaml";
    const auto at = [](int port) { return "127.0.0.1:" + std::to_string(port); };
    std::ofstream out(path);
    out << "interface: platform\nname: " << name_ << "\nregion: pe-sur\nfailure_domain: " << zone_
        << "\ncaller_service: " << service_ << "\ncaller: " << at(caller_) << "\nforward: " << at(forward_)
        << "\nready: " << at(ready_) << "\nreports: " << at(reports_) << "\ncontrol: " << at(control_)
        << "\nmetrics: " << at(metrics_) << "\nadmin: " << at(admin_) << "\nlog: " << at(store_)
        << "\nannounce_interval: " << bounds_.heartbeatMs << "ms\napply_within: " << bounds_.configApplyMs
        << "ms\ndrain_limit: " << bounds_.graceS
        << "s\nretry_share: 0.2\nretry_window: 10s\nretry_extra: 58\nlog_timeout: 1s\ntraffic_spin: false\n"
           "link_mbps: 1000.0\nmemory_mb: 260\ndescriptors: 4100\nlog_level: warn\n";
    out.close();
    const std::string log = folder_ + "/" + name_ + ".log";
    const pid_t pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(fd, 1);
      ::dup2(fd, 2);
      ::execl("target/bin/hemlockproxy", "target/bin/hemlockproxy", "--settings", path.c_str(), nullptr);
      ::_exit(127);
    }
    pid_ = pid;
    Started().push_back(pid);
    Note("%s started", name_.c_str());
  }

  void Signal(int signal) const { ::kill(pid_, signal); }

  /// Returns how the process ended; nothing while it runs.
  std::optional<std::string> Ended() {
    int status = 0;
    if (pid_ < 0 || ::waitpid(pid_, &status, WNOHANG) != pid_) {
      return std::nullopt;
    }
    std::erase(Started(), pid_);
    pid_ = -1;
    std::ifstream log(folder_ + "/" + name_ + ".log");
    std::string line;
    while (std::getline(log, line)) {
      if (line.find("terminate") != std::string::npos || line.find("what()") != std::string::npos) {
        Note("%s wrote: %s", name_.c_str(), line.c_str());
      }
    }
    return WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                               : "exit code " + std::to_string(WEXITSTATUS(status));
  }

  /// Asks /v1/readyz until it answers 200.
  bool WaitReady(int timeoutMs) const {
    const auto until = Clock::now() + milliseconds(timeoutMs);
    while (Clock::now() < until) {
      if (IsReady()) {
        return true;
      }
      SleepMs(50);
    }
    siginfo_t end{};
    if (::waitid(P_PID, static_cast<id_t>(pid_), &end, WEXITED | WNOHANG | WNOWAIT) == 0 && end.si_pid == pid_) {
      Note("%s has ended, code %d, status %d", name_.c_str(), end.si_code, end.si_status);
    }
    return false;
  }
  bool IsReady() const {
    const int fd = Connect("127.0.0.1", ready_);
    if (fd < 0) {
      return false;
    }
    SendAll(fd, "GET /v1/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
    const auto answer = Reader(fd).Read(Clock::now() + milliseconds(1000), true);
    ::close(fd);
    return answer && answer->Status() == 200;
  }
};

// ---------------------------------------------------------------------------------------------- backend servers

struct Arrival {
  std::string backend_;
  std::string id_;
  Message request_;
  Clock::time_point at_;
  int fd_ = -1;
};

/// One backend server beside a daemon. It reports itself and serves one request at a time on a connection.
class Backend {
public:
  /// Returns the bytes of the answer; nothing leaves the connection to the handler, which then ends it.
  using Handler = std::function<std::optional<std::string>(const Arrival&)>;

  Backend(std::string id, const Daemon& daemon, int slots = 18) : id_(std::move(id)), daemon_(daemon), slots_(slots) {
    born_ = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
  }
  ~Backend() { Stop(); }

  /// Without reports of its own the case sends them.
  void Start(Handler handler, bool reports = true) {
    handler_ = std::move(handler);
    if (!server_.Start("127.0.0.1", daemon_.app_, [this](int fd) { Serve(fd); })) {
      CannotRun("a backend server cannot listen");
    }
    if (!reports) {
      return;
    }
    reporter_ = std::thread([this] {
      while (!stopping_) {
        Report();
        for (int waited = 0; waited < daemon_.bounds_.heartbeatMs && !stopping_; waited += 50) {
          SleepMs(50);
        }
      }
    });
  }
  void Stop() {
    stopping_ = true;
    if (reporter_.joinable()) {
      reporter_.join();
    }
    server_.Stop();
  }
  /// Ends like a process that crashes: nothing is said, the listener and all connections are gone. The object has to
  /// outlive the threads of its connections.
  void Crash() {
    stopping_ = true;
    server_.Stop();
    server_.Cut();
  }
  /// Sends a status report with the next number; returns whether it was acknowledged within a second.
  bool Report() { return Deliver(MakeReport()); }
  /// Returns the next status report; its sender may be slow to get it to the daemon.
  std::string MakeReport() {
    return "{\"service\":\"" + daemon_.service_ + "\",\"address\":\"127.0.0.1:" + std::to_string(daemon_.app_) +
           "\",\"zone\":\"" + daemon_.zone_ + "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots_) +
           ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":" +
           std::to_string(++seq_) + ",\"born\":" + std::to_string(born_) + "}";
  }
  bool Deliver(const std::string& body) const { return Call("PUT", body); }
  /// Says that it is gone; returns whether that was acknowledged within a second.
  bool Leave() {
    leaving_ = true;
    return Call("DELETE", "");
  }
  [[nodiscard]] const std::string& Id() const { return id_; }

  /// The stamp that a success bears.
  [[nodiscard]] std::string StampFor(const std::string& requestId) const { return id_ + "." + requestId; }

  [[nodiscard]] std::string Answer(const Arrival& arrival, int status, const std::string& body,
                                   const std::string& more = {}) const {
    return Response(status, "Request-Id: " + arrival.id_ + "\r\nServer-Stamp: " + StampFor(arrival.id_) + "\r\n" + more,
                    body);
  }

private:
  bool Call(const std::string& method, const std::string& body) const {
    const int fd = Connect("127.0.0.1", daemon_.reports_);
    if (fd < 0) {
      return false;
    }
    SendAll(fd, method + " /v1/instances/" + id_ + " HTTP/1.1\r\nHost: reports\r\nContent-Type: application/json\r\n" +
                  "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    const auto answer = Reader(fd).Read(Clock::now() + milliseconds(1000), true);
    ::close(fd);
    return answer && answer->Status() / 100 == 2;
  }

  void Serve(int fd) {
    Reader reader(fd);
    while (!stopping_) {
      const auto request = reader.Read(Clock::now() + std::chrono::seconds(10), false);
      if (!request || !request->complete_) {
        return;
      }
      Arrival arrival{ id_, request->Field("Request-Id"), *request, Clock::now(), fd };
      if (request->Target() == "/healthz") {
        if (!SendAll(fd, Response(leaving_ ? 503 : 200, "Instance-Id: " + id_ + "\r\nServer-Load: 0,0," + std::to_string(slots_) + "\r\n",
                                  ""))) {
          return;
        }
        continue;
      }
      const std::string expected = request->Field("Expect-Instance");
      if (!expected.empty() && expected != id_) {
        if (!SendAll(fd, Response(421, "Instance-Id: " + id_ + "\r\n", ""))) {
          return;
        }
        continue;
      }
      const auto answer = handler_(arrival);
      if (!answer || !SendAll(fd, *answer)) {
        return;
      }
    }
  }

  std::string id_;
  const Daemon& daemon_;
  int slots_;
  long long born_ = 0;
  std::atomic<int> seq_{ 0 };
  std::atomic<bool> leaving_{ false };
  std::atomic<bool> stopping_{ false };
  Handler handler_;
  Server server_;
  std::thread reporter_;
};

// ---------------------------------------------------------------------------------------------- configuration

struct Route {
  std::string prefix_;
  std::string kind_;
  std::string service_;
  int timeoutMs_ = 1500;
  int attempts_ = 2;
};

inline std::string Config(int version, const std::vector<Route>& routes, const std::vector<std::string>& services,
                          long maxHeaderBytes = 16384) {
  std::string rules;
  for (const Route& route : routes) {
    rules += (rules.empty() ? "" : ",") + std::string("{\"name\":\"r") + std::to_string(rules.size()) +
             "\",\"kind\":\"" + route.kind_ + "\",\"target_latency_ms\":500,\"priority\":1,\"match\":{\"path_prefix\":\"" +
             route.prefix_ + "\"},\"action\":{\"service\":\"" + route.service_ +
             "\",\"timeout_ms\":" + std::to_string(route.timeoutMs_) +
             ",\"max_attempts\":" + std::to_string(route.attempts_) + "}}";
  }
  std::string clusters;
  for (const std::string& service : services) {
    clusters += (clusters.empty() ? "" : ",") + std::string("{\"name\":\"") + service +
                "\",\"health_path\":\"/healthz\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}";
  }
  return "{\"version\":" + std::to_string(version) + ",\"limits\":{\"max_header_bytes\":" +
         std::to_string(maxHeaderBytes) +
         ",\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
         "\"listeners\":[{\"host\":\"furnace.example\",\"rules\":[" + rules + "]}],\"clusters\":[" + clusters + "]}";
}

inline bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// Makes the folder of this run below the temporary folder.
inline std::string TemporaryFolder() {
  const char* base = std::getenv("TMPDIR");
  std::string name = std::string(base == nullptr ? "/tmp" : base) + "/hemlock-review-XXXXXX";
  if (::mkdtemp(name.data()) == nullptr) {
    CannotRun("no temporary folder");
  }
  RunFolder() = name;
  return name;
}

} // namespace mesh
