#ifndef FILBERTSPRING_SCHEDULING_WORKER_STATE_H
#define FILBERTSPRING_SCHEDULING_WORKER_STATE_H

/// \file
/// The scheduler's view of one worker.

#include "crash_attribution.h"
#include "earlier_commands.h"
#include "filbertspring/scheduling/pacing.h"
#include "filbertspring/scheduling/scheduler.h"
#include "filbertspring/scheduling/worker.h"
#include "target_watch.h"
#include "workspace_usage.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbertspring::scheduling {

/// Average fraction of its processor request that a long-running task uses; the
/// rest is available to fillers.
inline constexpr double LongRunningCpuUsage = 0.5;
/// Maximum processor utilization of a worker that fillers may lead to, as a
/// fraction; more fillers would only slow each other down.
inline constexpr double MaxFillerUtilization = 1.0;

/// The phase of a run as known to the scheduler.
enum class RunPhase {
  /// The placement is not stored yet; no command was sent.
  Planned,
  /// The start command was sent; the response is outstanding.
  StartSent,
  /// The worker confirmed the start or listed the run in a report.
  Confirmed,
  /// A stop command is to be sent or was sent.
  Stopping,
};

/// A run that a worker executes, or may execute.
struct Run {
  TaskName Name_;
  std::uint64_t Number_ = 0;
  RunPhase Phase_ = RunPhase::Planned;
  /// The resources that are counted against the worker's capacity.
  Resources Reserved_;
  std::int64_t RequestedMilliCpu_ = 0;
  /// The workspace whose quota it counts against; null if there is none.
  WorkspaceState *Workspace_ = nullptr;
  /// The task is of an unknown job, so that its request is unknown.
  bool IsUnknown_ = false;
  bool IsFiller_ = false;
  bool IsLongRunning_ = false;
  std::string Image_;
  Duration TailLatencyTarget_{};
  /// When the task became ready; for logs only.
  TimePoint ReadyAt_{};
  /// A report that was requested after this time lists the run if the worker
  /// still executes it.
  TimePoint ConfirmedAt_{};
  /// How long after ConfirmedAt_ the last report came that lists the run.
  Duration ListedFor_{};
  /// Its task may have crashed a worker before.
  bool IsSuspect_ = false;
  /// It was started in isolation in this tenure.
  bool IsIsolated_ = false;
  /// It counts as fresh until it has been listed for this long.
  Duration SettlingTime_ = SettlingTime;
  std::optional<TimePoint> StopConfirmedAt_;
  TimePoint NextStopAt_{};
  std::uint32_t StartsSent_ = 0;
  /// Start commands without an outcome.
  std::uint32_t StartsOpen_ = 0;
  /// A start command got no answer, so it may still be executed.
  bool HasUnansweredStart_ = false;
  /// The job was marked as started because of this run.
  bool IsStartRecorded_ = false;
  /// When the last start command was sent, and its fencing token.
  TimePoint StartSentAt_{};
  std::uint64_t StartToken_ = 0;
  /// The last report that listed the run, as a value of ReportCount_.
  std::uint64_t LastListedReport_ = 0;
  std::string Checkpoint_;
  double Percent_ = 0;
  double Load_ = 0;
  TargetWatch Target_;
  int PacePercent_ = 100;
  TimePoint PaceSentAt_{};
  bool SavesProgress_ = false;
  /// It is a filler that was started although it has to be slow.
  bool IsSlowStart_ = false;
  /// Since when the pace has been so low that the filler should move to another
  /// worker.
  std::optional<TimePoint> SlowSince_;

  /// Returns whether the next incarnation of the worker, whose id and address
  /// are the same, may execute it or may still start it. The answer to a start
  /// command does not show which incarnation it comes from. A report does.
  bool mayBeOnNextIncarnation() const {
    if (Phase_ == RunPhase::Planned)
      return false;
    return LastListedReport_ == 0 || StartsOpen_ > 0 || HasUnansweredStart_;
  }
  /// Returns the request of its task, whether or not the processors are counted
  /// against the worker's capacity.
  Resources requested() const {
    return {RequestedMilliCpu_, Reserved_.MemoryMb_, Reserved_.Accelerators_};
  }
};

/// Ends that were processed and whose effect is not known to be stored.
struct UnstoredEnds {
  /// The highest of their numbers.
  std::uint64_t LastNumber_ = 0;
  /// Their effect is stored once all jobs before this position of the progress
  /// queue are stored.
  std::uint64_t QueuePosition_ = 0;
};

