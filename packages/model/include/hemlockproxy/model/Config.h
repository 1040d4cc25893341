#pragma once

#include "hemlockproxy/model/Customer.h"
#include "hemlockproxy/model/Digest.h"
#include "hemlockproxy/model/Ids.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hemlockproxy::model {

/// One of several services that share the requests of a route.
struct WeightedTarget
{
  ServiceName service_;
  /// Its share of the requests, relative to the sum of all weights of the route.
  std::uint32_t weight_ = 1;

  friend bool operator==(const WeightedTarget&, const WeightedTarget&) = default;
};

/// Sends requests whose path starts with a prefix to a service.
struct RouteRule
{
  std::string prefix_;
  /// Upper-case HTTP methods; empty means all methods.
  std::vector<std::string> methods_;
  ServiceName target_;
  /// Whether a request may run more than once; unset means by method (GET, HEAD, OPTIONS, PUT,
  /// DELETE may).
  std::optional<bool> repeatable_;
  /// Whether a request without an Idempotency-Key header is refused.
  bool keyRequired_ = false;
  std::chrono::milliseconds timeout_{ 15000 };
  /// The value of the Host header, without a port; empty means any host.
  std::string host_;
  /// How the operator calls the route; empty where it has no name.
  std::string name_;
  /// The services that share the requests; empty means target_ alone.
  std::vector<WeightedTarget> split_;
  /// 0 is the most urgent.
  std::uint32_t priority_ = 1;
  /// The time within which a response is of full use to its caller; 0 means the timeout.
  std::chrono::milliseconds latencyTarget_{ 0 };
  /// Endpoints that one request may be sent to; 0 means by the service's retry rule.
  std::uint32_t attempts_ = 0;
  /// Whether requests need no key where the configuration lists customers.
  bool public_ = false;

  friend bool operator==(const RouteRule&, const RouteRule&) = default;
};

/// Names one limit of a service; every limit is per endpoint and may only be raised.
enum class LimitKind : std::uint8_t
{
  ConcurrentRequests = 1,
  QueuedRequests = 2,
  RequestsPerSecond = 3,
  BodyBytes = 4,
};

/// The limits that a service sets; a limit that is absent takes the default of DefaultLimit.
using LimitSet = std::map<LimitKind, std::uint64_t>;

/// Returns the limit's key in service files, such as "concurrent_requests".
[[nodiscard]] const char* LimitKey(LimitKind aKind) noexcept;

/// Returns the value in force where a service sets none: the backend server's slots decide for
/// ConcurrentRequests (0), 64 queued requests, no rate limit (0), 8 MiB of body.
[[nodiscard]] std::uint64_t DefaultLimit(LimitKind aKind) noexcept;

/// How the entry retries repeatable requests to a service.
struct RetryRule
{
  /// Attempts in all, the first one included.
  std::uint32_t attempts_ = 2;
  /// Retries as a percentage of first attempts.
  std::uint32_t budgetPercent_ = 10;

  friend bool operator==(const RetryRule&, const RetryRule&) = default;
};

/// The content of one service file.
struct ServiceConfig
{
  ServiceName name_;
  std::vector<RouteRule> routes_;
  LimitSet limits_;
  RetryRule retries_;
  /// The path at which a backend server tells whether it is healthy; empty means that it has none.
  std::string healthPath_;
  /// Connections that a backend server accepts from all sides; 0 means as announced.
  std::uint32_t connections_ = 0;

  friend bool operator==(const ServiceConfig&, const ServiceConfig&) = default;
};

/// One service's configuration with the hash of its canonical text form.
struct ServiceResource
{
  ServiceConfig config_;
  Digest digest_;
};

using ServiceResourcePtr = std::shared_ptr<const ServiceResource>;

/// All resources of one version. Copies share the resources.
using ConfigContent = std::map<ServiceName, ServiceResourcePtr>;

/// Bounds of what a caller may send, and how long it may take.
struct CallerLimits
{
  std::uint32_t headerBytes_ = 16 * 1024;
  /// 0 means that none is stated: the services' own limits or their default are in force.
  std::uint64_t bodyBytes_ = 0;
  /// From the first byte of a request until its header is complete.
  std::chrono::milliseconds headerTimeout_{ 10000 };
  /// Without a request on a kept-alive connection.
  std::chrono::milliseconds idleTimeout_{ 60000 };

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// An accepted configuration.
struct Configuration
{
  ConfigVersion version_;
  ConfigContent content_;
  CallerLimits callerLimits_;
  CustomerListPtr customers_;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// Builds the resource of a service; equal configurations have equal digests.
[[nodiscard]] ServiceResourcePtr MakeResource(ServiceConfig aConfig);

/// Returns whether a request on this route may run more than once.
[[nodiscard]] bool IsRepeatable(const RouteRule& aRule, std::string_view aMethod) noexcept;

/// Returns the bound of request bodies in force for a service, in bytes: the lesser of its own
/// limit and the operator's where both are stated, the default where neither is.
[[nodiscard]] std::uint64_t BodyLimit(const LimitSet& aLimits,
                                      const CallerLimits& aCallerLimits) noexcept;

/// Returns the limit in force for a service.
[[nodiscard]] std::uint64_t EffectiveLimit(const LimitSet& aLimits, LimitKind aKind) noexcept;

} // namespace hemlockproxy::model
