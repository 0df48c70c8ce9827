#ifndef FILBERTSPRING_PLACEMENT_GRANT_PLANNER_H
#define FILBERTSPRING_PLACEMENT_GRANT_PLANNER_H

/// \file
/// Moves quota between the ledger of a contract and the grants of a rack. Both
/// rows change in one transaction, so that the sum of the grants never exceeds
/// the quota.

#include "rack_draft.h"
#include "scheduler_core.h"

namespace filbertspring::placement {

/// Ensures that the rack's grant of \p Contract has room for \p Size, and
/// enlarges it from the ledger when needed. Returns std::nullopt on success,
/// and the reason otherwise.
std::optional<WaitReason> ensureGrant(SchedulerCore &Core,
                                      const ContractName &Contract,
                                      const Resources &Size, RackDraft &Draft);

/// Returns true when a grant of the rack is due to be reduced. Linear in the
/// grants and assignments of the rack.
bool grantReturnsDue(const SchedulerCore &Core, const RackState &Rack);

/// Reduces grants to the used amount when they were idle for
/// QuotaSettings::IdleGrant_ or when the sum of the grants exceeds a lowered
/// quota.
void planGrantReturns(SchedulerCore &Core, RackState &Rack, RackDraft &Draft);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_GRANT_PLANNER_H
