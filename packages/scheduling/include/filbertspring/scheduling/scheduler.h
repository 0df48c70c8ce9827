#ifndef FILBERTSPRING_SCHEDULING_SCHEDULER_H
#define FILBERTSPRING_SCHEDULING_SCHEDULER_H

/// \file
/// Decides which worker runs which task, for the jobs and workers of one cell.
///
/// A decision core without clocks, sockets or threads: events and times come
/// in, actions come out. Not thread-safe. One scheduler lives as long as one
/// tenure of the cell's owner; a successor rebuilds its state from stored
/// progress and from the workers' own reports. A start is ordered only after
/// its placement is stored, so a successor knows the one worker that may run
/// a task.

#include "filbertspring/base/log_event.h"
#include "filbertspring/base/time.h"
#include "filbertspring/scheduling/interference.h"
#include "filbertspring/scheduling/job.h"
#include "filbertspring/scheduling/queue_table.h"
#include "filbertspring/scheduling/worker.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace filbertspring::scheduling {

/// Limits and times of a scheduler.
struct SchedulerSettings {
  /// Rises with each tenure; workers reject lower ones.
  std::uint64_t OwnerToken_ = 1;
  /// Number of the tenure; runs of different tenures never share a number.
  std::uint64_t Tenure_ = 0;
  /// How long a renewal lets a worker's tasks run.
  Duration LeaseDuration_ = std::chrono::seconds(6);
  /// How far a worker's clock may run behind: a fraction of the time.
  double ClockDrift_ = 0.02;
  /// A start that arrives later than this is refused by the worker.
  Duration StartValidity_ = std::chrono::milliseconds(1500);
  /// How long a renewal waits for a task to end before it is answered.
  Duration ReportWait_ = std::chrono::milliseconds(1000);
  /// How long a worker may take to kill a task.
  Duration KillTimeout_ = std::chrono::milliseconds(200);
  /// How long workers that were not reached since the takeover may run tasks
  /// of the tenure before.
  Duration PredecessorLeaseLimit_ = std::chrono::milliseconds(12'700);
  /// How long a final state is kept.
  Duration FinalStateRetention_ = std::chrono::seconds(150);
  /// How much slower tasks are away from their data.
  double FarFactor_ = 3.0;
};

/// Renews the lease of all tasks on a worker and asks for its report.
struct RenewLease {
  std::string Worker_;
  std::string Address_;
  /// Until when tasks may run, on the worker's clock; nothing: only report.
  std::optional<std::int64_t> DeadlineMs_;
  /// Ends up to this number may be forgotten.
  std::uint64_t Acknowledged_ = 0;
  Duration Wait_{};
};

/// Starts a task.
struct StartTask {
  std::string Worker_;
  std::string Address_;
  TaskName Name_;
  std::uint64_t Run_ = 0;
  std::string Payload_;
  std::int64_t DeadlineMs_ = 0;
  std::string Checkpoint_;
  /// For logs: how long the task was ready.
  Duration Waited_{};
};

/// Stops a run, and forbids it if it has not arrived.
struct StopTask {
  std::string Worker_;
  std::string Address_;
  TaskName Name_;
  std::uint64_t Run_ = 0;
};

/// Lets a task work at a share of its speed.
struct PaceTask {
  std::string Worker_;
  std::string Address_;
  TaskName Name_;
  std::uint64_t Run_ = 0;
  int Percent_ = 100;
};

using Action = std::variant<RenewLease, StartTask, StopTask, PaceTask>;

/// A decision worth a log line.
struct LogRecord {
  LogEvent Event_;
  std::vector<std::pair<std::string, std::string>> Fields_;
};

/// What has to be stored, as one transaction.
struct PendingWrites {
  std::uint64_t Sequence_ = 0;
  std::vector<std::pair<std::string, JobProgress>> Progress_;
  std::vector<WorkerEntry> StoredWorkers_;
  std::vector<std::string> RemovedWorkers_;
  std::vector<std::string> RemovedJobs_;

