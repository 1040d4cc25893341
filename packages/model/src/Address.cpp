#include "hemlockproxy/model/Address.h"

#include <arpa/inet.h>
#include <charconv>

namespace hemlockproxy::model {

std::string ToString(const Address& aAddress)
{
  return aAddress.ip_ + ":" + std::to_string(aAddress.port_);
}

Result<Address, AddressError> ParseAddress(std::string_view aText)
{
  const std::string found = "'" + std::string(aText) + "'";
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return AddressError{ found + " has no port; expected IP:PORT such as 127.0.0.1:8080" };
  }
  const std::string ip(aText.substr(0, colon));
  in_addr parsed{};
  if (inet_pton(AF_INET, ip.c_str(), &parsed) != 1) {
    return AddressError{
      found + " has no IPv4 number before the colon; expected IP:PORT such as 127.0.0.1:8080"
    };
  }
  const std::string_view portText = aText.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] =
    std::from_chars(portText.data(), portText.data() + portText.size(), port);
  if (error != std::errc() || end != portText.data() + portText.size() || port == 0) {
    return AddressError{ found + " has no valid port; expected a number from 1 to 65535" };
  }
  return Address{ ip, port };
}

} // namespace hemlockproxy::model
