#ifndef FILBERTSPRING_BASE_H
#define FILBERTSPRING_BASE_H

/// \file
/// Includes every public header of the base package.

#include "filbertspring/base/counters.h"
#include "filbertspring/base/enum_table.h"
#include "filbertspring/base/error.h"
#include "filbertspring/base/finding.h"
#include "filbertspring/base/histogram.h"
#include "filbertspring/base/id.h"
#include "filbertspring/base/log.h"
#include "filbertspring/base/log_event.h"
#include "filbertspring/base/overloaded.h"
#include "filbertspring/base/quantity.h"
#include "filbertspring/base/result.h"
#include "filbertspring/base/time.h"

#endif // FILBERTSPRING_BASE_H
