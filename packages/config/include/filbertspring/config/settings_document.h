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

/// What parseSettings() read.
struct ParsedSettings {
  /// The settings; empty when there is any finding.
  std::optional<Settings> Settings_;
  /// Every mistake in the document, in the order of the reading.
  Findings Findings_;
};

/// Reads settings from JSON with comments and checks their ranges and the
/// relations between them. Absent optional fields have their defaults.
ParsedSettings parseSettings(std::string_view Text);

} // namespace filbertspring

#endif // FILBERTSPRING_CONFIG_SETTINGS_DOCUMENT_H
