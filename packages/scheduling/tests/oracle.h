#ifndef FILBERTSPRING_SCHEDULING_TESTS_ORACLE_H
#define FILBERTSPRING_SCHEDULING_TESTS_ORACLE_H

/// \file
/// A test oracle that checks the guarantees of the scheduler against what the
/// workers execute.

#include "simulated_worker.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace filbertspring::scheduling::test {

/// A violated guarantee.
struct Violation {
  std::string Rule_;
  std::string Detail_;
};

/// Records all accepted jobs and all starts and ends of runs, and reports
/// violations.
class Oracle : public WorkerObserver {
public:
  void accepted(const AcceptedJob &Job, std::uint32_t Attempts);
  void cancelled(const std::string &Job, TimePoint Now);
  /// \p Workspaces are those of the configuration from now on. Those that are
  /// missing may have no maximum, or their last one.
  void configured(const std::vector<Workspace> &Workspaces, TimePoint Now);
  /// A run of \p Name crashed its worker.
  void crashedBy(const TaskName &Name);
  /// The worker has \p Capacity from now on. A smaller one counts once an owner
  /// can have learned of it.
  void registered(const std::string &Worker, const Resources &Capacity,
                  TimePoint Now);

  void started(const std::string &Worker, const StartTask &Start,
               std::uint64_t Token, TimePoint Now) override;
  void ended(const std::string &Worker, const TaskName &Name, std::uint64_t Run,
             EndReason Reason, TimePoint Now) override;
  void acknowledged(const std::string &Worker, const TaskName &Name,
                    std::uint64_t Run, EndReason Reason, bool HasLeaseExpired,
                    TimePoint Now) override;
  void checkpointed(const TaskName &Name, std::uint64_t Run,
                    const std::string &Checkpoint) override;
  /// The progress of some tasks of \p Job was stored.
  void stored(const std::string &Job, const JobProgress &Progress,
              TimePoint Now);
  /// The owner with \p Token takes note of \p Report.
  void reported(std::uint64_t Token, const WorkerReport &Report);
  /// The workers that may not get a task, since they do not run, drain or are
  /// in a closed zone.
  void excluded(std::set<std::string> Workers) {
    Excluded_ = std::move(Workers);
  }
  /// \p Worker, and all that it executes, is about to be gone for good.
  void leaving(const std::string &Worker, TimePoint Now);
  void labelled(const std::string &Worker,
                const std::vector<std::string> &Labels);
  /// A serving task on \p Worker has been over its target since \p Since
  /// because of fillers, and there has been no fault since \p CalmSince.
  void harmed(const std::string &Worker, TimePoint Since, TimePoint CalmSince,
              TimePoint Now);
  /// There has been no fault since \p Since, the end of the last one.
  void calm(TimePoint Since, TimePoint Now);

