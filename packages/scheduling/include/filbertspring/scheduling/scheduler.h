#ifndef FILBERTSPRING_SCHEDULING_SCHEDULER_H
#define FILBERTSPRING_SCHEDULING_SCHEDULER_H

/// \file
/// Assigns the tasks of the jobs of one cell to the workers of that cell.
///
/// The scheduler uses no clocks, sockets or threads: the caller passes in
/// events and the time, and the scheduler returns the actions to carry out. It
/// is not thread-safe. A scheduler exists for one tenure of the cell's owner;
/// the next owner rebuilds the state from stored progress and from the workers'
/// reports. A start command is sent only after the placement has been stored,
/// so the next owner knows the only worker that may run a task.

#include "filbertspring/base/log_event.h"
#include "filbertspring/base/time.h"
#include "filbertspring/scheduling/interference.h"
#include "filbertspring/scheduling/job.h"
#include "filbertspring/scheduling/owner_lease.h"
#include "filbertspring/scheduling/predecessor_leases.h"
#include "filbertspring/scheduling/progress_journal.h"
#include "filbertspring/scheduling/queue_table.h"
#include "filbertspring/scheduling/start_admission.h"
#include "filbertspring/scheduling/worker.h"

#include <algorithm>
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

/// Tasks wait for a place near their data while learned rates let expect that
/// this pays off.
struct LearnedPlaceWait {};
/// Tasks start elsewhere at once when no place near their data is free.
struct NoPlaceWait {};
/// Tasks wait for a fixed time, for comparisons.
struct FixedPlaceWait {
  Duration Limit_{};
};
using PlaceWaitPolicy =
    std::variant<LearnedPlaceWait, NoPlaceWait, FixedPlaceWait>;

/// The fencing tokens of a tenure begin at this multiple of its owner token.
/// The token of a worker rises with each of its restarts, so that its present
/// incarnation rejects the commands that were meant for previous ones.
inline constexpr std::uint64_t TokensPerTenure = 1U << 16U;

