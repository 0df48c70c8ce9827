/// \file
/// The part of the scheduler that notes the leases of workers which do not
/// answer, so that a successor need not assume later ones.

#include "scheduler_impl.h"

#include <algorithm>
#include <utility>

namespace filbertspring::scheduling {
namespace {

/// How long a new owner waits for the first reports of the workers before it
/// notes the others.
constexpr Duration FirstReportLimit = std::chrono::milliseconds(1500);
/// A single renewal without an answer says little.
constexpr std::uint32_t MinUnansweredRenewals = 2;

} // namespace

void Scheduler::restoreLeaseNotes(NotedLeases Noted) {
  Impl_->PredecessorNotes_ = std::move(Noted);
  for (const auto &[Id, Lease] : Impl_->PredecessorNotes_)
    Impl_->NotedWorkers_.insert(Id);
}

const NotedLease *
Scheduler::Impl::findPredecessorNote(const WorkerState &Worker) const {
  const std::string &Id = Worker.Entry_.Id_;
  auto Note = PredecessorNotes_.find(Id);
  // The note says nothing about other incarnations.
  bool IsSameIncarnation =
      Note != PredecessorNotes_.end() && Note->second.StartedAtMs_ != 0 &&
      Note->second.StartedAtMs_ == Worker.Entry_.StartedAtMs_ &&
      !IncarnationNumbers_.contains(Id);
  return IsSameIncarnation ? &Note->second : nullptr;
}

bool Scheduler::Impl::shouldBeNoted(const WorkerState &Worker,
                                    TimePoint Now) const {
  bool HasTasks = !Worker.Runs_.empty() || !Worker.LostRuns_.empty();
  if (Worker.isReachable() || !HasTasks)
    return false;
  if (NotedWorkers_.contains(Worker.Entry_.Id_))
    return true;
  if (!Worker.HasReported_)
    return AdvancedSince_ && Now - *AdvancedSince_ >= FirstReportLimit;
  return Worker.IsRenewalRefused_ ||
         Worker.FailedRenewals_ >= MinUnansweredRenewals;
}

std::vector<LeaseNote> Scheduler::noteLeases(TimePoint Now, bool MayAdd) {
  std::vector<LeaseNote> Notes;
  for (const auto &[Id, Worker] : Impl_->Workers_) {
    if (Notes.size() == MaxLeaseNotes)
      break;
    bool IsNoted = Impl_->NotedWorkers_.contains(Id);
    if (!Impl_->shouldBeNoted(Worker, Now) || !(IsNoted || MayAdd))
      continue;
    Duration Left = Impl_->lastLeaseEnd(Worker) - Now;
    Notes.push_back(
        {Id, Worker.Entry_.StartedAtMs_, std::max(Left, Duration::zero())});
    Impl_->NotedWorkers_.insert(Id);
  }
  return Notes;
}

void Scheduler::leaseNotesStored(const std::vector<LeaseNote> &Notes,
                                 TimePoint Now) {
  std::set<std::string> Before = std::move(Impl_->NotedWorkers_);
  Impl_->NotedWorkers_.clear();
  for (const LeaseNote &Note : Notes)
    Impl_->NotedWorkers_.insert(Note.Worker_);
  for (const std::string &Id : Before) {
    WorkerState *Worker = Impl_->findWorker(Id);
    if (!Worker || Impl_->NotedWorkers_.contains(Id))
      continue;
    Impl_->scheduleRenewal(*Worker, std::min(Worker->NextRenewalAt_, Now));
    Impl_->NeedsPlacement_ = true;
  }
}

TimePoint Scheduler::earlierGrantsEnd() const {
  // A worker that has answered rejects the commands of previous owners.
  TimePoint End{};
  for (const auto &[Id, Worker] : Impl_->Workers_)
    if (!Worker.HasReported_ && !Worker.Runs_.empty())
      End = std::max(End, Impl_->lastLeaseEnd(Worker));
  Duration Lease =
      Impl_->leaseEnd(Impl_->Settings_.LeaseDuration_, {}) - TimePoint();
  return End - Lease;
}

bool Scheduler::mustUpdateLeaseNotes(TimePoint Now, bool MayAdd) const {
  const std::set<std::string> &Noted = Impl_->NotedWorkers_;
  bool HasRoom = MayAdd && Noted.size() < MaxLeaseNotes;
  return std::any_of(
      Impl_->Workers_.begin(), Impl_->Workers_.end(), [&](const auto &Entry) {
        const auto &[Id, Worker] = Entry;
        return Noted.contains(Id)
                   ? Worker.isReachable()
                   : HasRoom && Impl_->shouldBeNoted(Worker, Now);
      });
}

} // namespace filbertspring::scheduling
