/// \file
/// The part of the scheduler that finds the tasks which crash their workers.

#include "scheduler_impl.h"

#include <algorithm>

namespace filbertspring::scheduling {
namespace {

/// Workers of a zone or a rack that are lost within this time may have a common
/// cause, such as a loss of power.
constexpr Duration CommonCauseTime = std::chrono::milliseconds(500);
/// The smallest number of lost workers that shows a common cause.
constexpr std::size_t MinCommonLosses = 3;
/// Delay before a task that may have caused several crashes is placed again.
constexpr Duration RepeatedCrashDelay = std::chrono::milliseconds(500);
/// How long a crash without a known cause is held against its worker.
constexpr Duration UnsteadyTime = std::chrono::seconds(30);
/// A worker with more of these crashes probably crashes by itself.
constexpr std::uint32_t MaxUnexplainedCrashes = 1;
/// How long a task that may have crashed a worker waits for a worker on which
/// it is isolated. Reserved workers become available before. Less than the
/// three seconds for which users tolerate that a task waits beside free
/// capacity.
constexpr Duration MaxIsolationWait = std::chrono::milliseconds(2500);

/// Returns whether two workers may have been lost at the same time.
bool areSimultaneous(const LossTime &Left, const LossTime &Right) {
  return Left.Earliest_ < Right.Latest_ + CommonCauseTime &&
         Right.Earliest_ < Left.Latest_ + CommonCauseTime;
}

} // namespace

Duration Scheduler::Impl::crashRetryDelay(const Run &Lost) {
  JobRecord *Record = findJob(Lost.Name_.Job_);
  Task *LostTask = Record ? Record->Job_.find(Lost.Name_) : nullptr;
  bool HasSeveral = LostTask && LostTask->Progress_.CrashedWorkers_.size() > 1;
  return HasSeveral ? RepeatedCrashDelay : Duration::zero();
}

Isolation Scheduler::Impl::neededIsolation(const Task &Waiting,
                                           TimePoint Now) const {
  const TaskProgress &Progress = Waiting.Progress_;
  if (!isSuspected(Progress))
    return Isolation::None;
  TimePoint WaitsSince = std::max(Waiting.ReadyAt_, Waiting.NotBefore_);
  bool IsRepeated = isSuspectedRepeatedly(Progress);
  if (!IsRepeated && Now - WaitsSince >= MaxIsolationWait)
    return Isolation::None;
  return IsRepeated ? Isolation::LongSettled : Isolation::Settled;
}

std::uint32_t Scheduler::Impl::unexplainedCrashes(const WorkerState &Worker,
                                                  TimePoint Now) const {
  auto Crashed = UnexplainedCrashes_.find(Worker.Entry_.Id_);
  bool IsRecent = Crashed != UnexplainedCrashes_.end() &&
                  Now - Crashed->second.LastAt_ < UnsteadyTime;
  return IsRecent ? Crashed->second.Count_ : 0;
}

bool Scheduler::Impl::canIsolate(const WorkerState &Worker,
                                 TimePoint Now) const {
  return Worker.YoungRuns_ == 0 &&
         unexplainedCrashes(Worker, Now) <= MaxUnexplainedCrashes;
}

bool Scheduler::Impl::isGroupLost(const WorkerState &Crashed) const {
  if (!Crashed.CrashedAt_)
    return false;
  struct Group {
    std::size_t Known_ = 0;
    std::size_t Lost_ = 0;
  };
  const WorkerEntry &Entry = Crashed.Entry_;
  // The zone, followed by the groups of the workers with the same label, of
  // which the rack is one.
  std::vector<Group> Groups(1 + Entry.Labels_.size());
  for (const auto &[Id, Worker] : Workers_) {
    std::optional<LossTime> Loss = Worker.lossTime();
    bool IsLost = Loss && areSimultaneous(*Loss, *Crashed.CrashedAt_);
    auto CountIn = [IsLost](Group &Shared) {
      ++Shared.Known_;
      Shared.Lost_ += IsLost ? 1 : 0;
    };
    if (Worker.Entry_.Zone_ == Entry.Zone_)
      CountIn(Groups.front());
    const std::vector<std::string> &Labels = Worker.Entry_.Labels_;
    for (std::size_t Index = 0; Index < Entry.Labels_.size(); ++Index)
      if (std::find(Labels.begin(), Labels.end(), Entry.Labels_[Index]) !=
          Labels.end())
        CountIn(Groups[1 + Index]);
  }
  return std::any_of(Groups.begin(), Groups.end(), [](const Group &Shared) {
    return Shared.Lost_ >= MinCommonLosses && 2 * Shared.Lost_ > Shared.Known_;
  });
}

/// Records which tasks may have caused the crash of \p Worker, and gives up
/// those that surely did. \p Runs: what it executed, or may have executed.
void Scheduler::Impl::attributeCrash(const WorkerState &Worker,
                                     const std::vector<LostRun> &Runs,
                                     TimePoint Now) {
  std::vector<LostRun> Open;
  std::vector<CrashSuspect> Suspects;
  for (const LostRun &Lost : Runs) {
    JobRecord *Record = findJob(Lost.Name_.Job_);
    Task *LostTask = Record ? Record->Job_.find(Lost.Name_) : nullptr;
    // A task that was done on another worker since then is not the cause.
    if (!LostTask || LostTask->Progress_.IsDone_)
      continue;
    Open.push_back(Lost);
    Suspects.push_back({Lost.Maturity_, Lost.IsIsolated_,
                        LostTask->Progress_.CrashedWorkers_.size(),
                        LostTask->Progress_.IsolatedCrashes_,
                        LostTask->Progress_.Exposures_ > 0});
  }
  bool HasCommonCause = isGroupLost(Worker);
  std::erase_if(UnexplainedCrashes_, [Now](const auto &Entry) {
    return Now - Entry.second.LastAt_ >= UnsteadyTime;
  });
  // Without both, the crash was before this tenure, and is attributed with the
  // stored runs.
  bool IsKnown = Worker.HasReported_ || !Runs.empty();
  if (IsKnown && !HasCommonCause)
    UnexplainedCrashes_[Worker.Entry_.Id_] = {
        unexplainedCrashes(Worker, Now) + 1, Now};
  std::vector<CrashVerdict> Verdicts = judgeCrash(Suspects, HasCommonCause);
  for (std::size_t Index = 0; Index < Open.size(); ++Index)
    applyVerdict(Worker, Open[Index], Verdicts[Index], Now);
}

void Scheduler::Impl::applyVerdict(const WorkerState &Worker,
                                   const LostRun &Lost, CrashVerdict Verdict,
                                   TimePoint Now) {
  JobRecord &Record = *findJob(Lost.Name_.Job_);
  if (Verdict == CrashVerdict::Unlikely || isFinal(Record.Job_.state()))
    return;
  JobsWithSuspects_.insert(Lost.Name_.Job_);
  if (Verdict != CrashVerdict::Exposed)
    return recordCrash(Worker, Lost, Verdict, Now);
  Record.Job_.recordExposure(Lost.Name_);
  DirtyJobs_.add(Lost.Name_.Job_);
}

void Scheduler::Impl::recordCrash(const WorkerState &Worker,
                                  const LostRun &Lost, CrashVerdict Verdict,
                                  TimePoint Now) {
  JobRecord &Record = *findJob(Lost.Name_.Job_);
  Record.Job_.recordCrash(Lost.Name_, Worker.Entry_.Id_,
                          Verdict != CrashVerdict::Suspected);
  const std::vector<std::string> &Crashed =
      Record.Job_.find(Lost.Name_)->Progress_.CrashedWorkers_;
  std::string Crashes = std::to_string(Crashed.size());
  recordEvent(LogEvent::TaskCrashSuspected,
              {{"task", Lost.Name_.text()},
               {"run", std::to_string(Lost.Number_)},
               {"worker", Worker.Entry_.Id_},
               {"crashes", Crashes},
               {"proven", Verdict == CrashVerdict::Proven ? "1" : "0"}});
  if (Verdict == CrashVerdict::Proven) {
    for (const std::string &Id : Crashed) {
      auto It = UnexplainedCrashes_.find(Id);
      if (It != UnexplainedCrashes_.end() && --It->second.Count_ == 0)
        UnexplainedCrashes_.erase(It);
    }
    Record.Job_.giveUp(Lost.Name_);
    recordEvent(LogEvent::TaskGivenUp,
                {{"task", Lost.Name_.text()}, {"crashes", Crashes}});
    recordEvent(LogEvent::JobFinished, {{"job", Lost.Name_.Job_},
                                        {"state", "failed"},
                                        {"task", Lost.Name_.text()}});
  }
  handleJobChange(Record, Now);
}

void Scheduler::Impl::rememberLostRuns(WorkerState &Worker, TimePoint Now) {
  forgetLostRuns(Worker);
  Worker.LostRuns_ = Worker.possibleRuns();
  Worker.LostAt_ = Now;
  countPendingLosses(Worker, 1);
}

void Scheduler::Impl::forgetLostRuns(WorkerState &Worker) {
  if (Worker.LostRuns_.empty())
    return;
  countPendingLosses(Worker, -1);
  Worker.LostRuns_.clear();
  NeedsPlacement_ = true;
}

void Scheduler::Impl::countPendingLosses(const WorkerState &Worker,
                                         int Change) {
  for (const LostRun &Lost : Worker.LostRuns_) {
    JobRecord *Record = findJob(Lost.Name_.Job_);
    Task *LostTask = Record ? Record->Job_.find(Lost.Name_) : nullptr;
    if (LostTask && Lost.Maturity_ == RunMaturity::Fresh)
      LostTask->PendingLosses_ += Change;
  }
}

/// Attributes the crashes of workers whose next incarnation was registered
/// before this tenure began.
void Scheduler::Impl::attributeRestoredCrashes(TimePoint Now) {
  for (const auto &[Id, Runs] : std::exchange(RestoredCrashes_, {}))
    if (const WorkerState *Worker = findWorker(Id))
      attributeCrash(*Worker, Runs, Now);
}

/// Notes that a report lists \p Listed. A task that has worked for long is not
/// suspected any more.
void Scheduler::Impl::noteListed(WorkerState &Worker, Run &Listed,
                                 TimePoint Now) {
  if (Listed.ConfirmedAt_ == TimePoint())
    return;
  Worker.noteListed(Listed, Now - Listed.ConfirmedAt_);
  if (!Listed.IsSuspect_ ||
      maturityOf(Listed.ListedFor_) != RunMaturity::Established)
    return;
  Listed.IsSuspect_ = false;
  JobRecord *Record = findJob(Listed.Name_.Job_);
  if (!Record)
    return;
  Record->Job_.clearCrashes(Listed.Name_);
  DirtyJobs_.add(Listed.Name_.Job_);
}

} // namespace filbertspring::scheduling
