#ifndef FILBERTSPRING_PLACEMENT_H
#define FILBERTSPRING_PLACEMENT_H

/// \file
/// Includes every public header of the placement package.

#include "filbertspring/placement/job_rank.h"
#include "filbertspring/placement/lease_rules.h"
#include "filbertspring/placement/placement_action.h"
#include "filbertspring/placement/placement_event.h"
#include "filbertspring/placement/scheduler.h"
#include "filbertspring/placement/scheduler_settings.h"
#include "filbertspring/placement/scheduler_view.h"
#include "filbertspring/placement/worker_choice.h"
#include "filbertspring/placement/zone_ramp_limit.h"

#endif // FILBERTSPRING_PLACEMENT_H
