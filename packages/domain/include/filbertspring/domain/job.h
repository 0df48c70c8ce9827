#ifndef FILBERTSPRING_DOMAIN_JOB_H
#define FILBERTSPRING_DOMAIN_JOB_H

/// \file
/// A batch job and the states of its tasks. The table stores one row for each
/// job, and each transition is a conditional write of that row.

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
  /// Why the task failed, cannot run or waits again; for people.
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
  /// Availability zones that may hold it; empty means all of the contract.
  std::vector<ZoneName> Zones_;
  /// Time of day of the submission, in milliseconds since 1970.
  std::int64_t SubmittedMs_ = 0;
  /// What the tasks are to do; not interpreted.
  std::string Payload_;
  std::vector<Task> Tasks_;
};

/// A job with its rules: a task has at most one claimed attempt, attempts are
/// numbered upwards, and ended tasks never run again.
class Job {
public:
  /// Takes over \p Record. Errors: InvalidInput when it has no task or more
  /// than MaxTasks, or a task's fields contradict its state.
  static Result<Job> restore(JobRecord Record);

  const JobRecord &record() const { return Record_; }

  /// Returns true when no task waits or is claimed.
  bool ended() const;

  /// Claims the next attempt of a waiting task and returns its number.
  /// Errors: UnknownTask; InvalidTransition when the task does not wait.
  Result<std::int32_t> claim(std::int32_t Index, const Placement &Where);

  /// Ends a claimed attempt well. Errors, here and for the four below:
  /// UnknownTask; StaleAttempt when \p Attempt is not the claimed one.
  Status finish(std::int32_t Index, std::int32_t Attempt);
  /// Ends a claimed attempt that failed by itself; the task waits again until
  /// MaxAttempts_ of them have failed.
  Status fail(std::int32_t Index, std::int32_t Attempt, std::string Reason);
  /// Returns an evicted attempt to waiting. \p Checkpoint empty keeps the
  /// checkpoint that the task already had.
  Status evict(std::int32_t Index, std::int32_t Attempt,
               const CheckpointRef &Checkpoint, std::string Reason);
  /// Returns an attempt that never started, or surely ended without a result,
  /// to waiting.
  Status recover(std::int32_t Index, std::int32_t Attempt, std::string Reason);

  /// Names a waiting task as one that can never run. Errors: UnknownTask;
  /// InvalidTransition when it does not wait.
  Status reject(std::int32_t Index, std::string Reason);

  /// Cancels all tasks that wait or are claimed, and returns the attempts that
  /// must be stopped. Their assignments stay until they are known to be over.
  std::vector<AttemptRef> cancel();

  static constexpr std::size_t MaxTasks = 10000;

private:
  explicit Job(JobRecord Record) : Record_(std::move(Record)) {}
  Result<Task *> claimedTask(std::int32_t Index, std::int32_t Attempt);

  JobRecord Record_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_DOMAIN_JOB_H
