#include "scheduler_impl.h"

#include <algorithm>
#include <cstdlib>

namespace filbertspring::scheduling {
namespace {

/// Failures in a row after which a worker gets no starts for a while: three
/// tasks of a sound worker fail in a row once in some thousand.
constexpr std::uint32_t QuarantineAfter = 3;
/// The first quarantine; it doubles with each further failure.
constexpr Duration FirstQuarantine = std::chrono::seconds(2);
/// The most doublings, so that a mended worker is used again.
constexpr std::uint32_t MaxDoublings = 3;
/// A failed task is not repeated at once: its cause may pass.
constexpr Duration RetryDelay = std::chrono::milliseconds(50);
/// The pause after a report with ends, unless they are stored before.
constexpr Duration UnacknowledgedPause = std::chrono::milliseconds(200);
/// The pause before a worker is asked again whether its lease is over.
constexpr Duration OverPause = std::chrono::milliseconds(100);
/// Tails are figures of half a second; they are learned from once in it.
constexpr Duration LearnPause = std::chrono::milliseconds(450);
/// A filler below this pace, in percent, is better moved ...
constexpr int SlowBelow = 50;
/// ... when it has been so for longer than a move takes: kill, report, start.
constexpr Duration SlowFor = std::chrono::milliseconds(900);
/// A filler that stands still for this long waits for a worker instead.
constexpr Duration StillFor = std::chrono::milliseconds(1500);
/// A tail that is over its target for this long stops all fillers beside it:
/// two more reports come before the four seconds that users bear.
constexpr Duration HarmedAfter = std::chrono::milliseconds(1400);
/// Changes of a pace by fewer percent are not worth an order.
constexpr int LeastPaceChange = 10;

/// Returns whether a serving task has been over its target for so long that
/// nothing may disturb it.
bool isHarmed(const WorkerState &Worker, TimePoint Now) {
  return std::any_of(
      Worker.Runs_.begin(), Worker.Runs_.end(), [Now](const auto &Entry) {
        const Run &One = Entry.second;
        return One.OverSince_ && Now - *One.OverSince_ >= HarmedAfter;
      });
}

} // namespace

void Scheduler::renewalAnswered(const std::string &Id,
                                const WorkerReport &Report, TimePoint Now) {
  WorkerState *Worker = Impl_->findWorker(Id);
  if (!Worker)
    return;
  bool IsOtherLife = Report.StartedAtMs_ != 0 &&
                     Worker->Entry_.StartedAtMs_ != 0 &&
                     Report.StartedAtMs_ != Worker->Entry_.StartedAtMs_;
  if (IsOtherLife) {
    Impl_->loseRuns(*Worker, Now, "report of a new life");
    WorkerEntry Entry = Worker->Entry_;
    Entry.StartedAtMs_ = Report.StartedAtMs_;
    bool IsListed = Worker->IsListed_;
    Impl_->beginLife(*Worker, Entry);
    Worker->IsListed_ = IsListed;
    Impl_->WorkersToStore_.insert(Id);
    return;
  }
  TimePoint SentAt = Worker->RenewalSentAt_;
  // Its runs were given up: they must be over by its own clock, too.
  if (Worker->IsOver_ && Report.ClockMs_ <= Worker->LastDeadlineMs_) {
    Worker->IsRenewing_ = false;
    Worker->NextRenewalAt_ = Now + OverPause;
    return;
  }
  bool WasReachable = Worker->isReachable() && !Worker->IsOver_;
  Worker->IsRenewing_ = false;
  Worker->NextRenewalAt_ = Now;
  Worker->IsKnown_ = true;
  Worker->IsOver_ = false;
  Worker->AcknowledgedEnd_ = Worker->SentEnd_;
  Worker->FailedRenewals_ = 0;
  Worker->ClockMs_ = Report.ClockMs_;
  Worker->ClockAt_ = Now;
  if (!WasReachable)
    Impl_->HasNewRoom_ = true;

  for (const EndedTask &Ended : Report.EndedTasks_)
    if (Ended.Number_ > Worker->NotedEnd_) {
      Impl_->noteEnd(*Worker, Ended, Now);
      Worker->NotedEnd_ = Ended.Number_;
      Impl_->HasNewEnds_ = true;
    }
  ++Worker->Reports_;
  for (const RunningTask &Running : Report.RunningTasks_)
    Impl_->noteRunning(*Worker, Running, Now);
  Impl_->dropUnlisted(*Worker, SentAt, Now);
  // Until its ends are acknowledged, a worker answers at once.
  if (Worker->NotedEnd_ > Worker->StoredEnd_)
    Worker->NextRenewalAt_ = Now + UnacknowledgedPause;
  if (Worker->Runs_.empty())
    Worker->LastIdleReport_ = Now;
  Impl_->observeTails(*Worker, Now);
}

void Scheduler::Impl::noteEnd(WorkerState &Worker, const EndedTask &Ended,
                              TimePoint Now) {
  std::string Text = Ended.Name_.text();
  auto Found = Worker.Runs_.find(Text);
  if (Found != Worker.Runs_.end() && Found->second.Number_ == Ended.Run_) {
    Worker.dropRun(Text);
    HasNewRoom_ = true;
  }
  OwnedJob *Owned = findJob(Ended.Name_.Job_);
  if (!Owned || !Owned->Job_.find(Ended.Name_))
    return;
  Owned->Job_.markStarted();
  switch (Ended.Reason_) {
  case EndReason::Done:
    return noteDone(Worker, *Owned, Ended, Now);
  case EndReason::Failed:
    return noteFailed(Worker, *Owned, Ended, Now);
  case EndReason::Stopped:
  case EndReason::LeaseExpired:
  case EndReason::GangBroken:
  case EndReason::GangIncomplete:
  case EndReason::Unknown:
    return noteInterrupted(Worker, *Owned, Ended, Now);
  }
}

void Scheduler::Impl::noteDone(WorkerState &Worker, OwnedJob &Owned,
                               const EndedTask &Ended, TimePoint Now) {
  Worker.FailureStreak_ = 0;
  if (Owned.Job_.step(Ended.Name_).IsLongRunning_) {
    requeueRun(Worker, Owned, Ended.Name_, Ended.Run_, Now, Duration::zero());
    return;
  }
  if (!Owned.Job_.complete(Ended.Name_))
    return;
  std::string Text = Ended.Name_.text();
  // A copy of the task has no more use.
  for (auto &[Id, Other] : Workers_) {
    auto Copy = Other.Runs_.find(Text);
    if (Copy != Other.Runs_.end())
      beginStop(Other, Copy->second, Now);
  }
  if (Owned.Job_.state() == JobState::Completed)
    note(LogEvent::JobFinished,
         {{"job", Ended.Name_.Job_}, {"state", "completed"}});
  jobChanged(Owned, Now);
}

void Scheduler::Impl::noteFailed(WorkerState &Worker, OwnedJob &Owned,
                                 const EndedTask &Ended, TimePoint Now) {
  bool WasFinal = isFinal(Owned.Job_.state());
  if (Owned.Job_.fail(Ended.Name_, Ended.Run_, Worker.Entry_.Id_,
                      attemptsOf(Owned.Job_))) {
    ++Worker.FailureStreak_;
    note(LogEvent::TaskFailed, {{"task", Ended.Name_.text()},
                                {"run", std::to_string(Ended.Run_)},
                                {"worker", Worker.Entry_.Id_}});
  }
  if (Worker.FailureStreak_ >= QuarantineAfter) {
    std::uint32_t Doublings =
        std::min(Worker.FailureStreak_ - QuarantineAfter, MaxDoublings);
    Worker.AvoidUntil_ = Now + FirstQuarantine * (1U << Doublings);
    note(LogEvent::WorkerQuarantined,
         {{"worker", Worker.Entry_.Id_},
          {"failures", std::to_string(Worker.FailureStreak_)}});
  }
  Owned.Job_.keepCheckpoint(Ended.Name_, Ended.Checkpoint_);
  requeueRun(Worker, Owned, Ended.Name_, Ended.Run_, Now, RetryDelay);
  if (!WasFinal && Owned.Job_.state() == JobState::Failed)
    note(LogEvent::JobFinished, {{"job", Ended.Name_.Job_},
                                 {"state", "failed"},
                                 {"task", Ended.Name_.text()}});
  jobChanged(Owned, Now);
}

void Scheduler::Impl::noteInterrupted(WorkerState &Worker, OwnedJob &Owned,
                                      const EndedTask &Ended, TimePoint Now) {
  if (!Ended.Checkpoint_.empty()) {
    Owned.Job_.keepCheckpoint(Ended.Name_, Ended.Checkpoint_);
    DirtyJobs_.insert(Ended.Name_.Job_);
  }
  requeueRun(Worker, Owned, Ended.Name_, Ended.Run_, Now, Duration::zero());
}

void Scheduler::Impl::noteRunning(WorkerState &Worker,
                                  const RunningTask &Running, TimePoint Now) {
  auto Found = Worker.Runs_.find(Running.Name_.text());
  if (Found == Worker.Runs_.end() || Found->second.Number_ != Running.Run_) {
    adopt(Worker, findJob(Running.Name_.Job_), Running, Now);
    return;
  }
  Run &Known = Found->second;
  Known.ListedIn_ = Worker.Reports_;
  if (Known.Phase_ == RunPhase::Ordered) {
    Known.Phase_ = RunPhase::Confirmed;
    Known.ConfirmedAt_ = Now;
  }
  OwnedJob *Owned = Known.IsStartNoted_ ? nullptr : findJob(Known.Name_.Job_);
  if (Owned && Owned->Job_.markStarted())
    DirtyJobs_.insert(Known.Name_.Job_);
  Known.IsStartNoted_ = true;
  if (!Running.Checkpoint_.empty())
    Known.Checkpoint_ = Running.Checkpoint_;
  Known.Percent_ = Running.Percent_;
  Known.Load_ = Running.Load_;
}

/// Takes over a run of the tenure before, or stops one that is not wanted.
void Scheduler::Impl::adopt(WorkerState &Worker, OwnedJob *Owned,
                            const RunningTask &Running, TimePoint Now) {
  Task *Known = Owned ? Owned->Job_.find(Running.Name_) : nullptr;
  Run Adopted;
  if (Known) {
    Adopted = makeRun(Owned->Job_, Running.Name_, Running.Run_);
  } else {
    // Of unknown size: the worker counts as full until it is gone.
    Adopted.Name_ = Running.Name_;
    Adopted.Number_ = Running.Run_;
    Adopted.Held_ = Worker.Entry_.Capacity_;
  }
  Adopted.Phase_ = RunPhase::Confirmed;
  Adopted.ListedIn_ = Worker.Reports_;
  Adopted.ConfirmedAt_ = Now;
  Adopted.Checkpoint_ = Running.Checkpoint_;
  bool IsWanted = Known && !isFinal(Owned->Job_.state()) &&
                  (Known->Phase_ == TaskPhase::Waiting ||
                   Known->Phase_ == TaskPhase::Blocked);
  if (IsWanted) {
    Owned->Job_.place(Running.Name_, Running.Run_, Worker.Entry_.Id_);
    Owned->Job_.markStarted();
    DirtyJobs_.insert(Running.Name_.Job_);
  } else {
    beginStop(Worker, Adopted, Now);
  }
  if (!IsWanted)
    note(LogEvent::UnwantedRunStopped, {{"task", Running.Name_.text()},
                                        {"run", std::to_string(Running.Run_)},
                                        {"worker", Worker.Entry_.Id_}});
  Worker.addRun(std::move(Adopted));
}

/// Drops confirmed runs that a later report does not list.
void Scheduler::Impl::dropUnlisted(WorkerState &Worker, TimePoint SentAt,
                                   TimePoint Now) {
  std::vector<std::string> Missing;
  for (const auto &[Text, One] : Worker.Runs_) {
    if (One.ListedIn_ == Worker.Reports_)
      continue;
    bool IsConfirmedBefore =
        One.Phase_ == RunPhase::Confirmed && One.ConfirmedAt_ < SentAt;
    bool IsStoppedBefore = One.Phase_ == RunPhase::Stopping &&
                           One.StopConfirmedAt_ &&
                           *One.StopConfirmedAt_ < SentAt;
    if (IsConfirmedBefore || IsStoppedBefore)
      Missing.push_back(Text);
  }
  for (const std::string &Text : Missing) {
    Run Gone = Worker.Runs_[Text];
    Worker.dropRun(Text);
    HasNewRoom_ = true;
    if (OwnedJob *Owned = findJob(Gone.Name_.Job_)) {
      Owned->Job_.keepCheckpoint(Gone.Name_, Gone.Checkpoint_);
      requeueRun(Worker, *Owned, Gone.Name_, Gone.Number_, Now,
                 Duration::zero());
    }
  }
}

/// Learns from the tails of a worker's serving tasks.
void Scheduler::Impl::observeTails(WorkerState &Worker, TimePoint Now) {
  std::vector<FillerShare> Fillers;
  for (const auto &[Text, One] : Worker.Runs_)
    if (One.IsFiller_ && One.Load_ > 0)
      Fillers.push_back({One.Image_, One.Load_ / Worker.milliCpu()});
  // A worker answers often while tasks end; the figures change slowly.
  if (Worker.LearnedAt_ + LearnPause > Worker.ClockAt_)
    return;
  Worker.LearnedAt_ = Worker.ClockAt_;
  Worker.Headroom_.clear();
  Worker.Flexibility_.reset();
  for (auto &[Text, One] : Worker.Runs_) {
    bool IsOver =
        One.IsLongRunning_ && One.TailLatencyTarget_ > Duration::zero() &&
        One.Load_ * std::chrono::milliseconds(1) > One.TailLatencyTarget_;
    if (!IsOver)
      One.OverSince_.reset();
    else if (!One.OverSince_)
      One.OverSince_ = Now;
  }
  for (const auto &[Text, One] : Worker.Runs_)
    if (One.IsLongRunning_ && One.Load_ > 0)
      Model_.observe(One.Image_, One.Load_, Fillers);
  pace(Worker, Now);
  moveSlowFillers(Worker, Now);
}

/// Sets the paces of a worker's fillers.
void Scheduler::Impl::pace(WorkerState &Worker, TimePoint Now) {
  std::vector<ServingSample> Serving = Worker.servingSamples();
  std::vector<FillerSample> Fillers = Worker.fillerSamples();
  std::vector<int> Paces = choosePaces(Model_, Serving, Fillers);
  if (isHarmed(Worker, Now))
    std::fill(Paces.begin(), Paces.end(), 0);
  auto Pace = Paces.begin();
  for (auto &[Text, One] : Worker.Runs_) {
    if (!One.IsFiller_)
      continue;
    int Wanted = *Pace++;
    if (Wanted >= SlowBelow)
      One.SlowSince_.reset();
    else if (!One.SlowSince_)
      One.SlowSince_ = Now;
    if (One.Phase_ != RunPhase::Confirmed)
      continue;
    bool IsSmallChange = Wanted != 0 && Wanted != 100 &&
                         std::abs(Wanted - One.PacedPercent_) < LeastPaceChange;
    if (Wanted == One.PacedPercent_ || IsSmallChange)
      continue;
    One.PacedPercent_ = Wanted;
    Actions_.emplace_back(PaceTask{Worker.Entry_.Id_, Worker.Entry_.Address_,
                                   One.Name_, One.Number_, Wanted});
  }
}

/// Moves fillers that have to be slow here to workers where they need not be.
/// A stop saves their progress.
void Scheduler::Impl::moveSlowFillers(WorkerState &Worker, TimePoint Now) {
  for (auto &[Text, One] : Worker.Runs_) {
    bool IsMovable = One.IsFiller_ && One.SavesProgress_ &&
                     One.Phase_ == RunPhase::Confirmed && One.SlowSince_ &&
                     Now - *One.SlowSince_ >= SlowFor;
    if (!IsMovable)
      continue;
    // One that stands still gives way to those that can work where it will.
    bool StandsStill =
        One.PacedPercent_ == 0 && Now - *One.SlowSince_ >= StillFor;
    if (!StandsStill && !hasBetterWorker(Worker, One, Now))
      continue;
    OwnedJob *Owned = findJob(One.Name_.Job_);
    if (!Owned)
      continue;
    Owned->Job_.find(One.Name_)->LastFailedWorker_ = Worker.Entry_.Id_;
    beginStop(Worker, One, Now);
    // One at a time: the others may be faster without it.
    return;
  }
}

} // namespace filbertspring::scheduling
