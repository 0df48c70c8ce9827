#include "job_order.h"
#include "scheduler_impl.h"

#include <algorithm>

namespace filbertspring::scheduling {
namespace {

/// Maximum number of outstanding start commands for one worker; more would wait
/// in its queue.
constexpr std::uint32_t MaxStartsInFlight = 4;
/// A start command that has not been sent by then is not sent any more. The
/// call has timed out.
constexpr Duration StartSendingLimit = std::chrono::milliseconds(600);
/// Interval between placement passes without an event, for tasks that are not
/// to be placed before a certain time.
constexpr Duration PlacementInterval = std::chrono::milliseconds(100);
/// Cost for a suspected task of each recent crash of a worker, in units of a
/// fully used worker.
constexpr double UnsteadyCost = 20.0;
/// Cost for a suspected task of a worker with runs that may be the cause of its
/// next crash, too.
constexpr double YoungRunsCost = 10.0;
/// Returns whether the other runs of \p Worker are as settled as \p Needed.
bool isSettled(const WorkerState &Worker, Isolation Needed) {
  switch (Needed) {
  case Isolation::None:
    return true;
  case Isolation::Settled:
    return Worker.FreshRuns_ == 0;
  case Isolation::LongSettled:
    return Worker.YoungRuns_ == 0;
  }
  return false;
}

/// Takes the best of \p Offers, a heap, for the task \p Waiting called \p Text.
/// A worker that may still execute a run of it cannot take another one, nor can
/// any other than that of \p Doubt. The worker on which it last failed is the
/// last choice.
WorkerState *takeBestOffer(std::vector<WorkerOffer> &Offers,
                           const Task &Waiting, const std::string &Text,
                           const std::optional<StartDoubt> &Doubt) {
  std::vector<WorkerOffer> Skipped;
  WorkerState *Chosen = nullptr;
  WorkerState *LastChoice = nullptr;
  while (!Offers.empty() && !Chosen) {
    std::pop_heap(Offers.begin(), Offers.end());
    WorkerOffer Best = Offers.back();
    Offers.pop_back();
    const std::string &Id = Best.Worker_->Entry_.Id_;
    bool MayStart =
        !Best.Worker_->Runs_.contains(Text) && (!Doubt || Doubt->Worker_ == Id);
    bool HasFailed = Id == Waiting.LastFailedWorker_;
    if (MayStart && !HasFailed) {
      Chosen = Best.Worker_;
      continue;
    }
    Skipped.push_back(Best);
    if (MayStart)
      LastChoice = Best.Worker_;
  }
  if (!Chosen)
    Chosen = LastChoice;
  for (const WorkerOffer &Offer : Skipped)
    if (Offer.Worker_ != Chosen) {
      Offers.push_back(Offer);
      std::push_heap(Offers.begin(), Offers.end());
    }
  return Chosen;
}

/// Returns the number of runs on \p Worker that belong to the step of \p Name.
std::int64_t countStepTasks(const WorkerState &Worker, const TaskName &Name) {
  return std::count_if(
      Worker.Runs_.begin(), Worker.Runs_.end(), [&](const auto &Entry) {
        const TaskName &Other = Entry.second.Name_;
        return Other.Step_ == Name.Step_ &&
               Other.Occurrence_ == Name.Occurrence_ && Other.Job_ == Name.Job_;
      });
}

} // namespace

void UnplaceableRequests::add(const PlacementRequest &Request) {
  const StepSpec &Step = Request.Step_;
  Entries_.push_back({Request.Service_, Step.RequiredLabel_,
                      Step.IsFiller_ ? Step.Image_ : std::string(),
                      Step.Request_, Request.Isolation_});
}

bool UnplaceableRequests::covers(const PlacementRequest &Request) const {
  const StepSpec &Step = Request.Step_;
  std::string_view Image = Step.IsFiller_ ? Step.Image_ : std::string_view();
  // Reserved workers are available to isolated tasks only.
  bool IsAnywhere = Request.Isolation_ == Isolation::None;
  return std::any_of(
      Entries_.begin(), Entries_.end(), [&](const Entry &Failed) {
        return Failed.Requested_.MilliCpu_ <= Step.Request_.MilliCpu_ &&
               Failed.Requested_.MemoryMb_ <= Step.Request_.MemoryMb_ &&
               Failed.Requested_.Accelerators_ <= Step.Request_.Accelerators_ &&
               Failed.FillerImage_ == Image &&
               Failed.Isolation_ <= Request.Isolation_ &&
               (Failed.Isolation_ == Isolation::None) == IsAnywhere &&
               Failed.Service_ == Request.Service_ &&
               (Failed.RequiredLabel_.empty() ||
                Failed.RequiredLabel_ == Step.RequiredLabel_);
      });
}

void Scheduler::Impl::releaseDueSteps(TimePoint Now) {
  for (auto It = JobsToRelease_.begin(); It != JobsToRelease_.end();) {
    JobRecord *Record = findJob(*It);
    if (Record && Record->Job_.releaseSteps(WallMs_, Now)) {
      JobsWithWaitingTasks_.insert(*It);
      NeedsPlacement_ = true;
    }
    bool WaitsForTime = Record && Record->Job_.nextDueMs() > WallMs_;
    It = WaitsForTime ? std::next(It) : JobsToRelease_.erase(It);
  }
}

std::size_t Scheduler::Impl::placeWaitingTasks(TimePoint Now,
                                               std::size_t MaxStarts) {
  if (!NeedsPlacement_ && Now < NextPlacementAt_)
    return 0;
  // Tasks that are placed now are stored after those placed before, whatever
  // their rank.
  std::size_t Unstored = std::min(PlannedRuns_.size(), MaxJournalTasks);
  std::size_t Limit = std::min(MaxStarts, MaxJournalTasks - Unstored);
  NeedsPlacement_ = true;
  if (Limit == 0)
    return 0;
  NeedsPlacement_ = false;
  NextPlacementAt_ = Now + PlacementInterval;

  std::vector<PlacementCandidate> Candidates;
  for (auto It = JobsWithWaitingTasks_.begin();
       It != JobsWithWaitingTasks_.end();) {
    JobRecord *Record = findJob(*It);
    if (!Record || Record->Job_.waiting().empty()) {
      It = JobsWithWaitingTasks_.erase(It);
      continue;
    }
    ++It;
    const Queue *Policy = Queues_->find(Record->Job_.accepted().Queue_);
    Candidates.push_back({rankOf(Record->Job_, Policy, Now), Record});
  }
  std::sort(
      Candidates.begin(), Candidates.end(),
      [](const PlacementCandidate &Left, const PlacementCandidate &Right) {
        return Left.Rank_ < Right.Rank_;
      });
  Unplaceable_.clear();
  releaseReservations();
  releaseQuotas(Now);
  findUsableWorkers(Now);
  sampleRacks(Now);
  OverdueTasks Overdue = findOverdueTasks(Now);
  std::size_t OverdueStarts = startsForOverdueTasks(Overdue, Limit, Now);
  StartsLeft_ = Limit - OverdueStarts;
  // Suspected tasks get the few workers on which all runs have settled. They
  // leave starts to the others, which may be more urgent.
  std::size_t OtherLimit = StartsLeft_ / 2;
  StartsLeft_ -= OtherLimit;
  for (const PlacementCandidate &Waiting : Candidates)
    if (JobsWithSuspects_.contains(Waiting.Record_->Job_.accepted().Id_))
      placeJob(*Waiting.Record_, true, Now);
  bool IsCutShort = StartsLeft_ == 0;
  StartsLeft_ += OtherLimit;
  if (Queues_->Workspaces_.empty()) {
    for (const PlacementCandidate &Waiting : Candidates) {
      if (StartsLeft_ == 0)
        break;
      placeJob(*Waiting.Record_, false, Now);
    }
  } else {
    placeByShares(Candidates, Now);
  }
  NeedsPlacement_ = IsCutShort || StartsLeft_ == 0;
  if (StartsLeft_ > 0)
    OverdueSince_.reset();
  else if (!OverdueSince_ && !Overdue.LongRunning_.empty())
    OverdueSince_ = Now;
  StartsLeft_ += OverdueStarts;
  placeOverdueTasks(Overdue, Now);
  reportWaits(Now);
  return Limit - StartsLeft_;
}

/// Collects the workers that can get a task at all, with their free capacity.
void Scheduler::Impl::findUsableWorkers(TimePoint Now) {
  UsableWorkers_.clear();
  GroupOfUsable_.clear();
  ReservableWorkers_ = 0;
  for (auto &[Id, Worker] : Workers_) {
    if (findObstacle(Worker))
      continue;
    Resources Free = Worker.Entry_.Capacity_;
    Free -= Worker.Used_;
    Worker.UsablePosition_ = UsableWorkers_.size();
    UsableWorkers_.push_back({&Worker, Free});
    ReservableWorkers_ += Worker.AvoidUntil_ <= Now &&
                                  Worker.QuarantinedUntil_ <= Now &&
                                  Worker.FreshSuspects_ == 0
                              ? 1
                              : 0;
  }
}

const std::string &Scheduler::Impl::serviceOf(const Job &TheJob) const {
  const Queue *Policy = Queues_->find(TheJob.accepted().Queue_);
  return Policy ? Policy->Service_ : TheJob.accepted().Service_;
}

PlacementRequest Scheduler::Impl::requestFor(const Job &TheJob,
                                             std::uint32_t Slot,
                                             TimePoint Now) const {
  TaskName Name = TheJob.nameOf(Slot);
  const StepSpec &Step = TheJob.step(Name);
  PlacementRequest Request{
      Step,        serviceOf(TheJob), Name,
      Name.text(), Step.Request_,     neededIsolation(TheJob.at(Slot), Now)};
  if (Step.IsFiller_)
    Request.Needed_.MilliCpu_ = 0;
  Request.IsNearlyGivenUp_ = isNearlyGivenUp(TheJob.at(Slot).Progress_);
  Request.Doubt_ = DoubtfulStarts_.find(Request.TaskText_, Now);
  return Request;
}

void Scheduler::Impl::placeJob(JobRecord &Record, bool AreSuspected,
                               TimePoint Now) {
  Job &TheJob = Record.Job_;
  // Copied because placing a task removes it from the set.
  std::vector<std::uint32_t> Slots;
  for (std::uint32_t Slot : TheJob.waiting())
    if (TheJob.at(Slot).NotBefore_ <= Now && !isHeldBack(TheJob.at(Slot)) &&
        isSuspected(TheJob.at(Slot).Progress_) == AreSuspected)
      Slots.push_back(Slot);
  auto IsOtherStep = [&](std::uint32_t Left, std::uint32_t Right) {
    return Right >= TheJob.endOfStep(Left) ||
           neededIsolation(TheJob.at(Left), Now) !=
               neededIsolation(TheJob.at(Right), Now);
  };
  for (auto StepBegin = Slots.begin();
       StepBegin != Slots.end() && StartsLeft_ > 0;) {
    auto StepEnd =
        std::find_if(StepBegin, Slots.end(), [&](std::uint32_t Slot) {
          return IsOtherStep(*StepBegin, Slot);
        });
    placeStep(Record, {StepBegin, StepEnd}, Now);
    StepBegin = StepEnd;
  }
}

/// Places the tasks of one step, which are identical, until no worker is left
/// for one. Evaluates each worker once, and again after it was assigned a task.
void Scheduler::Impl::placeStep(JobRecord &Record,
                                std::span<const std::uint32_t> Slots,
                                TimePoint Now) {
  Job &TheJob = Record.Job_;
  const StepSpec &Step = TheJob.step(TheJob.nameOf(Slots.front()));
  // Neither an obstacle of capacity, which would keep back the tasks of others,
  // nor a reason to reserve any.
  if (isOverQuota(Record, Step)) {
    if (hasWaitedForCapacity(TheJob.at(Slots.front()), Now))
      holdQuota(Record, Step, Now);
    return;
  }
  PlacementRequest Request = requestFor(TheJob, Slots.front(), Now);
  // Any task of the step.
  Request.TaskText_.clear();
  Request.Doubt_.reset();
  bool IsIsolated = Request.Isolation_ != Isolation::None;
  bool HasWaited =
      !IsIsolated && hasWaitedForCapacity(TheJob.at(Slots.front()), Now);
  // A worker that was reserved for the job may have capacity for it by now.
  if (!PreviousReservations_.contains(Request.Name_.Job_) &&
      Unplaceable_.covers(Request)) {
    if (HasWaited)
      reserveCapacity(Request, Now);
    return;
  }
  RackChoice Rack = chooseRack(TheJob, Request, Slots, Now);
  if (Rack.Waits_)
    return;
  std::vector<WorkerOffer> Offers;
  auto AddOffer = [&](WorkerState &Worker) {
    if (!Rack.admits(Worker) || !isEligible(Worker, Request, Now))
      return;
    if (std::optional<double> Cost = placementCost(Worker, Step)) {
      if (IsIsolated)
        *Cost += UnsteadyCost * unexplainedCrashes(Worker, Now);
      if (IsIsolated && Worker.YoungRuns_ > 0)
        *Cost += YoungRunsCost;
      Offers.push_back({*Cost, &Worker});
      std::push_heap(Offers.begin(), Offers.end());
    }
  };
  bool HasRoom = false;
  for (const UsableWorker &Usable : UsableWorkers_)
    if (Usable.Free_.fits({}, Request.Needed_)) {
      HasRoom = true;
      AddOffer(*Usable.Worker_);
    }
  ConsideredWorkers_ += UsableWorkers_.size();
  // A step with a limit per worker may fail where others succeed, but not if
  // there is no room.
  if (!HasRoom || (Offers.empty() && Step.MaxPerWorker_ == 0 && !Rack.Labels_))
    Unplaceable_.add(Request);
  for (const std::uint32_t &Slot : Slots) {
    // The others of the step follow when some have ended.
    if (StartsLeft_ == 0 || isOverQuota(Record, Step))
      return;
    TaskName Name = TheJob.nameOf(Slot);
    Task &Waiting = TheJob.at(Slot);
    std::string Text = Name.text();
    std::optional<StartDoubt> Doubt = DoubtfulStarts_.find(Text, Now);
    WorkerState *Chosen = takeBestOffer(Offers, Waiting, Text, Doubt);
    if (!Chosen && Doubt)
      noteHeldBack(Text, *Doubt, Now);
    // Only this task is kept from the offers that are left, and capacity
    // elsewhere would be reserved in vain.
    if (!Chosen && (!Offers.empty() || Doubt))
      continue;
    if (!Chosen && Rack.Labels_)
      return;
    if (!Chosen && IsIsolated)
      reserveWorker(Request, Now);
    else if (!Chosen && HasWaited)
      reserveCapacity(Request, Now);
    if (!Chosen)
      return;
    // The worker stays available to the jobs behind.
    std::span<const std::uint32_t> Rest(&Slot, Slots.data() + Slots.size());
    if (waitsForPlace(TheJob, Request, Rest, *Chosen, Now))
      return;
    bool IsAlone = IsIsolated && canIsolate(*Chosen, Now);
    planRun(*Chosen, Record, Name, Waiting);
    --StartsLeft_;
    Chosen->Runs_.at(Text).IsIsolated_ = IsAlone;
    if (IsIsolated)
      recordEvent(LogEvent::TaskIsolated,
                  {{"task", Text}, {"worker", Chosen->Entry_.Id_}});
    UsableWorkers_[Chosen->UsablePosition_].Free_ -= Request.Needed_;
    AddOffer(*Chosen);
  }
}

std::optional<Obstacle>
Scheduler::Impl::findObstacle(const WorkerState &Worker) const {
  const WorkerEntry &Entry = Worker.Entry_;
  if (!Worker.IsRegistered_ || !Worker.IsStored_ || !Worker.isReachable() ||
      Worker.IsExpired_ || Entry.IsDraining_ || !Worker.ClockMs_ ||
      ClosedZones_.contains(Entry.Zone_) || NotedWorkers_.contains(Entry.Id_))
    return Obstacle::NotUsable;
  if (Worker.UnknownRuns_ > 0)
    return Obstacle::UnknownRun;
  if (Worker.StartsInFlight_ >= MaxStartsInFlight)
    return Obstacle::StartsInFlight;
  return std::nullopt;
}

std::optional<Obstacle>
Scheduler::Impl::findObstacle(const WorkerState &Worker,
                              const PlacementRequest &Request, TimePoint Now,
                              Duration Wait) const {
  if (std::optional<Obstacle> Found = findObstacle(Worker))
    return Found;
  const WorkerEntry &Entry = Worker.Entry_;
  const StepSpec &Step = Request.Step_;
  if (Entry.Service_ != Request.Service_)
    return Obstacle::NotAllowed;
  auto Counts = [Wait](Obstacle Judgement) {
    return Wait < maxWait(Judgement).value_or(Duration::max());
  };
  if (Worker.AvoidUntil_ > Now)
    return Obstacle::Avoided;
  if (Worker.QuarantinedUntil_ > Now && Counts(Obstacle::Quarantined))
    return Obstacle::Quarantined;
  if (Worker.FreshSuspects_ > 0 &&
      (Request.IsNearlyGivenUp_ || Counts(Obstacle::FreshSuspect)))
    return Obstacle::FreshSuspect;
  // A timed task could take the capacity that a larger one waits for.
  if (!Worker.ReservedJob_.empty() &&
      Worker.ReservedJob_ != Request.Name_.Job_ &&
      (!Step.IsLongRunning_ || Counts(Obstacle::ReservedForJob)))
    return Obstacle::ReservedForJob;
  if (Request.Isolation_ == Isolation::None && Worker.ReservedUntil_ > Now &&
      Counts(Obstacle::Reserved))
    return Obstacle::Reserved;
  if (!isSettled(Worker, Request.Isolation_) && Counts(Obstacle::NotIsolated))
    return Obstacle::NotIsolated;
  if (Step.IsFiller_ && Worker.OverTargetSince_)
    return Obstacle::OverTarget;
  const std::vector<std::string> &Labels = Entry.Labels_;
  if (!Step.RequiredLabel_.empty() &&
      std::find(Labels.begin(), Labels.end(), Step.RequiredLabel_) ==
          Labels.end())
    return Obstacle::NotAllowed;
  bool HasRunOfTask =
      !Request.TaskText_.empty() && Worker.Runs_.contains(Request.TaskText_);
  bool IsAtLimit =
      Step.MaxPerWorker_ != 0 &&
      countStepTasks(Worker, Request.Name_) >= std::int64_t{Step.MaxPerWorker_};
  if (HasRunOfTask || IsAtLimit)
    return Obstacle::StepLimit;
  if (Request.Doubt_ && Request.Doubt_->Worker_ != Entry.Id_)
    return Obstacle::StartInDoubt;
  // Last, because a reservation waits for it, and for nothing else.
  if (!Entry.Capacity_.fits(Worker.Used_, Request.Needed_))
    return Obstacle::NoCapacity;
  return std::nullopt;
}

bool Scheduler::Impl::hasBetterWorker(const WorkerState &Present,
                                      const Run &Movable, TimePoint Now) {
  JobRecord *Record = findJob(Movable.Name_.Job_);
  // Above a maximum that has been lowered its task could not start again.
  if (!Record || Record->Workspace_->isAboveMaximum())
    return false;
  const StepSpec &Step = Record->Job_.step(Movable.Name_);
  PlacementRequest Request{Step, Present.Entry_.Service_, Movable.Name_,
                           Movable.Name_.text(), Movable.Reserved_};
  Request.Doubt_ = DoubtfulStarts_.find(Request.TaskText_, Now);
  for (auto &[Id, Worker] : Workers_)
    if (&Worker != &Present && isEligible(Worker, Request, Now) &&
        placementCost(Worker, Step))
      return true;
  return false;
}

void Scheduler::Impl::planRun(WorkerState &Worker, JobRecord &Record,
                              const TaskName &Name, Task &Waiting) {
  std::uint64_t Number =
      std::max(Waiting.Progress_.LastRun_, Settings_.Tenure_ * RunsPerTenure) +
      1;
  Run PlannedTask = makeRun(Record.Job_, Name, Number);
  PlannedTask.ReadyAt_ = Waiting.ReadyAt_;
  PlannedTask.IsSuspect_ = isSuspected(Waiting.Progress_);
  PlannedTask.SettlingTime_ = settlingTime(Waiting.Progress_);
  Worker.ReservedUntil_ = {};
  Record.Job_.place(Name, Number, Worker.Entry_.Id_);
  // Stored before the start is sent, and so known to the next owner.
  Record.Job_.noteDoubtfulStart(Name, Worker.Entry_.Id_);
  DirtyJobs_.add(Name.Job_);
  Worker.addRun(std::move(PlannedTask));
  PlannedRuns_.push_back({Worker.Entry_.Id_, Name, Number});
}

bool Scheduler::Impl::maySendStart(const WorkerState &Worker,
                                   const Run &Target) const {
  return Worker.IsRegistered_ && Worker.isReachable() && Worker.ClockMs_ &&
         !Worker.Entry_.IsDraining_ &&
         !ClosedZones_.contains(Worker.Entry_.Zone_) &&
         !NotedWorkers_.contains(Worker.Entry_.Id_) && Worker.holdsItsRuns() &&
         !(Target.IsFiller_ && Worker.OverTargetSince_);
}

/// Sends the start commands of the runs whose placement is stored.
void Scheduler::Impl::sendPlannedStarts(TimePoint Now) {
  for (const PlannedRun &Planned : std::exchange(PlannedRunsInFlight_, {})) {
    WorkerState *Worker = findWorker(Planned.Worker_);
    JobRecord *Record = findJob(Planned.Name_.Job_);
    if (!Worker || !Record)
      continue;
    auto It = Worker->Runs_.find(Planned.Name_.text());
    if (It == Worker->Runs_.end() || It->second.Number_ != Planned.Number_ ||
        It->second.Phase_ != RunPhase::Planned)
      continue;
    // The worker may have become ineligible since it was chosen, and the
    // maximum of the workspace may have been lowered.
    bool IsAboveMaximum = Record->Workspace_->isAboveMaximum();
    if (!IsAboveMaximum && maySendStart(*Worker, It->second)) {
      It->second.Phase_ = RunPhase::StartSent;
      sendStart(*Worker, It->second, *Record, Now);
      continue;
    }
    Worker->dropRun(Planned.Name_.text());
    returnUnstarted(*Worker, *Record, Planned.Name_, Planned.Number_);
  }
}

/// Sends, or repeats, the start command of \p Target.
void Scheduler::Impl::sendStart(WorkerState &Worker, Run &Target,
                                JobRecord &Record, TimePoint Now) {
  ++Target.StartsSent_;
  ++Target.StartsOpen_;
  Target.StartSentAt_ = Now;
  Target.StartToken_ = Worker.Token_;
  ++Worker.StartsInFlight_;
  Worker.LastStartAt_ = Now;
  scheduleRenewal(Worker, std::min(Worker.NextRenewalAt_, Now));
  Worker.LastIdleReportAt_ = {};
  Worker.LeaseExpiresAt_ =
      std::max(Worker.LeaseExpiresAt_, Now + 2 * Settings_.StartValidity_);
  StartTask Start;
  Start.Worker_ = Worker.Entry_.Id_;
  Start.Address_ = Worker.Entry_.Address_;
  Start.Name_ = Target.Name_;
  Start.Run_ = Target.Number_;
  Start.Token_ = Worker.Token_;
  Start.Waited_ = Now - Target.ReadyAt_;
  Start.SendBefore_ = Now + StartSendingLimit;
  Start.Payload_ = Record.Job_.accepted().Spec_.Payload_;
  Start.DeadlineMs_ = *Worker.clockAt(Now) +
                      Settings_.StartValidity_ / std::chrono::milliseconds(1);
  Worker.noteGrant(Start.DeadlineMs_);
  Worker.LastDeadlineMs_ = std::max(Worker.LastDeadlineMs_, Start.DeadlineMs_);
  if (Task *Started = Record.Job_.find(Target.Name_))
    Start.Checkpoint_ = Started->Progress_.Checkpoint_;
  DoubtfulStarts_.sent(Target.Name_.text(), Start.Worker_, Start.Run_,
                       Start.SendBefore_ + LateExecutionLimit);
  Actions_.emplace_back(std::move(Start));
}

} // namespace filbertspring::scheduling
