#ifndef FILBERTSPRING_SCHEDULING_WORKER_STATE_H
#define FILBERTSPRING_SCHEDULING_WORKER_STATE_H

/// \file
/// The scheduler's picture of one worker.

#include "filbertspring/scheduling/pacing.h"
#include "filbertspring/scheduling/scheduler.h"
#include "filbertspring/scheduling/worker.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace filbertspring::scheduling {

/// How certain it is that a worker runs a task.
enum class RunPhase {
  /// The placement is not stored yet; nothing was sent.
  Planned,
  /// The start was sent; its answer is outstanding.
  Ordered,
  /// The worker confirmed the start or listed the run.
  Confirmed,
  /// A stop is to be sent or was sent.
  Stopping,
};

/// A run that a worker executes, or may execute.
struct Run {
  TaskName Name_;
  std::uint64_t Number_ = 0;
  RunPhase Phase_ = RunPhase::Planned;
  /// What it takes of the worker's capacity.
  Resources Held_;
  std::int64_t RequestedMilliCpu_ = 0;
  bool IsFiller_ = false;
  bool IsLongRunning_ = false;
  std::string Image_;
  Duration TailLatencyTarget_{};
  /// When the task became ready, for logs.
  TimePoint ReadyAt_{};
  /// A report asked for after this time lists the run if it still runs.
  TimePoint ConfirmedAt_{};
  std::optional<TimePoint> StopConfirmedAt_;
  TimePoint NextStopAt_{};
  std::uint32_t StartsSent_ = 0;
  /// Its job is known to have started.
  bool IsStartNoted_ = false;
  /// The last report that listed it.
  std::uint64_t ListedIn_ = 0;
  std::string Checkpoint_;
  double Percent_ = 0;
  double Load_ = 0;
  /// Since when its tail has been over the target without a break.
  std::optional<TimePoint> OverSince_;
  int PacedPercent_ = 100;
  bool SavesProgress_ = false;
  /// Since when it is paced so low that another worker would be better.
  std::optional<TimePoint> SlowSince_;
};

/// One life of a worker.
struct WorkerState {
  WorkerEntry Entry_;
  /// Registered now.
  bool IsListed_ = false;
  /// Has answered a renewal in this tenure.
  bool IsKnown_ = false;
  /// Surely executes nothing of any tenure any more.
  bool IsOver_ = false;
  /// A successor can find the worker in the store.
  bool IsStored_ = false;

  /// The worker's clock at ClockAt_, if it is known.
  std::optional<std::int64_t> ClockMs_;
  TimePoint ClockAt_{};

  /// Highest end processed, and highest end whose effect is stored.
  std::uint64_t NotedEnd_ = 0;
  std::uint64_t StoredEnd_ = 0;
  /// Highest end that the outstanding renewal acknowledges, and that an
  /// answered one did.
  std::uint64_t SentEnd_ = 0;
  std::uint64_t AcknowledgedEnd_ = 0;

  /// Reports taken in this life.
  std::uint64_t Reports_ = 0;
  /// Some run may have to be stopped.
  bool HasStops_ = false;
  bool IsRenewing_ = false;
  TimePoint RenewalSentAt_{};
  TimePoint NextRenewalAt_{};
  std::uint32_t FailedRenewals_ = 0;
  /// The last report that tails were learned from.
  TimePoint LearnedAt_{};
  /// The last report that listed no task.
  TimePoint LastIdleReport_{};
  /// Until when tasks may run on under grants of this tenure.
  TimePoint GrantedUntil_{};
  /// The latest deadline that a call carried, on the worker's clock.
  std::int64_t LastDeadlineMs_ = 0;
  /// Not used for starts before this time.
  TimePoint AvoidUntil_{};
  std::uint32_t OrdersInFlight_ = 0;
  std::uint32_t FailureStreak_ = 0;

  std::unordered_map<std::string, Run> Runs_;
  Resources Used_;
  std::int64_t LastingMilliCpu_ = 0;
  std::int64_t FillerMilliCpu_ = 0;
  /// Headroom by filler image, until runs or the model change.
  std::unordered_map<std::string, double> Headroom_;
  /// Which part of the filler images may work here, until the serving images
  /// or the model change.
  std::optional<double> Flexibility_;
  /// Serving images and the number of their tasks.
  std::map<std::string, int> ServingImages_;

  /// The worker's clock at \p Now; nothing before the first report.
  std::optional<std::int64_t> clockAt(TimePoint Now) const;
  /// At least 1, so that shares of it are finite.
  double milliCpu() const;
  bool isReachable() const { return IsKnown_ && FailedRenewals_ == 0; }
  void addRun(Run Added);
  /// The serving tasks with a target; the views live as long as the runs.
  std::vector<ServingSample> servingSamples() const;
  std::vector<FillerSample> fillerSamples() const;
  /// Thousandths of processors that the fillers may take at their paces.
  double pacedFillerMilliCpu() const;
  /// The part of the worker that \p Filler takes at full speed.
  double fullShare(const Run &Filler) const;
  /// Forgets the run and frees what it held.
  void dropRun(const std::string &Text);
};

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_WORKER_STATE_H
