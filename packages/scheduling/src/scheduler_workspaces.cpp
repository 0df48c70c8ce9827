/// \file
/// The part of the scheduler that applies the quotas of workspaces.

#include "scheduler_impl.h"

#include <algorithm>

namespace filbertspring::scheduling {

bool Scheduler::Impl::isOverQuota(const JobRecord &Record,
                                  const StepSpec &Step) const {
  const WorkspaceState *Owner = Record.Workspace_;
  if (!Owner)
    return false;
  // A long-running task may not wait for timed ones.
  bool IsHeldBack = Owner->IsHeld_ && !Step.IsLongRunning_;
  return IsHeldBack || !Owner->permits(Step.Request_);
}

void Scheduler::Impl::holdQuota(JobRecord &Record, const StepSpec &Step) {
  WorkspaceState &Owner = *Record.Workspace_;
  // Once the timed tasks have ended, there has to be enough for this one.
  if (Owner.fitsBesideLongRunning(Step.Request_))
    Owner.IsHeld_ = true;
}

void Scheduler::Impl::releaseQuotas() {
  for (const auto &Owner : Workspaces_.all())
    Owner->IsHeld_ = false;
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
    if (!Record || !Record->Workspace_)
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
