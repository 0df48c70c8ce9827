#ifndef FILBERTSPRING_CONFIG_ADDRESS_TEXT_H
#define FILBERTSPRING_CONFIG_ADDRESS_TEXT_H

/// \file
/// Addresses as text.

#include "filbertspring/domain/endpoint.h"

#include <optional>
#include <string_view>

namespace filbertspring {

/// Reads "IP:PORT"; an IPv6 number stands in brackets. Returns nothing for
/// host names, port 0 and anything else.
std::optional<Address> parseAddress(std::string_view Text);

} // namespace filbertspring

#endif // FILBERTSPRING_CONFIG_ADDRESS_TEXT_H