/// The time within which a worker was lost.
struct LossTime {
  /// The last report came, or the last start command was sent, then.
  TimePoint Earliest_;
  /// The next renewal failed then.
  TimePoint Latest_;
};

/// A run that its worker may have executed when contact with it was lost.
struct LostRun {
  TaskName Name_;
  std::uint64_t Number_ = 0;
  RunMaturity Maturity_ = RunMaturity::Fresh;
  bool IsIsolated_ = false;
};

/// The state of one incarnation of a worker.
struct WorkerState {
  WorkerEntry Entry_;
  /// The fencing token of the commands for this incarnation.
  std::uint64_t Token_ = 0;
  /// The commands that it may receive, or may have received, beside these.
  EarlierCommands EarlierCommands_;
  /// The worker is currently registered.
  bool IsRegistered_ = false;
  /// The worker has answered a renewal in this tenure.
  bool HasReported_ = false;
  /// All leases of all tenures have expired, so the worker certainly executes
  /// no task any more.
  bool IsExpired_ = false;
  /// The worker is in the store, where the next owner finds it.
  bool IsStored_ = false;

  /// The worker's clock at ClockAt_, if it is known.
  std::optional<std::int64_t> ClockMs_;
  TimePoint ClockAt_{};

  /// The highest end that was processed, and the highest end whose effect is
  /// stored.
  std::uint64_t ProcessedEnd_ = 0;
  std::uint64_t StoredEnd_ = 0;
  /// In the order of their numbers; one entry for each report with new ends.
  std::deque<UnstoredEnds> UnstoredEnds_;
  /// The highest end that the last renewal sent acknowledges, and the highest
  /// end that a successful renewal has acknowledged.
  std::uint64_t SentAcknowledgement_ = 0;
  std::uint64_t AcknowledgedEnd_ = 0;

  /// Number of reports from this incarnation.
  std::uint64_t ReportCount_ = 0;
  bool IsRenewing_ = false;
  /// The number of the outstanding renewal, and when the last one was sent.
  std::uint64_t OutstandingRenewal_ = 0;
  TimePoint RenewalSentAt_{};
  TimePoint NextRenewalAt_{};
  std::uint32_t FailedRenewals_ = 0;
  /// The last of them did not reach the worker, such as for a connection that
  /// was refused.
  bool IsRenewalRefused_ = false;
  /// The time of the last report that was used to update the interference
  /// model, the runs' tail latency states and the paces.
  TimePoint ModelUpdatedAt_{};
  /// Since when a serving task has been over its target. Until it has recovered
  /// the worker gets no fillers.
  std::optional<TimePoint> OverTargetSince_;
  /// The time of the last report that left the worker without runs.
  TimePoint LastIdleReportAt_{};
  /// Until when tasks may run under leases of this tenure.
  TimePoint LeaseExpiresAt_{};
  /// The latest deadline of a command for this incarnation, on its clock.
  std::optional<std::int64_t> GrantedUntilMs_;
  /// The latest deadline of a start command, on the worker's clock.
  std::int64_t LastDeadlineMs_ = 0;
  /// The worker gets no start commands before this time.
  TimePoint AvoidUntil_{};
  /// The worker has failed several tasks in a row and gets no others before
  /// this time.
  TimePoint QuarantinedUntil_{};
  /// The position among the usable workers of the present placement pass.
  std::size_t UsablePosition_ = 0;
  /// When a worker that drains is next searched for tasks to move.
  TimePoint NextDrainCheckAt_{};
  std::uint32_t StartsInFlight_ = 0;
  std::uint32_t FailureStreak_ = 0;
  /// When the previous incarnation crashed.
  std::optional<LossTime> CrashedAt_;
  /// When the last start command was sent that was not refused.
  TimePoint LastStartAt_{};
  /// Another incarnation was seen at its address.
  bool HasEnded_ = false;
  /// A serving task has been over its target for so long that the fillers are
  /// suspended until it has recovered.
  bool AreFillersSuspended_ = false;
  /// When the first of the failed renewals failed.
  TimePoint UnreachableSince_{};
  /// Until then only suspected tasks are started.
  TimePoint ReservedUntil_{};
  /// Only tasks of this job are started; empty without such a reservation.
  std::string ReservedJob_;
  /// The runs whose leases expired. Whether they ended with a crash is known
  /// once a report or the next incarnation is seen.
  std::vector<LostRun> LostRuns_;
  TimePoint LostAt_{};

