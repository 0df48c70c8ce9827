#ifndef FILBERTSPRING_PLACEMENT_RACK_COMMITS_H
#define FILBERTSPRING_PLACEMENT_RACK_COMMITS_H

/// \file
/// The life of the transactions of racks. Each rack has one under way at a
/// time. What an unanswered one did is never assumed: its rows are read, and
/// the rack's row tells whether it took effect.

#include "rack_draft.h"
#include "scheduler_core.h"

namespace filbertspring::placement {

/// What became of a transaction, as a rack's row shows it.
struct ResolvedCommit {
  bool TookOver_ = false;
  std::map<AttemptRef, TrackedAttempt> Starts_;
};

/// Sends the transaction of \p Draft for \p Rack, which has none under way.
void sendCommit(SchedulerCore &Core, RackState &Rack, const RackDraft &Draft,
                bool Takeover, std::map<AttemptRef, TrackedAttempt> Starts);

/// Takes in the answer to a transaction of any rack.
void handleCommitDone(SchedulerCore &Core, const CommitDone &Answer);

/// Treats the transaction of \p Rack as unanswered.
void handleUnknownOutcome(SchedulerCore &Core, RackState &Rack);

/// Settles the transaction of \p Rack by a newer version of its row: it took
/// effect when it wrote \p Row, else it never will.
ResolvedCommit resolveByRow(SchedulerCore &Core, RackState &Rack,
                            const StoredRow &Row);

/// Gives up an unanswered transaction whose rack's row has not changed. It may
/// still take effect, and then its rows are met as they are.
void abandonUnresolved(SchedulerCore &Core, RackState &Rack);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_RACK_COMMITS_H
