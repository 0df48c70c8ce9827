#ifndef FILBERTSPRING_DOMAIN_TASK_H
#define FILBERTSPRING_DOMAIN_TASK_H

/// \file
/// Identifiers of tasks and attempts.

#include "filbertspring/base/id.h"

#include <compare>
#include <cstdint>

namespace filbertspring {

/// Identifies one task of a job.
struct TaskRef {
  JobId Job_;
  std::int32_t Index_ = 0;

  friend bool operator==(const TaskRef &, const TaskRef &) = default;
  friend auto operator<=>(const TaskRef &, const TaskRef &) = default;
};

/// Identifies one attempt to run a task. Attempts of a task are numbered from
/// 1, and numbers are never reused; at most one attempt may be running.
struct AttemptRef {
  TaskRef Task_;
  std::int32_t Attempt_ = 0;

  friend bool operator==(const AttemptRef &, const AttemptRef &) = default;
  friend auto operator<=>(const AttemptRef &, const AttemptRef &) = default;
};

} // namespace filbertspring

#endif // FILBERTSPRING_DOMAIN_TASK_H
