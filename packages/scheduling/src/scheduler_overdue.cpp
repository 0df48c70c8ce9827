/// \file
/// The part of the scheduler that places the tasks which must not wait any
/// longer, in spite of what makes the remaining workers a bad choice.

#include "scheduler_impl.h"

#include <algorithm>
#include <map>
#include <utility>

namespace filbertspring::scheduling {
namespace {

/// Tasks that have waited for less are not overdue.
constexpr Duration MinOverdueWait = std::chrono::milliseconds(2000);
constexpr Duration OverdueCheckInterval = std::chrono::milliseconds(200);
/// If no start has been left for overdue long-running tasks for this time, the
/// next passes leave them a part of theirs.
constexpr Duration MaxOverdueDelay = std::chrono::milliseconds(300);
constexpr std::size_t OverdueStartsDivisor = 4;
/// Overdue tasks for which a worker is searched in one check, which bounds the
/// time that it takes while many tasks wait. A filler counts as several, since
/// its effect on each worker is estimated.
constexpr std::size_t MaxOverdueSearches = 16;
constexpr std::size_t FillerSearches = 4;
/// Fillers that were started although they have to be slow are at most this
/// fraction of the workers, since they slow down the others beside them ...
constexpr std::size_t SlowStartDivisor = 8;
/// ... unless a smaller fraction of the processors than this is in use.
constexpr double MaxCalmUtilization = 0.5;
/// Workers of which the pace of a slow start is computed, those with the least
/// interference first.
constexpr std::size_t MaxPaceEstimates = 16;
/// Cost of a worker that a judgement speaks against, in units of a fully used
/// worker. Exceeds all other costs.
constexpr double OverrideCost = 100.0;
/// Cost of the worker on which the task last failed. Exceeds that of others
/// that judgements speak against.
constexpr double RepeatedFailureCost = 3 * OverrideCost;

bool isFiller(const OverdueTask &Overdue) {
  const Job &TheJob = Overdue.Record_->Job_;
  return TheJob.step(TheJob.nameOf(Overdue.Slot_)).IsFiller_;
}

TimePoint waitsSince(const Task &Waiting) {
  return std::max(Waiting.ReadyAt_, Waiting.NotBefore_);
}

} // namespace

OverdueTasks Scheduler::Impl::findOverdueTasks(TimePoint Now) {
  OverdueTasks Overdue;
  if (Now < NextOverdueCheckAt_)
    return Overdue;
  NextOverdueCheckAt_ = Now + OverdueCheckInterval;
  auto IsOverdue = [Now](const Task &Waiting) {
    return Now - waitsSince(Waiting) >= MinOverdueWait;
  };
  for (const std::string &Id : JobsWithWaitingTasks_) {
    JobRecord *Record = findJob(Id);
    if (!Record || Record->Job_.waiting().empty())
      continue;
    const Job &Waiting = Record->Job_;
    // Those that wait for a quota must not take the starts of others.
    auto IsAtQuota = [&](std::uint32_t Slot) {
      return isOverQuota(*Record, Waiting.step(Waiting.nameOf(Slot)));
    };
    if (Waiting.isLongRunning()) {
      // Also those that are held back: the number of their starts has no limit.
      for (std::uint32_t Slot : Waiting.waiting())
        if (IsOverdue(Waiting.at(Slot)) && !IsAtQuota(Slot))
          Overdue.LongRunning_.push_back(
              {Record, Slot, waitsSince(Waiting.at(Slot))});
      continue;
    }
    if (!IsOverdue(Waiting.at(Waiting.longestWaiting())) ||
        Waiting.hasPlacedTask())
      continue;
    // Another step may fit where the first one does not.
    std::uint32_t EndOfLastStep = 0;
    for (std::uint32_t Slot : Waiting.waiting()) {
      if (Slot < EndOfLastStep || !IsOverdue(Waiting.at(Slot)) ||
          isHeldBack(Waiting.at(Slot)) || IsAtQuota(Slot))
        continue;
      EndOfLastStep = Waiting.endOfStep(Slot);
      Overdue.Timed_.push_back({Record, Slot, waitsSince(Waiting.at(Slot))});
    }
  }
  for (std::vector<OverdueTask> *Tasks :
       {&Overdue.LongRunning_, &Overdue.Timed_})
    std::sort(Tasks->begin(), Tasks->end(),
              [](const OverdueTask &Left, const OverdueTask &Right) {
                return Left.WaitsSince_ < Right.WaitsSince_;
              });
  return Overdue;
}

bool Scheduler::Impl::hasAmpleCapacity(const std::string &Service) const {
  Resources Total;
  Resources Reserved;
  for (const auto &[Id, Worker] : Workers_) {
    if (!Worker.IsRegistered_ || Worker.Entry_.Service_ != Service)
      continue;
    Total += Worker.Entry_.Capacity_;
    Reserved += Worker.Used_;
  }
  Reserved += Reserved;
  return Total.fits(Reserved, {});
}

std::size_t Scheduler::Impl::startsForOverdueTasks(const OverdueTasks &Overdue,
                                                   std::size_t Limit,
                                                   TimePoint Now) const {
  bool IsStarved = OverdueSince_ && Now - *OverdueSince_ >= MaxOverdueDelay;
  if (!IsStarved)
    return 0;
  return std::min(Overdue.LongRunning_.size(),
                  std::max<std::size_t>(1, Limit / OverdueStartsDivisor));
}

std::size_t Scheduler::Impl::slowStartsLeft() const {
  double MilliCpu = 0;
  double Used = 0;
  std::size_t SlowStarts = 0;
  for (const UsableWorker &Usable : UsableWorkers_) {
    const WorkerState &Worker = *Usable.Worker_;
    MilliCpu += Worker.milliCpu();
    Used += Worker.utilizationWithFiller(0) * Worker.milliCpu();
    SlowStarts += Worker.SlowStarts_;
  }
  if (Used < MaxCalmUtilization * MilliCpu)
    return UsableWorkers_.size();
  std::size_t MaxSlowStarts = 1 + UsableWorkers_.size() / SlowStartDivisor;
  return MaxSlowStarts - std::min(MaxSlowStarts, SlowStarts);
}

void Scheduler::Impl::placeOverdueTasks(const OverdueTasks &Overdue,
                                        TimePoint Now) {
  UnplaceableOverdue_.clear();
  if (!Overdue.Timed_.empty())
    SlowStartsLeft_ = slowStartsLeft();
  sweepOverdueTasks(Overdue.LongRunning_, LongRunningSweep_, Now);
  sweepOverdueTasks(Overdue.Timed_, TimedSweep_, Now);
}

void Scheduler::Impl::sweepOverdueTasks(std::span<const OverdueTask> Tasks,
                                        OverdueSweep &Sweep, TimePoint Now) {
  if (Tasks.empty())
    return;
  // Every second time those that have waited longest are searched for again.
  bool ContinuesLast =
      std::exchange(Sweep.ContinuesNext_, !Sweep.ContinuesNext_);
  std::size_t Position =
      ContinuesLast && Sweep.Position_ < Tasks.size() ? Sweep.Position_ : 0;
  std::map<std::string, bool> HasAmpleCapacity;
  for (std::size_t Searches = 0;
       Position < Tasks.size() && Searches < MaxOverdueSearches &&
       StartsLeft_ > 0;
       ++Position) {
    const Job &Waiting = Tasks[Position].Record_->Job_;
    if (!Waiting.isLongRunning()) {
      const std::string &Service = serviceOf(Waiting);
      auto [It, IsNew] = HasAmpleCapacity.try_emplace(Service);
      if (IsNew)
        It->second = hasAmpleCapacity(Service);
      if (!It->second || Waiting.hasPlacedTask())
        continue;
    }
    if (placeOverdueTask(Tasks[Position], Now))
      Searches += isFiller(Tasks[Position]) ? FillerSearches : 1;
  }
  if (ContinuesLast || Position > Sweep.Position_)
    Sweep.Position_ = Position;
}

bool Scheduler::Impl::placeOverdueTask(const OverdueTask &Overdue,
                                       TimePoint Now) {
  Job &TheJob = Overdue.Record_->Job_;
  Task &Waiting = TheJob.at(Overdue.Slot_);
  if (Waiting.Phase_ != TaskPhase::Waiting)
    return false;
  TaskName Name = TheJob.nameOf(Overdue.Slot_);
  PlacementRequest Request = requestFor(TheJob, Overdue.Slot_, Now);
  if (isOverQuota(*Overdue.Record_, Request.Step_) ||
      UnplaceableOverdue_.covers(Request))
    return false;
  std::vector<WorkerOffer> Offers;
  for (const UsableWorker &Usable : UsableWorkers_)
    if (std::optional<double> Cost = overdueCost(
            *Usable.Worker_, Request, Now - Overdue.WaitsSince_, Now)) {
      if (Usable.Worker_->Entry_.Id_ == Waiting.LastFailedWorker_)
        *Cost += RepeatedFailureCost;
      Offers.push_back({*Cost, Usable.Worker_});
    }
  std::make_heap(Offers.begin(), Offers.end());
  std::size_t PaceEstimates = 0;
  auto IsTooSlow = [&](WorkerState &Worker) {
    return findFillerObstacle(Worker, Request.Step_) &&
           (++PaceEstimates > MaxPaceEstimates ||
            expectedPacePercent(Worker, Request.Step_) == 0);
  };
  while (!Offers.empty() && IsTooSlow(*Offers.front().Worker_)) {
    std::pop_heap(Offers.begin(), Offers.end());
    Offers.pop_back();
  }
  if (Offers.empty()) {
    // One that has a run of this task could take others of the step.
    bool HasRun =
        std::any_of(UsableWorkers_.begin(), UsableWorkers_.end(),
                    [&](const UsableWorker &Usable) {
                      return Usable.Worker_->Runs_.contains(Request.TaskText_);
                    });
    if (Request.Doubt_)
      noteHeldBack(Request.TaskText_, *Request.Doubt_, Now);
    bool IsLikeOthers = Request.Step_.MaxPerWorker_ == 0 &&
                        !Request.IsNearlyGivenUp_ && !HasRun && !Request.Doubt_;
    if (IsLikeOthers)
      UnplaceableOverdue_.add(Request);
    return true;
  }
  WorkerState *Best = Offers.front().Worker_;
  double LowestCost = Offers.front().Cost_;
  bool IsOverride = LowestCost >= OverrideCost;
  // Timed tasks with a good worker are placed in the order of their jobs.
  if (!IsOverride && !Request.Step_.IsLongRunning_)
    return true;
  bool IsSlow = findFillerObstacle(*Best, Request.Step_).has_value();
  planRun(*Best, *Overdue.Record_, Name, Waiting);
  --StartsLeft_;
  if (IsSlow) {
    Best->noteSlowStart(Best->Runs_.at(Request.TaskText_));
    --SlowStartsLeft_;
  }
  UsableWorkers_[Best->UsablePosition_].Free_ -= Request.Needed_;
  if (IsOverride)
    recordEvent(LogEvent::TaskPlacedOverdue,
                {{"task", Name.text()},
                 {"worker", Best->Entry_.Id_},
                 {"waited_ms", std::to_string((Now - Overdue.WaitsSince_) /
                                              std::chrono::milliseconds(1))}});
  return true;
}

std::optional<double>
Scheduler::Impl::overdueCost(WorkerState &Worker,
                             const PlacementRequest &Request, Duration Wait,
                             TimePoint Now) const {
  if (findObstacle(Worker, Request, Now, Wait))
    return std::nullopt;
  std::optional<double> Cost = placementCost(Worker, Request.Step_);
  if (!Cost)
    Cost = slowStartCost(Worker, Request.Step_, Wait);
  if (!Cost)
    return std::nullopt;
  if (findObstacle(Worker, Request, Now))
    *Cost += OverrideCost;
  return *Cost + unexplainedCrashes(Worker, Now);
}

std::optional<double> Scheduler::Impl::slowStartCost(WorkerState &Worker,
                                                     const StepSpec &Step,
                                                     Duration Wait) const {
  std::optional<Obstacle> Found = findFillerObstacle(Worker, Step);
  if (!Found || Wait < *maxWait(*Found) || SlowStartsLeft_ == 0)
    return std::nullopt;
  double Share =
      static_cast<double>(Step.Request_.MilliCpu_) / Worker.milliCpu();
  return OverrideCost + Share / headroom(Worker, Step.Image_) +
         Worker.utilizationWithFiller(Step.Request_.MilliCpu_) +
         remoteDataCost(Worker, Step);
}

int Scheduler::Impl::expectedPacePercent(const WorkerState &Worker,
                                         const StepSpec &Step) const {
  std::vector<FillerSample> Fillers = Worker.fillerSamples();
  double Share =
      static_cast<double>(Step.Request_.MilliCpu_) / Worker.milliCpu();
  Fillers.push_back({Step.Image_, Share, 100});
  return choosePaces(Model_, Worker.servingSamples(), Fillers).back();
}

} // namespace filbertspring::scheduling
