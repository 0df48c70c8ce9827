/// \file
/// The part of the scheduler that reserves workers for tasks that would
/// otherwise wait for as long as others can be placed.

#include "scheduler_impl.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace filbertspring::scheduling {
namespace {

/// How long a worker is reserved for suspected tasks. Its other runs settle
/// before.
constexpr Duration ReservationTime = std::chrono::milliseconds(2000);
constexpr Duration LongReservationTime = std::chrono::milliseconds(5000);
/// Reserved workers are at most this fraction of all, which bounds the capacity
/// that is left unused.
constexpr std::size_t ReservedDivisor = 4;
/// A task for which this time was not enough to find a worker gets a
/// reservation. Together with the time that the runs on one worker take to
/// release its request, it stays below the three seconds for which users
/// tolerate that a task waits beside free capacity.
constexpr Duration MaxWaitWithoutReservation = std::chrono::milliseconds(500);
/// A reservation whose worker is expected to release the capacity later than
/// this is compared with other workers ...
constexpr Duration LongRelease = std::chrono::milliseconds(1000);
/// ... at this interval, and moves to one that is expected to release it in
/// less than half of the time: what it has released is lost then.
constexpr Duration ReviewInterval = std::chrono::milliseconds(500);
/// The expected time of a run of which no progress is known. The reports of a
/// worker are at most this far apart.
constexpr Duration UnknownRunTime = std::chrono::milliseconds(1000);
/// Searches for a worker in one placement pass; the rest follow in the next
/// passes. Bounds the time that a pass takes while many tasks wait.
constexpr std::size_t MaxReservationSearches = 2;

/// Returns the largest fraction of \p Capacity by which \p Needed exceeds what
/// \p Used leaves of it; 0 if it fits.
double excess(const Resources &Capacity, const Resources &Used,
              const Resources &Needed) {
  auto ExcessOf = [](std::int64_t Total, std::int64_t Taken,
                     std::int64_t Wanted) {
    std::int64_t Missing = std::max<std::int64_t>(0, Taken + Wanted - Total);
    return static_cast<double>(Missing) /
           static_cast<double>(std::max<std::int64_t>(1, Total));
  };
  return std::max(
      {ExcessOf(Capacity.MilliCpu_, Used.MilliCpu_, Needed.MilliCpu_),
       ExcessOf(Capacity.MemoryMb_, Used.MemoryMb_, Needed.MemoryMb_),
       ExcessOf(Capacity.Accelerators_, Used.Accelerators_,
                Needed.Accelerators_)});
}

/// Returns the reservation of the step of \p Name, or null.
const CapacityReservation *findReservation(
    const std::unordered_map<std::string, std::vector<CapacityReservation>>
        &Reservations,
    const TaskName &Name) {
  auto Found = Reservations.find(Name.Job_);
  if (Found == Reservations.end())
    return nullptr;
  const std::vector<CapacityReservation> &Entries = Found->second;
  auto It = std::find_if(Entries.begin(), Entries.end(),
                         [&](const CapacityReservation &Entry) {
                           return Entry.Occurrence_ == Name.Occurrence_ &&
                                  Entry.Step_ == Name.Step_;
                         });
  return It == Entries.end() ? nullptr : &*It;
}

/// Returns the capacity that the long-running tasks of \p Worker use.
Resources longRunningUse(const WorkerState &Worker) {
  Resources Sum;
  for (const auto &[Text, ActiveRun] : Worker.Runs_)
    if (ActiveRun.IsLongRunning_)
      Sum += ActiveRun.Reserved_;
  return Sum;
}

/// Returns the expected time until \p ActiveRun ends, from its progress so far.
/// That of a run that is slow or suspended rises.
Duration remainingTime(const Run &ActiveRun) {
  // Less says little, and the time has to be finite.
  if (ActiveRun.Percent_ < 1)
    return std::max(ActiveRun.ListedFor_, UnknownRunTime);
  double Rest = std::max(0.0, 100 - ActiveRun.Percent_) / ActiveRun.Percent_;
  return std::chrono::duration_cast<Duration>(ActiveRun.ListedFor_ * Rest);
}

/// Returns the expected time until \p Worker has released the capacity for a
/// task of \p Request; nothing if it is not below \p Bound. \p CanStay: the
/// other fillers leave room for the task if it is a filler.
std::optional<Duration> timeUntilReleased(const WorkerState &Worker,
                                          const PlacementRequest &Request,
                                          bool CanStay, Duration Bound) {
  std::vector<std::pair<Duration, const Run *>> Ends;
  std::size_t FillersLeft = 0;
  std::size_t Endless = 0;
  for (const auto &[Text, ActiveRun] : Worker.Runs_) {
    FillersLeft += ActiveRun.IsFiller_ ? 1 : 0;
    Endless += ActiveRun.IsLongRunning_ ? 1 : 0;
    Duration Remaining = remainingTime(ActiveRun);
    if (!ActiveRun.IsLongRunning_ && Remaining < Bound)
      Ends.emplace_back(Remaining, &ActiveRun);
  }
  const StepSpec &Step = Request.Step_;
  Resources Used = Worker.Used_;
  double FillerUse = Worker.utilizationWithFiller(Step.Request_.MilliCpu_);
  auto HasRoom = [&] {
    return Worker.Entry_.Capacity_.fits(Used, Request.Needed_) &&
           (!Step.IsFiller_ || (FillerUse <= MaxFillerUtilization &&
                                (CanStay || FillersLeft == 0)));
  };
  if (HasRoom())
    return Duration::zero();
  std::sort(Ends.begin(), Ends.end());
  for (const auto &[Remaining, Ended] : Ends) {
    Used -= Ended->Reserved_;
    FillersLeft -= Ended->IsFiller_ ? 1 : 0;
    double Use = Ended->IsFiller_
                     ? static_cast<double>(Ended->RequestedMilliCpu_) *
                           std::max(0, Ended->PacePercent_) / 100.0
                     : static_cast<double>(Ended->Reserved_.MilliCpu_);
    FillerUse -= Use / Worker.milliCpu();
    if (HasRoom())
      return Remaining;
  }
  // Nothing is left but long-running tasks, beside which the task fits.
  bool IsEmpty = Ends.size() + Endless == Worker.Runs_.size();
  if (!IsEmpty)
    return std::nullopt;
  return Ends.empty() ? Duration::zero() : Ends.back().first;
}

} // namespace

