#include "filbertspring/scheduling/progress_codec.h"
#include "scheduler_impl.h"

#include <algorithm>
#include <iterator>
#include <unordered_set>

namespace filbertspring::scheduling {
namespace {

/// Rows of the journal that a transaction removes at most. More than one, so
/// that the journal becomes shorter.
constexpr std::size_t MaxRemovedJournalRows = 8;

/// The bytes that a row of the journal has in any case, so that changes are
/// stored whatever else there is.
constexpr std::size_t MinJournalBytes = 4U << 10U;
/// Upper bound of the bytes that a row of a worker or a removal takes.
constexpr std::size_t SmallRowBytes = 700;

/// The remaining room in a row of the journal.
class JournalRoom {
public:
  explicit JournalRoom(std::size_t MaxBytes)
      : Bytes_(std::min(MaxBytes, MaxRowBytes) - BraceBytes) {}

  /// Takes the changes of \p TheJob that fit. A change that fits into no row is
  /// taken alone; encodeProgress() leaves out its checkpoint.
  std::vector<std::uint32_t> take(Job &TheJob) {
    bool IsEmpty = UsedBytes_ == BraceBytes;
    std::size_t Count = 0;
    std::size_t Used = maxEncodedBytes(TheJob);
    for (std::uint32_t Slot : TheJob.changes()) {
      std::size_t Bytes =
          maxEncodedBytes(TheJob.nameOf(Slot), TheJob.at(Slot).Progress_);
      bool IsFirst = IsEmpty && Count == 0;
      if (Count == Tasks_ || (Used + Bytes > Bytes_ && !IsFirst))
        break;
      Used += Bytes;
      ++Count;
    }
    std::vector<std::uint32_t> Slots = TheJob.takeChanges(Count);
    // A job of which only the state has changed is not in the row.
    if (Slots.empty())
      return Slots;
    Tasks_ -= Count;
    Bytes_ -= std::min(Bytes_, Used);
    UsedBytes_ += Used;
    return Slots;
  }
  std::size_t usedBytes() const { return UsedBytes_; }

private:
  static constexpr std::size_t BraceBytes = 2;
  std::size_t Tasks_ = MaxJournalTasks;
  std::size_t Bytes_;
  std::size_t UsedBytes_ = BraceBytes;
};

} // namespace

bool Scheduler::hasWrites() const {
  return Impl_->HasNewEnds_ || !Impl_->DirtyJobs_.empty() ||
         !Impl_->WorkersToStore_.empty() || !Impl_->WorkersToRemove_.empty() ||
         !Impl_->JobsToRemove_.empty() || !Impl_->Snapshots_.empty();
}

PendingWrites Scheduler::takeWrites(std::size_t MaxRows, std::size_t MaxBytes) {
  PendingWrites Writes;
  Writes.Sequence_ = ++Impl_->WriteSequence_;
  WriteRoom Room{MaxRows, MaxBytes};
  auto Take = [&Room](std::set<std::string> &From, auto &&Add) {
    while (Room.fits(1, SmallRowBytes) && !From.empty()) {
      auto First = From.extract(From.begin());
      Add(First.value());
      Room.take(1, SmallRowBytes);
    }
  };
  // New workers first: no task is started on a worker that is not stored.
  Take(Impl_->WorkersToStore_, [&](const std::string &Id) {
    if (WorkerState *Worker = Impl_->findWorker(Id))
      Writes.StoredWorkers_.push_back(Worker->Entry_);
  });
  Impl_->takeChanges(Room);
  Impl_->takeSnapshots(Writes, Room);
  Take(Impl_->WorkersToRemove_,
       [&](const std::string &Id) { Writes.RemovedWorkers_.push_back(Id); });
  Take(Impl_->JobsToRemove_,
       [&](const std::string &Id) { Writes.RemovedJobs_.push_back(Id); });
  Impl_->takePlannedRuns();
  Impl_->takeStoredEnds();
  return Writes;
}

/// Takes the changes of the jobs that changed first, as many as fit into a row.
void Scheduler::Impl::takeChanges(WriteRoom &Room) {
  JobsInFlight_.clear();
  JournalRoom Row(std::max(Room.Bytes_, MinJournalBytes));
  bool IsFull = false;
  while (!IsFull) {
    std::optional<ProgressQueue::Entry> First = DirtyJobs_.takeFirst();
    if (!First)
      break;
    JobRecord *Record = findJob(First->Job_);
    if (!Record)
      continue;
    std::vector<std::uint32_t> Slots = Row.take(Record->Job_);
    IsFull = Record->Job_.hasChanges();
    if (Record->Job_.state() != Record->StoredState_)
      Snapshots_.add(First->Job_);
    // The rest of the changes keeps its place, so that no end is acknowledged
    // before it is stored.
    if (Record->Job_.hasChanges())
      DirtyJobs_.restore(*First);
    JobsInFlight_.push_back({std::move(*First), std::move(Slots)});
  }
  Room.take(0, Row.usedBytes());
}

/// Takes snapshots of jobs and the rows of the journal that become unneeded,
/// and adds the changes of all other jobs to the journal.
void Scheduler::Impl::takeSnapshots(PendingWrites &Writes, WriteRoom &Room) {
  Writes.RemovedJournalRows_ =
      Journal_.unneededRows(std::min(Room.Rows_ / 4, MaxRemovedJournalRows));
  Room.take(Writes.RemovedJournalRows_.size(), 0);
  for (const std::string &Job : Journal_.jobsToSnapshot(Room.Rows_))
    if (findJob(Job))
      Snapshots_.add(Job);
    else
      Journal_.unpin(Job);
  Writes.Journal_.Number_ = Journal_.nextNumber();
  takeSnapshotsThatFit(Writes, Room);
  std::set<std::string> Covered;
  for (const auto &[Job, Progress] : Writes.Progress_)
    Covered.insert(Job);
  for (const JobInFlight &Changed : JobsInFlight_) {
    const std::string &Id = Changed.Queued_.Job_;
    JobRecord *Record = findJob(Id);
    if (!Record || Changed.Slots_.empty() || Covered.contains(Id))
      continue;
    Record->LastJournalRow_ =
        std::max(Record->LastJournalRow_, Writes.Journal_.Number_);
    Writes.Journal_.Entries_.emplace_back(
        Id, Record->Job_.progressOf(Changed.Slots_));
  }
  if (!Writes.Journal_.Entries_.empty())
    Journal_.addRow(Writes.Journal_.Number_);
}

/// Takes the snapshots that were requested first, as many as fit.
void Scheduler::Impl::takeSnapshotsThatFit(PendingWrites &Writes,
                                           WriteRoom &Room) {
  // In every other transaction, one is taken whatever its size. If this one
  // cannot be stored, the next one holds the changes without it.
  bool MustTakeOne = Writes.Sequence_ % 2 == 0;
  SnapshotsInFlight_.clear();
  while (Room.Rows_ > 0) {
    std::optional<ProgressQueue::Entry> Taken = Snapshots_.takeFirst();
    if (!Taken)
      return;
    if (JobRecord *Record = findJob(Taken->Job_)) {
      std::vector<JobProgress> Parts = splitSnapshot(Record->Job_.progress());
      std::size_t Bytes = 0;
      for (const JobProgress &Part : Parts)
        Bytes += maxEncodedBytes(Part);
      bool IsForced = MustTakeOne && Writes.Progress_.empty();
      if (!Room.fits(Parts.size(), Bytes) && !IsForced) {
        Snapshots_.restore(*Taken);
        return;
      }
      Room.take(Parts.size(), Bytes);
      addSnapshot(Writes, Taken->Job_, std::move(Parts));
    }
    SnapshotsInFlight_.push_back(std::move(*Taken));
  }
}

/// Adds the snapshot of \p Job. All parts but the first become rows of the
/// journal.
void Scheduler::Impl::addSnapshot(PendingWrites &Writes, const std::string &Job,
                                  std::vector<JobProgress> Parts) {
  Parts.front().IncludedJournal_ = Writes.Journal_.Number_;
  Writes.Progress_.emplace_back(Job, std::move(Parts.front()));
  for (std::size_t Part = 1; Part < Parts.size(); ++Part) {
    JournalRow Rest{Journal_.nextNumber(), {}};
    Rest.Entries_.emplace_back(Job, std::move(Parts[Part]));
    Journal_.addRow(Rest.Number_);
    // If the outcome of the transaction is unknown, the stored snapshot may
    // need this row.
    Journal_.pin(Job, Rest.Number_);
    if (JobRecord *Record = findJob(Job))
      Record->LastJournalRow_ = Rest.Number_;
    Writes.SnapshotRests_.push_back(std::move(Rest));
  }
}

/// Determines the planned runs whose placement is stored with the changes that
/// were taken.
void Scheduler::Impl::takePlannedRuns() {
  PlannedRunsInFlight_.clear();
  std::unordered_set<std::string> Stored;
  for (const JobInFlight &Changed : JobsInFlight_) {
    const JobRecord *Record = findJob(Changed.Queued_.Job_);
    if (Record && !Record->Job_.hasChanges())
      Stored.insert(Changed.Queued_.Job_);
  }
  auto Kept = std::stable_partition(
      PlannedRuns_.begin(), PlannedRuns_.end(), [&](const PlannedRun &Planned) {
        return !Stored.contains(Planned.Name_.Job_);
      });
  PlannedRunsInFlight_.assign(std::make_move_iterator(Kept),
                              std::make_move_iterator(PlannedRuns_.end()));
  PlannedRuns_.erase(Kept, PlannedRuns_.end());
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
  for (const auto &[Id, Progress] : Writes.Progress_) {
    Impl_->Journal_.unpin(Id);
    if (JobRecord *Record = Impl_->findJob(Id))
      Record->StoredState_ = Progress.State_;
  }
  for (const JournalRow &Rest : Writes.SnapshotRests_)
    for (const auto &[Id, Tasks] : Rest.Entries_)
      Impl_->Journal_.pin(Id, Rest.Number_);
  for (const auto &[Id, Changes] : Writes.Journal_.Entries_)
    Impl_->Journal_.pin(Id, Writes.Journal_.Number_);
  Impl_->Journal_.rowsRemoved(Writes.RemovedJournalRows_);
  for (const auto &[Id, Ends] : Impl_->EndsInFlight_) {
    WorkerState *Worker = Impl_->findWorker(Id);
    // The numbers of ends start again with each incarnation.
    if (!Worker || Worker->Entry_.StartedAtMs_ != Ends.StartedAtMs_)
      continue;
    Worker->StoredEnd_ = std::max(Worker->StoredEnd_, Ends.LastNumber_);
    Impl_->scheduleRenewal(*Worker, std::min(Worker->NextRenewalAt_, Now));
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
    Impl_->scheduleRenewal(*Worker, std::min(Worker->NextRenewalAt_, Now));
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
  for (const JobInFlight &Changed : Impl_->JobsInFlight_) {
    JobRecord *Record = Impl_->findJob(Changed.Queued_.Job_);
    if (!Record)
      continue;
    Record->Job_.markChanged(Changed.Slots_);
    Impl_->DirtyJobs_.restore(Changed.Queued_);
  }
  for (const ProgressQueue::Entry &Taken : Impl_->SnapshotsInFlight_)
    Impl_->Snapshots_.restore(Taken);
  for (const WorkerEntry &Entry : Writes.StoredWorkers_)
    Impl_->WorkersToStore_.insert(Entry.Id_);
  for (const std::string &Id : Writes.RemovedWorkers_)
    if (!Impl_->findWorker(Id))
      Impl_->WorkersToRemove_.insert(Id);
  for (const std::string &Id : Writes.RemovedJobs_)
    if (Impl_->findJob(Id))
      Impl_->Snapshots_.add(Id);
    else
      Impl_->JobsToRemove_.insert(Id);
}

} // namespace filbertspring::scheduling
