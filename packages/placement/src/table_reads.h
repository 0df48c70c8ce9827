#ifndef FILBERTSPRING_PLACEMENT_TABLE_READS_H
#define FILBERTSPRING_PLACEMENT_TABLE_READS_H

/// \file
/// Reads of the table: batched, repeated with backoff when they fail.

#include "scheduler_core.h"

namespace filbertspring::placement {

/// Has the row of \p Key read, unless that is under way.
void requestRow(SchedulerCore &Core, const RowKey &Key);
void requestJob(SchedulerCore &Core, const JobId &Job);
void requestRack(SchedulerCore &Core, const RackName &Rack);

/// Asks for all rows of \p Kind.
void scanRows(SchedulerCore &Core, RowKind Kind);

/// Appends reads for the rows that are wanted.
void flushReads(SchedulerCore &Core);

/// Takes in the answer of a read.
void handleRowsRead(SchedulerCore &Core, const RowsRead &Answer);
void handleReadFailed(SchedulerCore &Core, RequestNumber Number);

/// Has failed reads repeated at once.
void retryReadsNow(SchedulerCore &Core);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_TABLE_READS_H
