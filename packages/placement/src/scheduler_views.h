#ifndef FILBERTSPRING_PLACEMENT_SCHEDULER_VIEWS_H
#define FILBERTSPRING_PLACEMENT_SCHEDULER_VIEWS_H

/// \file
/// Explanations and snapshots of the state of a scheduler.

#include "scheduler_core.h"

#include "filbertspring/placement/scheduler_view.h"

namespace filbertspring::placement {

std::vector<TaskExplanation> explainJob(const SchedulerCore &Core,
                                        const JobId &Job);

SchedulerSnapshot snapshotOf(const SchedulerCore &Core);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_SCHEDULER_VIEWS_H