bool hasWaitedForCapacity(const Task &Waiting, TimePoint Now) {
  return Now - Waiting.ReadyAt_ >= MaxWaitWithoutReservation;
}

void Scheduler::Impl::reserveWorker(const PlacementRequest &Request,
                                    TimePoint Now) {
  std::size_t Reserved = 0;
  WorkerState *Best = nullptr;
  auto IsWorse = [this, Now](const WorkerState &Left,
                             const WorkerState &Right) {
    return std::pair(unexplainedCrashes(Left, Now), Left.YoungRuns_) >
           std::pair(unexplainedCrashes(Right, Now), Right.YoungRuns_);
  };
  PlacementRequest Relaxed = Request;
  Relaxed.Isolation_ = Isolation::None;
  for (const UsableWorker &Usable : UsableWorkers_) {
    WorkerState &Worker = *Usable.Worker_;
    if (Worker.ReservedUntil_ > Now) {
      ++Reserved;
      continue;
    }
    if (isEligible(Worker, Relaxed, Now) && (!Best || IsWorse(*Best, Worker)))
      Best = &Worker;
  }
  if (Best && Reserved <= ReservableWorkers_ / ReservedDivisor)
    Best->ReservedUntil_ = Now + (Request.Isolation_ == Isolation::LongSettled
                                      ? LongReservationTime
                                      : ReservationTime);
}

void Scheduler::Impl::releaseReservations() {
  for (const auto &[Job, Entries] : Reservations_)
    for (const CapacityReservation &Entry : Entries)
      if (WorkerState *Worker = findWorker(Entry.Worker_))
        Worker->ReservedJob_.clear();
  PreviousReservations_ = std::exchange(Reservations_, {});
  ReservedWorkers_ = 0;
  ReservationSearchesLeft_ = MaxReservationSearches;
}

