#ifndef FILBERTSPRING_REPORT_H
#define FILBERTSPRING_REPORT_H

/// \file
/// Includes every public header of the report package.

#include "filbertspring/report/burn_counter.h"
#include "filbertspring/report/burn_counts.h"
#include "filbertspring/report/burn_render.h"
#include "filbertspring/report/burn_report.h"

#endif // FILBERTSPRING_REPORT_H
