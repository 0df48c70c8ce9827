#ifndef FILBERTSPRING_PLACEMENT_RACK_SERVICE_H
#define FILBERTSPRING_PLACEMENT_RACK_SERVICE_H

/// \file
/// Periodic work for one rack: reading its row, taking it over, and sending its
/// next transaction.

#include "scheduler_core.h"

namespace filbertspring::placement {

/// Does the work that is due for \p Rack and sets its timer.
void serviceRack(SchedulerCore &Core, RackState &Rack);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_RACK_SERVICE_H
