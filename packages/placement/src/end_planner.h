#ifndef FILBERTSPRING_PLACEMENT_END_PLANNER_H
#define FILBERTSPRING_PLACEMENT_END_PLANNER_H

/// \file
/// Adds the ends of attempts to a transaction.

#include "rack_draft.h"
#include "scheduler_core.h"

namespace filbertspring::placement {

/// Returns true when an attempt of \p Rack has ended. Linear in its attempts.
bool hasEndedAttempts(const RackState &Rack);

/// Adds the attempts that have ended to \p Draft. The change of the task and
/// the release of the capacity are in the same transaction.
void planEnds(SchedulerCore &Core, RackState &Rack, RackDraft &Draft);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_END_PLANNER_H