  std::unordered_map<std::string, Run> Runs_;
  Resources Used_;
  /// Number of runs whose request is unknown. They may use all of the worker.
  std::uint32_t UnknownRuns_ = 0;
  std::int64_t LongRunningMilliCpu_ = 0;
  std::int64_t FillerMilliCpu_ = 0;
  /// The number of its runs that are slow starts.
  std::size_t SlowStarts_ = 0;
  /// The runs that have not settled, and those of them that are suspected.
  std::size_t FreshRuns_ = 0;
  std::size_t FreshSuspects_ = 0;
  /// The runs that were listed for less than LongSettlingTime.
  std::size_t YoungRuns_ = 0;
  /// Cached result of tailRooms(); cleared when the runs change and when the
  /// model was updated from a report of this worker.
  std::optional<std::vector<TailRoom>> TailRooms_;
  /// Cached result of pacedFillerMilliCpu(); cleared when the runs or their
  /// paces change.
  mutable std::optional<double> PacedFillerMilliCpu_;
  /// Cached result of fillerFlexibility(); cleared when the serving images or
  /// the model change.
  std::optional<double> Flexibility_;
  /// Number of tasks by serving image.
  std::map<std::string, int> ServingImages_;

  /// Returns the estimated time on the worker's clock at \p Now; nothing before
  /// the first report.
  std::optional<std::int64_t> clockAt(TimePoint Now) const;
  /// Returns the processor capacity in thousandths of a processor. The result
  /// is at least 1, so that it can be used as a divisor.
  double milliCpu() const;
  /// Returns whether the renewal with \p Number is outstanding.
  bool isOutstanding(std::uint64_t Number) const {
    return IsRenewing_ && Number == OutstandingRenewal_;
  }
  bool isReachable() const { return HasReported_ && FailedRenewals_ == 0; }
  /// Returns when contact with this incarnation was lost, or else when the
  /// previous one crashed.
  std::optional<LossTime> lossTime() const;
  /// Notes a command that permits tasks to run until \p DeadlineMs.
  void noteGrant(std::int64_t DeadlineMs) {
    GrantedUntilMs_ =
        std::max(GrantedUntilMs_.value_or(DeadlineMs), DeadlineMs);
  }
  /// Returns whether no start command for \p Listable can be executed any more
  /// once the worker has answered a command with its present token.
  bool isFenced(const Run &Listable) const {
    return Listable.Phase_ != RunPhase::Planned &&
           Listable.StartToken_ < Token_;
  }
  /// Returns whether an answer to a command that was sent at \p SentAt, with
  /// the clock \p AnswerClockMs, is of an incarnation whose clock is behind.
  bool isClockBehind(std::int64_t AnswerClockMs, TimePoint SentAt,
                     double Drift) const;
  /// Returns whether the capacity holds all runs. It may not, since a capacity
  /// can shrink while tasks run.
  bool holdsItsRuns() const {
    return UnknownRuns_ == 0 && Entry_.Capacity_.fits(Used_, {});
  }
  void addRun(Run NewRun);
  /// Notes for how long reports have listed \p Listed, a run of this worker.
  void noteListed(Run &Listed, Duration ListedFor);
  /// Notes that \p Slow, a run of this worker, is a slow start.
  void noteSlowStart(Run &Slow);
  /// Returns the runs that the next incarnation may execute or may still start,
  /// as runs of that incarnation. Its first complete report decides.
  std::vector<Run> runsOfNextIncarnation(TimePoint Now) const;
  /// Returns the runs that the worker executes or may execute.
  std::vector<LostRun> possibleRuns() const;
  /// Returns the serving tasks that have a tail latency target. The result
  /// refers to strings of the runs and is invalidated when these are removed.
  std::vector<ServingSample> servingSamples() const;
  std::vector<FillerSample> fillerSamples() const;
  /// Sets OverTargetSince_ from the runs.
  void refreshOverTarget();
  /// Returns the thousandths of a processor that the fillers may use at their
  /// present paces.
  double pacedFillerMilliCpu() const;
  /// Returns the fraction of the processors that is expected to be used with
  /// another filler that requests \p MilliCpu.
  double utilizationWithFiller(std::int64_t MilliCpu) const;
  /// Returns the fraction of the worker's processors that \p Filler uses at
  /// full speed.
  double fullShare(const Run &Filler) const;
  /// Removes the run of the task called \p Text and releases its resources.
  void dropRun(const std::string &Text);
  /// Removes all runs, releases their resources and returns them.
  std::unordered_map<std::string, Run> takeAllRuns();

private:
  /// Adds \p Change to the counts of runs that have not settled, if \p Counted
  /// is one.
  void countFresh(const Run &Counted, int Change);
};

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_WORKER_STATE_H
