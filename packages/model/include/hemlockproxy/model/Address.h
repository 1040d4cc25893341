#pragma once

#include "hemlockproxy/model/Result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace hemlockproxy::model {

/// An IP number and a port.
struct Address
{
  std::string ip_;
  std::uint16_t port_ = 0;

  friend auto operator<=>(const Address&, const Address&) = default;
  friend bool operator==(const Address&, const Address&) = default;
};

/// Says why a text is not an address.
struct AddressError
{
  std::string message_;
};

/// Returns "ip:port".
[[nodiscard]] std::string ToString(const Address& aAddress);

/// Parses "a.b.c.d:port"; fails on host names, missing ports and port 0.
///
///     Result<Address, AddressError> address = ParseAddress("127.0.0.1:8080");
[[nodiscard]] Result<Address, AddressError> ParseAddress(std::string_view aText);

} // namespace hemlockproxy::model
