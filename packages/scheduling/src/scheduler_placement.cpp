#include "scheduler_impl.h"

#include <algorithm>

namespace filbertspring::scheduling {
namespace {

/// Starts that one worker receives side by side; more would wait in its queue.
constexpr std::uint32_t MaxOrdersInFlight = 4;
/// Placement without an event, for tasks that wait for a time to pass.
constexpr Duration PlacementPause = std::chrono::milliseconds(100);
/// The share of its request that a lasting task uses on average; the rest is
/// left to fillers.
constexpr double LastingLoad = 0.5;
/// Fillers beyond this share of a worker's processors would only slow down
/// each other.
constexpr double MaxFillerPressure = 1.0;
/// Cost of a serving task of another image on a worker, relative to a full
/// worker: tasks of one image gather, so that fillers that harm it find
/// workers without it.
constexpr double MixedImagesCost = 0.3;
/// Cost of a worker away from the data, relative to a full worker.
constexpr double FarCost = 2.0;

/// Returns the number of serving images on \p Worker other than \p Image.
std::size_t otherImages(const WorkerState &Worker, const std::string &Image) {
  std::set<std::string_view> Others;
  for (const auto &[Text, One] : Worker.Runs_)
    if (One.IsLasting_ && One.Image_ != Image)
      Others.insert(One.Image_);
  return Others.size();
}

} // namespace

void Scheduler::Impl::openDueSteps(TimePoint Now) {
  for (auto Next = Unopened_.begin(); Next != Unopened_.end();) {
    OwnedJob *Owned = findJob(*Next);
    if (Owned && Owned->Job_.openSteps(WallMs_, Now)) {
      WithWaiting_.insert(*Next);
      HasNewRoom_ = true;
    }
    bool WaitsForTime = Owned && Owned->Job_.nextDueMs() > WallMs_;
    Next = WaitsForTime ? std::next(Next) : Unopened_.erase(Next);
  }
}

bool Scheduler::Impl::allPredecessorsSeen(TimePoint /*Now*/) const {
  return std::all_of(Workers_.begin(), Workers_.end(), [](const auto &Entry) {
    return Entry.second.IsKnown_ || Entry.second.IsOver_;
  });
}

void Scheduler::Impl::placeWaiting(TimePoint Now) {
  if (!IsGateOpen_ && allPredecessorsSeen(Now)) {
    IsGateOpen_ = true;
    HasNewRoom_ = true;
  }
  if (!HasNewRoom_ && Now < NextPlacementAt_)
    return;
  HasNewRoom_ = false;
  NextPlacementAt_ = Now + PlacementPause;

  struct Candidate {
    int Priority_;
    TimePoint Due_;
    OwnedJob *Owned_;
  };
  std::vector<Candidate> Candidates;
  for (auto Next = WithWaiting_.begin(); Next != WithWaiting_.end();) {
    OwnedJob *Owned = findJob(*Next);
    if (!Owned || Owned->Job_.waiting().empty()) {
      Next = WithWaiting_.erase(Next);
      continue;
    }
    ++Next;
    if (Owned->IsRestored_ && !IsGateOpen_)
      continue;
    const AcceptedJob &Accepted = Owned->Job_.accepted();
    const Queue *Found = Queues_->find(Accepted.Queue_);
    Duration Objective{};
    if (Found && !Owned->Job_.isLasting())
      Objective = Found->TargetLatency_ +
                  std::chrono::duration_cast<Duration>(
                      Found->SlackFactor_ * remainingChain(Accepted.Spec_, 0));
    Candidates.push_back({Found ? Found->Priority_ : 0,
                          Owned->Job_.seenAt() + Objective, Owned});
  }
  std::sort(Candidates.begin(), Candidates.end(),
            [](const Candidate &Left, const Candidate &Right) {
              return std::tie(Left.Priority_, Left.Due_) <
                     std::tie(Right.Priority_, Right.Due_);
            });
  for (const Candidate &Next : Candidates) {
    // Copied, since placing removes from the set.
    std::vector<std::uint32_t> Slots(Next.Owned_->Job_.waiting().begin(),
                                     Next.Owned_->Job_.waiting().end());
    for (std::uint32_t Slot : Slots)
      placeTask(*Next.Owned_, Slot, Now);
  }
}

bool Scheduler::Impl::placeTask(OwnedJob &Owned, std::uint32_t Slot,
                                TimePoint Now) {
  Task &Waiting = Owned.Job_.at(Slot);
  if (Waiting.NotBefore_ > Now)
    return false;
  TaskName Name = Owned.Job_.nameOf(Slot);
  WorkerState *Chosen = chooseWorker(Owned.Job_, Name, Waiting, Now);
  if (!Chosen)
    return false;
  start(*Chosen, Owned, Name, Waiting, Now);
  return true;
}

bool Scheduler::Impl::mayUse(const WorkerState &Worker, const Job &Owner,
                             const TaskName &Name, TimePoint Now) const {
  const StepSpec &Step = Owner.step(Name);
  const WorkerEntry &Entry = Worker.Entry_;
  if (!Worker.IsListed_ || !Worker.IsStored_ || !Worker.isReachable() ||
      Worker.IsOver_ || Entry.IsDraining_ || !Worker.ClockMs_ ||
      Worker.AvoidUntil_ > Now || Worker.OrdersInFlight_ >= MaxOrdersInFlight)
    return false;
  const Queue *Found = Queues_->find(Owner.accepted().Queue_);
  const std::string &Service =
      Found ? Found->Service_ : Owner.accepted().Service_;
  if (Entry.Service_ != Service || ClosedZones_.contains(Entry.Zone_))
    return false;
  const std::vector<std::string> &Labels = Entry.Labels_;
  if (!Step.RequiredLabel_.empty() &&
      std::find(Labels.begin(), Labels.end(), Step.RequiredLabel_) ==
          Labels.end())
    return false;
  Resources Needed = Step.Request_;
  if (Step.IsFiller_)
    Needed.MilliCpu_ = 0;
  if (!Entry.Capacity_.fits(Worker.Used_, Needed))
    return false;
  // A run that may still be there must end first.
  if (Worker.Runs_.contains(Name.text()))
    return false;
  if (Step.MaxPerWorker_ == 0)
    return true;
  auto OfStep = std::count_if(
      Worker.Runs_.begin(), Worker.Runs_.end(), [&](const auto &Entry) {
        const TaskName &Other = Entry.second.Name_;
        return Other.Step_ == Name.Step_ &&
               Other.Occurrence_ == Name.Occurrence_ && Other.Job_ == Name.Job_;
      });
  return OfStep < std::int64_t{Step.MaxPerWorker_};
}

/// Returns how full the worker would be: lower is better. Nothing if a filler
/// would harm what the worker serves.
std::optional<double> Scheduler::Impl::costOf(const WorkerState &Worker,
                                              const StepSpec &Step) const {
  double Capacity = Worker.milliCpu();
  auto Requested = static_cast<double>(Step.Request_.MilliCpu_);
  double Cost = 0;
  if (Step.IsFiller_) {
    auto Lasting = static_cast<double>(Worker.LastingMilliCpu_);
    auto Others = static_cast<double>(Worker.Used_.MilliCpu_) - Lasting;
    auto Fillers = static_cast<double>(Worker.FillerMilliCpu_);
    Cost = (LastingLoad * Lasting + Others + Fillers + Requested) / Capacity;
    if (Cost > MaxFillerPressure ||
        !fitsBeside(Model_, Worker.servingSamples(), Worker.fillerSamples(),
                    {Step.Image_, Requested / Capacity, 100}))
      return std::nullopt;
  } else {
    Cost = (static_cast<double>(Worker.Used_.MilliCpu_) + Requested) / Capacity;
    if (Step.IsLasting_)
      Cost += MixedImagesCost * otherImages(Worker, Step.Image_);
  }
  const std::vector<std::string> &Labels = Worker.Entry_.Labels_;
  if (!Step.DataRack_.empty() &&
      std::find(Labels.begin(), Labels.end(), Step.DataRack_) == Labels.end())
    Cost += FarCost;
  return Cost;
}

WorkerState *Scheduler::Impl::chooseWorker(const Job &Owner,
                                           const TaskName &Name,
                                           const Task &Waiting, TimePoint Now) {
  const StepSpec &Step = Owner.step(Name);
  WorkerState *Best = nullptr;
  double BestCost = 0;
  for (auto &[Id, Worker] : Workers_) {
    if (!mayUse(Worker, Owner, Name, Now))
      continue;
    std::optional<double> Cost = costOf(Worker, Step);
    if (!Cost)
      continue;
    if (Id == Waiting.FailedOn_)
      *Cost += FarCost;
    if (!Best || *Cost < BestCost) {
      Best = &Worker;
      BestCost = *Cost;
    }
  }
  return Best;
}

void Scheduler::Impl::start(WorkerState &Worker, OwnedJob &Owned,
                            const TaskName &Name, Task &Waiting,
                            TimePoint Now) {
  constexpr std::uint64_t RunsPerTenure = 1'000'000;
  std::uint64_t Run =
      std::max(Waiting.LastRun_, Settings_.Tenure_ * RunsPerTenure) + 1;
  Duration Waited = Now - Waiting.ReadyAt_;
  bool WasQueued = Owned.Job_.state() == JobState::Queued;
  Owned.Job_.place(Name, Run, Worker.Entry_.Id_);
  if (WasQueued)
    DirtyJobs_.insert(Name.Job_);
  scheduling::Run Ordered = makeRun(Owned.Job_, Name, Run);
  Worker.addRun(std::move(Ordered));
  resendStart(Worker, Worker.Runs_[Name.text()], Owned, Now);
  std::get<StartTask>(Actions_.back()).Waited_ = Waited;
}

/// Sends the start of \p Ordered, again if it was sent before.
void Scheduler::Impl::resendStart(WorkerState &Worker, Run &Ordered,
                                  OwnedJob &Owned, TimePoint Now) {
  Ordered.OrderedAt_ = Now;
  ++Ordered.StartsSent_;
  ++Worker.OrdersInFlight_;
  Worker.NextRenewalAt_ = std::min(Worker.NextRenewalAt_, Now);
  Worker.LastIdleReport_ = {};
  Worker.GrantedUntil_ =
      std::max(Worker.GrantedUntil_, Now + 2 * Settings_.StartValidity_);
  StartTask Start;
  Start.Worker_ = Worker.Entry_.Id_;
  Start.Address_ = Worker.Entry_.Address_;
  Start.Name_ = Ordered.Name_;
  Start.Run_ = Ordered.Number_;
  Start.Payload_ = Owned.Job_.accepted().Spec_.Payload_;
  Start.DeadlineMs_ = *Worker.clockAt(Now) +
                      Settings_.StartValidity_ / std::chrono::milliseconds(1);
  Worker.LastDeadlineMs_ = std::max(Worker.LastDeadlineMs_, Start.DeadlineMs_);
  if (Task *Started = Owned.Job_.find(Ordered.Name_))
    Start.Checkpoint_ = Started->Progress_.Checkpoint_;
  Actions_.emplace_back(std::move(Start));
}

} // namespace filbertspring::scheduling
