#ifndef FILBERTSPRING_PLACEMENT_START_PLANNER_H
#define FILBERTSPRING_PLACEMENT_START_PLANNER_H

/// \file
/// Chooses which waiting tasks a rack takes.

#include "rack_draft.h"
#include "scheduler_core.h"

#include <map>

namespace filbertspring::placement {

/// Adds claims of waiting tasks: urgent ones first, then by the contracts'
/// weighted shares, then oldest first. Returns the attempts to start once the
/// transaction is seen committed.
std::map<AttemptRef, TrackedAttempt>
planStarts(SchedulerCore &Core, RackState &Rack, RackDraft &Draft);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_START_PLANNER_H
