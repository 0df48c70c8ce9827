#ifndef FILBERTSPRING_PLACEMENT_ATTEMPT_RECONCILE_H
#define FILBERTSPRING_PLACEMENT_ATTEMPT_RECONCILE_H

/// \file
/// Compares the attempts that a worker reports with those that the table
/// assigns to it.

#include "scheduler_core.h"

namespace filbertspring::placement {

/// Marks \p Tracked as ended. The next transaction of \p Rack records the end.
void markEnded(SchedulerCore &Core, RackState &Rack, TrackedAttempt &Tracked,
               AttemptEnd End, std::string Reason);

/// Marks the attempts as ended that can no longer run on \p Worker because of
/// the time: those whose leases have expired, and those whose starts were never
/// sent and are past their deadline.
void expireAttempts(SchedulerCore &Core, RackState &Rack,
                    const WorkerState &Worker);

/// Marks the attempts of earlier boots of \p Worker as ended after a report
/// showed that its boot is \p Boot.
void endEarlierBoots(SchedulerCore &Core, RackState &Rack,
                     const WorkerState &Worker, const std::string &Boot);

/// Processes the answer to commands that \p Worker accepted.
void reconcile(SchedulerCore &Core, RackState &Rack, WorkerState &Worker,
               const ExchangeInFlight &Flight, const WorkerAnswer &Answer);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_ATTEMPT_RECONCILE_H
