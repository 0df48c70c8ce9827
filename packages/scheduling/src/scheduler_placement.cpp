#include "job_order.h"
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
constexpr double MixedImagesCost = 2.0;
/// Cost of a worker beside whose tasks every filler image may work, relative
/// to a full worker: such workers are left to the images that harm others.
constexpr double FlexibilityCost = 1.0;
/// A job that takes this many times its objective is worth nothing to its
/// caller.
constexpr int LateLimit = 3;
/// Cost of a worker away from the data, relative to a full worker.
constexpr double FarCost = 2.0;

/// Returns the number of serving images on \p Worker other than \p Image.
std::size_t otherImages(const WorkerState &Worker, const std::string &Image) {
  return Worker.ServingImages_.size() - Worker.ServingImages_.count(Image);
}

/// Returns how many tasks of the step of \p Name the worker holds.
std::int64_t countOfStep(const WorkerState &Worker, const TaskName &Name) {
  return std::count_if(
      Worker.Runs_.begin(), Worker.Runs_.end(), [&](const auto &Entry) {
        const TaskName &Other = Entry.second.Name_;
        return Other.Step_ == Name.Step_ &&
               Other.Occurrence_ == Name.Occurrence_ && Other.Job_ == Name.Job_;
      });
}

} // namespace

void RoomlessRequests::add(const PlacementRequest &Request) {
  const StepSpec &Step = Request.Step_;
  Known_.push_back({Request.Service_, Step.RequiredLabel_,
                    Step.IsFiller_ ? Step.Image_ : std::string(),
                    Step.Request_});
}

bool RoomlessRequests::covers(const PlacementRequest &Request) const {
  const StepSpec &Step = Request.Step_;
  std::string_view Image = Step.IsFiller_ ? Step.Image_ : std::string_view();
  return std::any_of(Known_.begin(), Known_.end(), [&](const Entry &Known) {
    return Known.Asked_.MilliCpu_ <= Step.Request_.MilliCpu_ &&
           Known.Asked_.MemoryMb_ <= Step.Request_.MemoryMb_ &&
           Known.Asked_.Accelerators_ <= Step.Request_.Accelerators_ &&
           Known.FillerImage_ == Image && Known.Service_ == Request.Service_ &&
           (Known.RequiredLabel_.empty() ||
            Known.RequiredLabel_ == Step.RequiredLabel_);
  });
}

void Scheduler::Impl::openDueSteps(TimePoint Now) {
  for (auto Next = Unopened_.begin(); Next != Unopened_.end();) {
    OwnedJob *Owned = findJob(*Next);
    if (Owned && Owned->Job_.releaseSteps(WallMs_, Now)) {
      WithWaiting_.insert(*Next);
      HasNewRoom_ = true;
    }
    bool WaitsForTime = Owned && Owned->Job_.nextDueMs() > WallMs_;
    Next = WaitsForTime ? std::next(Next) : Unopened_.erase(Next);
  }
}

void Scheduler::Impl::placeWaiting(TimePoint Now) {
  if (!HasNewRoom_ && Now < NextPlacementAt_)
    return;
  HasNewRoom_ = false;
  NextPlacementAt_ = Now + PlacementPause;

  struct Candidate {
    JobRank Rank_;
    OwnedJob *Owned_;
    const Queue *Policy_;
  };
  std::vector<Candidate> Candidates;
  for (auto Next = WithWaiting_.begin(); Next != WithWaiting_.end();) {
    OwnedJob *Owned = findJob(*Next);
    if (!Owned || Owned->Job_.waiting().empty()) {
      Next = WithWaiting_.erase(Next);
      continue;
    }
    ++Next;
    const Queue *Found = Queues_->find(Owned->Job_.accepted().Queue_);
    Candidates.push_back({rankOf(Owned->Job_, Found, Now), Owned, Found});
  }
  std::sort(Candidates.begin(), Candidates.end(),
            [](const Candidate &Left, const Candidate &Right) {
              return Left.Rank_ < Right.Rank_;
            });
  Roomless_.clear();
  for (const Candidate &Next : Candidates)
    placeJob(*Next.Owned_, Next.Policy_, Now);
}

void Scheduler::Impl::placeJob(OwnedJob &Owned, const Queue *Policy,
                               TimePoint Now) {
  Job &Owner = Owned.Job_;
  const std::string &Service =
      Policy ? Policy->Service_ : Owner.accepted().Service_;
  // Copied, since placing removes from the set.
  std::vector<std::uint32_t> Slots;
  for (std::uint32_t Slot : Owner.waiting())
    if (Owner.at(Slot).NotBefore_ <= Now)
      Slots.push_back(Slot);
  auto IsOtherStep = [&Owner](std::uint32_t Left, std::uint32_t Right) {
    TaskName First = Owner.nameOf(Left);
    TaskName Second = Owner.nameOf(Right);
    return First.Occurrence_ != Second.Occurrence_ ||
           First.Step_ != Second.Step_;
  };
  for (auto Begin = Slots.begin(); Begin != Slots.end();) {
    auto End = std::find_if(Begin, Slots.end(), [&](std::uint32_t Slot) {
      return IsOtherStep(*Begin, Slot);
    });
    placeStep(Owned, Service, {Begin, End}, Now);
    Begin = End;
  }
}

