#ifndef FILBERTSPRING_SCHEDULING_SCHEDULER_IMPL_H
#define FILBERTSPRING_SCHEDULING_SCHEDULER_IMPL_H

/// \file
/// Internal state and functions of the scheduler. Worker reports are processed
/// in scheduler_reports.cpp, responses to commands in scheduler_commands.cpp;
/// paces are decided in scheduler_fillers.cpp; placement is in
/// scheduler_placement.cpp and storage in scheduler_writes.cpp.

#include "doubtful_starts.h"
#include "obstacle.h"
#include "place_waits.h"
#include "placement_types.h"
#include "progress_queue.h"
#include "scheduler_records.h"
#include "worker_state.h"
#include "workspace_usage.h"

#include <algorithm>
#include <map>
#include <queue>
#include <set>
#include <span>
#include <unordered_map>

namespace filbertspring::scheduling {

/// Maximum number of tasks in one row of the journal, which bounds the time
/// that a transaction takes to encode.
inline constexpr std::size_t MaxJournalTasks = 450;

/// Maximum number of start commands for one run. If the first gets no response,
/// the response to the second shows whether the first was executed.
inline constexpr std::uint32_t MaxStartsSent = 2;

/// More than a tenure numbers, so that run numbers rise across tenures.
inline constexpr std::uint64_t RunsPerTenure = 1'000'000;

struct Scheduler::Impl {
  Impl(SchedulerSettings Settings, TimePoint Now);

  // Jobs.
  JobRecord *findJob(const std::string &Id);
  void handleJobChange(JobRecord &Record, TimePoint Now);
  void stopAllRuns(const Job &StoppedJob, TimePoint Now);
  void stopRun(const std::string &Id, const TaskName &Name, TimePoint Now);
  std::uint32_t maxAttempts(const Job &TheJob) const;

  // Workers.
  WorkerState *findWorker(const std::string &Id);
  /// Returns the state of the worker \p Id and whether it is new.
  std::pair<WorkerState &, bool> obtainWorker(const std::string &Id);
  /// Returns the fencing token of commands for the incarnation \p Number that
  /// is seen of a worker in this tenure, from 0.
  std::uint64_t fencingToken(std::uint64_t Number) const;
  void resetWorker(WorkerState &Worker, const WorkerEntry &Entry,
                   TimePoint Now);
  void abandonRuns(WorkerState &Worker, TimePoint Now, const char *Cause);
  /// Abandons the runs of a worker whose process has ended, which may have
  /// crashed because of them.
  /// \p Possible: what it may have executed.
  void handleEndOfIncarnation(WorkerState &Worker,
                              const std::vector<LostRun> &Possible,
                              TimePoint Now, const char *Cause);
  /// Handles the next incarnation of \p Worker, \p Entry. Runs that may have
  /// started on it count as its runs until it reports.
  void handleNextIncarnation(WorkerState &Worker, const WorkerEntry &Entry,
                             TimePoint Now, const char *Cause);
  void moveFromDrainingWorkers(TimePoint Now);
  void expireLeases(TimePoint Now, TimePoint ConfirmedAt);
  /// Returns until when a task may run under a lease that is granted at \p Now.
  TimePoint leaseEnd(Duration Lease, TimePoint Now) const;
  /// Returns until when tasks of \p Worker may run, whoever has granted their
  /// lease.
  TimePoint lastLeaseEnd(const WorkerState &Worker) const;
  /// Returns the bound that a previous owner noted for the leases of \p Worker;
  /// null if there is none.
  const NotedLease *findPredecessorNote(const WorkerState &Worker) const;
  /// Returns whether the owner's row should note the lease of \p Worker.
  bool shouldBeNoted(const WorkerState &Worker, TimePoint Now) const;
  /// Sets the time of the next renewal, unless one is outstanding then.
  void scheduleRenewal(WorkerState &Worker, TimePoint At);
  void sendDueRenewals(TimePoint Now, bool MaySendCommands);
  void sendRenewal(WorkerState &Worker, TimePoint Now, bool MayExtendLease);
  void sendStops(TimePoint Now);
  void noteWorkingSuspended(WorkerState &Worker, TimePoint Now);
  void suspendFillers(WorkerState &Worker, TimePoint Now);
  void suspendDueFillers(TimePoint Now);
  void sendPace(WorkerState &Worker, Run &Target, int PacePercent,
                TimePoint Now);
  void updatePaces(WorkerState &Worker, TimePoint Now);
  void migrateSlowFillers(WorkerState &Worker, TimePoint Now);
  /// Returns whether a worker other than \p Present could run the task of
  /// \p Movable, a filler at full speed.
  bool hasBetterWorker(const WorkerState &Present, const Run &Movable,
                       TimePoint Now);

