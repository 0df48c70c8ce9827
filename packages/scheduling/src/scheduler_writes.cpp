#include "scheduler_impl.h"

namespace filbertspring::scheduling {

bool Scheduler::hasWrites() const {
  return Impl_->HasNewEnds_ || !Impl_->DirtyJobs_.empty() ||
         !Impl_->WorkersToStore_.empty() || !Impl_->WorkersToRemove_.empty() ||
         !Impl_->JobsToRemove_.empty();
}

PendingWrites Scheduler::takeWrites(std::size_t MaxRows) {
  PendingWrites Writes;
  Writes.Sequence_ = ++Impl_->WriteSequence_;
  std::size_t Room = MaxRows;
  auto Take = [&Room](std::set<std::string> &From, auto &&Add) {
    while (Room > 0 && !From.empty()) {
      auto First = From.extract(From.begin());
      Add(First.value());
      --Room;
    }
  };
  // New workers first: no task is started on a worker that is not stored.
  Take(Impl_->WorkersToStore_, [&](const std::string &Id) {
    if (WorkerState *Worker = Impl_->findWorker(Id))
      Writes.StoredWorkers_.push_back(Worker->Entry_);
  });
  for (Impl_->JobsInFlight_.clear(); Room > 0; --Room) {
    std::optional<ProgressQueue::Entry> Taken = Impl_->DirtyJobs_.takeFirst();
    if (!Taken)
      break;
    if (JobRecord *Record = Impl_->findJob(Taken->Job_))
      Writes.Progress_.emplace_back(Taken->Job_, Record->Job_.progress());
    Impl_->JobsInFlight_.push_back(std::move(*Taken));
  }
  Take(Impl_->WorkersToRemove_,
       [&](const std::string &Id) { Writes.RemovedWorkers_.push_back(Id); });
  Take(Impl_->JobsToRemove_,
       [&](const std::string &Id) { Writes.RemovedJobs_.push_back(Id); });
  Impl_->PlannedRunsInFlight_.clear();
  std::set<std::string> Stored;
  for (const auto &[Id, Progress] : Writes.Progress_)
    Stored.insert(Id);
  for (const PlannedRun &Planned : Impl_->PlannedRuns_)
    if (Stored.contains(Planned.Name_.Job_))
      Impl_->PlannedRunsInFlight_.push_back(Planned);
  std::erase_if(Impl_->PlannedRuns_, [&](const PlannedRun &Planned) {
    return Stored.contains(Planned.Name_.Job_);
  });
  Impl_->takeStoredEnds();
  return Writes;
}

/// Determines the ends whose effect is stored once the jobs that were taken up
/// to now are stored.
void Scheduler::Impl::takeStoredEnds() {
  EndsInFlight_.clear();
  HasNewEnds_ = false;
  std::uint64_t FirstQueued = DirtyJobs_.firstPosition();
  for (const auto &[Id, Worker] : Workers_)
    for (const UnstoredEnds &Ends : Worker.UnstoredEnds_)
      if (Ends.QueuePosition_ <= FirstQueued)
        EndsInFlight_[Id] = {Ends.LastNumber_, Worker.Entry_.StartedAtMs_};
}

void Scheduler::writesStored(const PendingWrites &Writes, TimePoint Now) {
  for (const auto &[Id, Ends] : Impl_->EndsInFlight_) {
    WorkerState *Worker = Impl_->findWorker(Id);
    // The numbers of ends start again with each incarnation.
    if (!Worker || Worker->Entry_.StartedAtMs_ != Ends.StartedAtMs_)
      continue;
    Worker->StoredEnd_ = std::max(Worker->StoredEnd_, Ends.LastNumber_);
    Worker->NextRenewalAt_ = std::min(Worker->NextRenewalAt_, Now);
    while (!Worker->UnstoredEnds_.empty() &&
           Worker->UnstoredEnds_.front().LastNumber_ <= Ends.LastNumber_)
      Worker->UnstoredEnds_.pop_front();
  }
  Impl_->EndsInFlight_.clear();
  Impl_->sendPlannedStarts(Now);
  for (const WorkerEntry &Entry : Writes.StoredWorkers_) {
    WorkerState *Worker = Impl_->findWorker(Entry.Id_);
    if (!Worker || Worker->Entry_.StartedAtMs_ != Entry.StartedAtMs_)
      continue;
    Worker->IsStored_ = true;
    Worker->NextRenewalAt_ = std::min(Worker->NextRenewalAt_, Now);
    Impl_->NeedsPlacement_ = true;
  }
}

void Scheduler::writesFailed(const PendingWrites &Writes) {
  Impl_->HasNewEnds_ |= !Impl_->EndsInFlight_.empty();
  Impl_->PlannedRuns_.insert(Impl_->PlannedRuns_.end(),
                             Impl_->PlannedRunsInFlight_.begin(),
                             Impl_->PlannedRunsInFlight_.end());
  Impl_->PlannedRunsInFlight_.clear();
  Impl_->EndsInFlight_.clear();
  for (const ProgressQueue::Entry &Taken : Impl_->JobsInFlight_)
    Impl_->DirtyJobs_.restore(Taken);
  for (const WorkerEntry &Entry : Writes.StoredWorkers_)
    Impl_->WorkersToStore_.insert(Entry.Id_);
  for (const std::string &Id : Writes.RemovedWorkers_)
    if (!Impl_->findWorker(Id))
      Impl_->WorkersToRemove_.insert(Id);
  for (const std::string &Id : Writes.RemovedJobs_)
    Impl_->JobsToRemove_.insert(Id);
}

} // namespace filbertspring::scheduling
