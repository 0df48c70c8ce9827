#ifndef FILBERTSPRING_REPORT_BURN_RENDER_H
#define FILBERTSPRING_REPORT_BURN_RENDER_H

/// \file
/// Rendering of the burn report as text, JSON and SVG.

#include "filbertspring/report/burn_report.h"

#include <string>

namespace filbertspring {

/// Returns \p Report as plain text for a terminal.
std::string renderBurnText(const BurnReport &Report);

/// Returns \p Report as a JSON document with snake_case keys.
std::string renderBurnJson(const BurnReport &Report);

/// Returns \p Report as an SVG image with one chart for each service: the
/// burn rate over time, stacked by cause, with unobserved time shaded.
std::string renderBurnSvg(const BurnReport &Report);

} // namespace filbertspring

#endif // FILBERTSPRING_REPORT_BURN_RENDER_H
