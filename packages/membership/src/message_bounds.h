#ifndef FILBERTSPRING_MEMBERSHIP_SRC_MESSAGE_BOUNDS_H
#define FILBERTSPRING_MEMBERSHIP_SRC_MESSAGE_BOUNDS_H

/// \file
/// A check of MessagePack bytes before they are turned into values.

#include <string_view>

namespace filbertspring::membership {

/// Returns true when \p Bytes are MessagePack whose arrays nest no deeper than
/// a message's do, and that hold no maps. The library parses nested arrays
/// recursively, so depth must be bounded while it parses.
bool withinMessageBounds(std::string_view Bytes);

} // namespace filbertspring::membership

#endif // FILBERTSPRING_MEMBERSHIP_SRC_MESSAGE_BOUNDS_H
