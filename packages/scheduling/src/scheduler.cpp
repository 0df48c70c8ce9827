#include "scheduler_impl.h"

#include <algorithm>

namespace filbertspring::scheduling {
namespace {

/// The pause between two requests of an unreachable worker: a quarter of the
/// shortest grace that a restarted worker takes to register.
constexpr Duration RetryPause = std::chrono::milliseconds(400);
/// The pause between two reports of a worker that runs nothing.
constexpr Duration IdleReportPause = std::chrono::milliseconds(2000);
/// A stop without an answer is repeated after this; several times within the
/// time that a cancelled task may run on.
constexpr Duration StopRetryPause = std::chrono::milliseconds(300);

} // namespace

Scheduler::Impl::Impl(SchedulerSettings Settings, TimePoint Now)
    : Settings_(Settings), TenureStart_(Now),
      Queues_(std::make_shared<QueueTable>()) {}

Scheduler::Scheduler(SchedulerSettings Settings, TimePoint Now)
    : Impl_(std::make_unique<Impl>(Settings, Now)) {}

Scheduler::~Scheduler() = default;

void Scheduler::configure(std::shared_ptr<const QueueTable> Queues) {
  Impl_->Queues_ = std::move(Queues);
  Impl_->HasNewRoom_ = true;
}

void Scheduler::setClosedZones(std::set<std::string> Zones) {
  Impl_->ClosedZones_ = std::move(Zones);
  Impl_->HasNewRoom_ = true;
}

void Scheduler::Impl::note(
    LogEvent Event, std::vector<std::pair<std::string, std::string>> Fields) {
  Notes_.push_back({Event, std::move(Fields)});
}

OwnedJob *Scheduler::Impl::findJob(const std::string &Id) {
  auto Found = Jobs_.find(Id);
  return Found == Jobs_.end() ? nullptr : &Found->second;
}

WorkerState *Scheduler::Impl::findWorker(const std::string &Id) {
  auto Found = Workers_.find(Id);
  return Found == Workers_.end() ? nullptr : &Found->second;
}

std::uint32_t Scheduler::Impl::attemptsOf(const Job &Owned) const {
  const Queue *Found = Queues_->find(Owned.accepted().Queue_);
  // A queue that is gone keeps its jobs; one attempt is the least it allowed.
  return Found ? Found->Attempts_ : 1;
}

void Scheduler::addJob(const AcceptedJob &Accepted, TimePoint Now) {
  if (Impl_->Jobs_.try_emplace(Accepted.Id_, Accepted, Now).second)
    Impl_->Unopened_.insert(Accepted.Id_);
}

void Scheduler::restoreProgress(const std::string &Id,
                                const JobProgress &Progress) {
  OwnedJob *Owned = Impl_->findJob(Id);
  if (!Owned)
    return;
  for (const TaskName &Name : Owned->Job_.restore(Progress)) {
    const TaskProgress &Stored = Owned->Job_.find(Name)->Progress_;
    Run Restored = Impl_->makeRun(Owned->Job_, Name, Stored.LastRun_);
    // The first report of this tenure lists the run if it still runs.
    Restored.Phase_ = RunPhase::Confirmed;
    Restored.ConfirmedAt_ = Impl_->TenureStart_;
    WorkerState &Worker = Impl_->Workers_[Stored.Worker_];
    Worker.Entry_.Id_ = Stored.Worker_;
    Worker.addRun(std::move(Restored));
  }
  if (!isFinal(Owned->Job_.state()))
    return;
  Owned->FinalAt_ = Impl_->TenureStart_;
  Impl_->stopAllRuns(Owned->Job_, Impl_->TenureStart_);
}

void Scheduler::cancelJob(const std::string &Id, TimePoint Now) {
  OwnedJob *Owned = Impl_->findJob(Id);
  if (!Owned || isFinal(Owned->Job_.state()))
    return;
  Owned->Job_.cancel();
  Impl_->jobChanged(*Owned, Now);
  Impl_->note(LogEvent::JobCancelled, {{"job", Id}});
}

/// Follows a change of a job's tasks or state.
void Scheduler::Impl::jobChanged(OwnedJob &Owned, TimePoint Now) {
  const std::string &Id = Owned.Job_.accepted().Id_;
  DirtyJobs_.insert(Id);
  Unopened_.insert(Id);
  if (!isFinal(Owned.Job_.state()) || Owned.FinalAt_)
    return;
  Owned.FinalAt_ = Now;
  WithWaiting_.erase(Id);
  stopAllRuns(Owned.Job_, Now);
}

void Scheduler::Impl::stopAllRuns(const Job &Stopped, TimePoint Now) {
  const std::string &Id = Stopped.accepted().Id_;
  for (auto &[WorkerId, Worker] : Workers_)
    for (auto &[Text, One] : Worker.Runs_)
      if (One.Name_.Job_ == Id)
        beginStop(Worker, One, Now);
}

void Scheduler::Impl::beginStop(WorkerState &Worker, Run &Stopped,
                                TimePoint Now) {
  Worker.HasStops_ = true;
  if (Stopped.Phase_ == RunPhase::Stopping)
    return;
  // Nothing was sent; a stop before the start forbids it all the same.
  Stopped.Phase_ = RunPhase::Stopping;
  Stopped.NextStopAt_ = Now;
}

void Scheduler::restoreWorker(const WorkerEntry &Entry, TimePoint Now) {
  auto [Place, IsNew] = Impl_->Workers_.try_emplace(Entry.Id_);
  WorkerState &Worker = Place->second;
  Worker.IsStored_ = true;
  if (IsNew) {
    Worker.Entry_ = Entry;
    Worker.NextRenewalAt_ = Now;
  }
}

/// Starts the picture of a worker afresh.
void Scheduler::Impl::beginLife(WorkerState &Worker, const WorkerEntry &Entry) {
  bool IsStored = Worker.IsStored_ &&
                  Worker.Entry_.Address_ == Entry.Address_ &&
                  Worker.Entry_.StartedAtMs_ == Entry.StartedAtMs_;
  Worker = WorkerState();
  Worker.Entry_ = Entry;
  Worker.IsStored_ = IsStored;
}

void Scheduler::workerRegistered(const WorkerEntry &Entry, TimePoint Now) {
  auto [Place, IsNew] = Impl_->Workers_.try_emplace(Entry.Id_);
  WorkerState &Worker = Place->second;
  bool IsOtherLife =
      !IsNew && ((Entry.StartedAtMs_ != 0 && Worker.Entry_.StartedAtMs_ != 0 &&
                  Entry.StartedAtMs_ != Worker.Entry_.StartedAtMs_) ||
                 Entry.Address_ != Worker.Entry_.Address_);
  if (IsOtherLife)
    Impl_->loseRuns(Worker, Now, "new life");
  if (IsNew || IsOtherLife) {
    Impl_->beginLife(Worker, Entry);
    Worker.NextRenewalAt_ = Now;
  }
  bool WasUsable = Worker.IsListed_ && !Worker.Entry_.IsDraining_;
  Worker.Entry_ = Entry;
  Worker.IsListed_ = true;
  if (!WasUsable)
    Impl_->HasNewRoom_ = true;
  Impl_->WorkersToForget_.erase(Entry.Id_);
  if (!Worker.IsStored_)
    Impl_->WorkersToStore_.insert(Entry.Id_);
}

void Scheduler::workerDeregistered(const std::string &Id, TimePoint /*Now*/) {
  if (WorkerState *Worker = Impl_->findWorker(Id))
    Worker->IsListed_ = false;
}

/// Gives up the runs of a worker that surely executes none of them any more.
void Scheduler::Impl::loseRuns(WorkerState &Worker, TimePoint Now,
                               const char *Cause) {
  if (!Worker.Runs_.empty())
    note(LogEvent::WorkerRunsLost,
         {{"worker", Worker.Entry_.Id_},
          {"runs", std::to_string(Worker.Runs_.size())},
          {"cause", Cause}});
  std::unordered_map<std::string, Run> Lost = std::move(Worker.Runs_);
  Worker.Runs_.clear();
  Worker.Used_ = {};
  Worker.LastingMilliCpu_ = 0;
  Worker.FillerMilliCpu_ = 0;
  Worker.ServingImages_.clear();
  Worker.Flexibility_.reset();
  Worker.Headroom_.clear();
  for (auto &[Text, One] : Lost) {
    OwnedJob *Owned = findJob(One.Name_.Job_);
    if (!Owned)
      continue;
    Owned->Job_.keepCheckpoint(One.Name_, One.Checkpoint_);
    requeueRun(Worker, *Owned, One.Name_, One.Number_, Now, Duration::zero());
  }
}

void Scheduler::Impl::requeueRun(WorkerState &Worker, OwnedJob &Owned,
                                 const TaskName &Name, std::uint64_t Number,
                                 TimePoint Now, Duration Delay) {
  Task *Found = Owned.Job_.find(Name);
  if (!Found || Found->Phase_ != TaskPhase::Placed ||
      Found->Progress_.LastRun_ != Number ||
      Found->Progress_.Worker_ != Worker.Entry_.Id_)
    return;
  Owned.Job_.requeue(Name, Now, Now + Delay);
  if (!isFinal(Owned.Job_.state()))
    WithWaiting_.insert(Owned.Job_.accepted().Id_);
  DirtyJobs_.insert(Name.Job_);
  HasNewRoom_ = true;
}

/// Declares the runs of unreachable workers lost once their leases are over.
/// Another owner may have prolonged them unless the tenure held until then.
void Scheduler::Impl::expireWorkers(TimePoint Now, TimePoint ConfirmedAt) {
  std::vector<std::string> Gone;
  for (auto &[Id, Worker] : Workers_) {
    bool IsSilent = Worker.FailedRenewals_ > 0 || !Worker.IsKnown_;
    TimePoint Safe = Worker.IsKnown_
                         ? Worker.GrantedUntil_
                         : TenureStart_ + Settings_.PredecessorLeaseLimit_;
    if (IsSilent && Now > Safe && ConfirmedAt > Safe && !Worker.IsOver_) {
      loseRuns(Worker, Now, "lease expired");
      Worker.IsOver_ = true;
    }
    if (Worker.IsOver_ && !Worker.IsListed_ && Worker.Runs_.empty())
      Gone.push_back(Id);
  }
  for (const std::string &Id : Gone) {
    if (Workers_[Id].IsStored_)
      WorkersToForget_.insert(Id);
    WorkersToStore_.erase(Id);
    Workers_.erase(Id);
  }
}

void Scheduler::Impl::renewLeases(TimePoint Now, bool MaySendCommands) {
  for (auto &[Id, Worker] : Workers_) {
    if (Worker.IsRenewing_ || Worker.NextRenewalAt_ > Now)
      continue;
    bool HasNothingToAsk = Worker.isReachable() && Worker.Runs_.empty() &&
                           Worker.NotedEnd_ == Worker.AcknowledgedEnd_;
    if (HasNothingToAsk && Worker.LastIdleReport_ + IdleReportPause > Now)
      continue;
    renew(Worker, Now, MaySendCommands);
  }
}

void Scheduler::Impl::renew(WorkerState &Worker, TimePoint Now, bool MayGrant) {
  RenewLease Renewal;
  Renewal.Worker_ = Worker.Entry_.Id_;
  Renewal.Address_ = Worker.Entry_.Address_;
  Renewal.Acknowledged_ = Worker.StoredEnd_;
  Worker.SentEnd_ = Worker.StoredEnd_;
  std::optional<std::int64_t> Clock = Worker.clockAt(Now);
  // An unreachable worker gets no grants: its runs must end some time.
  if (MayGrant && Clock && Worker.FailedRenewals_ == 0) {
    Renewal.DeadlineMs_ =
        *Clock + Settings_.LeaseDuration_ / std::chrono::milliseconds(1);
    auto Longest = std::chrono::duration_cast<Duration>(
        Settings_.LeaseDuration_ * (1.0 + Settings_.ClockDrift_));
    Worker.GrantedUntil_ =
        std::max(Worker.GrantedUntil_, Now + Longest + Settings_.KillTimeout_);
  }
  // A worker without tasks has no end to wait for.
  if (Worker.isReachable() && !Worker.Runs_.empty())
    Renewal.Wait_ = Settings_.ReportWait_;
  Worker.IsRenewing_ = true;
  Worker.RenewalSentAt_ = Now;
  Actions_.emplace_back(std::move(Renewal));
}

void Scheduler::Impl::orderStops(TimePoint Now) {
  for (auto &[Id, Worker] : Workers_) {
    if (!Worker.HasStops_)
      continue;
    Worker.HasStops_ = false;
    for (auto &[Text, One] : Worker.Runs_) {
      if (One.Phase_ != RunPhase::Stopping || One.StopConfirmedAt_)
        continue;
      Worker.HasStops_ = true;
      if (One.NextStopAt_ > Now)
        continue;
      One.NextStopAt_ = Now + StopRetryPause;
      Actions_.emplace_back(
          StopTask{Id, Worker.Entry_.Address_, One.Name_, One.Number_});
    }
  }
}

void Scheduler::renewalFailed(const std::string &Id, CallOutcome Outcome,
                              TimePoint Now) {
  WorkerState *Worker = Impl_->findWorker(Id);
  if (!Worker)
    return;
  Worker->IsRenewing_ = false;
  Worker->NextRenewalAt_ = Now + RetryPause;
  if (Outcome == CallOutcome::RejectedStaleToken) {
    Impl_->IsFenced_ = true;
    return;
  }
  if (Worker->FailedRenewals_++ == 0)
    Impl_->note(LogEvent::WorkerUnreachable,
                {{"worker", Id}, {"zone", Worker->Entry_.Zone_}});
  if (Outcome != CallOutcome::OtherInstance)
    return;
  // The address belongs to another life, so this one is over.
  Impl_->loseRuns(*Worker, Now, "other life at its address");
  Worker->IsKnown_ = true;
  Worker->IsOver_ = true;
  Worker->GrantedUntil_ = Now;
}

void Scheduler::advance(TimePoint Now, std::int64_t WallMs,
                        TimePoint ConfirmedAt, bool MaySendCommands) {
  Impl_->WallMs_ = WallMs;
  Impl_->expireWorkers(Now, ConfirmedAt);
  if (MaySendCommands)
    Impl_->openDueSteps(Now);
  Impl_->orderStops(Now);
  Impl_->renewLeases(Now, MaySendCommands);
}

void Scheduler::place(TimePoint Now) { Impl_->placeWaiting(Now); }

std::vector<Action> Scheduler::takeActions() {
  return std::exchange(Impl_->Actions_, {});
}

std::vector<LogRecord> Scheduler::takeLogRecords() {
  return std::exchange(Impl_->Notes_, {});
}

std::vector<std::string> Scheduler::expiredJobs(TimePoint Now,
                                                std::size_t Most) const {
  std::vector<std::string> Expired;
  for (const auto &[Id, Owned] : Impl_->Jobs_) {
    if (Expired.size() == Most)
      break;
    if (Owned.FinalAt_ &&
        Now - *Owned.FinalAt_ > Impl_->Settings_.FinalStateRetention_)
      Expired.push_back(Id);
  }
  return Expired;
}

void Scheduler::jobsRemoved(const std::vector<std::string> &Jobs) {
  for (const std::string &Id : Jobs) {
    Impl_->Jobs_.erase(Id);
    Impl_->DirtyJobs_.erase(Id);
    Impl_->Unopened_.erase(Id);
    Impl_->WithWaiting_.erase(Id);
    Impl_->JobsToRemove_.insert(Id);
  }
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
  for (const auto &[Id, Owned] : Impl_->Jobs_) {
    std::uint64_t &Pending = Result[Owned.Job_.accepted().Queue_];
    if (!isFinal(Owned.Job_.state()) && !Owned.Job_.hasStarted())
      ++Pending;
  }
  return Result;
}

std::optional<JobState> Scheduler::stateOf(const std::string &Id) const {
  OwnedJob *Owned = Impl_->findJob(Id);
  return Owned ? std::optional(Owned->Job_.state()) : std::nullopt;
}

SchedulerCounts Scheduler::counts() const {
  SchedulerCounts Result;
  Result.Jobs_ = Impl_->Jobs_.size();
  Result.Workers_ = Impl_->Workers_.size();
  for (const auto &[Id, Worker] : Impl_->Workers_) {
    Result.ReachableWorkers_ += Worker.isReachable() ? 1 : 0;
    Result.PlacedTasks_ += Worker.Runs_.size();
  }
  for (const std::string &Id : Impl_->WithWaiting_)
    Result.WaitingTasks_ += Impl_->findJob(Id)->Job_.waiting().size();
  return Result;
}

} // namespace filbertspring::scheduling