  // Crashes.
  void attributeCrash(const WorkerState &Worker,
                      const std::vector<LostRun> &Runs, TimePoint Now);
  void attributeRestoredCrashes(TimePoint Now);
  void applyVerdict(const WorkerState &Worker, const LostRun &Lost,
                    CrashVerdict Verdict, TimePoint Now);
  void recordCrash(const WorkerState &Worker, const LostRun &Lost,
                   CrashVerdict Verdict, TimePoint Now);
  /// Returns how long to wait before the task of \p Lost is placed again.
  Duration crashRetryDelay(const Run &Lost);
  /// Remembers the runs of \p Worker, whose leases have expired, until it is
  /// known whether it crashed.
  void rememberLostRuns(WorkerState &Worker, TimePoint Now);
  void forgetLostRuns(WorkerState &Worker);
  void countPendingLosses(const WorkerState &Worker, int Change);
  bool hasCrashedSinceStored(const std::string &Id);
  /// Returns whether most workers of the zone or of the rack of \p Crashed were
  /// lost when it was. Linear in the number of workers.
  bool isGroupLost(const WorkerState &Crashed) const;
  /// Returns how often \p Worker has crashed lately, except because of tasks
  /// that were given up.
  std::uint32_t unexplainedCrashes(const WorkerState &Worker,
                                   TimePoint Now) const;
  /// Returns whether the next crash of \p Worker is due to a task that is
  /// isolated on it, since there is no other likely cause.
  bool canIsolate(const WorkerState &Worker, TimePoint Now) const;
  /// Returns the isolation in which \p Waiting is to be placed now.
  Isolation neededIsolation(const Task &Waiting, TimePoint Now) const;
  void noteListed(WorkerState &Worker, Run &Listed, TimePoint Now);

  // Reports.
  void processEnds(WorkerState &Worker, const WorkerReport &Report,
                   TimePoint Now);
  void processEnd(WorkerState &Worker, const EndedTask &End, TimePoint Now);
  void processSuccess(WorkerState &Worker, JobRecord &Record,
                      const EndedTask &End, TimePoint Now);
  void processFailure(WorkerState &Worker, JobRecord &Record,
                      const EndedTask &End, TimePoint Now);
  void processInterruption(WorkerState &Worker, JobRecord &Record,
                           const EndedTask &End, TimePoint Now);
  void processRunning(WorkerState &Worker, const RunningTask &Running,
                      TimePoint Now);
  void adoptRun(WorkerState &Worker, JobRecord *Record,
                const RunningTask &Running, TimePoint Now);
  /// Removes confirmed runs that are missing from \p Report, which was
  /// requested at \p SentAt with the fencing token \p Token, after they had
  /// been confirmed, and those that cannot start any more.
  void dropMissingRuns(WorkerState &Worker, const WorkerReport &Report,
                       std::uint64_t Token, TimePoint SentAt, TimePoint Now);
  /// Logs that \p GivenUp counts as over although it was not stopped.
  /// \p Report: the last one of the worker, or null if it is not the reason.
  void recordGivenUp(const WorkerState &Worker, const Run &GivenUp,
                     const char *Cause, const WorkerReport *Report,
                     TimePoint Now);
  void observeTailLatencies(WorkerState &Worker, TimePoint Now);
  /// Returns the task to the waiting tasks if \p Run on \p Worker is its
  /// present run. It is not placed again before \p Delay has passed.
  void requeueRun(WorkerState &Worker, JobRecord &Record, const TaskName &Name,
                  std::uint64_t Run, TimePoint Now, Duration Delay);
  /// The same for a run that was not started: the task goes on waiting.
  void returnUnstarted(WorkerState &Worker, JobRecord &Record,
                       const TaskName &Name, std::uint64_t Number);
  void stopUncountedRun(WorkerState &Worker, JobRecord &Record,
                        const TaskName &Name, TimePoint Now);

