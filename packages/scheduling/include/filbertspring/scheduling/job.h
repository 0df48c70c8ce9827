#ifndef FILBERTSPRING_SCHEDULING_JOB_H
#define FILBERTSPRING_SCHEDULING_JOB_H

/// \file
/// An accepted job and the progress of its tasks.

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

/// The state of a job as it is reported to callers.
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
  /// The service that the queue was configured with when the job was accepted.
  std::string Service_;
  /// The workspace whose key was used to submit the job; empty if none was.
  std::string Workspace_;
  JobSpec Spec_;
  /// Time of acceptance, milliseconds since 1970.
  std::int64_t AcceptedMs_ = 0;
};

/// The part of a task's state that is stored, so that the next owner of the
/// cell can continue from it.
struct TaskProgress {
  bool IsDone_ = false;
  std::uint32_t Failures_ = 0;
  /// The highest run number whose failure is included in Failures_.
  std::uint64_t LastFailedRun_ = 0;
  std::string Checkpoint_;
  /// The only worker that may run the task now; empty while no worker is
  /// assigned.
  std::string Worker_;
  /// The highest run number that was assigned to a start command, whether or
  /// not the command has been sent.
  std::uint64_t LastRun_ = 0;
  /// The workers that crashed while they may have run the task and for which
  /// the task may be the cause, in the order of their crashes.
  std::vector<std::string> CrashedWorkers_ = {};
  /// How many of those crashes happened while the task was isolated.
  std::uint32_t IsolatedCrashes_ = 0;
  /// The number of crashes of workers on which the task had worked for a while,
  /// so that it is an unlikely cause.
  std::uint32_t Exposures_ = 0;
  /// The worker that may still execute a start command for the task, though it
  /// may have answered since this was stored; empty if none may.
  std::string DoubtfulWorker_ = {};
  friend bool operator==(const TaskProgress &, const TaskProgress &) = default;
};

/// The stored progress of a job.
struct JobProgress {
  JobState State_ = JobState::Queued;
  /// Why the job failed, for callers; empty if a task used up its attempts.
  std::string Cause_;
  /// Changes in rows of the journal up to this number are included.
  std::uint64_t IncludedJournal_ = 0;
  /// Progress by task name; tasks in their initial state are omitted.
  std::map<std::string, TaskProgress> Tasks_;
};

/// The scheduling phase of a task.
enum class TaskPhase {
  /// The steps that it depends on are not done, or it is not due yet.
  Blocked,
  /// Ready to be placed on a worker.
  Waiting,
  /// Assigned to a worker, which may or may not run it yet.
  Placed,
  Done,
};

/// The state of one task of a job.
struct Task {
  TaskPhase Phase_ = TaskPhase::Blocked;
  TaskProgress Progress_;
  /// The worker on which the task last failed.
  std::string LastFailedWorker_;
  /// The task is not placed before this time.
  TimePoint NotBefore_{};
  /// The time at which the task last became ready to be placed.
  TimePoint ReadyAt_{};
  /// Runs whose leases expired before the task can have settled. Whether their
  /// workers crashed is not known yet.
  std::uint32_t PendingLosses_ = 0;
};

/// A job and the states of its tasks.
///
/// Enforces the rules that concern a single job: a step is released (its tasks
/// become ready to be placed) when all tasks of the steps that it depends on
/// are done, a failure is counted once, and a final state does not change.
class Job {
public:
  /// \p SeenAt: when the present owner of the cell first saw the job.
  Job(AcceptedJob Accepted, TimePoint SeenAt);

  const AcceptedJob &accepted() const { return Accepted_; }
  JobState state() const { return State_; }
  const std::string &cause() const { return Cause_; }
  TimePoint seenAt() const { return SeenAt_; }
  bool isLongRunning() const { return IsLongRunning_; }
  bool hasStarted() const { return HasStarted_; }

  /// Returns the task called \p Name, or null if the job has none.
  Task *find(const TaskName &Name);
  const StepSpec &step(const TaskName &Name) const {
    return Accepted_.Spec_.Steps_[Name.Step_];
  }

  /// Restores stored progress. Must be called before any other change. Returns
  /// the tasks that are assigned to a worker, which may be running them.
  std::vector<TaskName> restore(const JobProgress &Progress);
  /// Returns the progress to store.
  JobProgress progress() const;

  /// Returns whether tasks have changed that were not taken.
  bool hasChanges() const { return !ChangedSlots_.empty(); }
  /// Returns the slots of the tasks that have changed, in ascending order.
  const std::vector<std::uint32_t> &changes();
  /// Takes the first \p MaxTasks of changes().
  std::vector<std::uint32_t> takeChanges(std::size_t MaxTasks);
  /// Marks tasks as changed, also those whose changes could not be stored.
  void markChanged(const std::vector<std::uint32_t> &Slots);
  /// Returns the state of the job and the progress of the tasks in \p Slots.
  JobProgress progressOf(const std::vector<std::uint32_t> &Slots) const;

