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
  Take(Impl_->DirtyJobs_, [&](const std::string &Id) {
    if (JobRecord *Record = Impl_->findJob(Id))
      Writes.Progress_.emplace_back(Id, Record->Job_.progress());
  });
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
  Impl_->EndsInFlight_.clear();
  if (!Impl_->DirtyJobs_.empty())
    return Writes;
  Impl_->HasNewEnds_ = false;
  for (const auto &[Id, Worker] : Impl_->Workers_)
    if (Worker.ProcessedEnd_ > Worker.StoredEnd_)
      Impl_->EndsInFlight_[Id] = Worker.ProcessedEnd_;
  return Writes;
}

void Scheduler::writesStored(const PendingWrites &Writes, TimePoint Now) {
  for (const auto &[Id, End] : Impl_->EndsInFlight_)
    if (WorkerState *Worker = Impl_->findWorker(Id))
      // The numbers of ends start again with each incarnation.
      if (Worker->ProcessedEnd_ >= End) {
        Worker->StoredEnd_ = std::max(Worker->StoredEnd_, End);
        Worker->NextRenewalAt_ = std::min(Worker->NextRenewalAt_, Now);
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
  for (const auto &[Id, Progress] : Writes.Progress_)
    Impl_->DirtyJobs_.insert(Id);
  for (const WorkerEntry &Entry : Writes.StoredWorkers_)
    Impl_->WorkersToStore_.insert(Entry.Id_);
  for (const std::string &Id : Writes.RemovedWorkers_)
    if (!Impl_->findWorker(Id))
      Impl_->WorkersToRemove_.insert(Id);
  for (const std::string &Id : Writes.RemovedJobs_)
    Impl_->JobsToRemove_.insert(Id);
}

} // namespace filbertspring::scheduling
