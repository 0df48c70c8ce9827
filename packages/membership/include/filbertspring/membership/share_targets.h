#ifndef FILBERTSPRING_MEMBERSHIP_SHARE_TARGETS_H
#define FILBERTSPRING_MEMBERSHIP_SHARE_TARGETS_H

/// \file
/// Computes how a limit should be divided, given the demand of each instance.

#include "filbertspring/domain/ledger.h"

#include <cstdint>
#include <vector>

namespace filbertspring::membership {

/// The demand of one instance for one contract.
struct InstanceDemand {
  InstanceName Instance_;
  /// The part of the whole limit that the instance would use, in permille; it
  /// may exceed 1000.
  std::int32_t Permille_ = 0;
};

/// Returns the division of the whole limit between the instances of \p Demands:
/// a minimum share for each, and the rest in proportion to the demands (evenly
/// when there is none). All shares are multiples of \p StepPermille (1 to
/// 1000), the smallest useful share. When there are more instances than steps,
/// those with the largest demand get one step each. The result has the order of
/// \p Demands and depends only on the arguments.
std::vector<InstanceShare>
targetShares(const std::vector<InstanceDemand> &Demands,
             std::int32_t StepPermille);

} // namespace filbertspring::membership

#endif // FILBERTSPRING_MEMBERSHIP_SHARE_TARGETS_H
