#ifndef FILBERTSPRING_PLACEMENT_WORKER_EXCHANGE_H
#define FILBERTSPRING_PLACEMENT_WORKER_EXCHANGE_H

/// \file
/// Exchanges with workers: one under way with each at a time, so that answers
/// arrive in the order in which workers gave them.

#include "scheduler_core.h"

namespace filbertspring::placement {

/// Takes in the platform's list.
void workersListed(SchedulerCore &Core, const WorkersListed &List);

/// Takes in the answer to an exchange; one that is not under way is ignored.
void workerAnswered(SchedulerCore &Core, const WorkerAnswered &Event);

/// Takes in that an exchange got no answer.
void workerUnreachable(SchedulerCore &Core, const WorkerUnreachable &Event);

/// Does what is due for \p Worker: expires leases, gives up a silent exchange,
/// starts the next one, and sets the worker's timer.
void serviceWorker(SchedulerCore &Core, WorkerState &Worker);

/// Returns true when a claim may rely on the clock reading of \p Worker.
bool hasFreshReading(const SchedulerCore &Core, const WorkerState &Worker);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_WORKER_EXCHANGE_H
