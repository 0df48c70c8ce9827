#ifndef FILBERTSPRING_PLACEMENT_JOB_REJECTION_H
#define FILBERTSPRING_PLACEMENT_JOB_REJECTION_H

/// \file
/// Rejects waiting jobs that can never run.

#include "scheduler_core.h"

namespace filbertspring::placement {

/// Sends a transaction that rejects those waiting jobs of \p Rows that can
/// never run, unless an earlier one is pending.
void rejectImpossible(SchedulerCore &Core, const std::vector<StoredRow> &Rows);

/// Processes the answer to the pending transaction that rejects jobs; any other
/// answer is ignored.
void handleRejectionAnswer(SchedulerCore &Core, const CommitDone &Answer);

/// Ends the pending rejection when its answer is overdue. The jobs are read
/// again, since the outcome is unknown.
void expireRejection(SchedulerCore &Core);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_JOB_REJECTION_H
