/// \file
/// The part of the scheduler that keeps fillers from harming the serving tasks
/// beside them.

#include "scheduler_impl.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace filbertspring::scheduling {
namespace {

/// Reported tail latencies cover half a second, so each half second is used
/// only once.
constexpr Duration MinModelUpdateInterval = std::chrono::milliseconds(450);
/// A filler below this pace is moved to another worker ...
constexpr int SlowPacePercent = 50;
/// ... after this time, which is longer than a move takes (kill, report,
/// start).
constexpr Duration MinSlowTime = std::chrono::milliseconds(900);
/// A filler with a pace of 0 for this long is stopped even if no other worker
/// is available.
constexpr Duration MaxSuspendedTime = std::chrono::milliseconds(1500);
/// After a serving task has been over its target for this long, all fillers
/// beside it are suspended. Before the four seconds that users tolerate have
/// passed, there is also time for the report that first shows it (1 s and the
/// half second that it covers), for a command that is lost (0.6 s) and for a
/// pace to come into force (0.1 s).
constexpr Duration MaxOverTargetTime = std::chrono::milliseconds(1300);
/// Interval between two pace commands for one run of which the first failed.
constexpr Duration PaceRetryInterval = std::chrono::milliseconds(300);
/// A suspended filler that is reported to work after this time did not get the
/// command, or a delayed one after it. Longer than a pace takes to come into
/// force and to fill the half second that a report covers.
constexpr Duration SuspensionCheckTime = std::chrono::milliseconds(1000);
/// Smaller changes of a pace, in percent of full speed, are not sent. Reports
/// vary, so most increases are taken back by the next report.
constexpr int MinPaceChange = 10;
constexpr int MinPartialPaceIncrease = 20;
/// The pace of a filler whose last pace command may not have been executed.
constexpr int UnknownPace = -1;
/// Maximum number of fillers in a log record.
constexpr std::size_t MaxLoggedFillers = 8;

/// Returns whether the change of a pace is too small to be sent.
bool isSmallChange(int Present, int New) {
  bool IsPartialIncrease = New > Present && New < 100;
  return std::abs(New - Present) <
         (IsPartialIncrease ? MinPartialPaceIncrease : MinPaceChange);
}

/// Returns the serving task on \p Worker that has been over its target for too
/// long, if there is one.
const Run *findHarmed(const WorkerState &Worker, TimePoint Now) {
  for (const auto &[Text, ActiveRun] : Worker.Runs_)
    if (ActiveRun.Target_.isOverFor(MaxOverTargetTime, Now))
      return &ActiveRun;
  return nullptr;
}

/// Returns the fillers on \p Worker with their paces, for logs.
std::string describeFillers(const WorkerState &Worker) {
  std::string Description;
  std::size_t Fillers = 0;
  for (const auto &[Text, ActiveRun] : Worker.Runs_)
    if (ActiveRun.IsFiller_ && ++Fillers <= MaxLoggedFillers)
      Description += (Description.empty() ? "" : " ") + Text + "=" +
                     std::to_string(ActiveRun.PacePercent_);
  if (Fillers > MaxLoggedFillers)
    Description += " and " + std::to_string(Fillers - MaxLoggedFillers);
  return Description;
}

} // namespace

/// Updates the interference model and the paces from the tail latencies that a
/// worker reported.
void Scheduler::Impl::observeTailLatencies(WorkerState &Worker, TimePoint Now) {
  // While tasks end, reports are more frequent than new tail latencies.
  if (Worker.ModelUpdatedAt_ + MinModelUpdateInterval > Worker.ClockAt_)
    return;
  Worker.ModelUpdatedAt_ = Worker.ClockAt_;
  Worker.TailRooms_.reset();
  Worker.Flexibility_.reset();
  std::vector<FillerShare> Fillers;
  for (const auto &[Text, ActiveRun] : Worker.Runs_)
    if (ActiveRun.IsFiller_ && ActiveRun.Load_ > 0)
      Fillers.push_back(
          {ActiveRun.Image_, ActiveRun.Load_ / Worker.milliCpu()});
  for (auto &[Text, ActiveRun] : Worker.Runs_)
    if (ActiveRun.IsLongRunning_) {
      if (ActiveRun.Load_ > 0)
        Model_.observe(ActiveRun.Image_, ActiveRun.Load_, Fillers);
      ActiveRun.Target_.observe(ActiveRun.Load_, ActiveRun.TailLatencyTarget_,
                                Now);
    }
  Worker.refreshOverTarget();
  if (Worker.OverTargetSince_)
    WorkersOverTarget_.insert(Worker.Entry_.Id_);
  noteWorkingSuspended(Worker, Now);
  suspendFillers(Worker, Now);
  updatePaces(Worker, Now);
  migrateSlowFillers(Worker, Now);
}

/// Forgets the paces of suspended fillers that work nevertheless.
void Scheduler::Impl::noteWorkingSuspended(WorkerState &Worker, TimePoint Now) {
  if (!Worker.AreFillersSuspended_)
    return;
  for (auto &[Text, ActiveRun] : Worker.Runs_)
    if (ActiveRun.IsFiller_ && ActiveRun.PacePercent_ == 0 &&
        ActiveRun.Load_ > 0 &&
        Now - ActiveRun.PaceSentAt_ >= SuspensionCheckTime)
      ActiveRun.PacePercent_ = UnknownPace;
}

