#ifndef FILBERTSPRING_CONFIG_SRC_SETTINGS_RULES_H
#define FILBERTSPRING_CONFIG_SRC_SETTINGS_RULES_H

/// \file
/// Rules for the relations between several settings.

#include "filbertspring/base/finding.h"
#include "filbertspring/config/settings.h"

namespace filbertspring::config_detail {

/// Adds a finding for each violated rule. A rule is skipped when \p Report
/// already has a finding at one of its fields.
void checkSettings(const Settings &Values, Findings &Report);

} // namespace filbertspring::config_detail

#endif // FILBERTSPRING_CONFIG_SRC_SETTINGS_RULES_H
