#include "room_reservations.h"

#include "colocation_adapter.h"

#include <algorithm>

namespace filbertspring::placement {
namespace {

/// The expected end of an attempt.
struct ExpectedEnd {
  Duration Remaining_{};
  Resources Size_;
};

/// Returns how long \p Attempt is expected to run on, from its progress and its
/// declared run time.
Duration remainingTime(SchedulerCore &Core, const AttemptRef &Attempt) {
  const TrackedAttempt *Held = Core.findAttempt(Attempt);
  if (Held == nullptr) { // It was claimed by this transaction.
    const JobEntry *Job = Core.Jobs_.find(Attempt.Task_.Job_);
    return Job == nullptr ? Duration::zero() : Job->Record_.DeclaredRunTime_;
  }
  if (Held->State_ == AttemptPhase::Ended || Held->Stop_ != StopMode::None)
    return Duration::zero();
  double Remaining = (1.0 - std::min(Held->Progress_, 1.0)) *
                     static_cast<double>(Held->DeclaredRunTime_.count());
  return Duration(static_cast<Duration::rep>(Remaining));
}

} // namespace

WorkerCandidate *RackCandidates::find(const WorkerName &Name) {
  for (std::vector<WorkerCandidate> *Workers : {&Fresh_, &Stale_}) {
    auto Found = std::ranges::find(*Workers, Name, &WorkerCandidate::Name_);
    if (Found != Workers->end())
      return &*Found;
  }
  return nullptr;
}

void RoomReservations::withhold(bool Urgent) {
  for (auto Item = Rack_.Reservations_.begin();
       Item != Rack_.Reservations_.end();) {
    const JobEntry *Job = Core_.Jobs_.find(Item->first);
    WorkerCandidate *Worker = Candidates_.find(Item->second);
    bool Waits = Job != nullptr && Job->PassedOverSince_;
    if (!Waits || Worker == nullptr || Worker->Allowance_ == 0) {
      Item = Rack_.Reservations_.erase(Item);
      continue;
    }
    if (Job->Record_.Urgent_ == Urgent)
      Worker->Free_ -= Job->Record_.Size_;
    ++Item;
  }
}

std::vector<JobId> RoomReservations::jobsOf(const ContractName &Contract,
                                            bool Urgent) const {
  std::vector<JobId> Jobs;
  for (const auto &[Id, Worker] : Rack_.Reservations_) {
    const JobEntry *Job = Core_.Jobs_.find(Id);
    if (Job != nullptr && Job->Queued_ && Job->Record_.Contract_ == Contract &&
        Job->Record_.Urgent_ == Urgent)
      Jobs.push_back(Id);
  }
  return Jobs;
}

void RoomReservations::release(const JobRecord &Job) {
  auto Held = Rack_.Reservations_.find(Job.Id_);
  if (Held == Rack_.Reservations_.end())
    return;
  if (WorkerCandidate *Worker = Candidates_.find(Held->second))
    Worker->Free_ += Job.Size_;
  Rack_.Reservations_.erase(Held);
}

void RoomReservations::reserve(const JobEntry &Job) {
  if (!mayReserve(Job))
    return;
  std::optional<WorkerName> Name = firstWithRoom(Job.Record_);
  if (!Name)
    return;
  Candidates_.find(*Name)->Free_ -= Job.Record_.Size_;
  Rack_.Reservations_[Job.Record_.Id_] = *Name;
}

bool RoomReservations::mayReserve(const JobEntry &Job) const {
  // The other workers go on to serve tasks that fit at once.
  std::size_t Workers = Candidates_.Fresh_.size() + Candidates_.Stale_.size();
  return hasWaitedLong(Core_, Job) &&
         Rack_.Reservations_.size() < (Workers + 1) / 2;
}

std::optional<Duration>
RoomReservations::timeToRoom(const WorkerCandidate &Worker,
                             const Resources &Size) const {
  if (Size.fitsIn(Worker.Free_))
    return Duration::zero();
  std::vector<ExpectedEnd> Ends;
  for (const Assignment &Entry :
       Draft_.rack().findWorker(Worker.Name_)->Assignments_)
    Ends.push_back({remainingTime(Core_, Entry.Attempt_), Entry.Size_});
  std::ranges::stable_sort(Ends, {}, &ExpectedEnd::Remaining_);
  Resources Room = Worker.Free_;
  for (const ExpectedEnd &End : Ends) {
    Room += End.Size_;
    if (Size.fitsIn(Room))
      return End.Remaining_;
  }
  return std::nullopt;
}

std::optional<WorkerName>
RoomReservations::firstWithRoom(const JobRecord &Job) const {
  std::optional<WorkerName> First;
  std::optional<Duration> Shortest;
  for (const std::vector<WorkerCandidate> *Workers :
       {&Candidates_.Fresh_, &Candidates_.Stale_})
    for (const WorkerCandidate &Worker : *Workers) {
      if (Worker.Allowance_ == 0 || !admitsAlone(Core_, Worker, Job))
        continue;
      std::optional<Duration> Time = timeToRoom(Worker, Job.Size_);
      if (!Time || (Shortest && *Shortest <= *Time))
        continue;
      Shortest = Time;
      First = Worker.Name_;
    }
  return First;
}

bool hasWaitedLong(const SchedulerCore &Core, const JobEntry &Job) {
  return Job.PassedOverSince_ && Core.Now_ - *Job.PassedOverSince_ >=
                                     Core.Settings_.Timing_.ReserveAfter_;
}

} // namespace filbertspring::placement
