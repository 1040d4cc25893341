// Bytes of a backend server that are cut at any position or mutated: a caller never receives a
// complete response made of bytes that the backend server did not finish.

#include "TrafficFixture.h"

#include "RawServer.h"

// CppUTest redefines new, which RapidCheck's headers do not expect.
#include <rapidcheck.h>

#include <boost/asio/read.hpp>

#include <array>
#include <atomic>
#include <cctype>
#include <cstdio>
#include <cstdlib>
#include <future>
#include <mutex>
#include <optional>

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::daemon;
using namespace hemlockproxy::daemon::test;

namespace {

namespace asio = boost::asio;

/// How the backend server ends its connection.
enum class End : std::uint8_t
{
  Close,
  Reset,
  /// Closes its side first and then resets the connection.
  CloseThenReset,
};

/// What a backend server does with one request.
struct Script
{
  std::string response_;
  End end_ = End::Close;
  /// Whether it reads the whole request before it responds.
  bool readsRequest_ = true;
};

/// What a caller sends and what came of it.
struct Exchanged
{
  std::string received_;
  bool closedInOrder_ = false;
};

/// A message as a lenient reader takes it.
struct Message
{
  unsigned status_ = 0;
  std::string body_;
};

std::string Lower(std::string aText)
{
  for (char& byte : aText) {
    byte = static_cast<char>(std::tolower(static_cast<unsigned char>(byte)));
  }
  return aText;
}

/// Returns the value of the first field with the name.
std::optional<std::string> FieldOf(const std::string& aHead, const std::string& aName)
{
  const auto at = Lower(aHead).find("\r\n" + aName + ":");
  if (at == std::string::npos) {
    return std::nullopt;
  }
  const auto first = at + aName.size() + 3;
  std::string value = aHead.substr(first, aHead.find("\r\n", first) - first);
  value.erase(0, value.find_first_not_of(" \t"));
  return value.substr(0, value.find_last_not_of(" \t") + 1);
}

std::optional<std::string> Unchunked(std::string_view aBytes)
{
  std::string body;
  while (true) {
    const auto lineEnd = aBytes.find("\r\n");
    if (lineEnd == std::string_view::npos) {
      return std::nullopt;
    }
    const std::string line(aBytes.substr(0, lineEnd));
    char* end = nullptr;
    const auto size = std::strtoull(line.c_str(), &end, 16);
    if (end == line.c_str()) {
      return std::nullopt;
    }
    aBytes.remove_prefix(lineEnd + 2);
    if (size == 0) {
      const bool ended = aBytes.starts_with("\r\n") || aBytes.find("\r\n\r\n") != aBytes.npos;
      return ended ? std::optional(body) : std::nullopt;
    }
    if (aBytes.size() < 2 || size > aBytes.size() - 2) {
      return std::nullopt;
    }
    body += aBytes.substr(0, size);
    aBytes.remove_prefix(size + 2);
  }
}

/// Returns the message that the bytes are when their sender has finished it; nothing when it has
/// not, or when the bytes are no message.
std::optional<Message> FinishedMessage(const std::string& aBytes, bool aClosedInOrder)
{
  const auto headEnd = aBytes.find("\r\n\r\n");
  if (headEnd == std::string::npos || !aBytes.starts_with("HTTP/1.")) {
    return std::nullopt;
  }
  const std::string head = aBytes.substr(0, headEnd + 2);
  const std::string rest = aBytes.substr(headEnd + 4);
  Message message;
  message.status_ = static_cast<unsigned>(std::strtoul(head.substr(9, 3).c_str(), nullptr, 10));
  if (message.status_ < 100 || message.status_ > 599) {
    return std::nullopt;
  }
  if (message.status_ < 200) {
    return FinishedMessage(rest, aClosedInOrder);
  }
  if (message.status_ == 204 || message.status_ == 304) {
    return message;
  }
  if (const auto coding = FieldOf(head, "transfer-encoding")) {
    auto body = Unchunked(rest);
    if (!body) {
      return std::nullopt;
    }
    message.body_ = *std::move(body);
    return message;
  }
  if (const auto length = FieldOf(head, "content-length")) {
    const auto bytes = std::strtoull(length->c_str(), nullptr, 10);
    if (rest.size() < bytes) {
      return std::nullopt;
    }
    message.body_ = rest.substr(0, bytes);
    return message;
  }
  message.body_ = rest;
  return aClosedInOrder ? std::optional(message) : std::nullopt;
}

/// Serves requests by the script of the moment, over and over.
class ScriptedBackend
{
public:
  ScriptedBackend()
    : server_([this](RawServer::Socket& aSocket, int) { Serve(aSocket); }, kConnections)
  {
  }
  void Set(Script aScript)
  {
    const std::lock_guard lock(mutex_);
    script_ = std::move(aScript);
    receivedAll_ = false;
  }
  /// Returns whether the whole of the last request has come.
  [[nodiscard]] bool ReceivedAll() const
  {
    const std::lock_guard lock(mutex_);
    return receivedAll_;
  }
  [[nodiscard]] const model::Address& Address() const noexcept { return server_.Address(); }

private:
  static constexpr int kConnections = 1'000'000;

