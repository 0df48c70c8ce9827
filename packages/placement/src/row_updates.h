#ifndef FILBERTSPRING_PLACEMENT_ROW_UPDATES_H
#define FILBERTSPRING_PLACEMENT_ROW_UPDATES_H

/// \file
/// Takes rows of the table into the state of a scheduler. Of each row only a
/// higher version is ever taken.

#include "scheduler_core.h"

namespace filbertspring::placement {

/// Takes in \p Row. \p SentAt is when the read or commit that showed it was
/// sent; nothing for a row that only informs.
void applyRow(SchedulerCore &Core, const StoredRow &Row,
              std::optional<TimePoint> SentAt);

/// Takes in that the row of \p Key did not exist when it was read.
void applyAbsentRow(SchedulerCore &Core, const RowKey &Key);

/// Takes in the end of a scan that returned \p Rows.
void applyScan(SchedulerCore &Core, RowKind Kind,
               const std::vector<StoredRow> &Rows);

/// What a job's row says of an assigned attempt.
enum class ClaimStatus {
  /// The row is older than the claim; a newer one must be read.
  NotYetVisible,
  Claimed,
  /// Its task was cancelled, or has ended or gone on without it.
  NotClaimed
};

/// Returns what \p Job says of \p Attempt. Attempt numbers only grow, so a row
/// that disowns an attempt does so for good.
ClaimStatus claimStatusOf(const JobRecord &Job, const AttemptRef &Attempt);

/// Drops \p Job when it is over and none of its attempts is held.
void eraseEndedJob(SchedulerCore &Core, const JobId &Job);

/// Stops the attempts of \p Job that its row no longer claims.
void stopUnclaimedAttempts(SchedulerCore &Core, const JobRecord &Job);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_ROW_UPDATES_H
