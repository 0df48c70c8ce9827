#ifndef FILBERTSPRING_PLACEMENT_DRAIN_PLANNER_H
#define FILBERTSPRING_PLACEMENT_DRAIN_PLANNER_H

/// \file
/// Empties zones that are out of service and workers that leave.

#include "scheduler_core.h"

namespace filbertspring::placement {

/// Has attempts of \p Rack stopped with a checkpoint when their zone is out of
/// service or their worker leaves: those whose loss would cost most first, a
/// bounded number at a time.
void planEvictions(SchedulerCore &Core, RackState &Rack);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_DRAIN_PLANNER_H