  void Serve(RawServer::Socket& aSocket)
  {
    Script script;
    {
      const std::lock_guard lock(mutex_);
      script = script_;
    }
    const auto all = ReadRequest(aSocket, script.readsRequest_);
    if (!all) {
      return; // The owner looks whether the backend server still accepts connections.
    }
    {
      const std::lock_guard lock(mutex_);
      receivedAll_ = *all;
    }
    Write(aSocket, script.response_);
    if (script.end_ == End::CloseThenReset) {
      boost::system::error_code ignored;
      aSocket.shutdown(RawServer::Socket::shutdown_send, ignored);
    }
    if (script.end_ != End::Close) {
      // What the peer has not received yet may be lost by a reset.
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
      Reset(aSocket);
    }
  }

  mutable std::mutex mutex_;
  Script script_;
  bool receivedAll_ = false;
  RawServer server_;
};

/// A daemon with its loop on a thread of its own: callers reach its backend server through the
/// entry or, as other daemons do, through the forward port.
class Daemon
{
public:
  explicit Daemon(const model::Address& aBackend)
    : thread_([this, aBackend] {
      runtime::RunInLoop([&](const runtime::IoContextPtr& aIo) { Run(aIo, aBackend); });
    })
  {
    auto [entry, forward] = addresses_.get_future().get();
    entry_ = entry;
    forward_ = forward;
  }
  ~Daemon()
  {
    stopping_ = true;
    thread_.join();
  }
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  [[nodiscard]] const model::Address& Entry() const noexcept { return entry_; }
  [[nodiscard]] const model::Address& Forward() const noexcept { return forward_; }

private:
  void Run(const runtime::IoContextPtr& aIo, const model::Address& aBackend)
  {
    Surroundings surroundings;
    // The backend server is the one of the entry's own daemon.
    auto view = std::make_shared<TrafficView>(*MakeView({ aBackend }));
    auto member = std::make_shared<model::MemberRecord>(*view->endpoints_.front());
    member->id_ = model::DaemonId("entry");
    view->endpoints_ = { member };
    surroundings.views_.Store(view);
    const auto owner = MakeOwner(aIo, surroundings, aBackend);
    const auto entry = MakeEntry(aIo, surroundings, *owner);
    {
      Server callers(aIo, [&](auto& aExchange) { entry->Handle(aExchange); });
      Server daemons(aIo, [&](auto& aExchange) { owner->HandleForwarded(aExchange); });
      callers.Start();
      daemons.Start();
      addresses_.set_value({ callers.Address(), daemons.Address() });
      while (!stopping_) {
        boost::this_fiber::sleep_for(kPoll);
      }
    }
    boost::this_fiber::sleep_for(kSettle);
  }

  std::promise<std::pair<model::Address, model::Address>> addresses_;
  model::Address entry_;
  model::Address forward_;
  std::atomic<bool> stopping_{ false };
  std::thread thread_;
};

/// Sends a request and reads what comes back.
Exchanged Call(const model::Address& aAddress, const std::string& aRequest)
{
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  socket.connect({ asio::ip::make_address(aAddress.ip_), aAddress.port_ });
  boost::system::error_code error;
  asio::write(socket, asio::buffer(aRequest), error);
  Exchanged exchanged;
  asio::read(socket, asio::dynamic_buffer(exchanged.received_), error);
  exchanged.closedInOrder_ = error == asio::error::eof;
  return exchanged;
}

/// Returns a request whose body of the given size is in chunks.
std::string RequestOf(const std::string& aMethod, unsigned aVersion, std::size_t aUpload)
{
  constexpr std::size_t kChunk = 32768;
  std::string request = aMethod + " / HTTP/1." + std::to_string(aVersion) +
                        "\r\nHost: a\r\nHemlock-Service: service\r\n"
                        "Hemlock-Deadline-Ms: 5000\r\nConnection: close\r\n";
  if (aUpload == 0) {
    return request + "\r\n";
  }
  request += "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t left = aUpload; left > 0;) {
    const std::size_t size = std::min(left, kChunk);
    std::array<char, 16> line{};
    const int length = std::snprintf(line.data(), line.size(), "%zx\r\n", size);
    request.append(line.data(), static_cast<std::size_t>(length));
    request.append(size, 'u').append("\r\n");
    left -= size;
  }
  return request + "0\r\n\r\n";
}

