#ifndef FILBERTSPRING_MEMBERSHIP_SRC_MESSAGE_BOUNDS_H
#define FILBERTSPRING_MEMBERSHIP_SRC_MESSAGE_BOUNDS_H

/// \file
/// Validates the structure of MessagePack bytes before they are parsed into
/// values.

#include <string_view>

namespace filbertspring::membership {

/// Returns true when \p Bytes are MessagePack without maps whose arrays are
/// nested no deeper than those of a peer message. The library parses nested
/// arrays recursively, so the depth must be limited during parsing.
bool withinMessageBounds(std::string_view Bytes);

} // namespace filbertspring::membership

#endif // FILBERTSPRING_MEMBERSHIP_SRC_MESSAGE_BOUNDS_H
