#ifndef FILBERTSPRING_PLACEMENT_WORKER_CHOICE_H
#define FILBERTSPRING_PLACEMENT_WORKER_CHOICE_H

/// \file
/// The choice of a worker for one task.

#include "filbertspring/base/id.h"
#include "filbertspring/base/quantity.h"
#include "filbertspring/placement/failure_evidence.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <span>

namespace filbertspring::placement {

/// A worker that may take a task.
struct WorkerCandidate {
  WorkerName Name_;
  Resources Capacity_;
  Resources Free_;
  /// Attempts that it may take beside those it has.
  std::size_t Allowance_ = UnboundedAllowance;
};

/// Returns the index of the candidate that has room for \p Size and keeps the
/// least room afterwards, the first of equals; nothing when none has room.
/// Workers with accelerators come last for a task that needs none. Those for
/// which \p Admits returns false are passed over. Linear.
std::optional<std::size_t>
chooseWorker(std::span<const WorkerCandidate> Candidates, const Resources &Size,
             const std::function<bool(const WorkerCandidate &)> &Admits = {});

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_WORKER_CHOICE_H
