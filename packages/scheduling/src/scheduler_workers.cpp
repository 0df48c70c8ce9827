/// \file
/// The part of the scheduler that follows the registrations, incarnations and
/// leases of workers.

#include "scheduler_impl.h"

#include <algorithm>
#include <utility>

namespace filbertspring::scheduling {
namespace {

/// How long the runs of a worker whose lease has expired are remembered. Longer
/// than a crashed worker takes to restart.
constexpr Duration LostRunRetention = std::chrono::seconds(30);

/// Until this age, an incarnation may hold a lease that the previous owner
/// meant for the incarnation before: such a command is executed in time, and
/// the lease lasts for its maximum. The times of day of two machines may
/// differ.
constexpr Duration SettledIncarnationAge = std::chrono::seconds(30);

/// Interval between two searches for other workers that could take the
/// long-running tasks of a worker that drains.
constexpr Duration DrainCheckInterval = std::chrono::milliseconds(200);

/// Returns whether \p Entry was registered before \p Known, as far as both
/// tell.
bool isOlder(const WorkerEntry &Entry, const WorkerEntry &Known) {
  if (Entry.StartedAtMs_ == 0 || Known.StartedAtMs_ == 0)
    return false;
  if (Entry.StartedAtMs_ != Known.StartedAtMs_)
    return Entry.StartedAtMs_ < Known.StartedAtMs_;
  return Entry.Sequence_ != 0 && Entry.Sequence_ < Known.Sequence_;
}

} // namespace

void Scheduler::restoreWorker(const WorkerEntry &Entry, TimePoint Now) {
  auto [Worker, IsNew] = Impl_->obtainWorker(Entry.Id_);
  Worker.IsStored_ = true;
  Impl_->StoredStartTimes_[Entry.Id_] = Entry.StartedAtMs_;
  if (IsNew) {
    Worker.Entry_ = Entry;
    Impl_->scheduleRenewal(Worker, Now);
  }
}

std::uint64_t Scheduler::Impl::fencingToken(std::uint64_t Number) const {
  return Settings_.OwnerToken_ * TokensPerTenure +
         std::min(Number, TokensPerTenure - 1);
}

std::pair<WorkerState &, bool>
Scheduler::Impl::obtainWorker(const std::string &Id) {
  auto [It, IsNew] = Workers_.try_emplace(Id);
  WorkerState &Worker = It->second;
  if (IsNew) {
    // The worker may have been known before in this tenure.
    auto Number = IncarnationNumbers_.find(Id);
    Worker.Token_ =
        fencingToken(Number == IncarnationNumbers_.end() ? 0 : Number->second);
    Duration LeaseLength = leaseEnd(Settings_.LeaseDuration_, {}) - TimePoint();
    Worker.EarlierCommands_ = EarlierCommands::ofPreviousOwner(
        TenureStart_ + Settings_.PredecessorLeaseLimit_ - LeaseLength);
  }
  return {Worker, IsNew};
}

TimePoint Scheduler::Impl::lastLeaseEnd(const WorkerState &Worker) const {
  constexpr auto Millisecond = std::chrono::milliseconds(1);
  LeaseLengths Lengths;
  Lengths.OnOwnClock_ = leaseEnd(Settings_.LeaseDuration_, {}) - TimePoint();
  Lengths.OnOtherClock_ = leaseEnd(Settings_.MaxLease_, {}) - TimePoint();
  Lengths.Kill_ = Settings_.KillTimeout_;
  Lengths.ClockDrift_ = Settings_.ClockDrift_;
  std::int64_t AgeMs = WallMs_ - Worker.Entry_.StartedAtMs_;
  bool MayBeYoung = Worker.Entry_.StartedAtMs_ == 0 ||
                    AgeMs < SettledIncarnationAge / Millisecond;
  TimePoint EarlierEnd = Worker.EarlierCommands_.leaseEnd(Lengths, MayBeYoung);
  if (const NotedLease *Note = findPredecessorNote(Worker))
    EarlierEnd = std::min(EarlierEnd, Note->End_);
  return std::max(Worker.LeaseExpiresAt_, EarlierEnd);
}

/// Resets the state of a worker for a new incarnation.
void Scheduler::Impl::resetWorker(WorkerState &Worker, const WorkerEntry &Entry,
                                  TimePoint Now) {
  bool IsStored = Worker.IsStored_ &&
                  Worker.Entry_.Address_ == Entry.Address_ &&
                  Worker.Entry_.StartedAtMs_ == Entry.StartedAtMs_;
  std::optional<LossTime> CrashedAt = Worker.CrashedAt_;
  std::optional<std::int64_t> LastDeadlineMs =
      Worker.EarlierCommands_.lastDeadlineMs(Worker.GrantedUntilMs_);
  // The quotas of workspaces do not count its runs any more.
  Worker.takeAllRuns();
  Worker = WorkerState();
  Worker.CrashedAt_ = CrashedAt;
  Worker.Token_ = fencingToken(++IncarnationNumbers_[Entry.Id_]);
  Worker.EarlierCommands_ = EarlierCommands::ofPreviousIncarnations(
      Now + LateExecutionLimit, LastDeadlineMs);
  Worker.Entry_ = Entry;
  Worker.IsStored_ = IsStored;
}

void Scheduler::workerRegistered(const WorkerEntry &Entry, TimePoint Now) {
  auto [Worker, IsNew] = Impl_->obtainWorker(Entry.Id_);
  // Once the worker is lost, any registration is better than none: the clock
  // that incarnations are ordered by may have been set back.
  if (!IsNew && !Worker.IsExpired_ && isOlder(Entry, Worker.Entry_))
    return;
  // Nothing but its id is known of a worker whose row could not be read.
  bool IsElsewhere = !Worker.Entry_.Address_.empty() &&
                     Entry.Address_ != Worker.Entry_.Address_;
  bool IsOtherIncarnation =
      !IsNew && ((Entry.StartedAtMs_ != 0 && Worker.Entry_.StartedAtMs_ != 0 &&
                  Entry.StartedAtMs_ != Worker.Entry_.StartedAtMs_) ||
                 IsElsewhere);
  if (IsOtherIncarnation)
    Impl_->handleNextIncarnation(Worker, Entry, Now, "new life");
  else if (IsNew)
    Worker.Entry_ = Entry;
  if (IsNew || IsOtherIncarnation)
    Impl_->scheduleRenewal(Worker, Now);
  bool WasUsable = Worker.IsRegistered_ && !Worker.Entry_.IsDraining_;
  bool IsResized = Worker.Entry_.Capacity_ != Entry.Capacity_;
  Worker.Entry_ = Entry;
  Worker.IsRegistered_ = true;
  if (!WasUsable || IsResized)
    Impl_->NeedsPlacement_ = true;
  Impl_->WorkersToRemove_.erase(Entry.Id_);
  if (!Worker.IsStored_)
    Impl_->WorkersToStore_.insert(Entry.Id_);
}

void Scheduler::workerDeregistered(const std::string &Id, TimePoint /*Now*/) {
  if (WorkerState *Worker = Impl_->findWorker(Id))
    Worker->IsRegistered_ = false;
}

/// Removes the runs of a worker that certainly executes none of them any more,
/// and returns their tasks to the waiting tasks.
void Scheduler::Impl::abandonRuns(WorkerState &Worker, TimePoint Now,
                                  const char *Cause) {
  constexpr auto Millisecond = std::chrono::milliseconds(1);
  // The tasks may have been away since the last report.
  TimePoint LastReportAt = Worker.ClockMs_ ? Worker.ClockAt_ : TenureStart_;
  if (!Worker.Runs_.empty())
    recordEvent(
        LogEvent::WorkerRunsLost,
        {{"worker", Worker.Entry_.Id_},
         {"runs", std::to_string(Worker.Runs_.size())},
         {"cause", Cause},
         {"silent_ms", std::to_string((Now - LastReportAt) / Millisecond)},
         {"tenure_ms", std::to_string((Now - TenureStart_) / Millisecond)}});
  for (auto &[Text, ActiveRun] : Worker.takeAllRuns()) {
    recordGivenUp(Worker, ActiveRun, Cause, nullptr, Now);
    JobRecord *Record = findJob(ActiveRun.Name_.Job_);
    if (!Record)
      continue;
    Task *Lost = Record->Job_.find(ActiveRun.Name_);
    if (!Lost)
      continue;
    Record->Job_.keepCheckpoint(ActiveRun.Name_, ActiveRun.Checkpoint_);
    // The task has waited since then, unless it has to wait for another reason.
    Duration CrashDelay = crashRetryDelay(ActiveRun);
    Duration Delay = CrashDelay == Duration::zero()
                         ? Duration::zero()
                         : Now - LastReportAt + CrashDelay;
    // Whichever run was counted, the worker does not execute it any more.
    requeueRun(Worker, *Record, ActiveRun.Name_, Lost->Progress_.LastRun_,
               LastReportAt, Delay);
  }
}

void Scheduler::Impl::handleNextIncarnation(WorkerState &Worker,
                                            const WorkerEntry &Entry,
                                            TimePoint Now, const char *Cause) {
  // No command reaches an incarnation at another address.
  std::vector<Run> Kept;
  if (Entry.Address_ == Worker.Entry_.Address_)
    Kept = Worker.runsOfNextIncarnation(Now);
  std::vector<LostRun> Possible = Worker.possibleRuns();
  for (const Run &Each : Kept)
    Worker.dropRun(Each.Name_.text());
  handleEndOfIncarnation(Worker, Possible, Now, Cause);
  resetWorker(Worker, Entry, Now);
  for (Run &Each : Kept) {
    // The crash may have ended its job.
    JobRecord *Record = findJob(Each.Name_.Job_);
    if (!Record || isFinal(Record->Job_.state()))
      requestStop(Worker, Each, Now);
    if (Each.Phase_ == RunPhase::Stopping)
      WorkersWithStops_.insert(Entry.Id_);
    Worker.addRun(std::move(Each));
  }
}

void Scheduler::Impl::handleEndOfIncarnation(
    WorkerState &Worker, const std::vector<LostRun> &Possible, TimePoint Now,
    const char *Cause) {
  // A worker that drains has announced its end.
  if (!Worker.Entry_.IsDraining_) {
    Worker.CrashedAt_ = Worker.FailedRenewals_ > 0
                            ? Worker.lossTime()
                            : LossTime{Worker.ClockAt_, Now};
    std::vector<LostRun> Lost = Possible;
    Lost.insert(Lost.end(), Worker.LostRuns_.begin(), Worker.LostRuns_.end());
    attributeCrash(Worker, Lost, Now);
  }
  forgetLostRuns(Worker);
  abandonRuns(Worker, Now, Cause);
}

/// Returns whether the next incarnation of a worker that the previous owner
/// used is registered.
bool Scheduler::Impl::hasCrashedSinceStored(const std::string &Id) {
  auto Stored = StoredStartTimes_.find(Id);
  const WorkerState *Worker = findWorker(Id);
  return Worker && Worker->IsRegistered_ && Stored != StoredStartTimes_.end() &&
         Stored->second != 0 && Worker->Entry_.StartedAtMs_ > Stored->second;
}

void Scheduler::Impl::requeueRun(WorkerState &Worker, JobRecord &Record,
                                 const TaskName &Name, std::uint64_t Number,
                                 TimePoint Now, Duration Delay) {
  Task *Requeued = Record.Job_.find(Name);
  if (!Requeued || Requeued->Phase_ != TaskPhase::Placed ||
      Requeued->Progress_.Worker_ != Worker.Entry_.Id_)
    return;
  if (Requeued->Progress_.LastRun_ != Number)
    return stopUncountedRun(Worker, Record, Name, Now);
  noteDoubt(Name, Now);
  Record.Job_.requeue(Name, Now, Now + Delay);
  if (!isFinal(Record.Job_.state()))
    JobsWithWaitingTasks_.insert(Record.Job_.accepted().Id_);
  DirtyJobs_.add(Name.Job_);
  NeedsPlacement_ = true;
}

void Scheduler::Impl::returnUnstarted(WorkerState &Worker, JobRecord &Record,
                                      const TaskName &Name,
                                      std::uint64_t Number) {
  const Task *Unstarted = Record.Job_.find(Name);
  if (!Unstarted)
    return;
  TimePoint ReadyAt = Unstarted->ReadyAt_;
  requeueRun(Worker, Record, Name, Number, ReadyAt, Duration::zero());
}

/// Stops the present run of \p Name if \p Worker has no run of that task any
/// more: an earlier one, which the worker listed, has taken its place.
void Scheduler::Impl::stopUncountedRun(WorkerState &Worker, JobRecord &Record,
                                       const TaskName &Name, TimePoint Now) {
  if (Worker.Runs_.contains(Name.text()) || isFinal(Record.Job_.state()))
    return;
  // Its start may have been sent, so the task is placed again only after the
  // stop.
  Run Present =
      makeRun(Record.Job_, Name, Record.Job_.find(Name)->Progress_.LastRun_);
  requestStop(Worker, Present, Now);
  Worker.addRun(std::move(Present));
}

/// Stops the long-running tasks of workers that drain if another worker has
/// capacity, so that they are not lost when their worker leaves.
void Scheduler::Impl::moveFromDrainingWorkers(TimePoint Now) {
  for (auto &[Id, Worker] : Workers_) {
    bool IsLeaving = Worker.IsRegistered_ && Worker.Entry_.IsDraining_;
    if (!IsLeaving || !Worker.isReachable() || Worker.NextDrainCheckAt_ > Now)
      continue;
    Worker.NextDrainCheckAt_ = Now + DrainCheckInterval;
    for (auto &[Text, ActiveRun] : Worker.Runs_)
      if (ActiveRun.IsLongRunning_ && ActiveRun.Phase_ == RunPhase::Confirmed &&
          hasBetterWorker(Worker, ActiveRun, Now))
        requestStop(Worker, ActiveRun, Now);
  }
}

/// Abandons the runs of unreachable workers whose leases have expired. Another
/// owner may have renewed a lease unless this tenure was confirmed after the
/// expiry.
void Scheduler::Impl::expireLeases(TimePoint Now, TimePoint ConfirmedAt) {
  std::vector<std::string> ExpiredWorkers;
  for (auto &[Id, Worker] : Workers_) {
    bool IsUnreachable = Worker.FailedRenewals_ > 0 || !Worker.HasReported_;
    TimePoint LeaseEnd = lastLeaseEnd(Worker);
    if (IsUnreachable && Now > LeaseEnd && ConfirmedAt > LeaseEnd &&
        !Worker.IsExpired_) {
      rememberLostRuns(Worker, Now);
      abandonRuns(Worker, Now, "lease expired");
      Worker.IsExpired_ = true;
    }
    if (Now - Worker.LostAt_ > LostRunRetention)
      forgetLostRuns(Worker);
    if (Worker.IsExpired_ && !Worker.IsRegistered_ && Worker.Runs_.empty() &&
        Worker.LostRuns_.empty())
      ExpiredWorkers.push_back(Id);
  }
  for (const std::string &Id : ExpiredWorkers) {
    if (Workers_[Id].IsStored_)
      WorkersToRemove_.insert(Id);
    WorkersToStore_.erase(Id);
    Workers_.erase(Id);
  }
}

} // namespace filbertspring::scheduling
