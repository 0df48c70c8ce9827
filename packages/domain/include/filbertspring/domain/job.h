#ifndef FILBERTSPRING_DOMAIN_JOB_H
#define FILBERTSPRING_DOMAIN_JOB_H

/// \file
/// A batch job and the states of its tasks. The table stores one row per job,
/// and each transition is a conditional write of that row.

#include "filbertspring/base/enum_table.h"
#include "filbertspring/base/id.h"
#include "filbertspring/base/quantity.h"
#include "filbertspring/base/result.h"
#include "filbertspring/base/time.h"
#include "filbertspring/domain/task.h"

#include <cstdint>
#include <string>
#include <vector>

namespace filbertspring {

/// The state of one task.
///
///   Waiting -> Claimed -> Finished | Failed | Waiting (evicted, lost, retried)
///   Waiting -> Impossible;  Waiting | Claimed -> Cancelled
enum class TaskState {
  Waiting,
  Claimed,
  Finished,
  Failed,
  Impossible,
  Cancelled
};

inline constexpr EnumTable<TaskState, 6> TaskStateNames{
    {{TaskState::Waiting, "waiting"},
     {TaskState::Claimed, "claimed"},
     {TaskState::Finished, "finished"},
     {TaskState::Failed, "failed"},
     {TaskState::Impossible, "impossible"},
     {TaskState::Cancelled, "cancelled"}}};

/// Where a claimed attempt runs.
struct Placement {
  ZoneName Zone_;
  RackName Rack_;
  WorkerName Worker_;
};

/// One task of a job.
struct Task {
  TaskState State_ = TaskState::Waiting;
  /// The number of the latest attempt; 0 before the first claim.
  std::int32_t Attempt_ = 0;
  /// Attempts that failed by themselves; evictions and losses do not count.
  std::int32_t Failures_ = 0;
  /// Attempts that were evicted.
  std::int32_t Evictions_ = 0;
  /// Set while claimed.
  Placement Placement_;
  /// The checkpoint to resume from; empty when there is none.
  CheckpointRef Checkpoint_;
  /// Human-readable reason why the task failed, cannot run or waits again.
  std::string Reason_;
};

/// The stored fields of a job.
struct JobRecord {
  JobId Id_;
  ContractName Contract_;
  BatchKindName Kind_;
  IdempotencyKey Key_;
  bool Urgent_ = false;
  std::int32_t MaxAttempts_ = 1;
  /// Resources of each task, as its owner declares them.
  Resources Size_;
  /// Run time of each task, as its owner declares it.
  Duration DeclaredRunTime_{};
  /// Availability zones in which it may run; empty means all zones of the
  /// contract.
  std::vector<ZoneName> Zones_;
  /// Time of day of the submission, in milliseconds since 1970.
  std::int64_t SubmittedMs_ = 0;
  /// Opaque description of the work; not interpreted.
  std::string Payload_;
  std::vector<Task> Tasks_;
};

/// A job that enforces its invariants: a task has at most one claimed attempt,
/// attempt numbers only increase, and ended tasks never run again.
class Job {
public:
  /// Makes a job of a stored \p Record. Errors: InvalidInput when it has no
  /// task or more than MaxTasks, or a task's fields contradict its state.
  static Result<Job> restore(JobRecord Record);

  const JobRecord &record() const { return Record_; }

  /// Returns true when no task is waiting or claimed.
  bool ended() const;

  /// Claims the next attempt of a waiting task and returns its number. Errors:
  /// UnknownTask; InvalidTransition when the task is not waiting.
  Result<std::int32_t> claim(std::int32_t Index, const Placement &Target);

  /// Ends a claimed attempt successfully. Errors, also of fail(), evict() and
  /// recover(): UnknownTask; StaleAttempt when \p Attempt is not the claimed
  /// one.
  Status finish(std::int32_t Index, std::int32_t Attempt);
  /// Ends a claimed attempt that failed by itself. The task returns to waiting
  /// until MaxAttempts_ attempts have failed.
  Status fail(std::int32_t Index, std::int32_t Attempt, std::string Reason);
  /// Ends an evicted attempt and returns its task to waiting. An empty
  /// \p Checkpoint keeps the previous checkpoint of the task.
  Status evict(std::int32_t Index, std::int32_t Attempt,
               const CheckpointRef &Checkpoint, std::string Reason);
  /// Ends an attempt that never started, or is known to have ended without a
  /// result, and returns its task to waiting.
  Status recover(std::int32_t Index, std::int32_t Attempt, std::string Reason);

  /// Marks a waiting task as one that can never run. Errors: UnknownTask;
  /// InvalidTransition when it is not waiting.
  Status reject(std::int32_t Index, std::string Reason);

  /// Cancels all waiting and claimed tasks, and returns the attempts that must
  /// be stopped. Their assignments stay until the attempts are known to have
  /// ended.
  std::vector<AttemptRef> cancel();

  static constexpr std::size_t MaxTasks = 10000;

private:
  explicit Job(JobRecord Record) : Record_(std::move(Record)) {}
  Result<Task *> claimedTask(std::int32_t Index, std::int32_t Attempt);

  JobRecord Record_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_DOMAIN_JOB_H