/// Returns whether a daemon gave the response out as that of the backend server.
bool IsAnswer(const std::string& aReceived)
{
  const auto outcome =
    FieldOf(aReceived.substr(0, aReceived.find("\r\n\r\n") + 2), "hemlock-outcome");
  return !outcome || *outcome == "answered";
}

constexpr std::array kResponses = {
  "HTTP/1.1 200 OK\r\nConnection: close\r\nX-A: b\r\nContent-Length: 12\r\n\r\nabcdefghijkl",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
  "4\r\nabcd\r\n8;x=y\r\nefghijkl\r\n0\r\n\r\n",
  "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\nabcdefghijkl",
  "HTTP/1.0 200 OK\r\n\r\nabcdefghijkl",
  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\n\r\nabcdefghijkl",
};
constexpr std::size_t kShortUpload = 3000;
/// More than the part of a body that is read before a request is sent on.
constexpr std::size_t kLongUpload = 300'000;

/// Changes bytes at random places.
std::string Mutated(std::string aBytes)
{
  const auto changes = *rc::gen::inRange(0, 4);
  for (int i = 0; i < changes && !aBytes.empty(); ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, aBytes.size());
    const auto byte = *rc::gen::oneOf(rc::gen::arbitrary<char>(),
                                      rc::gen::elementOf(std::string("\r\n \t:;,0123456789\x01")));
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        aBytes[at] = byte;
        break;
      case 1:
        aBytes.insert(at, 1, byte);
        break;
      case 2:
        aBytes.erase(at, *rc::gen::inRange<std::size_t>(1, 8));
        break;
      default:
        aBytes.insert(at, aBytes.substr(at, *rc::gen::inRange<std::size_t>(1, 40)));
    }
  }
  return aBytes;
}

} // namespace

TEST_GROUP(ResponseBytes){};

// Guards against responses that callers take for complete and that their backend server did not
// finish, or that are not its bytes.
TEST(ResponseBytes, NoUnfinishedResponseIsComplete)
{
  ScriptedBackend backend;
  const Daemon daemon(backend.Address());
  int answers = 0;
  const bool holds = rc::check([&] {
    Script script;
    script.response_ = Mutated(*rc::gen::elementOf(kResponses));
    if (*rc::gen::inRange(0, 2) == 0) {
      script.response_.resize(*rc::gen::inRange<std::size_t>(0, script.response_.size() + 1));
    }
    script.end_ = *rc::gen::element(End::Close, End::Reset, End::CloseThenReset);
    script.readsRequest_ = *rc::gen::inRange(0, 3) > 0;
    const auto upload = *rc::gen::element<std::size_t>(0, kShortUpload, kLongUpload);
    const auto version = upload > 0 ? 1U : *rc::gen::element(0U, 1U);
    const bool forwarded = *rc::gen::arbitrary<bool>();
    backend.Set(script);
    const auto exchanged = Call(forwarded ? daemon.Forward() : daemon.Entry(),
                                RequestOf(upload > 0 ? "POST" : "GET", version, upload));
    const auto received = FinishedMessage(exchanged.received_, exchanged.closedInOrder_);
    if (!received || !IsAnswer(exchanged.received_)) {
      return;
    }
    ++answers;
    // A short upload is written whole before the response is read, so that a close of the backend
    // server's side is in order, whatever it has read. Closing both sides with unread bytes resets.
    const bool sentWhole = script.end_ == End::CloseThenReset && upload <= kShortUpload;
    const auto sent = FinishedMessage(
      script.response_, script.end_ != End::Reset && (backend.ReceivedAll() || sentWhole));
    RC_ASSERT(sent.has_value());
    RC_ASSERT(received->status_ == sent->status_);
    RC_ASSERT(received->body_ == sent->body_);
  });
  CHECK_TRUE(holds);
  // The property says nothing if all responses are rejected.
  CHECK_TRUE(answers > 0);
}

// The same for each position at which a response can break off.
TEST(ResponseBytes, NoResponseCutAtAnyPositionIsComplete)
{
  ScriptedBackend backend;
  runtime::RunInLoop([&](const runtime::IoContextPtr& aIo) {
    for (const std::string response : kResponses) {
      for (std::size_t length = 0; length <= response.size(); ++length) {
        for (const End end : { End::Close, End::Reset }) {
          const std::string bytes = response.substr(0, length);
          backend.Set({ bytes, end, true });
          runtime::HttpConnectionPool pool(aIo, 1, kExchangeTimeout);
          const auto reply =
            runtime::Fetch(pool,
                           backend.Address(),
                           runtime::MakeRequest(runtime::http::verb::get, "/", backend.Address()),
                           {},
                           kExchangeTimeout,
                           1024);
          const auto sent = FinishedMessage(bytes, end == End::Close);
          CHECK_TRUE(!reply || (sent && reply->body_ == sent->body_));
          CHECK_TRUE(reply.Ok() || length < response.size() || end != End::Close);
        }
      }
    }
  });
}