  /// Releases every step that is due at \p WallMs and whose dependencies are
  /// done. Returns whether any step was released.
  bool releaseSteps(std::int64_t WallMs, TimePoint Now);
  /// Returns the length of the critical path through the steps of the last
  /// occurrence that are not done, from their estimates: a lower bound of the
  /// time until the job ends. Linear in the number of steps.
  Duration remainingTime() const;
  /// Returns the due time of the first occurrence that is not released, if
  /// there is one.
  std::optional<std::int64_t> nextDueMs() const;

  /// Returns the slots of the tasks that wait for a worker. A slot is the index
  /// of a task within the job, in the order of occurrence, step and task.
  const std::set<std::uint32_t> &waiting() const { return Waiting_; }
  /// Returns the slot of the task that has waited longest. There must be one.
  std::uint32_t longestWaiting() const;
  /// Returns whether a worker executes, or may execute, a task. Linear in the
  /// number of tasks.
  bool hasPlacedTask() const;
  TaskName nameOf(std::uint32_t Slot) const;
  /// Returns the first slot behind those of the step that \p Slot belongs to,
  /// which are consecutive.
  std::uint32_t endOfStep(std::uint32_t Slot) const;
  std::uint32_t taskCount() const {
    return static_cast<std::uint32_t>(Tasks_.size());
  }
  Task &at(std::uint32_t Slot) { return Tasks_[Slot]; }
  const Task &at(std::uint32_t Slot) const { return Tasks_[Slot]; }
  /// Returns the number of tasks in \p Step of \p Occurrence that are placed.
  std::uint32_t placedInStep(std::uint32_t Occurrence,
                             std::uint32_t Step) const;

  /// Assigns the task \p Name to \p Worker as run number \p Run.
  void place(const TaskName &Name, std::uint64_t Run,
             const std::string &Worker);
  /// Notes that only \p Worker may still execute a start command for \p Name,
  /// or none if it is empty. Of a timed task this is stored with its next
  /// change, since most end soon. Returns whether there is a change to store.
  bool noteDoubtfulStart(const TaskName &Name, const std::string &Worker);
  /// Marks the job as started: a worker runs, or ran, one of its tasks. Returns
  /// false if the job was already marked.
  bool markStarted();
  /// Returns a placed task to the waiting tasks; it is not placed again before
  /// \p NotBefore.
  void requeue(const TaskName &Name, TimePoint Now, TimePoint NotBefore);
  /// Replaces the checkpoint of \p Name by \p Checkpoint unless that is empty.
  void keepCheckpoint(const TaskName &Name, const std::string &Checkpoint);
  /// Records that \p Name succeeded. Returns false if that was recorded before.
  bool complete(const TaskName &Name);
  /// Records that run \p Run failed on \p Worker. Returns false if that failure
  /// was counted before. The job fails when a task has failed \p Attempts
  /// times; failures of long-running tasks do not count.
  bool fail(const TaskName &Name, std::uint64_t Run, const std::string &Worker,
            std::uint32_t Attempts);
  /// Records that \p Worker crashed, possibly because of \p Name. Has no effect
  /// on a task that is done.
  void recordCrash(const TaskName &Name, const std::string &Worker,
                   bool IsIsolated);
  /// Records that the worker of \p Name crashed, probably because of another
  /// task.
  void recordExposure(const TaskName &Name);
  /// Forgets the crashes recorded for \p Name.
  void clearCrashes(const TaskName &Name);
  /// Fails the job because \p Name crashes the workers that run it. Has no
  /// effect in a final state.
  void giveUp(const TaskName &Name);
  /// Fails the job because of \p Cause. Has no effect in a final state.
  void reject(std::string Cause);
  /// Cancels the job. Has no effect in a final state.
  void cancel();

private:
  std::optional<std::uint32_t> slotOf(const TaskName &Name) const;
  bool isStepDone(std::uint32_t Occurrence, std::uint32_t Step) const;
  bool isStepReady(std::uint32_t Occurrence, std::uint32_t Step) const;
  void finish(JobState State);

  AcceptedJob Accepted_;
  JobState State_ = JobState::Queued;
  std::string Cause_;
  TimePoint SeenAt_;
  bool IsLongRunning_ = false;
  bool HasStarted_ = false;
  std::vector<Task> Tasks_;
  /// The first slot of each step within an occurrence, followed by the number
  /// of tasks of an occurrence.
  std::vector<std::uint32_t> FirstSlots_;
  /// Number of tasks that are not done, for each step of each occurrence.
  std::vector<std::uint32_t> RemainingInStep_;
  /// For each step of each occurrence.
  std::vector<bool> IsReleased_;
  std::uint32_t RemainingTasks_ = 0;
  std::set<std::uint32_t> Waiting_;
  /// May hold a slot several times.
  std::vector<std::uint32_t> ChangedSlots_;
};

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_JOB_H
