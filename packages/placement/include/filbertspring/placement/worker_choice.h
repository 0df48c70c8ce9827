#ifndef FILBERTSPRING_PLACEMENT_WORKER_CHOICE_H
#define FILBERTSPRING_PLACEMENT_WORKER_CHOICE_H

/// \file
/// Selection of a worker for one task by best fit.

#include "filbertspring/base/id.h"
#include "filbertspring/base/quantity.h"
#include "filbertspring/placement/failure_evidence.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <span>

namespace filbertspring::placement {

/// A worker that may be assigned a task.
struct WorkerCandidate {
  WorkerName Name_;
  Resources Capacity_;
  Resources Free_;
  /// How many more attempts it may be assigned.
  std::size_t Allowance_ = UnboundedAllowance;
};

/// Returns the index of the candidate that fits \p Size with the least free
/// resources left over, the first of equals, or std::nullopt when none fits.
/// Workers with accelerators are ranked last for a task that needs none.
/// Candidates for which \p Admits returns false are skipped. Linear in
/// \p Candidates.
std::optional<std::size_t>
chooseWorker(std::span<const WorkerCandidate> Candidates, const Resources &Size,
             const std::function<bool(const WorkerCandidate &)> &Admits = {});

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_WORKER_CHOICE_H
