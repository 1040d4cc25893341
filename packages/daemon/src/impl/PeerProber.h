#pragma once

#include "hemlockproxy/decisions/PeerReach.h"
#include "hemlockproxy/model/Address.h"
#include "hemlockproxy/runtime/FiberLoop.h"
#include "hemlockproxy/runtime/HttpClient.h"
#include "hemlockproxy/runtime/HttpServer.h"

#include <functional>
#include <map>
#include <string>

namespace hemlockproxy::daemon::impl {

/// Watches the exchanges with other daemons and probes those that do not answer. Used on the
/// traffic thread.
class PeerProber
{
public:
  using OnChange = std::function<void(const decisions::PeerChange&)>;

  /// The pool takes the connections of answered probes and must outlive the prober.
  PeerProber(const runtime::IoContextPtr& aIo,
             runtime::HttpConnectionPool& aPool,
             std::string aLocalIp,
             OnChange aOnChange);

  /// Takes the forward addresses of the present peers.
  void SetPeers(std::map<model::DaemonId, model::Address> aPeers);
  void Started(const model::DaemonId& aPeer);
  void Ended(const model::DaemonId& aPeer, decisions::PeerSign aSign);
  /// Starts the probes that are due.
  void Tick();
  [[nodiscard]] decisions::PeerPath PathTo(const model::DaemonId& aPeer) const
  {
    return reach_.PathTo(aPeer);
  }

  [[nodiscard]] std::size_t ClosedCount() const { return reach_.ClosedCount(); }

private:
  void TellChanges();
  [[nodiscard]] bool Probe(const model::Address& aAddress);

  runtime::IoContextPtr io_;
  runtime::HttpConnectionPool& pool_;
  std::string localIp_;
  OnChange onChange_;
  decisions::PeerReach reach_;
  std::map<model::DaemonId, model::Address> addresses_;
};

/// Answers a probe; returns false when the exchange is something else.
bool AnswerProbe(runtime::HttpExchange& aExchange);

} // namespace hemlockproxy::daemon::impl
