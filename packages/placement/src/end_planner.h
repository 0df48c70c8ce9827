#ifndef FILBERTSPRING_PLACEMENT_END_PLANNER_H
#define FILBERTSPRING_PLACEMENT_END_PLANNER_H

/// \file
/// Writes the ends of attempts into a transaction.

#include "rack_draft.h"
#include "scheduler_core.h"

namespace filbertspring::placement {

/// Returns true when an attempt of \p Rack is over. Linear in its attempts.
bool hasEndedAttempts(const RackState &Rack);

/// Adds attempts that are over: the state of the task and the release of the
/// capacity change together.
void planEnds(SchedulerCore &Core, RackState &Rack, RackDraft &Draft);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_END_PLANNER_H
