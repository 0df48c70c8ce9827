#ifndef FILBERTSPRING_PLACEMENT_GRANT_PLANNER_H
#define FILBERTSPRING_PLACEMENT_GRANT_PLANNER_H

/// \file
/// Moves quota between the ledger of a contract and a rack. Both rows change
/// in one transaction, so that the grants never add up to more than the quota.

#include "rack_draft.h"
#include "scheduler_core.h"

namespace filbertspring::placement {

/// Makes room for \p Size in the rack's grant of \p Contract, from the ledger
/// when needed. Returns why there is none, or nothing when there is room.
std::optional<WaitReason> ensureGrant(SchedulerCore &Core,
                                      const ContractName &Contract,
                                      const Resources &Size, RackDraft &Draft);

/// Returns true when the rack may give back a part of a grant. Linear in the
/// grants and assignments of the rack.
bool grantReturnsDue(const SchedulerCore &Core, const RackState &Rack);

/// Gives back grants that were idle for long, or that exceed a lowered quota.
void planGrantReturns(SchedulerCore &Core, RackState &Rack, RackDraft &Draft);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_GRANT_PLANNER_H
