#ifndef FILBERTSPRING_SCHEDULING_WORKER_H
#define FILBERTSPRING_SCHEDULING_WORKER_H

/// \file
/// What workers say of themselves, and what their control calls answer.

#include "filbertspring/base/time.h"
#include "filbertspring/scheduling/job_spec.h"
#include "filbertspring/scheduling/task_name.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace filbertspring::scheduling {

/// The registration of one life of a worker.
struct WorkerEntry {
  std::string Id_;
  std::string Service_;
  std::string Address_;
  std::string Zone_;
  bool IsDraining_ = false;
  Resources Capacity_;
  std::vector<std::string> Labels_;
  /// Start of this life, milliseconds since 1970; 0 if unknown.
  std::int64_t StartedAtMs_ = 0;
};

/// A task that a worker runs.
struct RunningTask {
  TaskName Name_;
  std::uint64_t Run_ = 0;
  std::string Checkpoint_;
  /// Progress; a lasting task is at work when this is 100.
  double Percent_ = 0;
  /// Tail latency in milliseconds of a lasting task, or the processors in use.
  double Load_ = 0;
};

/// Why a run ended.
enum class EndReason {
  Done,
  Failed,
  Stopped,
  /// The worker's lease expired.
  LeaseExpired,
  /// Another member of the gang ended.
  GangBroken,
  /// The other members of the gang did not come in time.
  GangIncomplete,
  Unknown,
};

/// A run that ended, until its number is acknowledged.
struct EndedTask {
  std::uint64_t Number_ = 0;
  TaskName Name_;
  std::uint64_t Run_ = 0;
  EndReason Reason_ = EndReason::Unknown;
  std::string Checkpoint_;
};

/// A worker's answer to a lease renewal.
struct WorkerReport {
  /// The worker's own clock, milliseconds.
  std::int64_t ClockMs_ = 0;
  std::int64_t StartedAtMs_ = 0;
  std::vector<RunningTask> RunningTasks_;
  std::vector<EndedTask> EndedTasks_;
};

/// How a control call ended.
enum class CallOutcome {
  Accepted,
  /// A higher fencing token has been seen.
  RejectedStaleToken,
  /// The run is not higher than one that ended or was stopped there.
  RejectedOldRun,
  /// The call's deadline had passed.
  RejectedPastDeadline,
  RejectedNoCapacity,
  /// Any other refusal; nothing was done.
  RejectedOther,
  /// The worker declares itself unable; nothing was done.
  Unhealthy,
  /// Another life of the worker answered.
  OtherInstance,
  /// No connection was made, so nothing was done.
  NotSent,
  /// The call may have been carried out, or still be.
  NoAnswer,
};

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_WORKER_H