/// Suspends the fillers of \p Worker if a serving task has been over its target
/// for too long, until it has recovered, and repeats commands that failed.
void Scheduler::Impl::suspendFillers(WorkerState &Worker, TimePoint Now) {
  if (!Worker.OverTargetSince_)
    Worker.AreFillersSuspended_ = false;
  const Run *Harmed = Worker.OverTargetSince_ && !Worker.AreFillersSuspended_
                          ? findHarmed(Worker, Now)
                          : nullptr;
  if (Harmed) {
    Worker.AreFillersSuspended_ = true;
    if (Worker.FillerMilliCpu_ > 0)
      recordEvent(
          LogEvent::TaskOverTarget,
          {{"task", Harmed->Name_.text()},
           {"worker", Worker.Entry_.Id_},
           {"over_ms", std::to_string((Now - *Harmed->Target_.overSince()) /
                                      std::chrono::milliseconds(1))},
           {"tail_ms", std::to_string(std::lround(Harmed->Load_))},
           {"target_ms", std::to_string(Harmed->TailLatencyTarget_ /
                                        std::chrono::milliseconds(1))},
           {"fillers", describeFillers(Worker)}});
  }
  if (!Worker.AreFillersSuspended_)
    return;
  for (auto &[Text, ActiveRun] : Worker.Runs_)
    if (ActiveRun.IsFiller_ && ActiveRun.Phase_ == RunPhase::Confirmed &&
        ActiveRun.PacePercent_ != 0 &&
        Now - ActiveRun.PaceSentAt_ >= PaceRetryInterval)
      sendPace(Worker, ActiveRun, 0, Now);
}

/// Suspends fillers also while no reports arrive.
void Scheduler::Impl::suspendDueFillers(TimePoint Now) {
  std::erase_if(WorkersOverTarget_, [&](const std::string &Id) {
    WorkerState *Worker = findWorker(Id);
    if (!Worker)
      return true;
    suspendFillers(*Worker, Now);
    return !Worker->OverTargetSince_;
  });
}

void Scheduler::Impl::sendPace(WorkerState &Worker, Run &Target,
                               int PacePercent, TimePoint Now) {
  Target.PacePercent_ = PacePercent;
  Target.PaceSentAt_ = Now;
  Worker.PacedFillerMilliCpu_.reset();
  Actions_.emplace_back(PaceTask{Worker.Entry_.Id_, Worker.Entry_.Address_,
                                 Target.Name_, Target.Number_, PacePercent,
                                 Worker.Token_});
}

/// Sends new paces to the fillers of a worker.
void Scheduler::Impl::updatePaces(WorkerState &Worker, TimePoint Now) {
  std::vector<ServingSample> Serving = Worker.servingSamples();
  std::vector<FillerSample> Fillers = Worker.fillerSamples();
  std::vector<int> Paces = choosePaces(Model_, Serving, Fillers);
  if (Worker.AreFillersSuspended_)
    std::fill(Paces.begin(), Paces.end(), 0);
  auto Pace = Paces.begin();
  for (auto &[Text, ActiveRun] : Worker.Runs_) {
    if (!ActiveRun.IsFiller_)
      continue;
    int PacePercent = *Pace++;
    if (PacePercent >= SlowPacePercent)
      ActiveRun.SlowSince_.reset();
    else if (!ActiveRun.SlowSince_)
      ActiveRun.SlowSince_ = Now;
    if (ActiveRun.Phase_ != RunPhase::Confirmed)
      continue;
    if (ActiveRun.PacePercent_ > 0 && PacePercent > 0 &&
        isSmallChange(ActiveRun.PacePercent_, PacePercent))
      continue;
    if (PacePercent == ActiveRun.PacePercent_)
      continue;
    sendPace(Worker, ActiveRun, PacePercent, Now);
  }
}

/// Moves a filler that has to be slow on this worker to one where it can run
/// faster, by stopping it; a stop saves its progress.
void Scheduler::Impl::migrateSlowFillers(WorkerState &Worker, TimePoint Now) {
  for (auto &[Text, ActiveRun] : Worker.Runs_) {
    bool IsMovable = ActiveRun.IsFiller_ && ActiveRun.SavesProgress_ &&
                     ActiveRun.Phase_ == RunPhase::Confirmed &&
                     ActiveRun.SlowSince_ &&
                     Now - *ActiveRun.SlowSince_ >= MinSlowTime;
    if (!IsMovable)
      continue;
    // A suspended filler is stopped in any case and makes way for fillers that
    // can run on this worker.
    bool IsSuspended = ActiveRun.PacePercent_ == 0 &&
                       Now - *ActiveRun.SlowSince_ >= MaxSuspendedTime;
    if (!IsSuspended && !hasBetterWorker(Worker, ActiveRun, Now))
      continue;
    JobRecord *Record = findJob(ActiveRun.Name_.Job_);
    if (!Record)
      continue;
    Record->Job_.find(ActiveRun.Name_)->LastFailedWorker_ = Worker.Entry_.Id_;
    requestStop(Worker, ActiveRun, Now);
    // One at a time: the other fillers may speed up without it.
    return;
  }
}

void Scheduler::paceFailed(const std::string &Id, const TaskName &Name,
                           std::uint64_t Number) {
  WorkerState *Worker = Impl_->findWorker(Id);
  if (!Worker)
    return;
  auto It = Worker->Runs_.find(Name.text());
  if (It == Worker->Runs_.end() || It->second.Number_ != Number)
    return;
  It->second.PacePercent_ = UnknownPace;
  Worker->PacedFillerMilliCpu_.reset();
}

} // namespace filbertspring::scheduling
