#pragma once

#include "hemlockproxy/decisions/CustomerIndex.h"
#include "hemlockproxy/model/Config.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hemlockproxy::decisions {

/// Finds the route of a request. Built once for each version, so that a lookup does not depend on
/// the number of routes.
///
///     const RouteIndex index(configuration);
///     if (const model::RouteRule* rule = index.Find("ficu.example", "GET", "/proofs/17")) { ... }
class RouteIndex
{
public:
  /// Keeps the configuration, which the rules returned by Find belong to.
  explicit RouteIndex(model::ConfigurationPtr aConfiguration);

  /// Returns the rule with the longest prefix among those for the host, or else among those for any
  /// host, that allows the method; null when there is none. A port in the host is ignored.
  [[nodiscard]] const model::RouteRule* Find(std::string_view aHost,
                                             std::string_view aMethod,
                                             std::string_view aPath) const;

  [[nodiscard]] const model::Configuration& Configuration() const noexcept
  {
    return *configuration_;
  }
  /// Returns the customers of the same version.
  [[nodiscard]] const CustomerIndex& Customers() const noexcept { return customers_; }

private:
  using Rules = std::vector<const model::RouteRule*>;

  /// The routes of one host.
  struct Host
  {
    std::unordered_map<std::string_view, Rules> byPrefix_;
    /// The lengths of all prefixes, longest first.
    std::vector<std::size_t> lengths_;
  };

  [[nodiscard]] static const model::RouteRule* FindIn(const Host& aHost,
                                                      std::string_view aMethod,
                                                      std::string_view aPath);

  model::ConfigurationPtr configuration_;
  CustomerIndex customers_;
  std::unordered_map<std::string, Host> hosts_;
};

using RouteIndexPtr = std::shared_ptr<const RouteIndex>;

/// Returns a host name in lower case without its port.
[[nodiscard]] std::string NormalizeHost(std::string_view aHost);

} // namespace hemlockproxy::decisions
