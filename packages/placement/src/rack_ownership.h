#ifndef FILBERTSPRING_PLACEMENT_RACK_OWNERSHIP_H
#define FILBERTSPRING_PLACEMENT_RACK_OWNERSHIP_H

/// \file
/// Which racks this instance owns, by what the table shows, and the attempts
/// that come and go with their rows.

#include "scheduler_core.h"

namespace filbertspring::placement {

/// Takes in a rack's row.
void applyRackRow(SchedulerCore &Core, const RackRecord &Record,
                  const StoredRow &Row, std::optional<TimePoint> SentAt);

/// Takes in that a rack's row does not exist.
void applyAbsentRackRow(SchedulerCore &Core, const RackName &Name);

/// Takes in which racks to schedule.
void assignRacks(SchedulerCore &Core, const RacksAssigned &Assigned);

/// Returns true while the ownership was seen recently enough to renew leases.
bool mayRenew(const SchedulerCore &Core, const RackState &Rack);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_RACK_OWNERSHIP_H