std::optional<CapacityRelease> Scheduler::Impl::findRelease(
    WorkerState &Worker, const PlacementRequest &Request,
    const CapacityRelease &Bound, TimePoint Now) const {
  std::optional<Obstacle> Found = findObstacle(Worker, Request, Now);
  if (Found && *Found != Obstacle::NoCapacity)
    return std::nullopt;
  const Resources &Capacity = Worker.Entry_.Capacity_;
  if (!Capacity.fits(longRunningUse(Worker), Request.Needed_))
    return std::nullopt;
  const StepSpec &Step = Request.Step_;
  double Missing = excess(Capacity, Worker.Used_, Request.Needed_);
  bool CanStay = true;
  if (Step.IsFiller_) {
    double Share =
        static_cast<double>(Step.Request_.MilliCpu_) / Worker.milliCpu();
    double Unreleased = LongRunningCpuUsage *
                        static_cast<double>(Worker.LongRunningMilliCpu_) /
                        Worker.milliCpu();
    if (Unreleased + Share > MaxFillerUtilization ||
        Share > fillerHeadroom(Model_,
                               tailRooms(Model_, Worker.servingSamples(), {}),
                               Step.Image_))
      return std::nullopt;
    double Headroom = headroom(Worker, Step.Image_);
    CanStay = Share <= Headroom;
    Missing = std::max({Missing, Share - Headroom,
                        Worker.utilizationWithFiller(Step.Request_.MilliCpu_) -
                            MaxFillerUtilization});
  }
  // One that is released at the same time may miss less.
  Duration Limit = Bound.After_ < Duration::max() ? Bound.After_ + Duration(1)
                                                  : Bound.After_;
  std::optional<Duration> After =
      timeUntilReleased(Worker, Request, CanStay, Limit);
  if (!After)
    return std::nullopt;
  CapacityRelease Release{*After, Missing};
  return Release < Bound ? std::optional(Release) : std::nullopt;
}

void Scheduler::Impl::reserveCapacity(const PlacementRequest &Request,
                                      TimePoint Now) {
  const TaskName &Name = Request.Name_;
  if (findReservation(Reservations_, Name) ||
      ReservedWorkers_ > ReservableWorkers_ / ReservedDivisor)
    return;
  constexpr CapacityRelease Unbounded{Duration::max()};
  const CapacityReservation *Previous =
      findReservation(PreviousReservations_, Name);
  WorkerState *Chosen = Previous ? findWorker(Previous->Worker_) : nullptr;
  // Another step of the job may have chosen the worker in this pass.
  std::optional<CapacityRelease> Least;
  if (Chosen && Chosen->ReservedJob_.empty())
    Least = findRelease(*Chosen, Request, Unbounded, Now);
  if (!Least)
    Chosen = nullptr;
  TimePoint NextReviewAt = Chosen ? Previous->NextReviewAt_ : Now;
  bool IsReviewed =
      !Chosen || (Least->After_ > LongRelease && NextReviewAt <= Now);
  if (IsReviewed && ReservationSearchesLeft_ > 0) {
    --ReservationSearchesLeft_;
    NextReviewAt = Now + ReviewInterval;
    CapacityRelease Bound =
        Chosen ? CapacityRelease{Least->After_ / 2} : Unbounded;
    for (const UsableWorker &Usable : UsableWorkers_) {
      if (!Usable.Worker_->ReservedJob_.empty())
        continue;
      if (std::optional<CapacityRelease> Release =
              findRelease(*Usable.Worker_, Request, Bound, Now)) {
        Chosen = Usable.Worker_;
        Bound = *Release;
      }
    }
  }
  if (!Chosen)
    return;
  Chosen->ReservedJob_ = Name.Job_;
  ++ReservedWorkers_;
  Reservations_[Name.Job_].push_back(
      {Name.Occurrence_, Name.Step_, Chosen->Entry_.Id_, NextReviewAt});
}

} // namespace filbertspring::scheduling