/// Places tasks of one step, which are alike, until one finds no room. Looks
/// at each worker once, and again at those that took a task.
void Scheduler::Impl::placeStep(OwnedJob &Owned, const std::string &Service,
                                std::span<const std::uint32_t> Slots,
                                TimePoint Now) {
  Job &Owner = Owned.Job_;
  TaskName First = Owner.nameOf(Slots.front());
  const StepSpec &Step = Owner.step(First);
  PlacementRequest Request{Step, Service, First, {}, Step.Request_};
  if (Step.IsFiller_)
    Request.Needed_.MilliCpu_ = 0;
  if (Roomless_.covers(Request))
    return;
  struct Offer {
    double Cost_;
    WorkerState *Worker_;
    bool operator<(const Offer &Other) const { return Cost_ > Other.Cost_; }
  };
  std::vector<Offer> Offers;
  auto Consider = [&](WorkerState &Worker) {
    if (!mayUse(Worker, Request, Now))
      return;
    if (std::optional<double> Cost = costOf(Worker, Step)) {
      Offers.push_back({*Cost, &Worker});
      std::push_heap(Offers.begin(), Offers.end());
    }
  };
  for (auto &[Id, Worker] : Workers_)
    Consider(Worker);
  // A step that may not share workers says nothing about others.
  if (Offers.empty() && Step.MaxPerWorker_ == 0)
    Roomless_.add(Request);
  for (std::uint32_t Slot : Slots) {
    TaskName Name = Owner.nameOf(Slot);
    Task &Waiting = Owner.at(Slot);
    std::string Text = Name.text();
    // Offers that other tasks of the step may take.
    std::vector<Offer> PassedOver;
    WorkerState *Chosen = nullptr;
    while (!Offers.empty() && !Chosen) {
      std::pop_heap(Offers.begin(), Offers.end());
      Offer Best = Offers.back();
      Offers.pop_back();
      // A run that may still be there must end first, and a worker on which
      // the task failed is the last choice.
      bool IsAvoided = Best.Worker_->Entry_.Id_ == Waiting.LastFailedWorker_ &&
                       !Offers.empty();
      if (IsAvoided || Best.Worker_->Runs_.contains(Text))
        PassedOver.push_back(Best);
      else
        Chosen = Best.Worker_;
    }
    for (const Offer &One : PassedOver) {
      Offers.push_back(One);
      std::push_heap(Offers.begin(), Offers.end());
    }
    if (!Chosen)
      return;
    plan(*Chosen, Owned, Name, Waiting);
    Consider(*Chosen);
  }
}

bool Scheduler::Impl::mayUse(const WorkerState &Worker,
                             const PlacementRequest &Request,
                             TimePoint Now) const {
  const WorkerEntry &Entry = Worker.Entry_;
  if (!Worker.IsListed_ || !Worker.IsStored_ || !Worker.isReachable() ||
      Worker.IsOver_ || Entry.IsDraining_ || !Worker.ClockMs_ ||
      Worker.AvoidUntil_ > Now || Worker.OrdersInFlight_ >= MaxOrdersInFlight)
    return false;
  if (!Entry.Capacity_.fits(Worker.Used_, Request.Needed_) ||
      Entry.Service_ != Request.Service_ || ClosedZones_.contains(Entry.Zone_))
    return false;
  const StepSpec &Step = Request.Step_;
  const std::vector<std::string> &Labels = Entry.Labels_;
  if (!Step.RequiredLabel_.empty() &&
      std::find(Labels.begin(), Labels.end(), Step.RequiredLabel_) ==
          Labels.end())
    return false;
  if (!Request.Text_.empty() && Worker.Runs_.contains(Request.Text_))
    return false;
  return Step.MaxPerWorker_ == 0 ||
         countOfStep(Worker, Request.Name_) < std::int64_t{Step.MaxPerWorker_};
}

double Scheduler::Impl::headroom(WorkerState &Worker,
                                 const std::string &Image) const {
  auto [Place, IsNew] = Worker.Headroom_.try_emplace(Image, 0.0);
  if (IsNew)
    Place->second = fillerHeadroom(Model_, Worker.servingSamples(),
                                   Worker.fillerSamples(), Image);
  return Place->second;
}

double Scheduler::Impl::flexibility(WorkerState &Worker) const {
  if (!Worker.Flexibility_) {
    std::vector<std::string_view> Images;
    for (const auto &[Image, Tasks] : Worker.ServingImages_)
      Images.push_back(Image);
    Worker.Flexibility_ = fillerFlexibility(Model_, Images);
  }
  return *Worker.Flexibility_;
}

