#ifndef FILBERTSPRING_PLACEMENT_RACK_SERVICE_H
#define FILBERTSPRING_PLACEMENT_RACK_SERVICE_H

/// \file
/// What is due for one rack: reading its row, taking it over, or its next
/// transaction.

#include "scheduler_core.h"

namespace filbertspring::placement {

/// Does what is due for \p Rack and sets its timer.
void serviceRack(SchedulerCore &Core, RackState &Rack);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_RACK_SERVICE_H
