#ifndef FILBERTSPRING_SCHEDULING_H
#define FILBERTSPRING_SCHEDULING_H

/// \file
/// Scheduling of jobs onto registered workers: the public headers.

#include "filbertspring/scheduling/interference.h"
#include "filbertspring/scheduling/job.h"
#include "filbertspring/scheduling/job_spec.h"
#include "filbertspring/scheduling/owner_lease.h"
#include "filbertspring/scheduling/pacing.h"
#include "filbertspring/scheduling/progress_codec.h"
#include "filbertspring/scheduling/queue_table.h"
#include "filbertspring/scheduling/row_store.h"
#include "filbertspring/scheduling/scheduler.h"
#include "filbertspring/scheduling/task_name.h"
#include "filbertspring/scheduling/worker.h"

#endif // FILBERTSPRING_SCHEDULING_H
