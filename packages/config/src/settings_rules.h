#ifndef FILBERTSPRING_CONFIG_SRC_SETTINGS_RULES_H
#define FILBERTSPRING_CONFIG_SRC_SETTINGS_RULES_H

/// \file
/// Rules that relate several settings.

#include "filbertspring/base/finding.h"
#include "filbertspring/config/settings.h"

namespace filbertspring::config_detail {

/// Adds a finding for each broken rule. A rule is skipped when \p Found
/// already has a finding at one of its fields.
void checkSettings(const Settings &Values, Findings &Found);

} // namespace filbertspring::config_detail

#endif // FILBERTSPRING_CONFIG_SRC_SETTINGS_RULES_H
