#ifndef FILBERTSPRING_PLACEMENT_WORKER_EXCHANGE_H
#define FILBERTSPRING_PLACEMENT_WORKER_EXCHANGE_H

/// \file
/// Request-response exchanges with workers. At most one exchange per worker is
/// in flight, so that the answers of a worker arrive in the order in which it
/// gave them.

#include "scheduler_core.h"

namespace filbertspring::placement {

/// Updates the workers from a list of instances of the platform.
void workersListed(SchedulerCore &Core, const WorkersListed &List);

/// Processes the answer to an exchange. An answer to an exchange that is not in
/// flight is ignored.
void workerAnswered(SchedulerCore &Core, const WorkerAnswered &Event);

/// Processes the failure of an exchange.
void workerUnreachable(SchedulerCore &Core, const WorkerUnreachable &Event);

/// Performs the actions that are due for \p Worker: ends attempts whose lease
/// has lapsed, fails an exchange that timed out, starts the next exchange, and
/// sets the worker's timer.
void serviceWorker(SchedulerCore &Core, WorkerState &Worker);

/// Returns true when the clock reading of \p Worker is recent enough to base a
/// claim on it.
bool hasFreshReading(const SchedulerCore &Core, const WorkerState &Worker);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_WORKER_EXCHANGE_H