  // Commands.
  /// Returns until when a worker may execute a start command that a previous
  /// owner sent for a run up to the number \p LastRun.
  TimePoint restoredDoubtEnd(std::uint64_t LastRun) const;
  /// Notes in the progress of \p Name which worker may still execute a start
  /// command for it.
  void noteDoubt(const TaskName &Name, TimePoint Now);
  /// Releases the tasks that waited because an earlier start command for them
  /// could still be executed.
  void expireDoubts(TimePoint Now);
  /// Notes that the task called \p Text waits because of \p Doubt.
  void noteHeldBack(const std::string &Text, const StartDoubt &Doubt,
                    TimePoint Now);
  void sendStart(WorkerState &Worker, Run &Target, JobRecord &Record,
                 TimePoint Now);
  void requestStop(WorkerState &Worker, Run &Target, TimePoint Now);
  Run makeRun(const Job &TheJob, const TaskName &Name,
              std::uint64_t Number) const;

  // Placement.
  void releaseDueSteps(TimePoint Now);
  std::size_t placeWaitingTasks(TimePoint Now, std::size_t MaxStarts);
  void findUsableWorkers(TimePoint Now);
  /// Returns the tasks that must not wait any longer. Empty between two checks.
  /// Linear in the waiting jobs and their tasks.
  OverdueTasks findOverdueTasks(TimePoint Now);
  /// Returns how many of the \p Limit starts of a placement pass are left to
  /// \p Overdue.
  std::size_t startsForOverdueTasks(const OverdueTasks &Overdue,
                                    std::size_t Limit, TimePoint Now) const;
  /// Places those of \p Overdue that have not been placed in this pass because
  /// of a judgement, timed ones only while their service has ample capacity.
  /// Linear in the number of workers for a few tasks; the rest follow in the
  /// next checks.
  void placeOverdueTasks(const OverdueTasks &Overdue, TimePoint Now);
  void sweepOverdueTasks(std::span<const OverdueTask> Tasks,
                         OverdueSweep &Sweep, TimePoint Now);
  /// Returns whether a worker was searched for.
  bool placeOverdueTask(const OverdueTask &Overdue, TimePoint Now);
  /// Returns the cost of placing an overdue task on \p Worker, if that is
  /// possible.
  std::optional<double> overdueCost(WorkerState &Worker,
                                    const PlacementRequest &Request,
                                    Duration Wait, TimePoint Now) const;
  /// Returns the cost of placing an overdue filler on \p Worker, where it has
  /// to be slow; nothing if it has not waited long enough, or is too slow.
  std::optional<double> slowStartCost(WorkerState &Worker, const StepSpec &Step,
                                      Duration Wait) const;
  /// Returns how many fillers may be started now that have to be slow.
  std::size_t slowStartsLeft() const;
  /// Returns the pace that a filler of \p Step would get on \p Worker, in
  /// percent of full speed.
  int expectedPacePercent(const WorkerState &Worker,
                          const StepSpec &Step) const;
  /// Returns whether less than half of the capacity of \p Service is reserved.
  bool hasAmpleCapacity(const std::string &Service) const;
  /// Places the waiting tasks of \p Candidates, except for suspected ones, in
  /// the order of the shares of their workspaces.
  void placeByShares(const std::vector<PlacementCandidate> &Candidates,
                     TimePoint Now);
  /// Returns whether a task of \p Record has become ready a moment ago and was
  /// not placed for want of capacity that any other task could take.
  bool lacksCapacity(const JobRecord &Record, TimePoint Now) const;
  /// Places the waiting tasks of a job that are suspected, or the others.
  void placeJob(JobRecord &Record, bool AreSuspected, TimePoint Now);
  /// Returns the service on whose workers the tasks of \p TheJob run.
  const std::string &serviceOf(const Job &TheJob) const;
  /// Returns the request for the task in \p Slot of \p TheJob, which has to
  /// outlive it.
  PlacementRequest requestFor(const Job &TheJob, std::uint32_t Slot,
                              TimePoint Now) const;
  /// Reserves a worker for a suspected task, so that its runs settle.
  void reserveWorker(const PlacementRequest &Request, TimePoint Now);
  /// Ends the reservations of capacity of the last placement pass.
  void releaseReservations();
  /// Reserves a worker for a task until the end of this placement pass, so that
  /// the capacity that its runs release is not taken by smaller tasks of later
  /// jobs. Linear in the number of usable workers.
  void reserveCapacity(const PlacementRequest &Request, TimePoint Now);
  /// Returns the fraction of the capacity of \p Worker that its runs have to
  /// release before it can take a task of \p Request; nothing if that is not
  /// below \p Bound, if its long-running tasks leave too little, or if it
  /// cannot take the task for other reasons.
  std::optional<double> missingCapacity(WorkerState &Worker,
                                        const PlacementRequest &Request,
                                        double Bound, TimePoint Now) const;
  /// Returns the expected time until \p Worker can take a task of \p Request;
  /// nothing if that is not below \p Bound, or if it cannot take the task.
  std::optional<Duration> releaseTime(WorkerState &Worker,
                                      const PlacementRequest &Request,
                                      Duration Bound, TimePoint Now) const;
  /// Returns the worker that can take a task of \p Request soonest if it can
  /// much sooner than \p Reserved, or else that one. Linear in the number of
  /// runs.
  WorkerState *findSoonest(const PlacementRequest &Request,
                           WorkerState &Reserved, TimePoint Now);
  void placeStep(JobRecord &Record, std::span<const std::uint32_t> Slots,
                 TimePoint Now);
  /// Returns whether the quota of its workspace keeps a task of \p Step of
  /// \p Record from starting, so that it waits although there may be capacity.
  bool isOverQuota(const JobRecord &Record, const StepSpec &Step) const;
  /// Holds what is left of the quota of the workspace of \p Record for a task
  /// of \p Step that has waited for long for it.
  static void holdQuota(JobRecord &Record, const StepSpec &Step, TimePoint Now);
  /// Ends what holdQuota() did in the last placement pass.
  void releaseQuotas(TimePoint Now);
  /// Returns why \p Worker gets no tasks now, whatever their requests, and
  /// however long they have waited.
  std::optional<Obstacle> findObstacle(const WorkerState &Worker) const;
  /// Returns why \p Worker may not get a task of \p Request now that has waited
  /// for \p Wait. Judgements do not count for a task that has waited for long;
  /// pass no wait for one that can go on waiting.
  std::optional<Obstacle> findObstacle(const WorkerState &Worker,
                                       const PlacementRequest &Request,
                                       TimePoint Now,
                                       Duration Wait = Duration::zero()) const;
  bool isEligible(const WorkerState &Worker, const PlacementRequest &Request,
                  TimePoint Now) const {
    return !findObstacle(Worker, Request, Now);
  }
  /// Returns why \p Worker gets no filler of \p Step although it is eligible.
  std::optional<Obstacle> findFillerObstacle(WorkerState &Worker,
                                             const StepSpec &Step) const;
  /// Logs, once a second, why the long-running task and the timed one that have
  /// waited longest are not placed.
  void reportWaits(TimePoint Now);
  void reportWait(const char *Kind, const LongestWait &Longest, TimePoint Now);
  std::optional<double> placementCost(WorkerState &Worker,
                                      const StepSpec &Step) const;
  /// Returns the cost of a worker that is far from the data of \p Step.
  static double remoteDataCost(const WorkerState &Worker, const StepSpec &Step);
  /// Returns the cost of a worker that tasks wait for which prefer it, unless
  /// \p Step does, too.
  double wantedRackCost(const WorkerState &Worker, const StepSpec &Step) const;
  double headroom(WorkerState &Worker, const std::string &Image) const;
  double flexibility(WorkerState &Worker) const;
  void planRun(WorkerState &Worker, JobRecord &Record, const TaskName &Name,
               Task &Waiting);
  void sendPlannedStarts(TimePoint Now);
  /// Returns whether \p Worker may get a start command for \p Target, one of
  /// its runs. It may have changed since the run was placed.
  bool maySendStart(const WorkerState &Worker, const Run &Target) const;

