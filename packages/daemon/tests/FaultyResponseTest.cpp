#include "hemlockproxy/daemon/HttpUpstream.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "TestLoop.h"

#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::daemon;
using model::RequestOutcome;
using std::chrono::milliseconds;
namespace http = runtime::http;

namespace {

constexpr milliseconds kDeadline{ 1000 };

/// Answers the requests on its one connection with the given bytes, one text each, and closes it.
class ScriptedServer
{
public:
  explicit ScriptedServer(std::vector<std::string> aResponses)
    : acceptor_(io_, { boost::asio::ip::make_address("127.0.0.1"), 0 })
    , address_{ "127.0.0.1", acceptor_.local_endpoint().port() }
    , thread_([this, responses = std::move(aResponses)] { Serve(responses); })
  {
  }
  ~ScriptedServer() { thread_.join(); }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  [[nodiscard]] const model::Address& Address() const noexcept { return address_; }

private:
  void Serve(const std::vector<std::string>& aResponses)
  {
    namespace asio = boost::asio;
    auto socket = acceptor_.accept();
    std::string received;
    boost::system::error_code error;
    for (const std::string& response : aResponses) {
      const auto bytes =
        asio::read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n", error);
      received.erase(0, bytes);
      asio::write(socket, asio::buffer(response), error);
    }
  }

  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  model::Address address_;
  std::thread thread_;
};

/// Knows rejections by the field "Not-Run"; responses may name their request in the field "Id".
class IdDialect final : public Dialect
{
public:
  [[nodiscard]] CallerRequest ReadCallerRequest(const runtime::RequestHeader&) const override
  {
    return {};
  }
  void WriteBackendRequest(runtime::RequestHeader&, const BackendRequest&) const override {}
  [[nodiscard]] BackendResponse ReadBackendResponse(const runtime::ResponseHeader& aHeader,
                                                    std::string_view aRequestId) const override
  {
    BackendResponse response;
    response.namesRequest_ = std::string(aHeader["Id"]) == aRequestId;
    response.meaning_ =
      aHeader.find("Not-Run") != aHeader.end() ? ResponseMeaning::NotRun : ResponseMeaning::Answer;
    return response;
  }
  [[nodiscard]] std::string RetryAfter(milliseconds) const override { return {}; }
};

/// Sends requests with the ids 1, 2, .. one after the other and returns their outcomes; bodies are
/// read to their ends.
std::vector<RequestOutcome> Ask(const model::Address& aAddress,
                                std::size_t aRequests,
                                const Dialect* aDialect = nullptr)
{
  std::vector<RequestOutcome> outcomes;
  runtime::RunInLoop([&](const runtime::IoContextPtr& aIo) {
    runtime::HttpConnectionPool pool(aIo, 1, kDeadline);
    for (std::size_t i = 1; i <= aRequests; ++i) {
      UpstreamRequest request;
      request.header_ = runtime::MakeRequest(http::verb::get, "/", aAddress);
      request.id_ = std::to_string(i);
      request.deadline_ = std::chrono::steady_clock::now() + kDeadline;
      ExchangeOptions options;
      options.dialect_ = aDialect;
      const UpstreamReply reply = RunExchange(pool, aAddress, request, options);
      outcomes.push_back(reply.outcome_);
      std::string part(runtime::kBodyPartBytes, '\0');
      while (reply.body_) {
        if (const auto read = reply.body_->Read(part.data(), part.size()); !read || *read == 0) {
          break;
        }
      }
    }
  });
  return outcomes;
}

std::string Rejection(const std::string& aId)
{
  return "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" +
         (aId.empty() ? "" : "Id: " + aId + "\r\n") + "Content-Length: 0\r\n\r\n";
}

} // namespace

TEST_GROUP(FaultyResponse){};

// Guards against an answer with an empty body for a response that broke off inside its head.
TEST(FaultyResponse, AHeadThatBreaksOffIsNoAnswer)
{
  const std::string head = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\n";
  for (std::size_t length = 0; length < head.size(); ++length) {
    const ScriptedServer server({ head.substr(0, length) });
    CHECK_TRUE(Ask(server.Address(), 1).front() == RequestOutcome::Unknown);
  }
}

// Guards against "not run" for a request that ran, by a rejection written once more.
TEST(FaultyResponse, AnOldRejectionWithoutIdIsNotTakenForThatOfALaterRequest)
{
  const ScriptedServer server({ Rejection(""), Rejection("") });
  const IdDialect dialect;
  const auto outcomes = Ask(server.Address(), 2, &dialect);
  CHECK_TRUE(outcomes[0] == RequestOutcome::NotRun);
  CHECK_TRUE(outcomes[1] == RequestOutcome::Unknown);
}

TEST(FaultyResponse, ARejectionThatNamesItsRequestIsTakenOnAKeptConnection)
{
  const ScriptedServer server({ Rejection("1"), Rejection("2") });
  const IdDialect dialect;
  const auto outcomes = Ask(server.Address(), 2, &dialect);
  CHECK_TRUE(outcomes[0] == RequestOutcome::NotRun);
  CHECK_TRUE(outcomes[1] == RequestOutcome::NotRun);
}
