#ifndef FILBERTSPRING_PLACEMENT_ATTEMPT_REQUESTS_H
#define FILBERTSPRING_PLACEMENT_ATTEMPT_REQUESTS_H

/// \file
/// Requests that concern running attempts, sent with the next exchange.

#include "scheduler_core.h"

namespace filbertspring::placement {

/// Stops a running attempt with a checkpoint.
void requestEviction(SchedulerCore &Core, const EvictRequested &Event);

/// Limits the processor time of a running attempt.
void requestThrottle(SchedulerCore &Core, const ThrottleRequested &Event);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_ATTEMPT_REQUESTS_H
