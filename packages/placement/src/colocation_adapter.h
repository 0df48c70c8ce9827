#ifndef FILBERTSPRING_PLACEMENT_COLOCATION_ADAPTER_H
#define FILBERTSPRING_PLACEMENT_COLOCATION_ADAPTER_H

/// \file
/// Connects the colocation policy with the state of the scheduler.

#include "scheduler_core.h"

namespace filbertspring::placement {

/// Sets the latency targets of the policy from all contracts: the lowest target
/// of each service.
void refreshLatencyTargets(SchedulerCore &Core);

/// Passes the services and batch tasks of \p Worker to the policy and performs
/// the actions that it returns.
void observeServices(SchedulerCore &Core, const RackState &Rack,
                     const WorkerState &Worker, const WorkerReport &Report);

/// Returns true when a task of \p Job may run beside the services of \p Worker.
bool admitsBesideServices(const SchedulerCore &Core,
                          const WorkerCandidate &Worker, const JobRecord &Job);

/// Returns true when such a task may run there if no other batch task does.
bool admitsAlone(const SchedulerCore &Core, const WorkerCandidate &Worker,
                 const JobRecord &Job);

/// Adds a claimed task of \p Job to the batch mix of \p Worker until its next
/// report.
void addPlacement(SchedulerCore &Core, const WorkerCandidate &Worker,
                  const JobRecord &Job);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_COLOCATION_ADAPTER_H
