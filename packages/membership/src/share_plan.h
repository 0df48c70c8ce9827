#ifndef FILBERTSPRING_MEMBERSHIP_SRC_SHARE_PLAN_H
#define FILBERTSPRING_MEMBERSHIP_SRC_SHARE_PLAN_H

/// \file
/// Computes the next value of a share ledger that one instance writes.

#include "filbertspring/domain/store.h"
#include "filbertspring/membership/liveness_tracker.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace filbertspring::membership {

/// The inputs of a plan.
struct SharePlanInput {
  const InstanceName &Self_;
  const ContractName &Contract_;
  const ShareLedger &Ledger_;
  /// All instances with a heartbeat row.
  const std::vector<Member> &Members_;
  const LivenessTracker &Tracker_;
  /// The latest demand of each instance that reported one.
  const std::map<InstanceName, std::int32_t> &Demands_;
  std::int32_t StepPermille_ = 1;
  std::int32_t HysteresisPermille_ = 0;
  /// The share occupied by requests in flight at this instance.
  std::int32_t InUsePermille_ = 0;
};

/// A ledger to write and the guards of its transaction.
struct SharePlan {
  ShareLedger Ledger_;
  std::vector<Guard> Guards_;
  /// How long the write is deferred in favour of instances with a larger
  /// surplus, from 0 to 1000 permille of the write spread.
  std::int32_t DeferPermille_ = 0;
};

/// Returns the change of the ledger that this instance should write, or
/// std::nullopt. An instance takes shares only from itself, from lapsed
/// instances, and from the unassigned part.
std::optional<SharePlan> planShares(const SharePlanInput &Input);

/// Returns the ledger without the share of \p Input.Self_, which is distributed
/// to the other instances up to their targets.
SharePlan planRelease(const SharePlanInput &Input);

} // namespace filbertspring::membership

#endif // FILBERTSPRING_MEMBERSHIP_SRC_SHARE_PLAN_H