/// Limits, durations and identifiers of a scheduler.
struct SchedulerSettings {
  /// Increases with each tenure. Fencing tokens are derived from it.
  std::uint64_t OwnerToken_ = 1;
  /// Number of the tenure. Run numbers are derived from it, so that they are
  /// unique across tenures.
  std::uint64_t Tenure_ = 0;
  /// How long a renewal permits the tasks of a worker to run.
  Duration LeaseDuration_ = std::chrono::seconds(6);
  /// The maximum to which workers shorten longer leases. Not less than
  /// LeaseDuration_.
  Duration MaxLease_ = std::chrono::seconds(6);
  /// Bound of the drift of a worker's clock, as a fraction of the elapsed time.
  double ClockDrift_ = 0.02;
  /// A worker rejects a start command that arrives later than this.
  Duration StartValidity_ = std::chrono::milliseconds(1500);
  /// How long a worker may delay the response to a renewal until a task ends.
  Duration ReportWait_ = std::chrono::milliseconds(1000);
  /// How long a worker may take to kill a task when its lease has expired.
  Duration KillTimeout_ = std::chrono::milliseconds(200);
  /// How long after the takeover a worker that has not been reached may still
  /// run tasks under leases of previous tenures; negative if these have ended.
  Duration PredecessorLeaseLimit_ = std::chrono::milliseconds(12'700);
  /// How long the final state of a job is kept.
  Duration FinalStateRetention_ = std::chrono::seconds(150);
  /// How long a cancellation is kept at least. Much longer than a process that
  /// holds an unread submission of the job may be suspended.
  Duration MinCancellationRetention_ = std::chrono::seconds(120);
  /// How many times slower tasks are on racks that do not hold their data.
  double FarFactor_ = 3.0;

  /// How long cancellations, and jobs that were cancelled, are kept.
  Duration cancellationRetention() const {
    return std::max(FinalStateRetention_, MinCancellationRetention_);
  }
  PlaceWaitPolicy PlaceWait_;
};

/// Renews the lease of all tasks on a worker and requests a report.
struct RenewLease {
  /// Unique among the renewals of a tenure.
  std::uint64_t Number_ = 0;
  std::string Worker_;
  std::string Address_;
  /// The time on the worker's clock until which tasks may run; empty to request
  /// a report without extending the lease.
  std::optional<std::int64_t> DeadlineMs_;
  /// The worker may discard ended tasks up to this number.
  std::uint64_t Acknowledged_ = 0;
  /// How long the worker may delay the response until a task ends.
  Duration Wait_{};
  /// The fencing token. Workers reject lower ones than they have received.
  std::uint64_t Token_ = 0;
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
  /// How long the task had been ready; for logs only.
  Duration Waited_{};
  /// The fencing token. Workers reject lower ones than they have received.
  std::uint64_t Token_ = 0;
  /// Not to be sent at this time or later, whoever owns the cell.
  TimePoint SendBefore_ = TimePoint::max();
};

/// Stops a run. If its start command has not arrived yet, the worker rejects it
/// later.
struct StopTask {
  std::string Worker_;
  std::string Address_;
  TaskName Name_;
  std::uint64_t Run_ = 0;
  std::uint64_t Token_ = 0;
};

/// Limits the speed of a task to a percentage of full speed.
struct PaceTask {
  std::string Worker_;
  std::string Address_;
  TaskName Name_;
  std::uint64_t Run_ = 0;
  int Percent_ = 100;
  std::uint64_t Token_ = 0;
};

using Action = std::variant<RenewLease, StartTask, StopTask, PaceTask>;

/// Returns the time from which \p Decided may not be sent any more by an owner
/// with \p Limits. It applies when the command is written to a connection. A
/// command that was not sent because of it had no effect.
///
/// A worker that has restarted knows no fencing token, so only this limit keeps
/// it from starting a task for an owner that was replaced.
TimePoint sendingLimit(const Action &Decided, const CommandLimits &Limits);

/// A log record about a decision of the scheduler.
struct LogRecord {
  LogEvent Event_;
  std::vector<std::pair<std::string, std::string>> Fields_;
};

/// Changes to store in one transaction.
struct PendingWrites {
  std::uint64_t Sequence_ = 0;
  /// Changes of all jobs that have changed, except for those with a snapshot;
  /// to be written as one row. Empty if there are none.
  JournalRow Journal_;
  /// Rows of the journal to remove.
  std::vector<std::uint64_t> RemovedJournalRows_;
  /// Snapshots of jobs, which replace the stored ones.
  std::vector<std::pair<std::string, JobProgress>> Progress_;
  /// Rows of the journal with the tasks that do not fit into the row of a
  /// snapshot. They are applied to it like later changes.
  std::vector<JournalRow> SnapshotRests_;
  /// Workers to add to the stored set of workers that this owner uses.
  std::vector<WorkerEntry> StoredWorkers_;
  /// Workers to remove from that set.
  std::vector<std::string> RemovedWorkers_;
  std::vector<std::string> RemovedJobs_;

  bool empty() const {
    return Journal_.Entries_.empty() && RemovedJournalRows_.empty() &&
           Progress_.empty() && StoredWorkers_.empty() &&
           RemovedWorkers_.empty() && RemovedJobs_.empty();
  }
};

/// Maximum size of the rows of one transaction. With the encoding of binary
/// values, it is sent in 0.7 s over a link of 2 Mbit/s, and is a sixth of what
/// the store takes.
inline constexpr std::size_t MaxTransactionBytes = 128U << 10U;

/// What became of the tasks that could have started far from their data.
struct PlaceWaitCounts {
  /// Steps that waited, by the end of the wait.
  std::uint64_t EndedNear_ = 0;
  std::uint64_t GaveUp_ = 0;
  /// Tasks that started far without a wait.
  std::uint64_t NotWorth_ = 0;
  /// The sum of the waits that have ended.
  Duration Waited_{};
};

/// Current counts, for metrics.
struct SchedulerCounts {
  std::size_t Jobs_ = 0;
  std::size_t Workers_ = 0;
  std::size_t ReachableWorkers_ = 0;
  std::size_t WaitingTasks_ = 0;
  std::size_t PlacedTasks_ = 0;
  /// How many workers have been considered in all for the steps that waited.
  std::uint64_t ConsideredWorkers_ = 0;
  PlaceWaitCounts PlaceWaits_;
};

/// What a workspace uses and waits for, for metrics.
struct WorkspaceCounts {
  /// Empty for jobs without a workspace, taken together.
  std::string Name_;
  /// It is part of the present configuration.
  bool IsConfigured_ = false;
  Resources Maximum_;
  /// The requests of all runs that workers execute or may execute.
  Resources Used_;
  std::size_t Runs_ = 0;
  std::size_t WaitingTasks_ = 0;
  /// The jobs whose first waiting task the quota keeps from starting.
  std::size_t JobsAtQuota_ = 0;
};

/// The scheduler of one cell. Holds its jobs and the state of its workers.
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