  const std::vector<Violation> &violations() const { return Violations_; }
  /// Returns how long each task that has waited too long has waited on end, by
  /// the rule and the task.
  const std::map<std::string, Duration> &longWaits() const {
    return LongWaits_;
  }
  /// Returns whether a run of each task of \p Job has succeeded.
  bool isDone(const std::string &Job) const;
  std::size_t starts() const { return Starts_; }

private:
  struct SavedCheckpoint {
    std::uint64_t Number_ = 0;
    TimePoint At_;
  };
  struct TaskHistory {
    /// Workers that are executing the task.
    std::set<std::string> Runs_;
    bool HasDone_ = false;
    bool IsDoneAcknowledged_ = false;
    /// Successful runs, and whether another run was started after each of them.
    std::map<std::uint64_t, bool> DoneRuns_;
    std::set<std::uint64_t> AcknowledgedFailures_;
    /// The checkpoints that the task has produced, numbered in their order.
    std::map<std::string, std::uint64_t> Checkpoints_;
    /// The last checkpoint of each run.
    std::map<std::uint64_t, std::uint64_t> LatestCheckpoints_;
    /// The newest checkpoint that each owner knows from reports, by its token.
    std::map<std::uint64_t, std::uint64_t> ReportedCheckpoints_;
    /// Checkpoints that must not be lost, each newer than the one before.
    std::vector<SavedCheckpoint> SavedCheckpoints_;
    std::size_t Crashes_ = 0;
    std::size_t StartsAfterThirdCrash_ = 0;
    std::optional<TimePoint> LastEndedAt_;
    /// Until when an owner may have to take a run on a worker that is gone for
    /// running.
    TimePoint LostUntil_{};
    /// Since when the task has waited beside free capacity while its job had
    /// nothing running and less than half of all capacity was in use.
    std::optional<TimePoint> WaitsSince_;
    /// Since when the long-running task has waited beside a worker with room.
    std::optional<TimePoint> MissingSince_;
  };
  struct JobHistory {
    AcceptedJob Accepted_;
    std::uint32_t Attempts_ = 1;
    std::optional<TimePoint> CancelledAt_;
    std::map<std::string, TaskHistory> Tasks_;
    /// The last stored state is final.
    bool IsFinal_ = false;
  };
  void report(const char *Rule, std::string Detail);
  /// Checks that the run of a task that has just started leaves its workspace
  /// within a maximum that the start may rely on.
  void checkQuota(const std::string &Workspace, TimePoint Now);
  /// Returns whether the workspace of \p Job uses less than half of its
  /// maximum, which leaves room for a task with \p Request.
  bool isUnderHalfQuota(const JobHistory &Job, const Resources &Request) const;
  void checkStepOrder(const JobHistory &Job, const TaskName &Name);
  void checkCapacity(const std::string &Worker, TimePoint Now);
  void checkCheckpoint(const TaskHistory &History, const StartTask &Start,
                       std::uint64_t Token, TimePoint Now);
  /// Checks that no job without a running task waits beside free capacity, and
  /// that no long-running task does, whatever else runs. \p Calm: the time
  /// since the last fault.
  void checkWaiting(JobHistory &Job, Duration Calm, TimePoint Now);
  /// Reports a task that has waited since \p Since if that is too long, once.
  void checkWait(const char *Rule, const std::string &Text, bool IsWaiting,
                 std::optional<TimePoint> &Since, TimePoint Now);
  /// Returns whether a worker that may get a task of step \p Number of \p Job
  /// has twice the capacity that it requests.
  bool hasRoomTwice(const JobHistory &Job, std::uint32_t Number) const;
  /// Returns whether less than half of all capacity is in use.
  bool isHalfFree() const;
  Resources usedOn(const std::string &Worker) const;
  /// Returns whether \p Worker has as many tasks of step \p Number as it may.
  static bool isAtLimit(const JobHistory &Job, std::uint32_t Number,
                        const std::string &Worker);
  bool isDone(const JobHistory &Job, std::uint32_t Step) const;
  static void save(TaskHistory &History, std::uint64_t Checkpoint,
                   TimePoint Now);

  std::map<std::string, JobHistory> Jobs_;
  /// The capacities of each worker by the time since when it has had them.
  std::map<std::string, std::map<TimePoint, Resources>> Capacities_;
  std::map<std::string, std::map<std::string, Resources>> Reserved_;
  /// The maxima of each workspace by the time since when it has had them.
  std::map<std::string, std::map<TimePoint, Resources>> Maxima_;
  std::set<std::string> Configured_;
  /// The requests of the tasks that are executed, by workspace.
  std::map<std::string, Resources> UsedBy_;
  std::set<std::string> Excluded_;
  std::map<std::string, std::set<std::string>> Labels_;
  std::map<std::string, Duration> LongWaits_;
  std::set<std::string> HarmedWorkers_;
  std::vector<Violation> Violations_;
  std::size_t Starts_ = 0;
  std::uint64_t NextCheckpoint_ = 1;
};

} // namespace filbertspring::scheduling::test

#endif // FILBERTSPRING_SCHEDULING_TESTS_ORACLE_H
