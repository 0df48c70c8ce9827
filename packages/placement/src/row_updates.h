#ifndef FILBERTSPRING_PLACEMENT_ROW_UPDATES_H
#define FILBERTSPRING_PLACEMENT_ROW_UPDATES_H

/// \file
/// Applies rows of the table to the state of a scheduler. A row is applied only
/// if its version is higher than the one held.

#include "scheduler_core.h"

namespace filbertspring::placement {

/// Applies \p Row. \p SentAt is when the read or commit that returned it was
/// sent, or nothing for a row that does not confirm ownership.
void applyRow(SchedulerCore &Core, const StoredRow &Row,
              std::optional<TimePoint> SentAt);

/// Records that the row of \p Key did not exist when it was read.
void applyAbsentRow(SchedulerCore &Core, const RowKey &Key);

/// Handles the completion of a scan that returned \p Rows.
void applyScan(SchedulerCore &Core, RowKind Kind,
               const std::vector<StoredRow> &Rows);

/// Whether a job's row claims an assigned attempt.
enum class ClaimStatus {
  /// The row is older than the claim; a newer one must be read.
  NotYetVisible,
  Claimed,
  /// The task was cancelled, has ended, or has moved on to another attempt.
  NotClaimed
};

/// Returns whether \p Job claims \p Attempt. Attempt numbers only increase, so
/// NotClaimed is final.
ClaimStatus claimStatusOf(const JobRecord &Job, const AttemptRef &Attempt);

/// Erases \p Job when it has ended and none of its attempts is tracked.
void eraseEndedJob(SchedulerCore &Core, const JobId &Job);

/// Stops the attempts of \p Job that its row no longer claims.
void stopUnclaimedAttempts(SchedulerCore &Core, const JobRecord &Job);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_ROW_UPDATES_H
