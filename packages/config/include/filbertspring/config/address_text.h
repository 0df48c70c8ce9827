#ifndef FILBERTSPRING_CONFIG_ADDRESS_TEXT_H
#define FILBERTSPRING_CONFIG_ADDRESS_TEXT_H

/// \file
/// Parsing of network addresses.

#include "filbertspring/domain/endpoint.h"

#include <optional>
#include <string_view>

namespace filbertspring {

/// Parses "IP:PORT"; an IPv6 address must be in brackets. Returns std::nullopt
/// for host names, port 0 and any other text.
std::optional<Address> parseAddress(std::string_view Text);

} // namespace filbertspring

#endif // FILBERTSPRING_CONFIG_ADDRESS_TEXT_H
