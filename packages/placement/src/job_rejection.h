#ifndef FILBERTSPRING_PLACEMENT_JOB_REJECTION_H
#define FILBERTSPRING_PLACEMENT_JOB_REJECTION_H

/// \file
/// Names jobs that can never run.

#include "scheduler_core.h"

namespace filbertspring::placement {

/// Rejects those waiting jobs of \p Rows that can never run.
void rejectImpossible(SchedulerCore &Core, const std::vector<StoredRow> &Rows);

/// Takes in the answer to a transaction that rejects jobs.
void handleRejectionAnswer(SchedulerCore &Core, const CommitDone &Answer);

/// Gives up a rejection that got no answer in time.
void expireRejection(SchedulerCore &Core);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_JOB_REJECTION_H
