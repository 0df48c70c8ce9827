#ifndef FILBERTSPRING_CONFIG_SRC_DOCUMENT_H
#define FILBERTSPRING_CONFIG_SRC_DOCUMENT_H

/// \file
/// Parses JSON with comments and reports errors that nlohmann::json ignores,
/// such as duplicate keys.

#include "filbertspring/base/finding.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace filbertspring::config_detail {

/// Maximum nesting depth of a document. Deeper ones are rejected before a tree
/// is built.
inline constexpr std::size_t MaxDocumentDepth = 16;

/// Returns \p Place with \p Key appended as an escaped JSON pointer token.
std::string pointerTo(std::string_view Place, std::string_view Key);

/// Returns true when \p Report has a finding at \p Place, within it, or at an
/// object that contains it. Callers use it to skip rules whose fields could not
/// be read.
bool hasFindingAt(const Findings &Report, std::string_view Place);

/// Returns the JSON tree of \p Text. Adds a finding and returns std::nullopt
/// when the syntax is invalid. Also adds a finding for each duplicate key of an
/// object.
std::optional<nlohmann::json> parseDocument(std::string_view Text,
                                            Findings &Report);

} // namespace filbertspring::config_detail

#endif // FILBERTSPRING_CONFIG_SRC_DOCUMENT_H
