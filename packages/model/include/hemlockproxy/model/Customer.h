#pragma once

#include "hemlockproxy/model/Digest.h"
#include "hemlockproxy/model/Ids.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace hemlockproxy::model {

/// A customer of the mesh, whose requests carry one of its keys.
struct Customer
{
  CustomerName name_;
  /// Hashes of its keys, as by HashKey. The keys themselves are not kept, so that they can reach no
  /// log line, metric or other daemon.
  std::vector<Digest> keys_;
  /// Takes precedence over the priority of a route; 0 is the most urgent.
  std::optional<std::uint32_t> priority_;
  /// Requests per second over all daemons combined; 0 means no limit.
  double ratePerSecond_ = 0;
  /// Requests beyond the rate that may come at once.
  double burst_ = 0;

  friend bool operator==(const Customer&, const Customer&) = default;
};

/// The customers of a configuration with the hash of their content.
struct CustomerList
{
  std::vector<Customer> customers_;
  Digest digest_;
};

/// Null where a configuration lists no customers; keys are then not asked for.
using CustomerListPtr = std::shared_ptr<const CustomerList>;

/// Builds a list; equal customers give equal digests.
[[nodiscard]] CustomerListPtr MakeCustomerList(std::vector<Customer> aCustomers);

/// Returns the hash by which a key is compared. It is not cryptographic: it keeps keys out of
/// memory and messages by accident, and a hash that leaks does not tell a key that is long and
/// random.
[[nodiscard]] Digest HashKey(std::string_view aKey) noexcept;

} // namespace hemlockproxy::model
