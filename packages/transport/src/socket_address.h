#ifndef FILBERTSPRING_TRANSPORT_SOCKET_ADDRESS_H
#define FILBERTSPRING_TRANSPORT_SOCKET_ADDRESS_H

/// \file
/// Parses the text form of socket addresses.

#include <asio/ip/tcp.hpp>
#include <optional>
#include <string>

namespace filbertspring {

/// Parses "IP:PORT"; returns std::nullopt for any other text.
std::optional<asio::ip::tcp::endpoint> parseAddress(const std::string &Address);

} // namespace filbertspring

#endif // FILBERTSPRING_TRANSPORT_SOCKET_ADDRESS_H
