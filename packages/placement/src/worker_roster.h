#ifndef FILBERTSPRING_PLACEMENT_WORKER_ROSTER_H
#define FILBERTSPRING_PLACEMENT_WORKER_ROSTER_H

/// \file
/// Which workers belong to which rack, by the platform's list and by the rows.

#include "rack_draft.h"
#include "scheduler_core.h"

namespace filbertspring::placement {

/// Puts \p Worker, whose name is set, into \p Rack.
void moveToRack(SchedulerCore &Core, WorkerState &Worker, const RackName &Rack,
                const ZoneName &Zone);

/// Returns the workers of \p Rack; \p Core owns the set.
const std::set<WorkerName> &workersOf(const SchedulerCore &Core,
                                      const RackName &Rack);

/// Returns true when planRosterUpdate() would change the row. Linear in the
/// rack.
bool rosterNeedsUpdate(const SchedulerCore &Core, const RackState &Rack);

/// Adds listed workers to the rack's row, takes over their capacities, and
/// removes those that have no assignment and left the list long ago.
void planRosterUpdate(const SchedulerCore &Core, const RackState &Rack,
                      RackDraft &Draft);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_WORKER_ROSTER_H
