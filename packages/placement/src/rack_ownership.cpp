#include "rack_ownership.h"

#include "rack_commits.h"
#include "row_updates.h"
#include "table_reads.h"
#include "worker_roster.h"

#include <algorithm>

namespace filbertspring::placement {
namespace {

void forgetHeld(SchedulerCore &Core, RackState &Rack) {
  for (const auto &[Attempt, Held] : Rack.TrackedAttempts_)
    Core.RackOfAttempt_.erase(Attempt);
  Rack.TrackedAttempts_.clear();
}

/// Drops what belongs to an epoch that is over.
void resetWorkers(SchedulerCore &Core, const RackName &Rack) {
  for (const WorkerName &Name : workersOf(Core, Rack)) {
    WorkerState &Worker = *Core.findWorker(Name);
    Worker.InFlight_.reset();
    Worker.AcceptedEpoch_ = 0;
    Worker.EndedUnassigned_.clear();
    Worker.UnassignedRunning_.clear();
  }
}

void loseRack(SchedulerCore &Core, RackState &Rack) {
  Core.log(LogEvent::RackLost, {}, Rack.Name_, {},
           "owned by " + Rack.Row_.Owner_.str());
  Rack.Owned_ = false;
  forgetHeld(Core, Rack);
  resetWorkers(Core, Rack.Name_);
  Rack.RetryAt_ = Core.Now_ + Core.Settings_.Timing_.MaxBackoff_;
}

void ownRack(SchedulerCore &Core, RackState &Rack) {
  Core.log(LogEvent::RackOwned, {}, Rack.Name_, {},
           "epoch " + std::to_string(Rack.Row_.Epoch_));
  forgetHeld(Core, Rack);
  resetWorkers(Core, Rack.Name_);
  Rack.Owned_ = true;
  Rack.Epoch_ = Rack.Row_.Epoch_;
}

/// Makes the held form of an assignment whose start is not known here.
TrackedAttempt unprovenAttempt(const SchedulerCore &Core,
                               const Assignment &Entry,
                               const WorkerName &Worker) {
  TrackedAttempt Held;
  Held.Assignment_ = Entry;
  Held.Worker_ = Worker;
  Held.LatestLeaseExpiry_ =
      latestPriorOwnerLeaseExpiry(Core.Now_, Core.Settings_.Leases_);
  return Held;
}

/// Makes sure that a worker which holds attempts is talked to.
WorkerState &knownWorker(SchedulerCore &Core, const RackState &Rack,
                         const WorkerName &Name) {
  WorkerState &Worker = Core.Workers_[Name];
  Worker.Name_ = Name;
  moveToRack(Core, Worker, Rack.Name_, Rack.Zone_);
  return Worker;
}

void hold(SchedulerCore &Core, RackState &Rack, TrackedAttempt Held) {
  AttemptRef Attempt = Held.Assignment_.Attempt_;
  Core.RackOfAttempt_[Attempt] = Rack.Name_;
  Rack.TrackedAttempts_[Attempt] = std::move(Held);
  const JobEntry *Job = Core.Jobs_.find(Attempt.Task_.Job_);
  if (Job == nullptr || Job->Stale_)
    requestJob(Core, Attempt.Task_.Job_);
}

/// Adds the assignments of the row that are not held yet. \p Starts are those
/// that a transaction of this scheduler made.
void holdNew(SchedulerCore &Core, RackState &Rack,
             std::map<AttemptRef, TrackedAttempt> Starts) {
  for (const RackWorker &Each : Rack.Row_.Workers_) {
    WorkerState &Worker = knownWorker(Core, Rack, Each.Name_);
    Core.DirtyWorkers_.insert(Each.Name_);
    for (const Assignment &Entry : Each.Assignments_) {
      if (Rack.TrackedAttempts_.contains(Entry.Attempt_))
        continue;
      auto Start = Starts.find(Entry.Attempt_);
      bool Own = Start != Starts.end();
      hold(Core, Rack,
           Own ? std::move(Start->second)
               : unprovenAttempt(Core, Entry, Each.Name_));
      Core.scheduleExchangeNow(Worker);
    }
  }
}

/// Drops held attempts that the row no longer assigns.
void dropReleased(SchedulerCore &Core, RackState &Rack) {
  std::set<AttemptRef> Assigned;
  for (const RackWorker &Each : Rack.Row_.Workers_)
    for (const Assignment &Entry : Each.Assignments_)
      Assigned.insert(Entry.Attempt_);
  std::vector<AttemptRef> Gone;
  for (const auto &[Attempt, Held] : Rack.TrackedAttempts_)
    if (!Assigned.contains(Attempt))
      Gone.push_back(Attempt);
  for (const AttemptRef &Attempt : Gone) {
    Rack.TrackedAttempts_.erase(Attempt);
    Core.RackOfAttempt_.erase(Attempt);
    eraseEndedJob(Core, Attempt.Task_.Job_);
  }
}

void confirm(SchedulerCore &Core, RackState &Rack,
             std::optional<TimePoint> ProvedAt) {
  if (!Rack.Owned_ || !ProvedAt)
    return;
  Rack.ConfirmedAt_ = std::max(Rack.ConfirmedAt_, *ProvedAt);
  Rack.NextRead_ = Core.Now_ + Core.Settings_.Timing_.OwnershipReadInterval_;
}

bool stillOwned(const SchedulerCore &Core, const RackState &Rack) {
  return Rack.Row_.Owner_ == Core.Self_ && Rack.Row_.Epoch_ == Rack.Epoch_;
}

} // namespace

void applyRackRow(SchedulerCore &Core, const RackRecord &Record,
                  const StoredRow &Row, std::optional<TimePoint> ProvedAt) {
  RackState *Rack = Core.findRack(Record.Name_);
  if (Rack == nullptr || Row.Version_ < Rack->Version_)
    return;
  Core.markDirty(Rack->Name_);
  if (Row.Version_ == Rack->Version_) {
    confirm(Core, *Rack, ProvedAt);
    if (ProvedAt)
      abandonUnsettled(Core, *Rack);
    return;
  }
  Rack->RowKnown_ = true;
  Rack->Version_ = Row.Version_;
  Rack->Row_ = Record;
  Rack->Zone_ = Record.Zone_;
  Rack->BlockedGeneration_.reset();
  SettledCommit Settled = settleByRow(Core, *Rack, Row);
  if (Settled.TookOver_)
    ownRack(Core, *Rack);
  else if (Rack->Owned_ && !stillOwned(Core, *Rack))
    loseRack(Core, *Rack);
  if (!Rack->Owned_)
    return;
  confirm(Core, *Rack, ProvedAt);
  dropReleased(Core, *Rack);
  holdNew(Core, *Rack, std::move(Settled.Starts_));
}

void applyAbsentRackRow(SchedulerCore &Core, const RackName &Name) {
  RackState *Rack = Core.findRack(Name);
  if (Rack == nullptr)
    return;
  Rack->RowKnown_ = true;
  if (Rack->Version_ == AbsentVersion)
    abandonUnsettled(Core, *Rack);
  Core.markDirty(Name);
}

void assignRacks(SchedulerCore &Core, const RacksAssigned &Assigned) {
  Core.LiveInstances_ = Assigned.LiveInstances_;
  for (auto &[Name, Rack] : Core.Racks_)
    Rack.Assigned_ = false;
  for (const AssignedRack &Each : Assigned.Racks_) {
    RackState &Rack = Core.Racks_[Each.Rack_];
    Rack.Name_ = Each.Rack_;
    if (Rack.Zone_.empty())
      Rack.Zone_ = Each.Zone_;
    Rack.Assigned_ = true;
  }
  for (const auto &[Name, Rack] : Core.Racks_)
    Core.markDirty(Name);
}

bool mayRenew(const SchedulerCore &Core, const RackState &Rack) {
  Duration SinceProof = Core.Now_ - Rack.ConfirmedAt_;
  return Rack.Owned_ && SinceProof <= Core.Settings_.Leases_.CutOffGrace_;
}

} // namespace filbertspring::placement
