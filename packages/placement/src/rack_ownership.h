#ifndef FILBERTSPRING_PLACEMENT_RACK_OWNERSHIP_H
#define FILBERTSPRING_PLACEMENT_RACK_OWNERSHIP_H

/// \file
/// Ownership of racks, as recorded in the table, and the tracked attempts of
/// their rows.

#include "scheduler_core.h"

namespace filbertspring::placement {

/// Applies a rack's row. \p SentAt is when the request that returned it was
/// sent, or nothing; see applyRow().
void applyRackRow(SchedulerCore &Core, const RackRecord &Record,
                  const StoredRow &Row, std::optional<TimePoint> SentAt);

/// Records that a rack's row does not exist.
void applyAbsentRackRow(SchedulerCore &Core, const RackName &Name);

/// Sets the racks that this instance should schedule.
void assignRacks(SchedulerCore &Core, const RacksAssigned &Assigned);

/// Returns true while the ownership was confirmed recently enough to renew
/// leases.
bool mayRenew(const SchedulerCore &Core, const RackState &Rack);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_RACK_OWNERSHIP_H
