/// \file
/// The part of the scheduler that applies the quotas and shares of workspaces.

#include "scheduler_impl.h"

#include <algorithm>

namespace filbertspring::scheduling {
namespace {

/// After less than half of a maximum has been in use for this time, it is not
/// held for a large task any more: users tolerate three seconds in which
/// nothing of a job runs then, and a start takes some time.
constexpr Duration MaxHoldBelowHalf = std::chrono::milliseconds(1500);

} // namespace

bool Scheduler::Impl::isOverQuota(const JobRecord &Record,
                                  const StepSpec &Step) const {
  const WorkspaceState &Owner = *Record.Workspace_;
  // A long-running task may not wait for timed ones.
  bool IsHeldBack = Owner.IsHeld_ && !Step.IsLongRunning_;
  return IsHeldBack || !Owner.permits(Step.Request_);
}

void Scheduler::Impl::holdQuota(JobRecord &Record, const StepSpec &Step,
                                TimePoint Now) {
  WorkspaceState &Owner = *Record.Workspace_;
  if (Owner.isBelowHalfFor(MaxHoldBelowHalf, Now))
    return;
  // Once the timed tasks have ended, there has to be enough for this one.
  if (Owner.fitsBesideLongRunning(Step.Request_))
    Owner.IsHeld_ = true;
}

void Scheduler::Impl::releaseQuotas(TimePoint Now) {
  for (const auto &Owner : Workspaces_.all()) {
    Owner->IsHeld_ = false;
    Owner->observeUse(Now);
  }
}

bool Scheduler::Impl::lacksCapacity(const JobRecord &Record,
                                    TimePoint Now) const {
  const Job &TheJob = Record.Job_;
  const std::set<std::uint32_t> &Slots = TheJob.waiting();
  return std::any_of(Slots.begin(), Slots.end(), [&](std::uint32_t Slot) {
    const Task &Waiting = TheJob.at(Slot);
    const StepSpec &Step = TheJob.step(TheJob.nameOf(Slot));
    // For a task that waits longer a worker is reserved. Those that need
    // certain workers do not wait for the rest of the capacity.
    return Step.RequiredLabel_.empty() && Step.Request_.Accelerators_ == 0 &&
           Waiting.NotBefore_ <= Now && !isHeldBack(Waiting) &&
           !hasWaitedForCapacity(Waiting, Now) && !isOverQuota(Record, Step);
  });
}

void Scheduler::Impl::placeByShares(
    const std::vector<PlacementCandidate> &Candidates, TimePoint Now) {
  Resources Total;
  for (const UsableWorker &Usable : UsableWorkers_)
    Total += Usable.Worker_->Entry_.Capacity_;
  auto ShareOf = [&Total](const WorkspaceState &Owner) {
    return weightedShare(Owner.Used_, Total, Owner.Weight_);
  };
  std::vector<double> Shares;
  for (const auto &Owner : Workspaces_.all())
    Shares.push_back(ShareOf(*Owner));
  std::vector<WaitingJob> Jobs;
  Jobs.reserve(Candidates.size());
  for (const PlacementCandidate &Waiting : Candidates) {
    const JobRecord &Record = *Waiting.Record_;
    const WorkspaceState &Owner = *Record.Workspace_;
    // Jobs without a workspace have no rate.
    bool IsBeyondRate =
        !Owner.Name_.empty() && isBeyondRate(Record.Arrival_, Owner.Weight_);
    Jobs.push_back({Waiting.Rank_, Owner.Index_, IsBeyondRate});
  }
  WorkspaceOrder Order(Jobs, std::move(Shares));
  // Services for which tasks within the rates wait. Those beyond them would
  // take each bit of capacity as it is released, so that no large task fits.
  std::set<std::string> ShortServices;
  // A task may also wait for a certain worker while most of them are free.
  std::map<std::string, bool> HasAmpleCapacity;
  auto IsShort = [&](const std::string &Service) {
    auto [It, IsNew] = HasAmpleCapacity.try_emplace(Service);
    if (IsNew)
      It->second = hasAmpleCapacity(Service);
    return !It->second;
  };
  double Share = 0;
  while (StartsLeft_ > 0) {
    std::optional<std::size_t> Next = Order.next(Share);
    if (!Next)
      return;
    JobRecord &Record = *Candidates[*Next].Record_;
    bool IsBeyondRate = Jobs[*Next].IsBeyondRate_;
    if (!IsBeyondRate || !ShortServices.contains(serviceOf(Record.Job_)))
      placeJob(Record, false, Now);
    if (!IsBeyondRate && !ShortServices.contains(serviceOf(Record.Job_)) &&
        lacksCapacity(Record, Now) && IsShort(serviceOf(Record.Job_)))
      ShortServices.insert(serviceOf(Record.Job_));
    Share = ShareOf(*Record.Workspace_);
  }
}

std::vector<WorkspaceCounts> Scheduler::workspaceCounts() const {
  std::vector<WorkspaceCounts> Result;
  std::unordered_map<const WorkspaceState *, std::size_t> Positions;
  for (const auto &Owner : Impl_->Workspaces_.all()) {
    Positions[Owner.get()] = Result.size();
    Result.push_back({Owner->Name_, Owner->IsConfigured_, Owner->Maximum_,
                      Owner->Used_, Owner->Runs_});
  }
  for (const std::string &Id : Impl_->JobsWithWaitingTasks_) {
    const JobRecord *Record = Impl_->findJob(Id);
    if (!Record)
      continue;
    WorkspaceCounts &Counts = Result[Positions.at(Record->Workspace_)];
    const Job &Waiting = Record->Job_;
    Counts.WaitingTasks_ += Waiting.waiting().size();
    if (!Waiting.waiting().empty() &&
        Impl_->isOverQuota(
            *Record, Waiting.step(Waiting.nameOf(*Waiting.waiting().begin()))))
      ++Counts.JobsAtQuota_;
  }
  return Result;
}

std::map<std::string, Resources> Scheduler::recountWorkspaces() const {
  std::map<std::string, Resources> Used;
  for (const auto &[Id, Worker] : Impl_->Workers_)
    for (const auto &[Text, ActiveRun] : Worker.Runs_)
      if (ActiveRun.Workspace_)
        Used[ActiveRun.Workspace_->Name_] += ActiveRun.requested();
  return Used;
}

} // namespace filbertspring::scheduling
