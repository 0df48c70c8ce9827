#ifndef FILBERTSPRING_PLACEMENT_ATTEMPT_RECONCILE_H
#define FILBERTSPRING_PLACEMENT_ATTEMPT_RECONCILE_H

/// \file
/// Compares what a worker reports with what the table assigns to it.

#include "scheduler_core.h"

namespace filbertspring::placement {

/// Marks \p Held as surely over; its rack's next transaction says so.
void markEnded(SchedulerCore &Core, RackState &Rack, TrackedAttempt &Tracked,
               AttemptEnd End, std::string Reason);

/// Marks as over what can no longer run on \p Worker by the passing of time:
/// leases that surely lapsed, and starts that were never sent and are too late.
void expireAttempts(SchedulerCore &Core, RackState &Rack,
                    const WorkerState &Worker);

/// A report shows another boot of \p Worker: what ran in earlier boots is over.
void endEarlierBoots(SchedulerCore &Core, RackState &Rack,
                     const WorkerState &Worker, const std::string &Boot);

/// Takes in the answer to commands that \p Worker obeyed.
void reconcile(SchedulerCore &Core, RackState &Rack, WorkerState &Worker,
               const ExchangeInFlight &Flight, const WorkerAnswer &Answer);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_ATTEMPT_RECONCILE_H
