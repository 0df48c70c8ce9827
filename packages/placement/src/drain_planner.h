#ifndef FILBERTSPRING_PLACEMENT_DRAIN_PLANNER_H
#define FILBERTSPRING_PLACEMENT_DRAIN_PLANNER_H

/// \file
/// Evicts attempts from zones that are out of service and from leaving workers.

#include "scheduler_core.h"

namespace filbertspring::placement {

/// Requests a stop with a checkpoint for running attempts of \p Rack when their
/// zone is out of service or their worker is leaving. Attempts with the most
/// work done come first, and at most DrainSettings::EvictionsAtOnce_ stops are
/// under way at a time.
void planEvictions(SchedulerCore &Core, RackState &Rack);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_DRAIN_PLANNER_H