/// Returns how full the worker would be: lower is better. Nothing if a filler
/// would harm what the worker serves.
std::optional<double> Scheduler::Impl::costOf(WorkerState &Worker,
                                              const StepSpec &Step) const {
  double Capacity = Worker.milliCpu();
  auto Requested = static_cast<double>(Step.Request_.MilliCpu_);
  double Cost = 0;
  if (Step.IsFiller_) {
    auto Lasting = static_cast<double>(Worker.LastingMilliCpu_);
    auto Others = static_cast<double>(Worker.Used_.MilliCpu_) - Lasting;
    double Fillers = Worker.pacedFillerMilliCpu();
    Cost = (LastingLoad * Lasting + Others + Fillers + Requested) / Capacity;
    if (Cost > MaxFillerPressure ||
        Requested / Capacity > headroom(Worker, Step.Image_))
      return std::nullopt;
    Cost += FlexibilityCost * flexibility(Worker);
  } else {
    // Packed, so that large tasks and wide steps find room.
    Cost = 1 -
           (static_cast<double>(Worker.Used_.MilliCpu_) + Requested) / Capacity;
    if (Step.IsLongRunning_)
      Cost += MixedImagesCost * otherImages(Worker, Step.Image_);
  }
  const std::vector<std::string> &Labels = Worker.Entry_.Labels_;
  if (!Step.DataRack_.empty() &&
      std::find(Labels.begin(), Labels.end(), Step.DataRack_) == Labels.end())
    Cost += FarCost;
  return Cost;
}

bool Scheduler::Impl::hasBetterWorker(const WorkerState &Present,
                                      const Run &Filler, TimePoint Now) {
  OwnedJob *Owned = findJob(Filler.Name_.Job_);
  if (!Owned)
    return false;
  const StepSpec &Step = Owned->Job_.step(Filler.Name_);
  PlacementRequest Request{Step, Present.Entry_.Service_, Filler.Name_,
                           Filler.Name_.text(), Filler.Held_};
  for (auto &[Id, Worker] : Workers_)
    if (&Worker != &Present && mayUse(Worker, Request, Now) &&
        costOf(Worker, Step))
      return true;
  return false;
}

void Scheduler::Impl::plan(WorkerState &Worker, OwnedJob &Owned,
                           const TaskName &Name, Task &Waiting) {
  constexpr std::uint64_t RunsPerTenure = 1'000'000;
  std::uint64_t Number =
      std::max(Waiting.Progress_.LastRun_, Settings_.Tenure_ * RunsPerTenure) +
      1;
  Run Planned = makeRun(Owned.Job_, Name, Number);
  Planned.ReadyAt_ = Waiting.ReadyAt_;
  Owned.Job_.place(Name, Number, Worker.Entry_.Id_);
  DirtyJobs_.insert(Name.Job_);
  Worker.addRun(std::move(Planned));
  Plans_.push_back({Worker.Entry_.Id_, Name, Number});
}

/// Orders the starts whose placement is stored.
void Scheduler::Impl::orderPlanned(TimePoint Now) {
  for (const PlannedRun &Planned : std::exchange(PlansInFlight_, {})) {
    WorkerState *Worker = findWorker(Planned.Worker_);
    OwnedJob *Owned = findJob(Planned.Name_.Job_);
    if (!Worker || !Owned)
      continue;
    auto Found = Worker->Runs_.find(Planned.Name_.text());
    if (Found == Worker->Runs_.end() ||
        Found->second.Number_ != Planned.Number_ ||
        Found->second.Phase_ != RunPhase::Planned)
      continue;
    // What kept the worker from being chosen may have come up meanwhile.
    bool IsUsable = Worker->IsListed_ && Worker->isReachable() &&
                    Worker->ClockMs_ && !Worker->Entry_.IsDraining_ &&
                    !ClosedZones_.contains(Worker->Entry_.Zone_);
    if (IsUsable) {
      Found->second.Phase_ = RunPhase::Ordered;
      sendStart(*Worker, Found->second, *Owned, Now);
      continue;
    }
    Worker->dropRun(Planned.Name_.text());
    requeueRun(*Worker, *Owned, Planned.Name_, Planned.Number_, Now,
               Duration::zero());
  }
}

/// Sends the start of \p Ordered, again if it was sent before.
void Scheduler::Impl::sendStart(WorkerState &Worker, Run &Ordered,
                                OwnedJob &Owned, TimePoint Now) {
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
  Start.Waited_ = Now - Ordered.ReadyAt_;
  Start.Payload_ = Owned.Job_.accepted().Spec_.Payload_;
  Start.DeadlineMs_ = *Worker.clockAt(Now) +
                      Settings_.StartValidity_ / std::chrono::milliseconds(1);
  Worker.LastDeadlineMs_ = std::max(Worker.LastDeadlineMs_, Start.DeadlineMs_);
  if (Task *Started = Owned.Job_.find(Ordered.Name_))
    Start.Checkpoint_ = Started->Progress_.Checkpoint_;
  Actions_.emplace_back(std::move(Start));
}

} // namespace filbertspring::scheduling
