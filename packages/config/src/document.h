#ifndef FILBERTSPRING_CONFIG_SRC_DOCUMENT_H
#define FILBERTSPRING_CONFIG_SRC_DOCUMENT_H

/// \file
/// Parses JSON with comments and reports what nlohmann::json ignores.

#include "filbertspring/base/finding.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace filbertspring::config_detail {

/// The deepest nesting of a document; deeper ones are refused before a tree
/// is built.
inline constexpr std::size_t MaxDocumentDepth = 16;

/// Returns \p Place with \p Key appended as an escaped JSON pointer token.
std::string pointerTo(std::string_view Place, std::string_view Key);

/// Returns true when \p Found has a finding at \p Place, within it, or at an
/// object that contains it. A rule whose fields were not read is skipped.
bool hasFindingAt(const Findings &Found, std::string_view Place);

/// Returns the tree of \p Text, or nothing with a finding when the syntax is
/// wrong. Adds a finding for each key that stands twice in an object.
std::optional<nlohmann::json> parseDocument(std::string_view Text,
                                            Findings &Found);

} // namespace filbertspring::config_detail

#endif // FILBERTSPRING_CONFIG_SRC_DOCUMENT_H
