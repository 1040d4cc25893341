#include "hemlockproxy/testing/CommandLine.h"
#include "hemlockproxy/testing/HttpServer.h"
#include "hemlockproxy/testing/Programs.h"
#include "hemlockproxy/testing/Query.h"
#include "link/TcpLink.h"
#include "link/UdpLink.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <thread>

namespace hemlockproxy::testing {

namespace {

namespace asio = boost::asio;

constexpr std::size_t kAdminConnections = 32;
constexpr std::int64_t kMostSeed = 1'000'000'000;

std::string Usage()
{
  return "Relays TCP connections and datagrams with delay, loss and cuts.\n\n"
         "Usage:\n  hemlock-test-link [--tcp=PAIR]... [--udp=PAIR]... [options]\n\n"
         "Options:\n"
         "  --tcp=PAIR        LISTEN=TARGET, both IP:PORT; port 0 of LISTEN chooses one.\n"
         "  --udp=PAIR        The same for datagrams.\n"
         "  --admin=ADDRESS   Address of the admin port [default: 127.0.0.1:0].\n"
         "  --seed=N          Seed of loss and jitter [default: 1].\n"
         "  -h --help         Show this text.\n\n"
         "The line `listening` names the admin port. GET /stats shows pairs, counters and faults.\n"
         "POST /set?pair=LISTEN&NAME=VALUE&... sets faults; pair=all is every pair, clear=1 first\n"
         "restores the defaults. With from=PREFIX they apply to clients whose IP number starts\n"
         "with PREFIX; the longest prefix wins. A new TCP connection waits two delays for its\n"
         "handshake before its bytes are relayed.\n\n" +
         DescribeFaults(LinkFaultTable());
}

/// All pairs with their sockets; used by the thread of the io_context only.
class Links
{
public:
  explicit Links(asio::io_context& aContext)
    : context_(aContext)
  {
  }

  void Add(LinkProtocol aProtocol,
           const model::Address& aListen,
           const model::Address& aTarget,
           std::uint64_t aSeed)
  {
    LinkPair& pair =
      *pairs_.emplace_back(std::make_unique<LinkPair>(aProtocol, ToString(aTarget), aSeed));
    if (aProtocol == LinkProtocol::Tcp) {
      tcp_.push_back(std::make_unique<TcpLink>(
        context_, Endpoint<asio::ip::tcp>(aListen), Endpoint<asio::ip::tcp>(aTarget), pair));
    } else {
      udp_.push_back(std::make_unique<UdpLink>(
        context_, Endpoint<asio::ip::udp>(aListen), Endpoint<asio::ip::udp>(aTarget), pair));
    }
  }

  /// Returns an empty text, or what is wrong with the parameters.
  std::string Set(std::map<std::string, std::string> aParameters)
  {
    const std::string name = aParameters["pair"];
    const std::string prefix = aParameters["from"];
    aParameters.erase("pair");
    aParameters.erase("from");
    bool found = false;
    for (const auto& pair : pairs_) {
      if (name != "all" && name != pair->Name()) {
        continue;
      }
      found = true;
      const auto faults = ApplyFaults(LinkFaultTable(), pair->FaultsOf(prefix), aParameters);
      if (!faults) {
        return faults.Error().message_;
      }
      pair->SetFaults(prefix, *faults);
    }
    for (const auto& link : tcp_) {
      link->ApplyReset();
    }
    return found ? std::string() : "pair: '" + name + "' is unknown; expected all or a LISTEN";
  }

  [[nodiscard]] std::string Stats() const
  {
    std::string text = "pairs:\n";
    for (const auto& pair : pairs_) {
      text += pair->Stats();
    }
    return text;
  }

private:
  template <typename Protocol>
  static typename Protocol::endpoint Endpoint(const model::Address& aAddress)
  {
    return { asio::ip::make_address(aAddress.ip_), aAddress.port_ };
  }

  asio::io_context& context_;
  std::vector<std::unique_ptr<LinkPair>> pairs_;
  std::vector<std::unique_ptr<TcpLink>> tcp_;
  std::vector<std::unique_ptr<UdpLink>> udp_;
};

void AddPairs(const CommandLine& aOptions,
              const std::string& aOption,
              LinkProtocol aProtocol,
              Links& aLinks)
{
  const auto seed = static_cast<std::uint64_t>(aOptions.Number("--seed", 0, kMostSeed));
  for (const std::string& text : aOptions.List(aOption)) {
    const std::size_t equals = text.find('=');
    if (equals == std::string::npos) {
      std::string message = aOption;
      message.append(": '").append(text).append("' is not valid; expected LISTEN=TARGET");
      aOptions.Fail(message);
    }
    const auto listen = ParseListenAddress(text.substr(0, equals));
    const auto target = model::ParseAddress(text.substr(equals + 1));
    if (!listen || !target) {
      aOptions.Fail(aOption + ": " + (listen ? target : listen).Error().message_);
    }
    try {
      aLinks.Add(aProtocol, *listen, *target, seed);
    } catch (const boost::system::system_error& error) {
      aOptions.Fail(aOption + ": cannot listen on " + ToString(*listen) + ": " + error.what());
    }
  }
}

/// Runs a function on the thread of the context and returns its result.
template <typename Function>
std::string RunOn(asio::io_context& aContext, Function aFunction)
{
  std::packaged_task<std::string()> task(std::move(aFunction));
  std::future<std::string> result = task.get_future();
  asio::post(aContext, std::move(task));
  return result.get();
}

bool HandleAdmin(asio::io_context& aContext,
                 Links& aLinks,
                 const HttpRequest& aRequest,
                 HttpConnection& aConnection)
{
  const Target target = ParseTarget(TargetText(aRequest));
  if (target.path_ == "/stats") {
    return aConnection.Send(aConnection.MakeResponse(
      http::status::ok, RunOn(aContext, [&aLinks] { return aLinks.Stats(); })));
  }
  if (target.path_ != "/set" || aRequest.method() != http::verb::post) {
    return aConnection.Send(
      aConnection.MakeResponse(http::status::not_found, "expected POST /set or GET /stats\n"));
  }
  const std::string error = RunOn(aContext, [&] { return aLinks.Set(target.parameters_); });
  return aConnection.Send(error.empty()
                            ? aConnection.MakeResponse(http::status::ok, "set\n")
                            : aConnection.MakeResponse(http::status::bad_request, error + "\n"));
}

} // namespace

int RunTestLink(int aCount, char** aArguments)
{
  const CommandLine options(Usage(), aCount, aArguments);
  ExitOnTerminate();
  asio::io_context context;
  Links links(context);
  AddPairs(options, "--tcp", LinkProtocol::Tcp, links);
  AddPairs(options, "--udp", LinkProtocol::Udp, links);
  auto admin = HttpServer::Create(
    options.Listen("--admin"),
    [&](const HttpRequest& aRequest, HttpConnection& aConnection) {
      return HandleAdmin(context, links, aRequest, aConnection);
    },
    kAdminConnections);
  if (!admin) {
    options.Fail(admin.Error().message_);
  }
  std::thread([&context] {
    const auto guard = asio::make_work_guard(context);
    context.run();
  }).detach();
  PrintListening((*admin)->LocalAddress());
  (*admin)->Run();
}

} // namespace hemlockproxy::testing
