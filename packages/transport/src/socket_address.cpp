#include "socket_address.h"

#include "filbertspring/transport/async_http_client.h"

#include <charconv>

namespace filbertspring {

std::optional<asio::ip::tcp::endpoint>
parseAddress(const std::string &Address) {
  std::size_t Colon = Address.rfind(':');
  // The host is converted as a C string, which ends at a null character.
  if (Colon == std::string::npos || Address.find('\0') != std::string::npos)
    return std::nullopt;
  std::error_code Error;
  auto Host = asio::ip::make_address(Address.substr(0, Colon), Error);
  std::uint16_t Port = 0;
  const char *End = Address.data() + Address.size();
  auto [Last, PortError] =
      std::from_chars(Address.data() + Colon + 1, End, Port);
  if (Error || PortError != std::errc() || Last != End)
    return std::nullopt;
  return asio::ip::tcp::endpoint(Host, Port);
}

bool isSocketAddress(const std::string &Address) {
  std::optional<asio::ip::tcp::endpoint> Endpoint = parseAddress(Address);
  return Endpoint && Endpoint->port() != 0;
}

} // namespace filbertspring
