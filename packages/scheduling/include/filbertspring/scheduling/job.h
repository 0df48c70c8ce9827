#ifndef FILBERTSPRING_SCHEDULING_JOB_H
#define FILBERTSPRING_SCHEDULING_JOB_H

/// \file
/// An accepted job and how far its tasks are.

#include "filbertspring/base/enum_table.h"
#include "filbertspring/scheduling/job_spec.h"
#include "filbertspring/scheduling/task_name.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace filbertspring::scheduling {

/// What callers are told about a job.
enum class JobState { Queued, Running, Completed, Failed, Cancelled };

inline constexpr EnumTable<JobState, 5> JobStateNames{{
    {JobState::Queued, "queued"},
    {JobState::Running, "running"},
    {JobState::Completed, "completed"},
    {JobState::Failed, "failed"},
    {JobState::Cancelled, "cancelled"},
}};

/// Returns whether \p State is final.
constexpr bool isFinal(JobState State) {
  return State != JobState::Queued && State != JobState::Running;
}

/// The stored acceptance of a job.
struct AcceptedJob {
  std::string Id_;
  std::string Queue_;
  /// The service that the queue named at the acceptance.
  std::string Service_;
  JobSpec Spec_;
  /// Time of day of the acceptance, milliseconds since 1970.
  std::int64_t AcceptedMs_ = 0;
};

/// What has to survive the owner: ends, failures, checkpoints and placements.
struct TaskProgress {
  bool IsDone_ = false;
  std::uint32_t Failures_ = 0;
  /// The highest run whose failure is counted.
  std::uint64_t LastFailedRun_ = 0;
  std::string Checkpoint_;
  /// The only worker that may run the task now; empty while it waits.
  std::string Worker_;
  /// The highest run that was ordered or is about to be.
  std::uint64_t LastRun_ = 0;
  friend bool operator==(const TaskProgress &, const TaskProgress &) = default;
};

/// The stored progress of a job.
struct JobProgress {
  JobState State_ = JobState::Queued;
  /// Only tasks that differ from a fresh one.
  std::map<std::string, TaskProgress> Tasks_;
};

/// Where a task is.
enum class TaskPhase {
  /// Steps before it are not done, or it is not due.
  Blocked,
  Waiting,
  /// A worker is to run it, may run it or runs it.
  Placed,
  Done,
};

/// One task of a job with its history.
struct Task {
  TaskPhase Phase_ = TaskPhase::Blocked;
  TaskProgress Progress_;
  /// The worker on which it last failed.
  std::string LastFailedWorker_;
  /// Not placed before this time.
  TimePoint NotBefore_{};
  /// When it became ready to be placed.
  TimePoint ReadyAt_{};
};

/// A job, owned by the scheduler of its cell.
///
/// Keeps the rules of its own: steps open when all tasks of earlier steps are
/// done, a failure counts once, and a final state does not change.
class Job {
public:
  Job(AcceptedJob Accepted, TimePoint SeenAt);

  const AcceptedJob &accepted() const { return Accepted_; }
  JobState state() const { return State_; }
  TimePoint seenAt() const { return SeenAt_; }
  bool isLongRunning() const { return IsLongRunning_; }
  bool hasStarted() const { return HasStarted_; }

  /// Returns the task called \p Name, or null if the job has none.
  Task *find(const TaskName &Name);
  const StepSpec &step(const TaskName &Name) const {
    return Accepted_.Spec_.Steps_[Name.Step_];
  }

  /// Takes over stored progress; call it before any other change. Returns the
  /// tasks that a worker may run.
  std::vector<TaskName> restore(const JobProgress &Progress);
  /// Returns what has to be stored.
  JobProgress progress() const;

  /// Opens every step that is due at \p WallMs and whose earlier steps are
  /// done. Returns whether a step opened.
  bool releaseSteps(std::int64_t WallMs, TimePoint Now);
  /// Returns the longest chain of estimates of the steps that are not done, in
  /// the last occurrence: the least time to the end. Linear in steps.
  Duration remainingTime() const;
  /// Returns the due time of the next unopened occurrence, if there is one.
  std::optional<std::int64_t> nextDueMs() const;

  /// Names of the tasks that wait for a worker. Ordered by name.
  const std::set<std::uint32_t> &waiting() const { return Waiting_; }
  TaskName nameOf(std::uint32_t Slot) const;
  Task &at(std::uint32_t Slot) { return Tasks_[Slot]; }
  const Task &at(std::uint32_t Slot) const { return Tasks_[Slot]; }
  /// The number of tasks in \p Step of \p Occurrence that are placed.
  std::uint32_t placedInStep(std::uint32_t Occurrence,
                             std::uint32_t Step) const;

  /// Notes that \p Name is to run as \p Run on \p Worker.
  void place(const TaskName &Name, std::uint64_t Run,
             const std::string &Worker);
  /// Notes that a worker runs, or ran, one of the tasks. Returns whether that
  /// is news.
  bool markStarted();
  /// Puts a placed task back into the queue, not before \p NotBefore.
  void requeue(const TaskName &Name, TimePoint Now, TimePoint NotBefore);
  /// Keeps \p Checkpoint if it is not empty.
  void keepCheckpoint(const TaskName &Name, const std::string &Checkpoint);
  /// Notes a success. Returns false if it had been noted before.
  bool complete(const TaskName &Name);
  /// Notes that run \p Run failed on \p Worker. Returns false if that failure
  /// had been counted before. The job fails with the last of \p Attempts.
  bool fail(const TaskName &Name, std::uint64_t Run, const std::string &Worker,
            std::uint32_t Attempts);
  /// Ends the job. Has no effect on a final state.
  void cancel();

private:
  std::optional<std::uint32_t> slotOf(const TaskName &Name) const;
  bool isStepDone(std::uint32_t Occurrence, std::uint32_t Step) const;
  bool isStepReady(std::uint32_t Occurrence, std::uint32_t Step) const;
  void setFinal(JobState State);

  AcceptedJob Accepted_;
  JobState State_ = JobState::Queued;
  TimePoint SeenAt_;
  bool IsLongRunning_ = false;
  bool HasStarted_ = false;
  std::vector<Task> Tasks_;
  /// First slot of each step within an occurrence, and the total at the end.
  std::vector<std::uint32_t> StepSlots_;
  std::vector<std::uint32_t> OpenTasks_;
  std::vector<bool> IsOpen_;
  std::uint32_t UndoneTasks_ = 0;
  std::set<std::uint32_t> Waiting_;
};

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_JOB_H
