#ifndef FILBERTSPRING_SCHEDULING_JOB_ORDER_H
#define FILBERTSPRING_SCHEDULING_JOB_ORDER_H

/// \file
/// The order in which waiting tasks of jobs are placed.
///
/// The order matters under overload: in bursts, and for the backlog after a
/// zone was unreachable or all instances were down. If jobs were placed in the
/// order of arrival, jobs whose results have lost their value would delay all
/// jobs behind them.

#include "filbertspring/scheduling/job.h"
#include "filbertspring/scheduling/queue_table.h"

#include <compare>

namespace filbertspring::scheduling {

/// The value for the caller of a job that finishes as early as possible.
enum class Lateness {
  InTime,
  /// Finishes after its latency objective and has little value.
  Late,
  /// Finishes so late that it has no value.
  Worthless,
};

/// Jobs with lower ranks are placed first; ranks compare lexicographically.
struct JobRank {
  /// The priority of the queue.
  int Priority_ = 0;
  /// Set for long-running jobs, which occupy capacity for long and gain less
  /// from it than short jobs, until they have waited for the maximum time.
  bool IsDeferrable_ = false;
  Lateness Lateness_ = Lateness::InTime;
  /// When the latency objective of the job ends.
  TimePoint Due_{};

  friend auto operator<=>(const JobRank &, const JobRank &) = default;
};

/// Returns the rank of \p Waiting. \p Policy is its queue, or null if the queue
/// has been removed. Linear in the job's steps and waiting tasks.
JobRank rankOf(const Job &Waiting, const Queue *Policy, TimePoint Now);

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_JOB_ORDER_H
