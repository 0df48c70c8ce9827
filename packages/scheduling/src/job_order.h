#ifndef FILBERTSPRING_SCHEDULING_JOB_ORDER_H
#define FILBERTSPRING_SCHEDULING_JOB_ORDER_H

/// \file
/// The order in which jobs with waiting tasks get room.
///
/// Answers overload: bursts, and what has piled up after a zone was cut off or
/// all instances were down. In the order of arrival, jobs that nobody waits for
/// any more would make those behind them late, too.

#include "filbertspring/scheduling/job.h"
#include "filbertspring/scheduling/queue_table.h"

#include <compare>

namespace filbertspring::scheduling {

/// What callers still get from a job that is finished as soon as it can be.
enum class Lateness {
  InTime,
  /// Finished after its objective, which is worth little.
  Late,
  /// Finished so late that it is worth nothing more.
  Worthless,
};

/// Lower ranks get room first; members count in their order.
struct JobRank {
  /// That of its queue.
  int Priority_ = 0;
  /// Lasting tasks hold their room for long, and earn less with it than short
  /// ones do; but they may not be away for long.
  bool CanWait_ = false;
  Lateness Lateness_ = Lateness::InTime;
  /// When the objective of the job is over.
  TimePoint Due_{};

  friend auto operator<=>(const JobRank &, const JobRank &) = default;
};

/// Returns the rank of \p Waiting. \p Policy: its queue; null if that is gone.
/// Linear in the job's steps and waiting tasks.
JobRank rankOf(const Job &Waiting, const Queue *Policy, TimePoint Now);

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_JOB_ORDER_H