  bool empty() const {
    return Progress_.empty() && StoredWorkers_.empty() &&
           RemovedWorkers_.empty() && RemovedJobs_.empty();
  }
};

/// Numbers of the present state, for metrics.
struct SchedulerCounts {
  std::size_t Jobs_ = 0;
  std::size_t Workers_ = 0;
  std::size_t ReachableWorkers_ = 0;
  std::size_t WaitingTasks_ = 0;
  std::size_t PlacedTasks_ = 0;
};

/// Owns the jobs and the picture of the workers.
class Scheduler {
public:
  Scheduler(SchedulerSettings Settings, TimePoint Now);
  ~Scheduler();
  Scheduler(const Scheduler &) = delete;
  Scheduler &operator=(const Scheduler &) = delete;

  /// Replaces the configuration.
  void configure(std::shared_ptr<const QueueTable> Queues);
  /// Replaces the set of availability zones in which nothing is started.
  void setClosedZones(std::set<std::string> Zones);

  /// Adds a job. A known job is left as it is.
  void addJob(const AcceptedJob &Accepted, TimePoint Now);
  /// Takes over the stored progress of a job; call it after all workers are
  /// added. Tasks that were placed count as running until their worker, or
  /// time, tells otherwise.
  void restoreProgress(const std::string &Job, const JobProgress &Progress);
  void cancelJob(const std::string &Job, TimePoint Now);

  /// A worker that the tenure before may have used.
  void restoreWorker(const WorkerEntry &Entry, TimePoint Now);
  /// A worker registered or changed its registration.
  void workerRegistered(const WorkerEntry &Entry, TimePoint Now);
  /// A registration vanished; what runs there may run on.
  void workerDeregistered(const std::string &Worker, TimePoint Now);

  void renewalAnswered(const std::string &Worker, const WorkerReport &Report,
                       TimePoint Now);
  void renewalFailed(const std::string &Worker, CallOutcome Outcome,
                     TimePoint Now);
  void startAnswered(const std::string &Worker, const TaskName &Name,
                     std::uint64_t Run, CallOutcome Outcome, TimePoint Now);
  void stopAnswered(const std::string &Worker, const TaskName &Name,
                    std::uint64_t Run, CallOutcome Outcome, TimePoint Now);

  /// A pace order failed; it is sent again after the next report.
  void paceFailed(const std::string &Worker, const TaskName &Name,
                  std::uint64_t Run);

  /// Advances to \p Now. \p WallMs: time of day,
  /// milliseconds since 1970. \p ConfirmedAt: the last moment at which no
  /// other instance owned the cell; \p MaySendCommands: it is recent enough to
  /// give orders.
  void advance(TimePoint Now, std::int64_t WallMs, TimePoint ConfirmedAt,
               bool MaySendCommands);
  /// Places what can be placed. Linear in waiting steps times workers, and of
  /// no use before the next transaction: call it when one can be taken.
  void place(TimePoint Now);
  /// Returns the actions decided since the last call, in order.
  std::vector<Action> takeActions();
  std::vector<LogRecord> takeLogRecords();

  /// Returns what must be stored, at most \p MaxRows rows. One transaction is
  /// outstanding at a time; finish it with one of the next two calls.
  PendingWrites takeWrites(std::size_t MaxRows);
  void writesStored(const PendingWrites &Writes, TimePoint Now);
  void writesFailed(const PendingWrites &Writes);
  /// Returns whether takeWrites() would return something.
  bool hasWrites() const;

  /// Returns up to \p Most jobs whose final state need not be kept. Their
  /// acceptances are to be removed before jobsRemoved() is called: progress
  /// without an acceptance is harmless, the reverse would run a job again.
  std::vector<std::string> expiredJobs(TimePoint Now, std::size_t Most) const;
  /// The acceptances of \p Jobs are removed.
  void jobsRemoved(const std::vector<std::string> &Jobs);

  /// What was learned of the interference of images, for a successor.
  std::vector<InterferenceEstimate> interferenceEstimates() const;
  /// Takes over what the tenure before learned; call it before any report.
  void restoreInterference(std::span<const InterferenceEstimate> Pairs);

  /// Returns whether a worker has seen a higher fencing token.
  bool isFenced() const;
  /// Accepted jobs without a started task, for each queue.
  std::map<std::string, std::uint64_t> pendingByQueue() const;
  std::optional<JobState> stateOf(const std::string &Job) const;
  SchedulerCounts counts() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_SCHEDULER_H
