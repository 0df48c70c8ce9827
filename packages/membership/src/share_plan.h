#ifndef FILBERTSPRING_MEMBERSHIP_SRC_SHARE_PLAN_H
#define FILBERTSPRING_MEMBERSHIP_SRC_SHARE_PLAN_H

/// \file
/// The next value of a share ledger, as one instance would write it.

#include "filbertspring/domain/store.h"
#include "filbertspring/membership/liveness_tracker.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace filbertspring::membership {

/// What a plan depends on.
struct SharePlanInput {
  const InstanceName &Self_;
  const ContractName &Contract_;
  const ShareLedger &Ledger_;
  /// All instances with a heartbeat row.
  const std::vector<Member> &Members_;
  const LivenessTracker &Tracker_;
  /// The latest demand of each instance that told it.
  const std::map<InstanceName, std::int32_t> &Demands_;
  std::int32_t StepPermille_ = 1;
  std::int32_t HysteresisPermille_ = 0;
  /// What requests in flight here occupy.
  std::int32_t InUsePermille_ = 0;
};

/// A ledger to write, and the guards that it depends on.
struct SharePlan {
  ShareLedger Ledger_;
  std::vector<Guard> Guards_;
  /// How long to leave it to others with more to give, from 0 to 1000.
  std::int32_t DeferPermille_ = 0;
};

/// Returns the change of the ledger that \p Input asks of this instance, or
/// nothing. An instance takes only from itself, from instances that have
/// lapsed, and from what nobody holds.
std::optional<SharePlan> planShares(const SharePlanInput &Input);

/// Returns the ledger without the share of \p Input.Self_, which goes to the
/// others as far as they are below their targets.
SharePlan planRelease(const SharePlanInput &Input);

} // namespace filbertspring::membership

#endif // FILBERTSPRING_MEMBERSHIP_SRC_SHARE_PLAN_H
