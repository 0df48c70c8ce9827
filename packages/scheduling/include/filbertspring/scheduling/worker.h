#ifndef FILBERTSPRING_SCHEDULING_WORKER_H
#define FILBERTSPRING_SCHEDULING_WORKER_H

/// \file
/// Registrations and reports of workers, and the outcomes of control calls to
/// them.

#include "filbertspring/base/time.h"
#include "filbertspring/scheduling/job_spec.h"
#include "filbertspring/scheduling/task_name.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace filbertspring::scheduling {

/// The registration of one incarnation of a worker, that is, of one run of its
/// process between two restarts.
struct WorkerEntry {
  std::string Id_;
  std::string Service_;
  std::string Address_;
  std::string Zone_;
  bool IsDraining_ = false;
  Resources Capacity_;
  std::vector<std::string> Labels_;
  /// Start time of this incarnation, milliseconds since 1970; 0 if unknown.
  std::int64_t StartedAtMs_ = 0;
  /// Rises with each registration of one incarnation; 0 if unknown.
  std::uint64_t Sequence_ = 0;
};

/// A running task as its worker reports it.
struct RunningTask {
  TaskName Name_;
  std::uint64_t Run_ = 0;
  std::string Checkpoint_;
  /// Progress of the task. A long-running task is serving when this is 100.
  double Percent_ = 0;
  /// The tail latency of a long-running task in milliseconds, or the processors
  /// that any other task uses.
  double Load_ = 0;
};

/// Why a run ended.
enum class EndReason {
  Done,
  Failed,
  Stopped,
  /// The worker's lease expired.
  LeaseExpired,
  /// Another task of the gang ended.
  GangBroken,
  /// The other tasks of the gang did not start in time.
  GangIncomplete,
  Unknown,
};

/// A run that ended. Workers repeat it in their reports until its number is
/// acknowledged.
struct EndedTask {
  /// Sequence number of the end on this incarnation of the worker.
  std::uint64_t Number_ = 0;
  TaskName Name_;
  std::uint64_t Run_ = 0;
  EndReason Reason_ = EndReason::Unknown;
  std::string Checkpoint_;
};

/// A worker's answer to a lease renewal: what it runs when it answers.
struct WorkerReport {
  /// The worker's own clock in milliseconds.
  std::int64_t ClockMs_ = 0;
  std::int64_t StartedAtMs_ = 0;
  std::vector<RunningTask> RunningTasks_;
  std::vector<EndedTask> EndedTasks_;
  /// Entries of both lists with a task name of another form.
  std::size_t UnreadableEntries_ = 0;
  /// The worker lists a limited number of ends at a time and may have more.
  bool MayOmitEnds_ = false;

  /// Returns whether a run that is in neither list does not exist any more. In
  /// any other report, its end may be omitted or unreadable.
  bool isComplete() const { return UnreadableEntries_ == 0 && !MayOmitEnds_; }
};

/// The outcome of a control call to a worker.
enum class CallOutcome {
  Accepted,
  /// The worker has received a higher fencing token.
  RejectedStaleToken,
  /// The run number is not higher than that of a run of the task that ended or
  /// was stopped on this worker.
  RejectedOldRun,
  /// The deadline of the call had passed.
  RejectedPastDeadline,
  RejectedNoCapacity,
  /// Any other rejection; the call had no effect.
  RejectedOther,
  /// The worker reports itself as unhealthy; the call had no effect.
  Unhealthy,
  /// Another incarnation of the worker, or another worker, answered.
  OtherInstance,
  /// No connection was made; the call had no effect.
  NotSent,
  /// The owner's permission ended before the call was sent; see sendingLimit().
  /// The call had no effect.
  Expired,
  /// The call may have been executed, or may still be executed later.
  NoAnswer,
};

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_WORKER_H
