#include "scheduler_impl.h"

#include <algorithm>

namespace filbertspring::scheduling {
namespace {

/// Number of consecutive failures after which a worker is quarantined, that is,
/// gets no start commands for some time. On a healthy worker, three tasks in a
/// row fail about once in some thousand.
constexpr std::uint32_t QuarantineFailures = 3;
/// Duration of the first quarantine; doubles with each further failure.
constexpr Duration InitialQuarantine = std::chrono::seconds(2);
/// Limits the doublings, so that a repaired worker is used again.
constexpr std::uint32_t MaxQuarantineDoublings = 3;
/// Delay before a failed task is placed again; its cause may be transient.
constexpr Duration RetryDelay = std::chrono::milliseconds(50);
/// Delay of the next renewal after a report with ends, unless these are stored
/// earlier.
constexpr Duration UnacknowledgedReportDelay = std::chrono::milliseconds(200);
/// The rest of a lease in which a lost renewal can be repeated; with less, the
/// next renewal is not delayed.
constexpr Duration LeaseReserve = std::chrono::milliseconds(1500);
/// Interval between two renewals that are sent to find out whether the lease of
/// a worker has expired by its own clock.
constexpr Duration ExpiredRetryInterval = std::chrono::milliseconds(100);
/// Interval between two renewals of a worker that gets no lease until the
/// owner's row is written.
constexpr Duration NotedRetryInterval = std::chrono::milliseconds(100);

} // namespace

void Scheduler::renewalAnswered(const RenewLease &Renewal,
                                const WorkerReport &Report, TimePoint Now) {
  const std::string &Id = Renewal.Worker_;
  WorkerState *Worker = Impl_->findWorker(Id);
  if (!Worker || !Worker->isOutstanding(Renewal.Number_))
    return;
  bool IsOtherIncarnation = Report.StartedAtMs_ != 0 &&
                            Worker->Entry_.StartedAtMs_ != 0 &&
                            Report.StartedAtMs_ != Worker->Entry_.StartedAtMs_;
  if (IsOtherIncarnation) {
    WorkerEntry Entry = Worker->Entry_;
    Entry.StartedAtMs_ = Report.StartedAtMs_;
    Entry.Sequence_ = 0;
    // Not registered: only the registration of this incarnation shows its
    // capacity, its labels and whether it drains.
    Impl_->handleNextIncarnation(*Worker, Entry, Now, "report of a new life");
    Impl_->WorkersToStore_.insert(Id);
  }
  TimePoint SentAt = Worker->RenewalSentAt_;
  // The runs of this worker were abandoned. It is used again only when the
  // lease has also expired by its own clock.
  if (Worker->IsExpired_ && Report.ClockMs_ <= Worker->LastDeadlineMs_) {
    Worker->IsRenewing_ = false;
    Impl_->scheduleRenewal(*Worker, Now + ExpiredRetryInterval);
    return;
  }
  bool WasReachable = Worker->isReachable() && !Worker->IsExpired_;
  if (Renewal.Token_ == Worker->Token_)
    Worker->EarlierCommands_.rejectedSince(Now, Report.ClockMs_);
  Worker->IsRenewing_ = false;
  Worker->HasReported_ = true;
  Worker->HasEnded_ = false;
  Worker->IsExpired_ = false;
  Impl_->forgetLostRuns(*Worker);
  Worker->AcknowledgedEnd_ = Worker->SentAcknowledgement_;
  Worker->FailedRenewals_ = 0;
  Worker->ClockMs_ = Report.ClockMs_;
  Worker->ClockAt_ = Now;
  if (!WasReachable)
    Impl_->NeedsPlacement_ = true;

  Impl_->processEnds(*Worker, Report, Now);
  ++Worker->ReportCount_;
  for (const RunningTask &Running : Report.RunningTasks_)
    Impl_->processRunning(*Worker, Running, Now);
  Impl_->dropMissingRuns(*Worker, Report, Renewal.Token_, SentAt, Now);
  // A worker with unacknowledged ends does not delay its response.
  bool HasUnstoredEnds = Worker->ProcessedEnd_ > Worker->StoredEnd_;
  bool MayDelay =
      HasUnstoredEnds && Worker->LeaseExpiresAt_ - Now >= LeaseReserve;
  Duration Delay = MayDelay ? UnacknowledgedReportDelay : Duration::zero();
  if (Impl_->NotedWorkers_.contains(Id))
    Delay = NotedRetryInterval;
  Impl_->scheduleRenewal(*Worker, Now + Delay);
  if (Worker->Runs_.empty())
    Worker->LastIdleReportAt_ = Now;
  Impl_->observeTailLatencies(*Worker, Now);
}

void Scheduler::Impl::processEnds(WorkerState &Worker,
                                  const WorkerReport &Report, TimePoint Now) {
  std::uint64_t Before = Worker.ProcessedEnd_;
  for (const EndedTask &End : Report.EndedTasks_)
    if (End.Number_ > Worker.ProcessedEnd_) {
      processEnd(Worker, End, Now);
      Worker.ProcessedEnd_ = End.Number_;
    }
  if (Worker.ProcessedEnd_ == Before)
    return;
  HasNewEnds_ = true;
  Worker.UnstoredEnds_.push_back(
      {Worker.ProcessedEnd_, DirtyJobs_.nextPosition()});
}

void Scheduler::Impl::processEnd(WorkerState &Worker, const EndedTask &End,
                                 TimePoint Now) {
  std::string Text = End.Name_.text();
  auto It = Worker.Runs_.find(Text);
  if (It != Worker.Runs_.end() && It->second.Number_ == End.Run_) {
    noteRunEnd(Worker, It->second, End.Reason_, Now);
    Worker.dropRun(Text);
    NeedsPlacement_ = true;
  }
  JobRecord *Record = findJob(End.Name_.Job_);
  if (!Record || !Record->Job_.find(End.Name_))
    return;
  Record->Job_.markStarted();
  switch (End.Reason_) {
  case EndReason::Done:
    return processSuccess(Worker, *Record, End, Now);
  case EndReason::Failed:
    return processFailure(Worker, *Record, End, Now);
  case EndReason::Stopped:
  case EndReason::LeaseExpired:
  case EndReason::GangBroken:
  case EndReason::GangIncomplete:
  case EndReason::Unknown:
    return processInterruption(Worker, *Record, End, Now);
  }
}

void Scheduler::Impl::processSuccess(WorkerState &Worker, JobRecord &Record,
                                     const EndedTask &End, TimePoint Now) {
  Worker.FailureStreak_ = 0;
  if (Record.Job_.step(End.Name_).IsLongRunning_) {
    requeueRun(Worker, Record, End.Name_, End.Run_, Now, Duration::zero());
    return;
  }
  std::string PlacedOn = Record.Job_.find(End.Name_)->Progress_.Worker_;
  if (!Record.Job_.complete(End.Name_))
    return;
  // The run that ended may be an earlier one, which had been given up. Any
  // other copies are being stopped already.
  if (PlacedOn != Worker.Entry_.Id_)
    stopRun(PlacedOn, End.Name_, Now);
  if (Record.Job_.state() == JobState::Completed)
    recordEvent(LogEvent::JobFinished,
                {{"job", End.Name_.Job_}, {"state", "completed"}});
  handleJobChange(Record, Now);
}

void Scheduler::Impl::processFailure(WorkerState &Worker, JobRecord &Record,
                                     const EndedTask &End, TimePoint Now) {
  bool WasFinal = isFinal(Record.Job_.state());
  if (Record.Job_.fail(End.Name_, End.Run_, Worker.Entry_.Id_,
                       maxAttempts(Record.Job_))) {
    ++Worker.FailureStreak_;
    recordEvent(LogEvent::TaskFailed, {{"task", End.Name_.text()},
                                       {"run", std::to_string(End.Run_)},
                                       {"worker", Worker.Entry_.Id_}});
  }
  if (Worker.FailureStreak_ >= QuarantineFailures) {
    std::uint32_t Doublings = std::min(
        Worker.FailureStreak_ - QuarantineFailures, MaxQuarantineDoublings);
    Worker.QuarantinedUntil_ = Now + InitialQuarantine * (1U << Doublings);
    recordEvent(LogEvent::WorkerQuarantined,
                {{"worker", Worker.Entry_.Id_},
                 {"failures", std::to_string(Worker.FailureStreak_)}});
  }
  Record.Job_.keepCheckpoint(End.Name_, End.Checkpoint_);
  requeueRun(Worker, Record, End.Name_, End.Run_, Now, RetryDelay);
  if (!WasFinal && Record.Job_.state() == JobState::Failed)
    recordEvent(LogEvent::JobFinished, {{"job", End.Name_.Job_},
                                        {"state", "failed"},
                                        {"task", End.Name_.text()}});
  handleJobChange(Record, Now);
}

void Scheduler::Impl::processInterruption(WorkerState &Worker,
                                          JobRecord &Record,
                                          const EndedTask &End, TimePoint Now) {
  if (!End.Checkpoint_.empty()) {
    Record.Job_.keepCheckpoint(End.Name_, End.Checkpoint_);
    DirtyJobs_.add(End.Name_.Job_);
  }
  requeueRun(Worker, Record, End.Name_, End.Run_, Now, Duration::zero());
}

void Scheduler::Impl::processRunning(WorkerState &Worker,
                                     const RunningTask &Running,
                                     TimePoint Now) {
  auto It = Worker.Runs_.find(Running.Name_.text());
  if (It == Worker.Runs_.end() || It->second.Number_ != Running.Run_) {
    adoptRun(Worker, findJob(Running.Name_.Job_), Running, Now);
    return;
  }
  Run &ListedRun = It->second;
  ListedRun.LastListedReport_ = Worker.ReportCount_;
  if (ListedRun.Phase_ == RunPhase::StartSent) {
    ListedRun.Phase_ = RunPhase::Confirmed;
    ListedRun.ConfirmedAt_ = Now;
  }
  noteListed(Worker, ListedRun, Now);
  JobRecord *Record =
      ListedRun.IsStartRecorded_ ? nullptr : findJob(ListedRun.Name_.Job_);
  if (Record && Record->Job_.markStarted())
    DirtyJobs_.add(ListedRun.Name_.Job_);
  ListedRun.IsStartRecorded_ = true;
  if (!Running.Checkpoint_.empty())
    ListedRun.Checkpoint_ = Running.Checkpoint_;
  ListedRun.Percent_ = Running.Percent_;
  ListedRun.Load_ = Running.Load_;
}

/// Adopts a run that was started in the previous tenure, or stops it if its
/// task needs no run.
void Scheduler::Impl::adoptRun(WorkerState &Worker, JobRecord *Record,
                               const RunningTask &Running, TimePoint Now) {
  Task *RunningTarget = Record ? Record->Job_.find(Running.Name_) : nullptr;
  Run AdoptedRun;
  if (RunningTarget) {
    AdoptedRun = makeRun(Record->Job_, Running.Name_, Running.Run_);
    AdoptedRun.IsSuspect_ = isSuspected(RunningTarget->Progress_);
  } else {
    AdoptedRun.Name_ = Running.Name_;
    AdoptedRun.Number_ = Running.Run_;
    AdoptedRun.IsUnknown_ = true;
  }
  AdoptedRun.Phase_ = RunPhase::Confirmed;
  AdoptedRun.LastListedReport_ = Worker.ReportCount_;
  AdoptedRun.ConfirmedAt_ = Now;
  AdoptedRun.Checkpoint_ = Running.Checkpoint_;
  bool IsWanted = RunningTarget && !isFinal(Record->Job_.state()) &&
                  (RunningTarget->Phase_ == TaskPhase::Waiting ||
                   RunningTarget->Phase_ == TaskPhase::Blocked);
  if (IsWanted) {
    Record->Job_.place(Running.Name_, Running.Run_, Worker.Entry_.Id_);
    Record->Job_.markStarted();
    DirtyJobs_.add(Running.Name_.Job_);
  } else {
    requestStop(Worker, AdoptedRun, Now);
  }
  if (!IsWanted)
    recordEvent(LogEvent::UnwantedRunStopped,
                {{"task", Running.Name_.text()},
                 {"run", std::to_string(Running.Run_)},
                 {"worker", Worker.Entry_.Id_}});
  Worker.addRun(std::move(AdoptedRun));
}

void Scheduler::Impl::recordGivenUp(const WorkerState &Worker,
                                    const Run &GivenUp, const char *Cause,
                                    const WorkerReport *Report, TimePoint Now) {
  constexpr auto Millisecond = std::chrono::milliseconds(1);
  std::vector<std::pair<std::string, std::string>> Fields = {
      {"task", GivenUp.Name_.text()},
      {"run", std::to_string(GivenUp.Number_)},
      {"worker", Worker.Entry_.Id_},
      {"cause", Cause},
      {"starts", std::to_string(GivenUp.StartsSent_)},
      {"unanswered", GivenUp.HasUnansweredStart_ ? "1" : "0"},
      {"born", std::to_string(Worker.Entry_.StartedAtMs_)},
      {"clock_ms", std::to_string(Worker.clockAt(Now).value_or(-1))},
      {"lease_left_ms",
       std::to_string((Worker.LeaseExpiresAt_ - Now) / Millisecond)}};
  if (Report) {
    Fields.emplace_back("running",
                        std::to_string(Report->RunningTasks_.size()));
    Fields.emplace_back("ended", std::to_string(Report->EndedTasks_.size()));
    Fields.emplace_back(
        "requested_ms_ago",
        std::to_string((Now - Worker.RenewalSentAt_) / Millisecond));
  }
  recordEvent(LogEvent::RunGivenUp, std::move(Fields));
}

void Scheduler::Impl::dropMissingRuns(WorkerState &Worker,
                                      const WorkerReport &Report,
                                      std::uint64_t Token, TimePoint SentAt,
                                      TimePoint Now) {
  if (!Report.isComplete())
    return;
  std::vector<std::pair<std::string, const char *>> MissingRuns;
  for (const auto &[Text, ActiveRun] : Worker.Runs_) {
    if (ActiveRun.LastListedReport_ == Worker.ReportCount_)
      continue;
    bool IsConfirmedBefore = ActiveRun.Phase_ == RunPhase::Confirmed &&
                             ActiveRun.ConfirmedAt_ < SentAt;
    bool IsStoppedBefore = ActiveRun.Phase_ == RunPhase::Stopping &&
                           ActiveRun.StopConfirmedAt_ &&
                           *ActiveRun.StopConfirmedAt_ < SentAt;
    bool CannotStart = Token == Worker.Token_ && Worker.isFenced(ActiveRun);
    if (IsConfirmedBefore)
      MissingRuns.emplace_back(Text, "not reported");
    else if (IsStoppedBefore)
      MissingRuns.emplace_back(Text, "not reported after its stop");
    else if (CannotStart)
      MissingRuns.emplace_back(Text, "not reported by the next life");
  }
  for (const auto &[Text, Cause] : MissingRuns) {
    Run Dropped = Worker.Runs_[Text];
    recordGivenUp(Worker, Dropped, Cause, &Report, Now);
    Worker.dropRun(Text);
    NeedsPlacement_ = true;
    if (JobRecord *Record = findJob(Dropped.Name_.Job_)) {
      Record->Job_.keepCheckpoint(Dropped.Name_, Dropped.Checkpoint_);
      requeueRun(Worker, *Record, Dropped.Name_, Dropped.Number_, Now,
                 Worker.isFenced(Dropped) ? crashRetryDelay(Dropped)
                                          : Duration::zero());
    }
  }
}

} // namespace filbertspring::scheduling
