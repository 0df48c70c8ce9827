#include "filbertspring/base/overloaded.h"
#include "scheduler_impl.h"

#include <algorithm>
#include <tuple>

namespace filbertspring::scheduling {
namespace {

/// Interval between two renewals that are sent to an unreachable worker: a
/// quarter of the shortest time that a restarted worker takes to register.
constexpr Duration UnreachableRetryInterval = std::chrono::milliseconds(400);
/// More than a tenure writes, so that numbers rise across tenures.
constexpr std::uint64_t JournalRowsPerTenure = 1'000'000'000;
/// Interval between two reports of a worker without runs.
constexpr Duration IdleReportInterval = std::chrono::milliseconds(2000);
/// The lease of tasks on a worker that drains. Longer than two renewals that
/// each wait for an end.
constexpr Duration DrainingLease = std::chrono::milliseconds(2500);
/// Shorter waits show sooner that a suspected task has settled, until when its
/// worker gets no other start.
constexpr Duration SuspectReportWait = std::chrono::milliseconds(250);
/// A worker with a serving task over its target reports each new tail latency,
/// which covers half a second.
constexpr Duration OverTargetReportWait = std::chrono::milliseconds(450);
/// Interval between two checks of all workers for expired leases, drains and
/// fillers to suspend.
constexpr Duration WorkerCheckInterval = std::chrono::milliseconds(50);
/// Interval between two stop commands for one run. Several fit into the time
/// for which a task of a cancelled job may continue to run.
constexpr Duration StopRetryInterval = std::chrono::milliseconds(300);

} // namespace

TimePoint sendingLimit(const Action &Decided, const CommandLimits &Limits) {
  return std::visit(
      Overloaded{
          [&](const StartTask &Start) {
            return std::min(Limits.ExclusiveUntil_, Start.SendBefore_);
          },
          [&](const RenewLease &Renewal) {
            // Only asks for a report.
            bool HasEffect = Renewal.DeadlineMs_ || Renewal.Acknowledged_ > 0;
            return HasEffect ? Limits.ValidUntil_ : TimePoint::max();
          },
          [&](const StopTask &) { return Limits.ValidUntil_; },
          [&](const PaceTask &) { return Limits.ValidUntil_; },
      },
      Decided);
}

Scheduler::Impl::Impl(SchedulerSettings Settings, TimePoint Now)
    : Settings_(Settings), TenureStart_(Now),
      Queues_(std::make_shared<QueueTable>()),
      Journal_(Settings.Tenure_ * JournalRowsPerTenure) {}

Scheduler::Scheduler(SchedulerSettings Settings, TimePoint Now)
    : Impl_(std::make_unique<Impl>(Settings, Now)) {}

Scheduler::~Scheduler() = default;

void Scheduler::configure(std::shared_ptr<const QueueTable> Queues) {
  Impl_->Queues_ = std::move(Queues);
  Impl_->Workspaces_.configure(Impl_->Queues_->Workspaces_);
  Impl_->NeedsPlacement_ = true;
}

void Scheduler::setClosedZones(std::set<std::string> Zones) {
  Impl_->ClosedZones_ = std::move(Zones);
  Impl_->NeedsPlacement_ = true;
}

void Scheduler::Impl::recordEvent(
    LogEvent Event, std::vector<std::pair<std::string, std::string>> Fields) {
  LogRecords_.push_back({Event, std::move(Fields)});
}

JobRecord *Scheduler::Impl::findJob(const std::string &Id) {
  auto It = Jobs_.find(Id);
  return It == Jobs_.end() ? nullptr : &It->second;
}

WorkerState *Scheduler::Impl::findWorker(const std::string &Id) {
  auto It = Workers_.find(Id);
  return It == Workers_.end() ? nullptr : &It->second;
}

std::uint32_t Scheduler::Impl::maxAttempts(const Job &TheJob) const {
  const Queue *Policy = Queues_->find(TheJob.accepted().Queue_);
  // Jobs outlive the removal of their queue from the configuration. The minimum
  // of one attempt applies to them.
  return Policy ? Policy->Attempts_ : 1;
}

void Scheduler::addJob(const AcceptedJob &Accepted, TimePoint Now) {
  auto [It, IsNew] = Impl_->Jobs_.try_emplace(Accepted.Id_, Accepted, Now);
  if (!IsNew)
    return;
  WorkspaceState &Owner = Impl_->Workspaces_.obtain(Accepted.Workspace_);
  It->second.Workspace_ = &Owner;
  It->second.Arrival_ = Owner.Arrivals_.add(Accepted.AcceptedMs_);
  Impl_->JobsToRelease_.insert(Accepted.Id_);
  // The snapshot of an earlier job with this id is replaced.
  if (Impl_->JobsToRemove_.erase(Accepted.Id_) > 0)
    Impl_->Snapshots_.add(Accepted.Id_);
  // A notice of the cancellation may overtake that of the acceptance.
  if (Impl_->CancelledBefore_.erase(Accepted.Id_) > 0)
    cancelJob(Accepted.Id_, Now);
}

void Scheduler::addUnusableJob(const AcceptedJob &Accepted,
                               const std::string &Cause, TimePoint Now) {
  if (Impl_->findJob(Accepted.Id_))
    return;
  addJob(Accepted, Now);
  JobRecord &Record = *Impl_->findJob(Accepted.Id_);
  Record.Job_.reject(Cause);
  Impl_->handleJobChange(Record, Now);
  Impl_->recordEvent(
      LogEvent::JobFinished,
      {{"job", Accepted.Id_}, {"state", "failed"}, {"cause", Cause}});
}

void Scheduler::restoreProgress(const std::string &Id,
                                const JobProgress &Progress) {
  JobRecord *Record = Impl_->findJob(Id);
  if (!Record)
    return;
  Record->StoredState_ = Progress.State_;
  if (std::any_of(Progress.Tasks_.begin(), Progress.Tasks_.end(),
                  [](const auto &Entry) { return isSuspected(Entry.second); }))
    Impl_->JobsWithSuspects_.insert(Id);
  for (const auto &[Text, Stored] : Progress.Tasks_)
    if (!Stored.IsDone_ && !Stored.DoubtfulWorker_.empty())
      Impl_->DoubtfulStarts_.restore(Text, Stored.DoubtfulWorker_,
                                     Impl_->restoredDoubtEnd(Stored.LastRun_));
  for (const TaskName &Name : Record->Job_.restore(Progress)) {
    const TaskProgress &Stored = Record->Job_.find(Name)->Progress_;
    // The next incarnation may execute it, since its start may have been under
    // way: the first report decides.
    if (Impl_->hasCrashedSinceStored(Stored.Worker_))
      Impl_->RestoredCrashes_[Stored.Worker_].push_back(
          {Name, Stored.LastRun_, RunMaturity::Fresh, false});
    Run Restored = Impl_->makeRun(Record->Job_, Name, Stored.LastRun_);
    // The first report in this tenure lists the run if it is still executed.
    Restored.Phase_ = RunPhase::Confirmed;
    Restored.ConfirmedAt_ = Impl_->TenureStart_;
    Restored.IsSuspect_ = isSuspected(Stored);
    auto [Worker, IsNew] = Impl_->obtainWorker(Stored.Worker_);
    Worker.Entry_.Id_ = Stored.Worker_;
    if (IsNew)
      Impl_->scheduleRenewal(Worker, Impl_->TenureStart_);
    Worker.addRun(std::move(Restored));
  }
  if (!isFinal(Record->Job_.state()))
    return;
  Record->FinalAt_ = Impl_->TenureStart_;
  Impl_->stopAllRuns(Record->Job_, Impl_->TenureStart_);
}

void Scheduler::restoreJournalRow(const JournalRow &Row) {
  Impl_->Journal_.restore(Row);
  // The stored snapshots do not show the changes to callers.
  for (const auto &[Job, Changes] : Row.Entries_) {
    Impl_->Snapshots_.add(Job);
    if (JobRecord *Record = Impl_->findJob(Job))
      Record->LastJournalRow_ = std::max(Record->LastJournalRow_, Row.Number_);
  }
}

void Scheduler::cancelJob(const std::string &Id, TimePoint Now) {
  JobRecord *Record = Impl_->findJob(Id);
  // Each cancellation is answered, and the answer binds for the whole
  // retention.
  if (Record)
    Record->CancelledAt_ = Now;
  else
    Impl_->CancelledBefore_[Id] = Now;
  if (!Record || isFinal(Record->Job_.state()))
    return;
  Record->Job_.cancel();
  Impl_->handleJobChange(*Record, Now);
  Impl_->recordEvent(LogEvent::JobCancelled, {{"job", Id}});
}

/// Updates the indices after a change of a job's tasks or state.
void Scheduler::Impl::handleJobChange(JobRecord &Record, TimePoint Now) {
  const std::string &Id = Record.Job_.accepted().Id_;
  DirtyJobs_.add(Id);
  JobsToRelease_.insert(Id);
  if (!isFinal(Record.Job_.state()) || Record.FinalAt_)
    return;
  Record.FinalAt_ = Now;
  JobsWithWaitingTasks_.erase(Id);
  stopAllRuns(Record.Job_, Now);
}

void Scheduler::Impl::stopAllRuns(const Job &StoppedJob, TimePoint Now) {
  for (std::uint32_t Slot = 0; Slot < StoppedJob.taskCount(); ++Slot)
    stopRun(StoppedJob.at(Slot).Progress_.Worker_, StoppedJob.nameOf(Slot),
            Now);
}

/// Stops the run of \p Name on worker \p Id, if there is one.
void Scheduler::Impl::stopRun(const std::string &Id, const TaskName &Name,
                              TimePoint Now) {
  WorkerState *Worker = Id.empty() ? nullptr : findWorker(Id);
  if (!Worker)
    return;
  auto It = Worker->Runs_.find(Name.text());
  if (It != Worker->Runs_.end())
    requestStop(*Worker, It->second, Now);
}

void Scheduler::Impl::requestStop(WorkerState &Worker, Run &Target,
                                  TimePoint Now) {
  WorkersWithStops_.insert(Worker.Entry_.Id_);
  if (Target.Phase_ == RunPhase::Stopping)
    return;
  // Also correct if no start command was sent: a worker that receives the stop
  // first rejects the start.
  Target.Phase_ = RunPhase::Stopping;
  Target.NextStopAt_ = Now;
}

void Scheduler::Impl::scheduleRenewal(WorkerState &Worker, TimePoint At) {
  Worker.NextRenewalAt_ = At;
  RenewalTimes_.push({At, Worker.Entry_.Id_});
}

void Scheduler::Impl::sendDueRenewals(TimePoint Now, bool MaySendCommands) {
  std::vector<WorkerState *> Due;
  while (!RenewalTimes_.empty() && RenewalTimes_.top().At_ <= Now) {
    WorkerState *Worker = findWorker(RenewalTimes_.top().Worker_);
    RenewalTimes_.pop();
    // The time may have been replaced by a later one.
    if (!Worker || Worker->IsRenewing_ || Worker->NextRenewalAt_ > Now)
      continue;
    bool IsIdle = Worker->isReachable() && Worker->Runs_.empty() &&
                  Worker->ProcessedEnd_ == Worker->AcknowledgedEnd_;
    TimePoint NextIdleReportAt = Worker->LastIdleReportAt_ + IdleReportInterval;
    if (IsIdle && NextIdleReportAt > Now)
      scheduleRenewal(*Worker, NextIdleReportAt);
    else
      Due.push_back(Worker);
  }
  // A late owner cannot send all of them at once.
  std::sort(Due.begin(), Due.end(), [](const auto *Left, const auto *Right) {
    return std::tie(Left->LeaseExpiresAt_, Left->Entry_.Id_) <
           std::tie(Right->LeaseExpiresAt_, Right->Entry_.Id_);
  });
  for (WorkerState *Worker : Due)
    if (!Worker->IsRenewing_)
      sendRenewal(*Worker, Now, MaySendCommands);
}

TimePoint Scheduler::Impl::leaseEnd(Duration Lease, TimePoint Now) const {
  return Now +
         std::chrono::duration_cast<Duration>(Lease *
                                              (1.0 + Settings_.ClockDrift_)) +
         Settings_.KillTimeout_;
}

void Scheduler::Impl::sendRenewal(WorkerState &Worker, TimePoint Now,
                                  bool MayExtendLease) {
  RenewLease Renewal;
  Renewal.Number_ = ++LastRenewal_;
  Renewal.Worker_ = Worker.Entry_.Id_;
  Renewal.Address_ = Worker.Entry_.Address_;
  Renewal.Token_ = Worker.Token_;
  // A worker without contact may have restarted and count its ends anew. So may
  // any other one; a number that is not needed could only hide ends of its next
  // incarnation.
  bool MayAcknowledge = MayExtendLease && Worker.FailedRenewals_ == 0 &&
                        Worker.StoredEnd_ > Worker.AcknowledgedEnd_;
  Renewal.Acknowledged_ = MayAcknowledge ? Worker.StoredEnd_ : 0;
  Worker.SentAcknowledgement_ =
      std::max(Worker.AcknowledgedEnd_, Renewal.Acknowledged_);
  std::optional<std::int64_t> Clock = Worker.clockAt(Now);
  // The lease of an unreachable worker is not extended, so that its runs end at
  // a known time.
  if (MayExtendLease && Clock && Worker.FailedRenewals_ == 0 &&
      !NotedWorkers_.contains(Renewal.Worker_)) {
    // A worker that drains leaves soon, and its runs with it. The shorter its
    // lease, the sooner they are known to have ended.
    Duration Lease = Worker.Entry_.IsDraining_
                         ? std::min(DrainingLease, Settings_.LeaseDuration_)
                         : Settings_.LeaseDuration_;
    Renewal.DeadlineMs_ = *Clock + Lease / std::chrono::milliseconds(1);
    Worker.noteGrant(*Renewal.DeadlineMs_);
    Worker.LeaseExpiresAt_ =
        std::max(Worker.LeaseExpiresAt_, leaseEnd(Lease, Now));
  }
  // A worker without tasks answers at once: there is no end to wait for.
  bool IsNoted = NotedWorkers_.contains(Renewal.Worker_);
  if (Worker.isReachable() && !Worker.Runs_.empty() && !IsNoted)
    Renewal.Wait_ = Worker.FreshSuspects_ > 0
                        ? std::min(SuspectReportWait, Settings_.ReportWait_)
                        : Settings_.ReportWait_;
  if (Worker.OverTargetSince_)
    Renewal.Wait_ = std::min(OverTargetReportWait, Renewal.Wait_);
  Worker.IsRenewing_ = true;
  Worker.OutstandingRenewal_ = Renewal.Number_;
  Worker.RenewalSentAt_ = Now;
  Actions_.emplace_back(std::move(Renewal));
}

void Scheduler::Impl::sendStops(TimePoint Now) {
  for (const std::string &Id : std::exchange(WorkersWithStops_, {})) {
    WorkerState *Worker = findWorker(Id);
    if (!Worker)
      continue;
    for (auto &[Text, ActiveRun] : Worker->Runs_) {
      if (ActiveRun.Phase_ != RunPhase::Stopping || ActiveRun.StopConfirmedAt_)
        continue;
      WorkersWithStops_.insert(Id);
      if (ActiveRun.NextStopAt_ > Now)
        continue;
      ActiveRun.NextStopAt_ = Now + StopRetryInterval;
      Actions_.emplace_back(StopTask{Id, Worker->Entry_.Address_,
                                     ActiveRun.Name_, ActiveRun.Number_,
                                     Worker->Token_});
    }
  }
}

void Scheduler::renewalFailed(const RenewLease &Renewal, CallOutcome Outcome,
                              TimePoint Now) {
  const std::string &Id = Renewal.Worker_;
  WorkerState *Worker = Impl_->findWorker(Id);
  if (!Worker || !Worker->isOutstanding(Renewal.Number_))
    return;
  Worker->IsRenewing_ = false;
  Impl_->scheduleRenewal(*Worker, Now + UnreachableRetryInterval);
  if (Outcome == CallOutcome::RejectedStaleToken) {
    Impl_->IsFenced_ = true;
    return;
  }
  // Says nothing about the worker.
  if (Outcome == CallOutcome::Expired)
    return;
  Worker->IsRenewalRefused_ = Outcome == CallOutcome::NotSent;
  if (Worker->FailedRenewals_++ == 0) {
    Worker->UnreachableSince_ = Now;
    Impl_->recordEvent(LogEvent::WorkerUnreachable,
                       {{"worker", Id}, {"zone", Worker->Entry_.Zone_}});
  }
  if (Outcome != CallOutcome::OtherInstance)
    return;
  // Another incarnation uses the address, so this one has ended. A refused
  // connection shows nothing: a partition may reject connections.
  if (!Worker->HasEnded_)
    Impl_->handleEndOfIncarnation(*Worker, Worker->possibleRuns(), Now,
                                  "other life at its address");
  Worker->HasEnded_ = true;
  Worker->HasReported_ = true;
  Worker->IsExpired_ = true;
  Worker->LeaseExpiresAt_ = Now;
}

void Scheduler::advance(TimePoint Now, std::int64_t WallMs,
                        TimePoint ConfirmedAt, bool MaySendCommands) {
  Impl_->WallMs_ = WallMs;
  if (!Impl_->AdvancedSince_)
    Impl_->AdvancedSince_ = Now;
  Impl_->attributeRestoredCrashes(Now);
  if (Now >= Impl_->NextWorkerCheckAt_) {
    Impl_->NextWorkerCheckAt_ = Now + WorkerCheckInterval;
    Impl_->expireLeases(Now, ConfirmedAt);
    Impl_->expireDoubts(Now);
    Impl_->moveFromDrainingWorkers(Now);
    Impl_->suspendDueFillers(Now);
  }
  if (MaySendCommands)
    Impl_->releaseDueSteps(Now);
  Impl_->sendStops(Now);
  Impl_->sendDueRenewals(Now, MaySendCommands);
}

std::size_t Scheduler::place(TimePoint Now, std::size_t MaxStarts) {
  return Impl_->placeWaitingTasks(Now, MaxStarts);
}

std::vector<Action> Scheduler::takeActions() {
  std::vector<Action> Taken = std::exchange(Impl_->Actions_, {});
  // Leases and stops do not wait for starts. A run whose stop is carried out
  // before its start does not start.
  std::stable_partition(Taken.begin(), Taken.end(), [](const Action &Decided) {
    return !std::holds_alternative<StartTask>(Decided);
  });
  return Taken;
}

std::vector<LogRecord> Scheduler::takeLogRecords() {
  return std::exchange(Impl_->LogRecords_, {});
}

std::vector<std::string> Scheduler::expiredJobs(TimePoint Now,
                                                std::size_t MaxJobs) const {
  std::vector<std::string> Expired;
  for (const auto &[Id, Record] : Impl_->Jobs_) {
    if (Expired.size() == MaxJobs)
      break;
    bool IsExpired =
        Record.FinalAt_ &&
        Now - *Record.FinalAt_ > Impl_->Settings_.FinalStateRetention_ &&
        !(Record.CancelledAt_ && Now - *Record.CancelledAt_ <=
                                     Impl_->Settings_.cancellationRetention());
    // Without its snapshot, changes in the journal would apply to a job that is
    // later accepted with the same id.
    if (IsExpired && !Impl_->Journal_.mayHoldRow(Record.LastJournalRow_))
      Expired.push_back(Id);
  }
  for (const auto &[Id, CancelledAt] : Impl_->CancelledBefore_)
    if (Expired.size() < MaxJobs &&
        Now - CancelledAt > Impl_->Settings_.cancellationRetention())
      Expired.push_back(Id);
  return Expired;
}

void Scheduler::jobsRemoved(const std::vector<std::string> &Jobs) {
  for (const std::string &Id : Jobs) {
    if (Impl_->CancelledBefore_.erase(Id) > 0)
      continue;
    Impl_->Jobs_.erase(Id);
    Impl_->DirtyJobs_.erase(Id);
    Impl_->Snapshots_.erase(Id);
    Impl_->Journal_.unpin(Id);
    Impl_->JobsToRelease_.erase(Id);
    Impl_->JobsWithSuspects_.erase(Id);
    Impl_->JobsWithWaitingTasks_.erase(Id);
    Impl_->JobsToRemove_.insert(Id);
  }
  std::erase_if(Impl_->PlannedRuns_, [this](const PlannedRun &Planned) {
    return !Impl_->findJob(Planned.Name_.Job_);
  });
}

std::vector<InterferenceEstimate> Scheduler::interferenceEstimates() const {
  return Impl_->Model_.estimates();
}

void Scheduler::restoreInterference(
    std::span<const InterferenceEstimate> Pairs) {
  Impl_->Model_.restore(Pairs);
}

bool Scheduler::isFenced() const { return Impl_->IsFenced_; }

std::map<std::string, std::uint64_t> Scheduler::pendingByQueue() const {
  std::map<std::string, std::uint64_t> Result;
  for (const auto &[Id, Record] : Impl_->Jobs_) {
    std::uint64_t &Pending = Result[Record.Job_.accepted().Queue_];
    if (!isFinal(Record.Job_.state()) && !Record.Job_.hasStarted())
      ++Pending;
  }
  return Result;
}

std::optional<JobState> Scheduler::stateOf(const std::string &Id) const {
  JobRecord *Record = Impl_->findJob(Id);
  return Record ? std::optional(Record->Job_.state()) : std::nullopt;
}

const PlaceWaitCounts &Scheduler::placeWaits() const {
  return Impl_->PlaceWaits_.counts();
}

SchedulerCounts Scheduler::counts() const {
  SchedulerCounts Result;
  Result.Jobs_ = Impl_->Jobs_.size();
  Result.Workers_ = Impl_->Workers_.size();
  Result.ConsideredWorkers_ = Impl_->ConsideredWorkers_;
  Result.PlaceWaits_ = Impl_->PlaceWaits_.counts();
  for (const auto &[Id, Worker] : Impl_->Workers_) {
    Result.ReachableWorkers_ += Worker.isReachable() ? 1 : 0;
    Result.PlacedTasks_ += Worker.Runs_.size();
  }
  for (const std::string &Id : Impl_->JobsWithWaitingTasks_)
    Result.WaitingTasks_ += Impl_->findJob(Id)->Job_.waiting().size();
  return Result;
}

} // namespace filbertspring::scheduling
