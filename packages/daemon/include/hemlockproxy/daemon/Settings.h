#pragma once

#include "hemlockproxy/model/Address.h"
#include "hemlockproxy/model/Ids.h"
#include "hemlockproxy/model/Result.h"
#include "hemlockproxy/model/SourcePosition.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockproxy::daemon {

/// The trade-off between convergence time and control bytes.
enum class Profile : std::uint8_t
{
  Fast,
  Frugal,
};

/// Which platform the daemon talks to: the log service, backend servers and callers.
enum class Interface : std::uint8_t
{
  /// The product's own: service files published with hemlockctl, Hemlock-* fields, announcements on
  /// the admin port.
  Hemlock,
  /// The platform of the folder platform/.
  Platform,
};

/// The settings of one daemon; docs/configuration.md lists keys, units, defaults and bounds.
struct Settings
{
  /// The file that the settings were read from; empty for those from a text.
  std::string path_;
  std::string name_;
  model::Region region_;
  model::FailureDomain domain_;
  model::Address caller_;
  model::Address forward_;
  model::Address control_;
  model::Address admin_;
  /// The addresses that other daemons use, where they differ from those listened on; default to
  /// those.
  model::Address advertiseForward_;
  model::Address advertiseControl_;
  model::Address log_;
  std::vector<model::Address> seeds_;
  Interface interface_ = Interface::Hemlock;
  /// Where the platform asks whether callers may be sent to this daemon; unused without an IP.
  model::Address ready_;
  /// Where the backend server of this instance reports; unused without an IP.
  model::Address reports_;
  /// Serves the metrics to other machines; unused without an IP.
  model::Address metrics_;
  /// The service of the backend server on this instance, named to backend servers as the caller.
  model::ServiceName callerService_;
  /// The time within which a new version is to be in force.
  std::chrono::milliseconds applyWithin_{ 8000 };
  /// Retries of all daemons to a service in each retryWindow_: this share of its requests, and
  /// retryExtra_ more. No share means that each service's own retry rule decides.
  double retryShare_ = 0;
  std::chrono::milliseconds retryWindow_{ 10000 };
  std::uint32_t retryExtra_ = 0;
  Profile profile_ = Profile::Fast;
  /// How long a graceful shutdown waits for requests in progress.
  std::chrono::milliseconds drainLimit_{ 60000 };
  /// The interval of backend server announcements; three missed ones withdraw the endpoint.
  std::chrono::milliseconds announceInterval_{ 1000 };
  /// Without progress of a body for this time, an exchange is given up.
  std::chrono::milliseconds stallTimeout_{ 10000 };
  std::chrono::milliseconds logTimeout_{ 5000 };
  /// The log's retention time; checkpoints are appended after a third of it. Claims need 24 h and
  /// 20 min at least.
  std::chrono::milliseconds logRetention_{ std::chrono::hours(48) };
  /// Whether the traffic thread polls briefly before it waits for I/O, which saves the wake-up when
  /// an answer comes soon. To be turned off where processor time is short.
  bool trafficSpin_ = true;
  /// The rate of the instance's link in bytes/s, written as link_mbps; 0 means that it is not
  /// known.
  std::uint64_t linkBytesPerSecond_ = 0;
  /// The instance's memory in bytes, written as memory_mb; 0 takes the process's own limit.
  std::uint64_t memoryBytes_ = 0;
  /// The descriptors that the process may open; 0 takes the process's own limit.
  std::uint64_t descriptors_ = 0;
  /// Connections that the caller, forward, ready and reports ports take together; 0 derives the
  /// number from the descriptors.
  std::uint64_t connections_ = 0;
  /// Bytes that these connections and their requests may take together by estimate, written as
  /// connection_memory_mb; 0 derives them from the instance's memory.
  std::uint64_t connectionMemoryBytes_ = 0;
  /// Whether daemons lend each other shares of customers' allowances by demand; otherwise each has
  /// an equal share.
  bool allowanceLending_ = false;
  /// A request that the backend server has not answered after this many times the mean service time
  /// of its kind is given up; 0 waits until the deadline.
  double hangFactor_ = 0;
  std::string logLevel_ = "info";

  friend bool operator==(const Settings&, const Settings&) = default;
};

/// Returns the id of the daemon with these settings: its advertised control address.
[[nodiscard]] model::DaemonId IdOf(const Settings& aSettings);

/// A fault in a settings file.
struct SettingsError
{
  model::SourcePosition position_;
  /// What was found and what is expected.
  std::string message_;
};

/// Returns "path:line:column: message".
[[nodiscard]] std::string ToString(const SettingsError& aError);

using SettingsErrors = std::vector<SettingsError>;

/// Parses settings; returns all faults, not only the first.
[[nodiscard]] model::Result<Settings, SettingsErrors> ParseSettings(std::string_view aText,
                                                                    const std::string& aPath);

/// Reads and parses a settings file.
[[nodiscard]] model::Result<Settings, SettingsErrors> LoadSettings(const std::string& aPath);

} // namespace hemlockproxy::daemon