  /// Adds a job. Has no effect if the job is already known.
  void addJob(const AcceptedJob &Accepted, TimePoint Now);
  /// Adds a job that is accepted but cannot be run. It has failed because of
  /// \p Cause, as callers learn. Has no effect if the job is already known.
  void addUnusableJob(const AcceptedJob &Accepted, const std::string &Cause,
                      TimePoint Now);
  /// Restores the stored progress of a job. Must be called after all workers
  /// have been added. Placed tasks count as running until a report of their
  /// worker or the expiry of their lease shows otherwise.
  void restoreProgress(const std::string &Job, const JobProgress &Progress);
  /// Notes a row of the journal that an earlier tenure wrote. Its changes must
  /// be included in the calls of restoreProgress().
  void restoreJournalRow(const JournalRow &Row);
  /// Cancels a job. If it is not known, it is cancelled when it is added;
  /// expiredJobs() returns it once it cannot come any more.
  void cancelJob(const std::string &Job, TimePoint Now);

  /// Sets the bounds of the leases of workers that the owner's row has noted
  /// since before this tenure. Must be called before all others.
  void restoreLeaseNotes(NotedLeases Noted);
  /// Sets when the tenures before this one had begun, by their numbers. Must be
  /// called before restoreProgress().
  void restoreTenureStarts(TenureStarts Starts);
  /// Adds a worker that the previous owner may have used.
  void restoreWorker(const WorkerEntry &Entry, TimePoint Now);
  /// Handles a new or changed registration of a worker.
  void workerRegistered(const WorkerEntry &Entry, TimePoint Now);
  /// Handles the removal of a registration. Tasks on the worker may still run.
  void workerDeregistered(const std::string &Worker, TimePoint Now);

  /// Handle the outcome of \p Renewal. It has no effect unless that is the
  /// outstanding renewal of the worker: the next incarnation of a worker is
  /// renewed although an answer of the previous one may still arrive.
  void renewalAnswered(const RenewLease &Renewal, const WorkerReport &Report,
                       TimePoint Now);
  void renewalFailed(const RenewLease &Renewal, CallOutcome Outcome,
                     TimePoint Now);
  /// \p ClockMs: the worker's clock in its answer, if there is one. It may show
  /// that the answer is of an incarnation that the owner does not know yet.
  void startAnswered(const std::string &Worker, const TaskName &Name,
                     std::uint64_t Run, CallOutcome Outcome, TimePoint Now,
                     std::optional<std::int64_t> ClockMs);
  /// The same for an answer without the worker's clock, or no answer.
  void startAnswered(const std::string &Worker, const TaskName &Name,
                     std::uint64_t Run, CallOutcome Outcome, TimePoint Now) {
    startAnswered(Worker, Name, Run, Outcome, Now, std::nullopt);
  }
  void stopAnswered(const std::string &Worker, const TaskName &Name,
                    std::uint64_t Run, CallOutcome Outcome, TimePoint Now);

  /// Handles a failed PaceTask command; the command is repeated after the next
  /// report.
  void paceFailed(const std::string &Worker, const TaskName &Name,
                  std::uint64_t Run);