  // Waits for places near the data of a step.
  /// Notes what the runs of the usable workers hold. Linear in their number if
  /// steps have named racks lately.
  void sampleRacks(TimePoint Now);
  void noteRunEnd(const WorkerState &Worker, const Run &Ended, EndReason Reason,
                  TimePoint Now);
  /// Returns whether the tasks in \p Slots, all that wait of one step, go on
  /// waiting in this pass although \p Chosen can take one; otherwise notes that
  /// it takes the first.
  bool waitsForPlace(const Job &TheJob, const PlacementRequest &Request,
                     std::span<const std::uint32_t> Slots,
                     const WorkerState &Chosen, TimePoint Now);
  /// Returns whether the tasks in \p Slots, which have waited before, go on
  /// waiting since no near worker has room. Linear in the number of these only.
  bool goesOnWaiting(const Job &TheJob, const PlacementRequest &Request,
                     std::span<const std::uint32_t> Slots, TimePoint Now);
  PlaceWaitDecision decideWait(const Job &TheJob,
                               const PlacementRequest &Request,
                               const RackKey &Rack, std::uint32_t Slot,
                               std::size_t Tasks, TimePoint Now) const;
  /// Returns the workers to which the tasks in \p Slots, all that wait of one
  /// step, should be restricted so that they run on one rack.
  RackChoice chooseRack(const Job &TheJob, const PlacementRequest &Request,
                        std::span<const std::uint32_t> Slots, TimePoint Now);
  /// Returns how many tasks of \p Request each rack can take, ordered by
  /// labels.
  std::vector<RackRoom> findRackRooms(const PlacementRequest &Request,
                                      TimePoint Now);
  /// Groups the usable workers by their labels, once in a placement pass.
  void groupByLabels();
  /// Returns the racks on which tasks of the step of \p Slot are placed, by the
  /// labels of their workers.
  std::set<std::vector<std::string>> racksOfStep(const Job &TheJob,
                                                 std::uint32_t Slot) const;
  /// Returns whether the step of \p Request waits in this pass for workers of
  /// which \p Worker is none.
  bool waitsForOther(const PlacementRequest &Request,
                     const WorkerState &Worker) const;
  /// Returns whether a task of the step of \p Slot runs far from its data.
  bool hasFarTask(const Job &TheJob, std::uint32_t Slot) const;
  void recordPlaceWait(const PlacementRequest &Request, const RackKey &Rack,
                       const PlaceWaitDecision &Decision, std::size_t Tasks,
                       TimePoint Now);

