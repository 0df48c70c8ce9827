#ifndef FILBERTSPRING_PLACEMENT_TABLE_READS_H
#define FILBERTSPRING_PLACEMENT_TABLE_READS_H

/// \file
/// Reads of the table, batched and retried with backoff when they fail.

#include "scheduler_core.h"

namespace filbertspring::placement {

/// Requests a read of the row of \p Key, unless one is in flight.
void requestRow(SchedulerCore &Core, const RowKey &Key);
void requestJob(SchedulerCore &Core, const JobId &Job);
void requestRack(SchedulerCore &Core, const RackName &Rack);

/// Reads all rows of \p Kind, unless such a scan is in flight.
void scanRows(SchedulerCore &Core, RowKind Kind);

/// Sends reads for the requested rows.
void flushReads(SchedulerCore &Core);

/// Handles the answer to a read.
void handleRowsRead(SchedulerCore &Core, const RowsRead &Answer);
void handleReadFailed(SchedulerCore &Core, RequestNumber Number);

/// Makes failed reads due for a retry immediately.
void retryReadsNow(SchedulerCore &Core);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_TABLE_READS_H
