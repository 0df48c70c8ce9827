#ifndef FILBERTSPRING_PLACEMENT_WORKER_ROSTER_H
#define FILBERTSPRING_PLACEMENT_WORKER_ROSTER_H

/// \file
/// Membership of workers in racks, by the platform's list and by the rows of
/// the racks.

#include "rack_draft.h"
#include "scheduler_core.h"

namespace filbertspring::placement {

/// Moves \p Worker from its current rack, if any, to \p Rack. Its name must be
/// set.
void moveToRack(SchedulerCore &Core, WorkerState &Worker, const RackName &Rack,
                const ZoneName &Zone);

/// Returns the workers of \p Rack; \p Core owns the set.
const std::set<WorkerName> &workersOf(const SchedulerCore &Core,
                                      const RackName &Rack);

/// Returns true when planRosterUpdate() would change the row of \p Rack. Linear
/// in the workers of the rack.
bool rosterNeedsUpdate(const SchedulerCore &Core, const RackState &Rack);

/// Adds listed workers to the row of the rack, updates their capacities, and
/// removes workers without assignments that have not been listed for
/// ImpossibleSettings::WorkerMemory_.
void planRosterUpdate(const SchedulerCore &Core, const RackState &Rack,
                      RackDraft &Draft);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_WORKER_ROSTER_H