  // Storage.
  void takeChanges(WriteRoom &Room);
  void takeSnapshots(PendingWrites &Writes, WriteRoom &Room);
  void takeSnapshotsThatFit(PendingWrites &Writes, WriteRoom &Room);
  void addSnapshot(PendingWrites &Writes, const std::string &Job,
                   std::vector<JobProgress> Parts);
  void takePlannedRuns();
  void takeStoredEnds();

  void recordEvent(LogEvent Event,
                   std::vector<std::pair<std::string, std::string>> Fields);

  SchedulerSettings Settings_;
  TimePoint TenureStart_;
  /// When advance() was first called: the state is loaded since then.
  std::optional<TimePoint> AdvancedSince_;
  std::int64_t WallMs_ = 0;
  std::shared_ptr<const QueueTable> Queues_;
  std::set<std::string> ClosedZones_;
  /// Its workspaces outlive the jobs and the runs, which refer to them.
  WorkspaceUsage Workspaces_;
  std::map<std::string, JobRecord> Jobs_;
  /// When jobs that are not known were last cancelled.
  std::map<std::string, TimePoint> CancelledBefore_;
  std::unordered_map<std::string, WorkerState> Workers_;
  /// How many incarnations of workers have followed others in this tenure.
  std::unordered_map<std::string, std::uint64_t> IncarnationNumbers_;
  /// The start times of the workers that the previous owner stored.
  std::unordered_map<std::string, std::int64_t> StoredStartTimes_;
  /// The runs of workers that crashed before this tenure, until they are
  /// attributed.
  std::map<std::string, std::vector<LostRun>> RestoredCrashes_;
  /// Recent crashes of workers whose cause is unknown.
  std::unordered_map<std::string, UnexplainedCrashes> UnexplainedCrashes_;
  /// Jobs that may have suspected tasks.
  std::set<std::string> JobsWithSuspects_;
  std::priority_queue<RenewalTime> RenewalTimes_;
  /// The leases that previous owners noted, by the id of the worker.
  NotedLeases PredecessorNotes_;
  TenureStarts TenureStarts_;
  /// Workers that the stored row of the owner may note. No command permits
  /// their tasks to run.
  std::set<std::string> NotedWorkers_;
  /// Asked before each start of any task; nothing that a worker answers later,
  /// and no change of its state, ends a doubt.
  DoubtfulStarts DoubtfulStarts_;
  /// Workers that may have a run which waits for a stop command.
  std::set<std::string> WorkersWithStops_;
  /// How many more tasks the present placement pass may place.
  std::size_t StartsLeft_ = 0;
  std::uint64_t ConsideredWorkers_ = 0;
  /// Workers with a serving task that is over its target.
  std::set<std::string> WorkersOverTarget_;
  /// The workers of the present placement pass.
  std::vector<UsableWorker> UsableWorkers_;
  /// The labels of groups of them, and the group of each, if these are needed
  /// in the pass.
  std::vector<const std::vector<std::string> *> GroupLabels_;
  std::vector<std::size_t> GroupOfUsable_;
  /// Those of them that are neither avoided nor have fresh suspects.
  std::size_t ReservableWorkers_ = 0;
  /// The reservations of capacity of the present placement pass, and those of
  /// the last pass. By job.
  std::unordered_map<std::string, std::vector<CapacityReservation>>
      Reservations_;
  std::unordered_map<std::string, std::vector<CapacityReservation>>
      PreviousReservations_;
  /// The number of workers that are reserved in the present placement pass.
  std::size_t ReservedWorkers_ = 0;
  /// Steps for which a worker may still be searched in this placement pass.
  std::size_t ReservationSearchesLeft_ = 0;
  /// Jobs that may have steps to release.
  std::set<std::string> JobsToRelease_;
  std::set<std::string> JobsWithWaitingTasks_;
  /// Jobs whose progress is to be stored.
  ProgressQueue DirtyJobs_;
  /// The jobs whose progress is part of the outstanding transaction.
  std::vector<JobInFlight> JobsInFlight_;
  ProgressJournal Journal_;
  /// Jobs of which snapshots are to be written.
  ProgressQueue Snapshots_;
  std::vector<ProgressQueue::Entry> SnapshotsInFlight_;
  std::set<std::string> WorkersToStore_;
  std::set<std::string> WorkersToRemove_;
  std::set<std::string> JobsToRemove_;
  /// For each worker, the highest end whose effect is stored when the
  /// outstanding transaction commits.
  std::map<std::string, EndsOfWorker> EndsInFlight_;
  /// Runs whose placement is to be stored.
  std::vector<PlannedRun> PlannedRuns_;
  /// Runs whose placement is part of the outstanding transaction.
  std::vector<PlannedRun> PlannedRunsInFlight_;
  std::uint64_t WriteSequence_ = 0;
  std::uint64_t LastRenewal_ = 0;
  std::vector<Action> Actions_;
  std::vector<LogRecord> LogRecords_;
  UnplaceableRequests Unplaceable_;
  PlaceWaits PlaceWaits_;
  TimePoint NextPlaceWaitLogAt_{};
  std::size_t LoggedPlaceWaits_ = 0;
  std::size_t UnloggedPlaceWaits_ = 0;
  InterferenceModel Model_;
  bool IsFenced_ = false;
  /// Capacity or ready tasks may have been added since the last placement pass.
  bool NeedsPlacement_ = true;
  /// Ends were processed since the last transaction was taken.
  bool HasNewEnds_ = false;
  TimePoint NextPlacementAt_{};
  TimePoint NextWaitReportAt_{};
  TimePoint NextOverdueCheckAt_{};
  /// Since when no start has been left for overdue long-running tasks.
  std::optional<TimePoint> OverdueSince_;
  OverdueSweep LongRunningSweep_;
  OverdueSweep TimedSweep_;
  /// How many fillers may still be started in this pass that have to be slow.
  std::size_t SlowStartsLeft_ = 0;
  /// Requests of overdue tasks for which no worker was found in the present
  /// placement pass.
  UnplaceableRequests UnplaceableOverdue_;
  TimePoint NextWorkerCheckAt_{};
};

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_SCHEDULER_IMPL_H