  /// Advances the time to \p Now; \p WallMs is the same time in milliseconds
  /// since 1970. \p ConfirmedAt is the last time at which it is certain that no
  /// other instance owned the cell, and \p MaySendCommands states whether it is
  /// recent enough to release steps and to extend leases.
  void advance(TimePoint Now, std::int64_t WallMs, TimePoint ConfirmedAt,
               bool MaySendCommands);
  /// Places up to \p MaxStarts waiting tasks on workers, those of the jobs with
  /// the best ranks, and at most as many as one transaction stores. Returns
  /// their number. Placements take effect with the next transaction, so call
  /// this only when one can be taken. Takes time proportional to the number of
  /// waiting jobs, plus the number of workers for each step that is placed and
  /// for each kind of request that no worker can take.
  std::size_t place(TimePoint Now, std::size_t MaxStarts = UnlimitedStarts);
  /// Returns the actions decided since the last call: first all others than
  /// starts, then the starts, each in the order of the decisions.
  std::vector<Action> takeActions();
  std::vector<LogRecord> takeLogRecords();

  /// Returns the changes to store, at most \p MaxRows rows and a row of the
  /// journal, with \p MaxBytes in all. A change or a snapshot that is larger is
  /// taken without others of its kind. Only one transaction may be outstanding
  /// at a time; finish it with writesStored() or writesFailed().
  PendingWrites takeWrites(std::size_t MaxRows,
                           std::size_t MaxBytes = MaxTransactionBytes);
  void writesStored(const PendingWrites &Writes, TimePoint Now);
  void writesFailed(const PendingWrites &Writes);
  /// Returns whether there are changes to store or ended runs to acknowledge.
  bool hasWrites() const;

  /// Returns the notes for the owner's row that is written at \p Now: the
  /// leases of workers that do not answer. From now on, commands do not permit
  /// tasks of these workers to run, until a row without the note is stored; so
  /// without \p MayAdd, no further workers are noted. Linear in the number of
  /// workers.
  std::vector<LeaseNote> noteLeases(TimePoint Now, bool MayAdd);
  /// Notes that the stored row of the owner has \p Notes.
  void leaseNotesStored(const std::vector<LeaseNote> &Notes, TimePoint Now);
  /// Returns the last time at which a lease that a previous owner grants
  /// counts, since a worker with tasks has not answered this one yet; in the
  /// past if there is none. Linear in the number of workers.
  TimePoint earlierGrantsEnd() const;
  /// Returns whether the row should be written soon: a worker answers again
  /// that it may note or, with \p MayAdd, one does not answer that it does not
  /// note. Linear in the number of workers.
  bool mustUpdateLeaseNotes(TimePoint Now, bool MayAdd) const;

  /// Returns up to \p MaxJobs jobs whose final state, or whose cancellation
  /// before their acceptance, need not be kept any more.
  /// Remove their stored acceptances before calling jobsRemoved(): progress
  /// without an acceptance is harmless, but an acceptance without progress
  /// would run the job again.
  std::vector<std::string> expiredJobs(TimePoint Now,
                                       std::size_t MaxJobs) const;
  /// Removes \p Jobs, whose stored acceptances have been removed.
  void jobsRemoved(const std::vector<std::string> &Jobs);

  /// Returns the interference estimates, to be stored for the next owner.
  std::vector<InterferenceEstimate> interferenceEstimates() const;
  /// Restores the estimates of the previous owner. Must be called before the
  /// first report.
  void restoreInterference(std::span<const InterferenceEstimate> Pairs);

  /// Returns whether a worker has received a higher fencing token, which means
  /// that another instance owns the cell.
  bool isFenced() const;
  /// Returns the number of accepted jobs without a started task by queue.
  std::map<std::string, std::uint64_t> pendingByQueue() const;
  std::optional<JobState> stateOf(const std::string &Job) const;
  SchedulerCounts counts() const;
  /// The part of counts() that changes in each placement pass.
  const PlaceWaitCounts &placeWaits() const;
  /// Returns the workspaces that are or were configured, or that have a job.
  /// Linear in their number and in that of the waiting jobs.
  std::vector<WorkspaceCounts> workspaceCounts() const;
  /// Returns what each workspace uses, counted anew from all runs; those that
  /// use nothing are omitted. Checks the counts that are kept. Linear in the
  /// number of runs.
  std::map<std::string, Resources> recountWorkspaces() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_SCHEDULER_H
