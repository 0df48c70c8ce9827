#include "rack_ownership.h"

#include "rack_commits.h"
#include "row_updates.h"
#include "table_reads.h"
#include "worker_roster.h"

#include <algorithm>

namespace filbertspring::placement {
namespace {

void clearTrackedAttempts(SchedulerCore &Core, RackState &Rack) {
  for (const auto &[Attempt, Tracked] : Rack.TrackedAttempts_)
    Core.RackOfAttempt_.erase(Attempt);
  Rack.TrackedAttempts_.clear();
}

/// Resets the state of the rack's workers that belongs to an earlier epoch.
void resetWorkers(SchedulerCore &Core, const RackName &Rack) {
  for (const WorkerName &Name : workersOf(Core, Rack)) {
    WorkerState &Worker = *Core.findWorker(Name);
    Worker.InFlight_.reset();
    Worker.AcceptedEpoch_ = 0;
    Worker.EndedUnassigned_.clear();
    Worker.UnassignedRunning_.clear();
  }
}

void handleOwnershipLost(SchedulerCore &Core, RackState &Rack) {
  Core.log(LogEvent::RackLost, {}, Rack.Name_, {},
           "owned by " + Rack.Row_.Owner_.str());
  Rack.Owned_ = false;
  clearTrackedAttempts(Core, Rack);
  resetWorkers(Core, Rack.Name_);
  Rack.RetryAt_ = Core.Now_ + Core.Settings_.Timing_.MaxBackoff_;
}

void handleOwnershipGained(SchedulerCore &Core, RackState &Rack) {
  Core.log(LogEvent::RackOwned, {}, Rack.Name_, {},
           "epoch " + std::to_string(Rack.Row_.Epoch_));
  clearTrackedAttempts(Core, Rack);
  resetWorkers(Core, Rack.Name_);
  Rack.Owned_ = true;
  Rack.Epoch_ = Rack.Row_.Epoch_;
}

/// Returns the tracked attempt for an assignment that this scheduler did not
/// start.
TrackedAttempt unconfirmedAttempt(const SchedulerCore &Core,
                                  const Assignment &Entry,
                                  const WorkerName &Worker) {
  TrackedAttempt Tracked;
  Tracked.Assignment_ = Entry;
  Tracked.Worker_ = Worker;
  Tracked.LatestLeaseExpiry_ =
      latestPriorOwnerLeaseExpiry(Core.Now_, Core.Settings_.Leases_);
  return Tracked;
}

/// Returns the state of a worker with assignments, and creates it if needed, so
/// that exchanges with the worker take place.
WorkerState &ensureWorker(SchedulerCore &Core, const RackState &Rack,
                          const WorkerName &Name) {
  WorkerState &Worker = Core.Workers_[Name];
  Worker.Name_ = Name;
  moveToRack(Core, Worker, Rack.Name_, Rack.Zone_);
  return Worker;
}

void trackAttempt(SchedulerCore &Core, RackState &Rack,
                  TrackedAttempt Tracked) {
  AttemptRef Attempt = Tracked.Assignment_.Attempt_;
  Core.RackOfAttempt_[Attempt] = Rack.Name_;
  Rack.TrackedAttempts_[Attempt] = std::move(Tracked);
  const JobEntry *Job = Core.Jobs_.find(Attempt.Task_.Job_);
  if (Job == nullptr || Job->Stale_)
    requestJob(Core, Attempt.Task_.Job_);
}

/// Tracks the assignments of the row that are not tracked yet. \p Starts are
/// those that a transaction of this scheduler made.
void trackNewAssignments(SchedulerCore &Core, RackState &Rack,
                         std::map<AttemptRef, TrackedAttempt> Starts) {
  for (const RackWorker &RowWorker : Rack.Row_.Workers_) {
    WorkerState &Worker = ensureWorker(Core, Rack, RowWorker.Name_);
    Core.DirtyWorkers_.insert(RowWorker.Name_);
    for (const Assignment &Entry : RowWorker.Assignments_) {
      if (Rack.TrackedAttempts_.contains(Entry.Attempt_))
        continue;
      auto Start = Starts.find(Entry.Attempt_);
      bool StartedHere = Start != Starts.end();
      trackAttempt(Core, Rack,
                   StartedHere
                       ? std::move(Start->second)
                       : unconfirmedAttempt(Core, Entry, RowWorker.Name_));
      Core.scheduleExchangeNow(Worker);
    }
  }
}

/// Stops tracking attempts that the row no longer assigns.
void untrackReleased(SchedulerCore &Core, RackState &Rack) {
  std::set<AttemptRef> Assigned;
  for (const RackWorker &RowWorker : Rack.Row_.Workers_)
    for (const Assignment &Entry : RowWorker.Assignments_)
      Assigned.insert(Entry.Attempt_);
  std::vector<AttemptRef> Released;
  for (const auto &[Attempt, Tracked] : Rack.TrackedAttempts_)
    if (!Assigned.contains(Attempt))
      Released.push_back(Attempt);
  for (const AttemptRef &Attempt : Released) {
    Rack.TrackedAttempts_.erase(Attempt);
    Core.RackOfAttempt_.erase(Attempt);
    eraseEndedJob(Core, Attempt.Task_.Job_);
  }
}

void confirmOwnership(SchedulerCore &Core, RackState &Rack,
                      std::optional<TimePoint> SentAt) {
  if (!Rack.Owned_ || !SentAt)
    return;
  Rack.ConfirmedAt_ = std::max(Rack.ConfirmedAt_, *SentAt);
  Rack.NextRead_ = Core.Now_ + Core.Settings_.Timing_.OwnershipReadInterval_;
}

bool stillOwned(const SchedulerCore &Core, const RackState &Rack) {
  return Rack.Row_.Owner_ == Core.Self_ && Rack.Row_.Epoch_ == Rack.Epoch_;
}

} // namespace

void applyRackRow(SchedulerCore &Core, const RackRecord &Record,
                  const StoredRow &Row, std::optional<TimePoint> SentAt) {
  RackState *Rack = Core.findRack(Record.Name_);
  if (Rack == nullptr || Row.Version_ < Rack->Version_)
    return;
  Core.markDirty(Rack->Name_);
  if (Row.Version_ == Rack->Version_) {
    confirmOwnership(Core, *Rack, SentAt);
    if (SentAt)
      abandonUnresolved(Core, *Rack);
    return;
  }
  Rack->RowKnown_ = true;
  Rack->Version_ = Row.Version_;
  Rack->Row_ = Record;
  Rack->Zone_ = Record.Zone_;
  Rack->BlockedGeneration_.reset();
  ResolvedCommit Resolved = resolveByRow(Core, *Rack, Row);
  if (Resolved.TookOver_)
    handleOwnershipGained(Core, *Rack);
  else if (Rack->Owned_ && !stillOwned(Core, *Rack))
    handleOwnershipLost(Core, *Rack);
  if (!Rack->Owned_)
    return;
  confirmOwnership(Core, *Rack, SentAt);
  untrackReleased(Core, *Rack);
  trackNewAssignments(Core, *Rack, std::move(Resolved.Starts_));
}

void applyAbsentRackRow(SchedulerCore &Core, const RackName &Name) {
  RackState *Rack = Core.findRack(Name);
  if (Rack == nullptr)
    return;
  Rack->RowKnown_ = true;
  if (Rack->Version_ == AbsentVersion)
    abandonUnresolved(Core, *Rack);
  Core.markDirty(Name);
}

void assignRacks(SchedulerCore &Core, const RacksAssigned &Assigned) {
  Core.LiveInstances_ = Assigned.LiveInstances_;
  for (auto &[Name, Rack] : Core.Racks_)
    Rack.Assigned_ = false;
  for (const AssignedRack &Entry : Assigned.Racks_) {
    RackState &Rack = Core.Racks_[Entry.Rack_];
    Rack.Name_ = Entry.Rack_;
    if (Rack.Zone_.empty())
      Rack.Zone_ = Entry.Zone_;
    Rack.Assigned_ = true;
  }
  for (const auto &[Name, Rack] : Core.Racks_)
    Core.markDirty(Name);
}

bool mayRenew(const SchedulerCore &Core, const RackState &Rack) {
  Duration SinceConfirmation = Core.Now_ - Rack.ConfirmedAt_;
  return Rack.Owned_ &&
         SinceConfirmation <= Core.Settings_.Leases_.CutOffGrace_;
}

} // namespace filbertspring::placement
