#ifndef FILBERTSPRING_PLACEMENT_ATTEMPT_REQUESTS_H
#define FILBERTSPRING_PLACEMENT_ATTEMPT_REQUESTS_H

/// \file
/// Wishes about running attempts, carried out with the next exchange.

#include "scheduler_core.h"

namespace filbertspring::placement {

/// Has a running attempt stopped with a checkpoint.
void requestEviction(SchedulerCore &Core, const EvictRequested &Event);

/// Has the processor time of a running attempt limited.
void requestThrottle(SchedulerCore &Core, const ThrottleRequested &Event);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_ATTEMPT_REQUESTS_H
