#ifndef FILBERTSPRING_CONFIG_SETTINGS_DOCUMENT_H
#define FILBERTSPRING_CONFIG_SETTINGS_DOCUMENT_H

/// \file
/// Settings of an entry instance as JSON documents. docs/SETTINGS.md
/// describes the fields.

#include "filbertspring/base/finding.h"
#include "filbertspring/config/settings.h"

#include <optional>
#include <string_view>

namespace filbertspring {

/// The result of parseSettings().
struct ParsedSettings {
  /// The settings; std::nullopt when there is any finding.
  std::optional<Settings> Settings_;
  /// All errors in the document, in the order in which they were found.
  Findings Findings_;
};

/// Parses settings from JSON with comments and checks their ranges and the
/// relations between them. Absent optional fields keep their defaults.
ParsedSettings parseSettings(std::string_view Text);

} // namespace filbertspring

#endif // FILBERTSPRING_CONFIG_SETTINGS_DOCUMENT_H
