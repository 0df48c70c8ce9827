#include "scheduler_impl.h"

namespace filbertspring::scheduling {
namespace {

/// A worker that rejected a start gets no other start for this time.
constexpr Duration AvoidAfterRefusal = std::chrono::milliseconds(1000);
/// Long enough for a report, which corrects the estimate of the worker's clock.
constexpr Duration AvoidAfterPastDeadline = std::chrono::milliseconds(100);
/// Added to a run number that a worker rejected as not higher than an ended
/// run.
constexpr std::uint64_t RunNumberIncrement = 1000;

} // namespace

Run Scheduler::Impl::makeRun(const Job &TheJob, const TaskName &Name,
                             std::uint64_t Number) const {
  const StepSpec &Step = TheJob.step(Name);
  Run Result;
  Result.Name_ = Name;
  Result.Number_ = Number;
  Result.Reserved_ = Step.Request_;
  if (Step.IsFiller_)
    Result.Reserved_.MilliCpu_ = 0;
  Result.RequestedMilliCpu_ = Step.Request_.MilliCpu_;
  Result.Workspace_ = Workspaces_.find(TheJob.accepted().Workspace_);
  Result.IsFiller_ = Step.IsFiller_;
  Result.IsLongRunning_ = Step.IsLongRunning_;
  Result.SavesProgress_ = Step.SavesProgress_;
  Result.Image_ = Step.Image_;
  Result.TailLatencyTarget_ = Step.TailLatencyTarget_;
  return Result;
}

void Scheduler::startAnswered(const std::string &Id, const TaskName &Name,
                              std::uint64_t Number, CallOutcome Outcome,
                              TimePoint Now,
                              std::optional<std::int64_t> ClockMs) {
  // Whatever has become of the worker and of the run since.
  if (Outcome == CallOutcome::NoAnswer)
    Impl_->DoubtfulStarts_.unanswered(Name.text(), Id, Number);
  else
    Impl_->DoubtfulStarts_.answered(Name.text(), Id, Number);
  Impl_->noteDoubt(Name, Now);
  WorkerState *Worker = Impl_->findWorker(Id);
  if (!Worker)
    return;
  if (Worker->StartsInFlight_ > 0)
    --Worker->StartsInFlight_;
  auto It = Worker->Runs_.find(Name.text());
  if (It == Worker->Runs_.end() || It->second.Number_ != Number)
    return;
  Run &Target = It->second;
  if (Target.StartsOpen_ > 0)
    --Target.StartsOpen_;
  if (Outcome == CallOutcome::NoAnswer)
    Target.HasUnansweredStart_ = true;
  // The worker has restarted since. Its first complete report decides.
  if (Outcome != CallOutcome::Accepted && Worker->isFenced(Target))
    return;
  JobRecord *Record = Impl_->findJob(Name.Job_);
  // The worker does not have the run, so the task can be placed again.
  auto ReleaseRun = [&](Duration Avoid) {
    Worker->AvoidUntil_ = std::max(Worker->AvoidUntil_, Now + Avoid);
    Worker->dropRun(Name.text());
    if (Record)
      Impl_->returnUnstarted(*Worker, *Record, Name, Number);
  };
  // The previous start command for this run may have been executed.
  bool MayHaveStarted = Target.StartsSent_ > 1 &&
                        Outcome != CallOutcome::Accepted &&
                        Outcome != CallOutcome::RejectedStaleToken;
  if (MayHaveStarted && Outcome == CallOutcome::RejectedOldRun) {
    // It was executed and the run has ended: the next report lists the end.
    Target.Phase_ = RunPhase::Confirmed;
    Target.ConfirmedAt_ = Now;
    return;
  }
  if (MayHaveStarted)
    return Impl_->requestStop(*Worker, Target, Now);
  switch (Outcome) {
  case CallOutcome::Accepted:
    if (ClockMs && Worker->isClockBehind(*ClockMs, Target.StartSentAt_,
                                         Impl_->Settings_.ClockDrift_))
      Worker->EarlierCommands_.presentExecutedOnOtherClock(Now);
    if (Target.Phase_ == RunPhase::StartSent) {
      Target.Phase_ = RunPhase::Confirmed;
      Target.ConfirmedAt_ = Now;
      if (Record && Record->Job_.markStarted())
        Impl_->DirtyJobs_.add(Name.Job_);
      if (Target.IsFiller_)
        Impl_->updatePaces(*Worker, Now);
    }
    return;
  case CallOutcome::RejectedStaleToken:
    Impl_->IsFenced_ = true;
    return ReleaseRun(AvoidAfterRefusal);
  case CallOutcome::RejectedOldRun:
    if (Task *RejectedTask = Record ? Record->Job_.find(Name) : nullptr) {
      ReleaseRun(Duration::zero());
      RejectedTask->Progress_.LastRun_ = std::max(
          RejectedTask->Progress_.LastRun_, Number + RunNumberIncrement);
    }
    return;
  case CallOutcome::RejectedPastDeadline:
    // The estimate of the worker's clock was wrong; the next report corrects
    // it.
    return ReleaseRun(AvoidAfterPastDeadline);
  case CallOutcome::NotSent:
    Worker->LastStartAt_ = {};
    return ReleaseRun(AvoidAfterRefusal);
  case CallOutcome::Expired:
    Worker->LastStartAt_ = {};
    return ReleaseRun(Duration::zero());
  case CallOutcome::RejectedNoCapacity:
  case CallOutcome::RejectedOther:
  case CallOutcome::Unhealthy:
  case CallOutcome::OtherInstance:
    return ReleaseRun(AvoidAfterRefusal);
  case CallOutcome::NoAnswer:
    Worker->AvoidUntil_ = Now + AvoidAfterRefusal;
    if (Target.Phase_ != RunPhase::StartSent)
      return;
    // A command that is not repeated may still be executed, so a stop follows.
    // A repeat would keep the task from other workers for longer.
    if (Target.StartsSent_ < MaxStartsSent && Record &&
        Impl_->maySendStart(*Worker, Target)) {
      Impl_->sendStart(*Worker, Target, *Record, Now);
      return;
    }
    Impl_->requestStop(*Worker, Target, Now);
    return;
  }
}

void Scheduler::stopAnswered(const std::string &Id, const TaskName &Name,
                             std::uint64_t Number, CallOutcome Outcome,
                             TimePoint Now) {
  WorkerState *Worker = Impl_->findWorker(Id);
  if (!Worker)
    return;
  auto It = Worker->Runs_.find(Name.text());
  if (It == Worker->Runs_.end() || It->second.Number_ != Number)
    return;
  if (Outcome == CallOutcome::Accepted) {
    It->second.StopConfirmedAt_ = Now;
    return;
  }
  // If the worker has restarted in this tenure, it may have received the token
  // of a command of this owner.
  if (Outcome == CallOutcome::RejectedStaleToken &&
      Worker->Token_ == Impl_->fencingToken(0))
    Impl_->IsFenced_ = true;
}

void Scheduler::restoreTenureStarts(TenureStarts Starts) {
  Impl_->TenureStarts_ = std::move(Starts);
}

TimePoint Scheduler::Impl::restoredDoubtEnd(std::uint64_t LastRun) const {
  // An owner sends no start command after the next tenure has begun.
  auto Next = TenureStarts_.upper_bound(LastRun / RunsPerTenure);
  TimePoint LastSent = Next == TenureStarts_.end()
                           ? TenureStart_
                           : std::min(Next->second, TenureStart_);
  return LastSent + LateExecutionLimit;
}

void Scheduler::Impl::noteHeldBack(const std::string &Text,
                                   const StartDoubt &Doubt, TimePoint Now) {
  if (DoubtfulStarts_.noteHeldBack(Text))
    recordEvent(LogEvent::StartHeldBack,
                {{"task", Text},
                 {"worker", Doubt.Worker_},
                 {"for_ms", std::to_string((Doubt.End_ - Now) /
                                           std::chrono::milliseconds(1))}});
}

void Scheduler::Impl::noteDoubt(const TaskName &Name, TimePoint Now) {
  JobRecord *Record = findJob(Name.Job_);
  if (!Record || isFinal(Record->Job_.state()))
    return;
  std::optional<StartDoubt> Doubt = DoubtfulStarts_.find(Name.text(), Now);
  // Of two workers, a previous owner stored one.
  if (Doubt && Doubt->Worker_.empty())
    return;
  if (Record->Job_.noteDoubtfulStart(Name, Doubt ? Doubt->Worker_ : ""))
    DirtyJobs_.add(Name.Job_);
}

void Scheduler::Impl::expireDoubts(TimePoint Now) {
  for (const auto &[Text, WasHeldBack] : DoubtfulStarts_.expire(Now)) {
    if (std::optional<TaskName> Name = parseTaskName(Text))
      noteDoubt(*Name, Now);
    if (!WasHeldBack)
      continue;
    recordEvent(LogEvent::StartReleased, {{"task", Text}});
    NeedsPlacement_ = true;
  }
}

} // namespace filbertspring::scheduling
