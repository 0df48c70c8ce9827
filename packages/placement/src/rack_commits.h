#ifndef FILBERTSPRING_PLACEMENT_RACK_COMMITS_H
#define FILBERTSPRING_PLACEMENT_RACK_COMMITS_H

/// \file
/// Sends the transactions of racks and resolves their outcomes. Each rack has
/// at most one in flight. The outcome of an unanswered transaction is never
/// assumed: its rows are read, and the rack's row shows whether it took effect.

#include "rack_draft.h"
#include "scheduler_core.h"

namespace filbertspring::placement {

/// The outcome of a transaction, derived from the rack's row.
struct ResolvedCommit {
  bool TookOver_ = false;
  std::map<AttemptRef, TrackedAttempt> Starts_;
};

/// Sends the transaction of \p Draft for \p Rack, which must have none in
/// flight.
void sendCommit(SchedulerCore &Core, RackState &Rack, const RackDraft &Draft,
                bool Takeover, std::map<AttemptRef, TrackedAttempt> Starts);

/// Handles the answer to a transaction of any rack.
void handleCommitDone(SchedulerCore &Core, const CommitDone &Answer);

/// Marks the outcome of the transaction of \p Rack as unknown and requests its
/// rows.
void handleUnknownOutcome(SchedulerCore &Core, RackState &Rack);

/// Resolves the transaction of \p Rack by a newer version of its row: it took
/// effect if it wrote \p Row, otherwise it never will.
ResolvedCommit resolveByRow(SchedulerCore &Core, RackState &Rack,
                            const StoredRow &Row);

/// Abandons an unanswered transaction whose rack's row has not changed. It may
/// still take effect; its rows are then applied like those of another writer.
void abandonUnresolved(SchedulerCore &Core, RackState &Rack);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_RACK_COMMITS_H
