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

std::optional<double>
Scheduler::Impl::missingCapacity(WorkerState &Worker,
                                 const PlacementRequest &Request, double Bound,
                                 TimePoint Now) const {
  std::optional<Obstacle> Found = findObstacle(Worker, Request, Now);
  if (Found && *Found != Obstacle::NoCapacity)
    return std::nullopt;
  const Resources &Capacity = Worker.Entry_.Capacity_;
  const StepSpec &Step = Request.Step_;
  double Missing = excess(Capacity, Worker.Used_, Request.Needed_);
  if (Step.IsFiller_)
    Missing = std::max(Missing,
                       Worker.utilizationWithFiller(Step.Request_.MilliCpu_) -
                           MaxFillerUtilization);
  // What follows goes through the runs of the worker.
  if (Missing >= Bound ||
      !Capacity.fits(longRunningUse(Worker), Request.Needed_))
    return std::nullopt;
  if (!Step.IsFiller_)
    return Missing;
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
  Missing = std::max(Missing, Share - headroom(Worker, Step.Image_));
  return Missing < Bound ? std::optional(Missing) : std::nullopt;
}

void Scheduler::Impl::reserveCapacity(const PlacementRequest &Request,
                                      TimePoint Now) {
  const TaskName &Name = Request.Name_;
  if (findReservation(Reservations_, Name) ||
      ReservedWorkers_ > ReservableWorkers_ / ReservedDivisor)
    return;
  const CapacityReservation *Previous =
      findReservation(PreviousReservations_, Name);
  WorkerState *Chosen = Previous ? findWorker(Previous->Worker_) : nullptr;
  // Another step of the job may have chosen the worker in this pass.
  auto IsFree = [](const WorkerState &Worker) {
    return Worker.ReservedJob_.empty();
  };
  constexpr double Unbounded = std::numeric_limits<double>::infinity();
  if (Chosen &&
      !(IsFree(*Chosen) && missingCapacity(*Chosen, Request, Unbounded, Now)))
    Chosen = nullptr;
  if (!Chosen && ReservationSearchesLeft_ > 0) {
    --ReservationSearchesLeft_;
    double Least = Unbounded;
    for (const UsableWorker &Usable : UsableWorkers_) {
      if (!IsFree(*Usable.Worker_))
        continue;
      if (std::optional<double> Missing =
              missingCapacity(*Usable.Worker_, Request, Least, Now)) {
        Chosen = Usable.Worker_;
        Least = *Missing;
      }
    }
  }
  if (!Chosen)
    return;
  Chosen->ReservedJob_ = Name.Job_;
  ++ReservedWorkers_;
  Reservations_[Name.Job_].push_back(
      {Name.Occurrence_, Name.Step_, Chosen->Entry_.Id_});
}

} // namespace filbertspring::scheduling
