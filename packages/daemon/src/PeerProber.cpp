#include "impl/PeerProber.h"

#include "hemlockproxy/daemon/Upstream.h"

#include <utility>

namespace hemlockproxy::daemon::impl {

namespace http = runtime::http;

namespace {

/// For the connection and the response. Many times the round trip between failure domains; a longer
/// one would only delay what is known of the peer.
constexpr std::chrono::milliseconds kProbeTimeout{ 200 };
constexpr std::string_view kProbeTarget = "*";

} // namespace

PeerProber::PeerProber(const runtime::IoContextPtr& aIo,
                       runtime::HttpConnectionPool& aPool,
                       std::string aLocalIp,
                       OnChange aOnChange)
  : io_(aIo)
  , pool_(aPool)
  , localIp_(std::move(aLocalIp))
  , onChange_(std::move(aOnChange))
{
}

void PeerProber::SetPeers(std::map<model::DaemonId, model::Address> aPeers)
{
  addresses_ = std::move(aPeers);
  std::vector<model::DaemonId> ids;
  ids.reserve(addresses_.size());
  for (const auto& [id, address] : addresses_) {
    ids.push_back(id);
  }
  reach_.SetPeers(ids);
}

void PeerProber::Started(const model::DaemonId& aPeer)
{
  reach_.Started(std::chrono::steady_clock::now(), aPeer);
}

void PeerProber::Ended(const model::DaemonId& aPeer, decisions::PeerSign aSign)
{
  reach_.Ended(std::chrono::steady_clock::now(), aPeer, aSign);
  TellChanges();
}

void PeerProber::Tick()
{
  for (const model::DaemonId& id : reach_.TakeProbes(std::chrono::steady_clock::now())) {
    runtime::SpawnFiber([this, id, address = addresses_[id]] {
      const bool answered = Probe(address);
      reach_.ProbeEnded(std::chrono::steady_clock::now(), id, answered);
      TellChanges();
    });
  }
}

void PeerProber::TellChanges()
{
  for (const decisions::PeerChange& change : reach_.TakeChanges()) {
    onChange_(change);
  }
}

bool PeerProber::Probe(const model::Address& aAddress)
{
  const auto deadline = std::chrono::steady_clock::now() + kProbeTimeout;
  // Always a new connection: an idle one may be older than the cut.
  auto connection = runtime::HttpConnection::Connect(*io_, aAddress, kProbeTimeout, localIp_);
  if (!connection) {
    return false;
  }
  const auto header = runtime::MakeRequest(http::verb::options, kProbeTarget, aAddress);
  if (!(*connection)->Send(header, {}, TimeLeft(deadline)) ||
      !(*connection)->ReadHeader(TimeLeft(deadline))) {
    return false;
  }
  pool_.Release(aAddress, *std::move(connection));
  return true;
}

bool AnswerProbe(runtime::HttpExchange& aExchange)
{
  const auto& request = aExchange.Request();
  if (request.method() != http::verb::options || request.target() != "*") {
    return false;
  }
  runtime::ResponseHeader header;
  header.result(http::status::no_content);
  (void)aExchange.SendHeader(std::move(header));
  (void)aExchange.Finish();
  return true;
}

} // namespace hemlockproxy::daemon::impl
