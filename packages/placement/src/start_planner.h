#ifndef FILBERTSPRING_PLACEMENT_START_PLANNER_H
#define FILBERTSPRING_PLACEMENT_START_PLANNER_H

/// \file
/// Selection of the waiting tasks that start in a rack.

#include "rack_draft.h"
#include "scheduler_core.h"

#include <map>

namespace filbertspring::placement {

/// Adds claims of waiting tasks to \p Draft: urgent ones first, then by the
/// weighted shares of the contracts, then oldest first. Returns the attempts to
/// start once the transaction is known to be committed.
std::map<AttemptRef, TrackedAttempt>
planStarts(SchedulerCore &Core, RackState &Rack, RackDraft &Draft);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_START_PLANNER_H
