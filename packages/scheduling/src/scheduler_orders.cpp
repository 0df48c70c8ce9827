#include "scheduler_impl.h"

namespace filbertspring::scheduling {
namespace {

/// How often a start without an answer is sent: the second finds out whether
/// the first arrived.
constexpr std::uint32_t MaxStartsSent = 2;
/// A worker that refused a start is not used for this long.
constexpr Duration AvoidAfterRefusal = std::chrono::milliseconds(1000);
/// Long enough for a report, which corrects the estimate of a clock.
constexpr Duration AvoidAfterLate = std::chrono::milliseconds(100);
/// Added to a run number that the worker called old.
constexpr std::uint64_t RunNumberJump = 1000;

} // namespace

Run Scheduler::Impl::makeRun(const Job &Owner, const TaskName &Name,
                             std::uint64_t Number) const {
  const StepSpec &Step = Owner.step(Name);
  Run Made;
  Made.Name_ = Name;
  Made.Number_ = Number;
  Made.Held_ = Step.Request_;
  if (Step.IsFiller_)
    Made.Held_.MilliCpu_ = 0;
  Made.RequestedMilliCpu_ = Step.Request_.MilliCpu_;
  Made.IsFiller_ = Step.IsFiller_;
  Made.IsLongRunning_ = Step.IsLongRunning_;
  Made.SavesProgress_ = Step.SavesProgress_;
  Made.Image_ = Step.Image_;
  Made.TailLatencyTarget_ = Step.TailLatencyTarget_;
  return Made;
}

void Scheduler::startAnswered(const std::string &Id, const TaskName &Name,
                              std::uint64_t Number, CallOutcome Outcome,
                              TimePoint Now) {
  WorkerState *Worker = Impl_->findWorker(Id);
  if (!Worker)
    return;
  if (Worker->OrdersInFlight_ > 0)
    --Worker->OrdersInFlight_;
  auto Found = Worker->Runs_.find(Name.text());
  if (Found == Worker->Runs_.end() || Found->second.Number_ != Number)
    return;
  Run &Ordered = Found->second;
  OwnedJob *Owned = Impl_->findJob(Name.Job_);
  // The run is not there: the task is free for another worker.
  auto GiveBack = [&](Duration Avoid) {
    Worker->AvoidUntil_ = std::max(Worker->AvoidUntil_, Now + Avoid);
    Worker->dropRun(Name.text());
    if (Owned)
      Impl_->requeueRun(*Worker, *Owned, Name, Number, Now, Duration::zero());
  };
  // The start before this one may have been carried out.
  bool MayHaveRun = Ordered.StartsSent_ > 1 &&
                    Outcome != CallOutcome::Accepted &&
                    Outcome != CallOutcome::RejectedStaleToken;
  if (MayHaveRun && Outcome == CallOutcome::RejectedOldRun) {
    // It was, and it ended: the next report lists the end.
    Ordered.Phase_ = RunPhase::Confirmed;
    Ordered.ConfirmedAt_ = Now;
    return;
  }
  if (MayHaveRun)
    return Impl_->beginStop(*Worker, Ordered, Now);
  switch (Outcome) {
  case CallOutcome::Accepted:
    if (Ordered.Phase_ == RunPhase::Ordered) {
      Ordered.Phase_ = RunPhase::Confirmed;
      Ordered.ConfirmedAt_ = Now;
      if (Owned && Owned->Job_.markStarted())
        Impl_->DirtyJobs_.insert(Name.Job_);
      if (Ordered.IsFiller_)
        Impl_->pace(*Worker, Now);
    }
    return;
  case CallOutcome::RejectedStaleToken:
    Impl_->IsFenced_ = true;
    return GiveBack(AvoidAfterRefusal);
  case CallOutcome::RejectedOldRun:
    if (Task *Known = Owned ? Owned->Job_.find(Name) : nullptr) {
      GiveBack(Duration::zero());
      Known->Progress_.LastRun_ =
          std::max(Known->Progress_.LastRun_, Number + RunNumberJump);
    }
    return;
  case CallOutcome::RejectedPastDeadline:
    // The estimate of the worker's clock is off; the next report mends it.
    return GiveBack(AvoidAfterLate);
  case CallOutcome::NotSent:
  case CallOutcome::RejectedNoCapacity:
  case CallOutcome::RejectedOther:
  case CallOutcome::Unhealthy:
  case CallOutcome::OtherInstance:
    return GiveBack(AvoidAfterRefusal);
  case CallOutcome::NoAnswer:
    Worker->AvoidUntil_ = Now + AvoidAfterRefusal;
    if (Ordered.Phase_ != RunPhase::Ordered)
      return;
    if (Ordered.StartsSent_ < MaxStartsSent && Owned) {
      Impl_->sendStart(*Worker, Ordered, *Owned, Now);
      return;
    }
    Impl_->beginStop(*Worker, Ordered, Now);
    return;
  }
}

void Scheduler::stopAnswered(const std::string &Id, const TaskName &Name,
                             std::uint64_t Number, CallOutcome Outcome,
                             TimePoint Now) {
  WorkerState *Worker = Impl_->findWorker(Id);
  if (!Worker)
    return;
  auto Found = Worker->Runs_.find(Name.text());
  if (Found == Worker->Runs_.end() || Found->second.Number_ != Number)
    return;
  if (Outcome == CallOutcome::Accepted) {
    Found->second.StopConfirmedAt_ = Now;
    return;
  }
  if (Outcome == CallOutcome::RejectedStaleToken)
    Impl_->IsFenced_ = true;
}

void Scheduler::paceFailed(const std::string &Id, const TaskName &Name,
                           std::uint64_t Number) {
  constexpr int UnknownPace = -1;
  WorkerState *Worker = Impl_->findWorker(Id);
  if (!Worker)
    return;
  auto Found = Worker->Runs_.find(Name.text());
  if (Found != Worker->Runs_.end() && Found->second.Number_ == Number)
    Found->second.PacedPercent_ = UnknownPace;
}

} // namespace filbertspring::scheduling
