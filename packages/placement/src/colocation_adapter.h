#ifndef FILBERTSPRING_PLACEMENT_COLOCATION_ADAPTER_H
#define FILBERTSPRING_PLACEMENT_COLOCATION_ADAPTER_H

/// \file
/// Joins the colocation policy to the scheduler's state.

#include "scheduler_core.h"

namespace filbertspring::placement {

/// Gives the policy the latency targets of all contracts.
void refreshLatencyTargets(SchedulerCore &Core);

/// Gives the policy what \p Report says of the services of \p Worker, and
/// carries out what it decides.
void observeServices(SchedulerCore &Core, const RackState &Rack,
                     const WorkerState &Worker, const WorkerReport &Report);

/// Returns true when a task of \p Job may run beside the services of a worker.
bool admitsBesideServices(const SchedulerCore &Core,
                          const WorkerCandidate &Worker, const JobRecord &Job);

/// Counts a claimed task, until a report shows it.
void countPlaced(SchedulerCore &Core, const WorkerCandidate &Worker,
                 const JobRecord &Job);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_COLOCATION_ADAPTER_H
