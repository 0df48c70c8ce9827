#include "oracle.h"

#include <algorithm>
#include <fmt/format.h>

namespace filbertspring::scheduling::test {
namespace {

/// Maximum time after the cancellation of a job at which a task of it may
/// start.
constexpr Duration CancelLimit = std::chrono::milliseconds(3000);
constexpr Duration KillTimeout = std::chrono::milliseconds(200);
/// How long after the end of a fault the guarantees with a time bound do not
/// apply.
constexpr Duration StableWindow = std::chrono::milliseconds(3000);
/// Maximum time between the decision about a start and the start.
constexpr Duration StartValidity = SchedulerSettings().StartValidity_;
/// The time after which a smaller capacity counts: the shortest StableWindowMs
/// and one HeartbeatMs.
constexpr Duration ShrinkLimit = std::chrono::milliseconds(3000 + 1500);
/// How long after a maximum was lowered a start may rely on the one before: the
/// placement has to be stored, and the start is valid for some time.
constexpr Duration LoweringLimit = StartValidity + std::chrono::seconds(2);
/// How long a task may wait beside free capacity.
constexpr Duration MaxWait = std::chrono::milliseconds(3000);
/// How long after the last fault, and after the last run of the task, the wait
/// of a long-running task counts.
constexpr Duration LongRunningCalm = std::chrono::milliseconds(4000);
constexpr Duration LongRunningPause = std::chrono::milliseconds(6000);
constexpr Duration LeaseDuration = SchedulerSettings().LeaseDuration_;
/// How long a serving task may be over its target because of fillers.
constexpr Duration MaxHarm = std::chrono::milliseconds(4000);
/// How often a task may start after three workers have crashed under it.
constexpr std::size_t MaxStartsAfterThirdCrash = 2;

/// Returns whether \p Used is within \p Maximum; 0 means no limit.
bool isWithin(const Resources &Used, const Resources &Maximum) {
  auto IsLess = [](std::int64_t Amount, std::int64_t Limit) {
    return Limit == 0 || Amount <= Limit;
  };
  return IsLess(Used.MilliCpu_, Maximum.MilliCpu_) &&
         IsLess(Used.MemoryMb_, Maximum.MemoryMb_) &&
         IsLess(Used.Accelerators_, Maximum.Accelerators_);
}

} // namespace

void Oracle::configured(const std::vector<Workspace> &Workspaces,
                        TimePoint Now) {
  // A new owner does not know the last maximum of one that was removed.
  for (auto &[Name, Maxima] : Maxima_)
    Maxima[Now] = {};
  Configured_.clear();
  for (const Workspace &Entry : Workspaces) {
    auto [It, IsNew] = Maxima_.try_emplace(Entry.Name_);
    if (IsNew)
      It->second[TimePoint()] = {};
    It->second[Now] = Entry.Maximum_;
    Configured_.insert(Entry.Name_);
  }
}

void Oracle::checkQuota(const std::string &Workspace, TimePoint Now) {
  auto It = Maxima_.find(Workspace);
  if (It == Maxima_.end())
    return;
  auto Oldest = It->second.upper_bound(Now - LoweringLimit);
  if (Oldest != It->second.begin())
    --Oldest;
  const Resources &Used = UsedBy_[Workspace];
  bool Fits =
      std::any_of(Oldest, It->second.end(), [&Used](const auto &Maximum) {
        return isWithin(Used, Maximum.second);
      });
  if (!Fits)
    report("quota",
           fmt::format("{} uses {} mCPU, {} MB and {} accelerators", Workspace,
                       Used.MilliCpu_, Used.MemoryMb_, Used.Accelerators_));
}

bool Oracle::isUnderHalfQuota(const JobHistory &Job,
                              const Resources &Request) const {
  auto It = Maxima_.find(Job.Accepted_.Workspace_);
  if (It == Maxima_.end())
    return true;
  if (!Configured_.contains(It->first))
    return false;
  const Resources &Maximum = It->second.rbegin()->second;
  Resources Used;
  if (auto Found = UsedBy_.find(It->first); Found != UsedBy_.end())
    Used = Found->second;
  Resources WithRequest = Used;
  WithRequest += Request;
  Used += Used;
  return isWithin(Used, Maximum) && isWithin(WithRequest, Maximum);
}

void Oracle::report(const char *Rule, std::string Detail) {
  Violations_.push_back({Rule, std::move(Detail)});
}

void Oracle::accepted(const AcceptedJob &Job, std::uint32_t Attempts) {
  JobHistory &History = Jobs_[Job.Id_];
  History.Accepted_ = Job;
  History.Attempts_ = Attempts;
}

void Oracle::cancelled(const std::string &Job, TimePoint Now) {
  Jobs_.at(Job).CancelledAt_ = Now;
}

void Oracle::crashedBy(const TaskName &Name) {
  ++Jobs_.at(Name.Job_).Tasks_[Name.text()].Crashes_;
}

void Oracle::checkStepOrder(const JobHistory &Job, const TaskName &Name) {
  const JobSpec &Spec = Job.Accepted_.Spec_;
  for (std::uint32_t Earlier : Spec.Steps_[Name.Step_].DependsOn_)
    for (std::uint32_t Index = 0; Index < Spec.Steps_[Earlier].Count_;
         ++Index) {
      TaskName Before{Name.Job_, Name.Occurrence_, Earlier, Index};
      auto It = Job.Tasks_.find(Before.text());
      if (It == Job.Tasks_.end() || !It->second.HasDone_)
        report("order", fmt::format("{} started before {} was done",
                                    Name.text(), Before.text()));
    }
}

void Oracle::registered(const std::string &Worker, const Resources &Capacity,
                        TimePoint Now) {
  Capacities_[Worker][Now] = Capacity;
}

void Oracle::checkCapacity(const std::string &Worker, TimePoint Now) {
  Resources Used;
  for (const auto &[Text, Reserved] : Reserved_[Worker])
    Used += Reserved;
  // A start may rely on each capacity of the last seconds.
  const std::map<TimePoint, Resources> &Capacities = Capacities_.at(Worker);
  auto Oldest = Capacities.upper_bound(Now - ShrinkLimit);
  if (Oldest != Capacities.begin())
    --Oldest;
  bool Fits = std::any_of(Oldest, Capacities.end(), [&Used](const auto &Entry) {
    return Entry.second.fits(Used, {});
  });
  if (!Fits)
    report("room",
           fmt::format("{} holds {} mCPU, {} MB and {} accelerators", Worker,
                       Used.MilliCpu_, Used.MemoryMb_, Used.Accelerators_));
}

/// Checks that the checkpoint of a start is one of the task, and that none is
/// newer of which the owner or the store has taken note.
void Oracle::checkCheckpoint(const TaskHistory &History, const StartTask &Start,
                             std::uint64_t Token, TimePoint Now) {
  auto It = History.Checkpoints_.find(Start.Checkpoint_);
  if (!Start.Checkpoint_.empty() && It == History.Checkpoints_.end())
    return report("checkpoint", fmt::format("{} with '{}'", Start.Name_.text(),
                                            Start.Checkpoint_));
  std::uint64_t Number = Start.Checkpoint_.empty() ? 0 : It->second;
  auto Reported = History.ReportedCheckpoints_.find(Token / TokensPerTenure);
  bool IsLost = (Reported != History.ReportedCheckpoints_.end() &&
                 Reported->second > Number) ||
                std::any_of(History.SavedCheckpoints_.begin(),
                            History.SavedCheckpoints_.end(),
                            [&](const SavedCheckpoint &Saved) {
                              return Saved.Number_ > Number &&
                                     Saved.At_ + StartValidity < Now;
                            });
  if (IsLost)
    report("progress lost", fmt::format("run {} of {} with '{}'", Start.Run_,
                                        Start.Name_.text(), Start.Checkpoint_));
}

void Oracle::reported(std::uint64_t Token, const WorkerReport &Report) {
  auto Note = [&](const TaskName &Name, const std::string &Checkpoint) {
    TaskHistory &History = Jobs_.at(Name.Job_).Tasks_[Name.text()];
    auto It = History.Checkpoints_.find(Checkpoint);
    if (It == History.Checkpoints_.end())
      return;
    std::uint64_t &Newest = History.ReportedCheckpoints_[Token];
    Newest = std::max(Newest, It->second);
  };
  for (const RunningTask &Running : Report.RunningTasks_)
    Note(Running.Name_, Running.Checkpoint_);
  for (const EndedTask &End : Report.EndedTasks_)
    Note(End.Name_, End.Checkpoint_);
}

void Oracle::save(TaskHistory &History, std::uint64_t Checkpoint,
                  TimePoint Now) {
  std::vector<SavedCheckpoint> &Saved = History.SavedCheckpoints_;
  if (Saved.empty() || Saved.back().Number_ < Checkpoint)
    Saved.push_back({Checkpoint, Now});
}

void Oracle::checkpointed(const TaskName &Name, std::uint64_t Run,
                          const std::string &Checkpoint) {
  TaskHistory &History = Jobs_.at(Name.Job_).Tasks_[Name.text()];
  History.Checkpoints_[Checkpoint] = NextCheckpoint_;
  History.LatestCheckpoints_[Run] = NextCheckpoint_++;
}

void Oracle::stored(const std::string &Job, const JobProgress &Progress,
                    TimePoint Now) {
  Jobs_.at(Job).IsFinal_ = isFinal(Progress.State_);
  for (const auto &[Text, Task] : Progress.Tasks_) {
    if (Task.Checkpoint_.empty())
      continue;
    TaskHistory &History = Jobs_.at(Job).Tasks_[Text];
    auto It = History.Checkpoints_.find(Task.Checkpoint_);
    if (It == History.Checkpoints_.end())
      report("checkpoint", fmt::format("stored for {}", Text));
    else
      save(History, It->second, Now);
  }
}

void Oracle::leaving(const std::string &Worker, TimePoint Now) {
  Capacities_.erase(Worker);
  for (auto &[Id, Job] : Jobs_)
    for (auto &[Text, Task] : Job.Tasks_)
      if (Task.Runs_.contains(Worker))
        Task.LostUntil_ = Now + LeaseDuration;
}

void Oracle::labelled(const std::string &Worker,
                      const std::vector<std::string> &Labels) {
  Labels_[Worker] = {Labels.begin(), Labels.end()};
}

Resources Oracle::usedOn(const std::string &Worker) const {
  Resources Used;
  if (auto Reserved = Reserved_.find(Worker); Reserved != Reserved_.end())
    for (const auto &[Text, Amount] : Reserved->second)
      Used += Amount;
  return Used;
}

bool Oracle::isAtLimit(const JobHistory &Job, std::uint32_t Number,
                       const std::string &Worker) {
  std::uint32_t Limit = Job.Accepted_.Spec_.Steps_[Number].MaxPerWorker_;
  if (Limit == 0)
    return false;
  std::uint32_t Running = 0;
  for (const auto &[Text, Task] : Job.Tasks_)
    Running +=
        Task.Runs_.contains(Worker) && parseTaskName(Text)->Step_ == Number ? 1
                                                                            : 0;
  return Running >= Limit;
}

bool Oracle::hasRoomTwice(const JobHistory &Job, std::uint32_t Number) const {
  const StepSpec &Step = Job.Accepted_.Spec_.Steps_[Number];
  Resources Needed = Step.Request_;
  if (Step.IsFiller_)
    Needed.MilliCpu_ = 0;
  Needed += Needed;
  return std::any_of(
      Capacities_.begin(), Capacities_.end(), [&](const auto &Entry) {
        const auto &[Worker, Capacities] = Entry;
        auto Labels = Labels_.find(Worker);
        bool IsAllowed = !Excluded_.contains(Worker) &&
                         (Step.RequiredLabel_.empty() ||
                          (Labels != Labels_.end() &&
                           Labels->second.contains(Step.RequiredLabel_))) &&
                         !isAtLimit(Job, Number, Worker);
        return IsAllowed &&
               Capacities.rbegin()->second.fits(usedOn(Worker), Needed);
      });
}

bool Oracle::isHalfFree() const {
  Resources Total;
  Resources InUse;
  for (const auto &[Worker, Capacities] : Capacities_) {
    Total += Capacities.rbegin()->second;
    InUse += usedOn(Worker);
  }
  InUse += InUse;
  return Total.fits(InUse, {});
}

bool Oracle::isDone(const JobHistory &Job, std::uint32_t Step) const {
  std::uint32_t Done = 0;
  for (const auto &[Text, Task] : Job.Tasks_)
    Done += Task.HasDone_ && parseTaskName(Text)->Step_ == Step ? 1 : 0;
  return Done == Job.Accepted_.Spec_.Steps_[Step].Count_;
}

void Oracle::checkWait(const char *Rule, const std::string &Text,
                       bool IsWaiting, std::optional<TimePoint> &Since,
                       TimePoint Now) {
  if (!IsWaiting)
    return Since.reset();
  if (!Since)
    Since = Now;
  if (Now - *Since <= MaxWait)
    return;
  auto [Longest, IsNew] =
      LongWaits_.try_emplace(fmt::format("{}: {}", Rule, Text));
  Longest->second = std::max(Longest->second, Now - *Since);
  if (IsNew)
    report(Rule, Text);
}

void Oracle::checkWaiting(JobHistory &Job, Duration Calm, TimePoint Now) {
  const JobSpec &Spec = Job.Accepted_.Spec_;
  bool IsClosed = Job.IsFinal_ || Job.CancelledAt_;
  bool IsRunning =
      std::any_of(Job.Tasks_.begin(), Job.Tasks_.end(), [](const auto &Entry) {
        return !Entry.second.Runs_.empty();
      });
  bool IsHalfFree = !IsClosed && isHalfFree();
  for (std::uint32_t Number = 0; Number < Spec.Steps_.size(); ++Number) {
    const StepSpec &Step = Spec.Steps_[Number];
    bool IsReady =
        !IsClosed && std::all_of(Step.DependsOn_.begin(), Step.DependsOn_.end(),
                                 [&](std::uint32_t Earlier) {
                                   return isDone(Job, Earlier);
                                 });
    bool HasRoom = IsReady && hasRoomTwice(Job, Number) &&
                   isUnderHalfQuota(Job, Step.Request_);
    for (std::uint32_t Index = 0; Index < Step.Count_; ++Index) {
      std::string Text = TaskName{Job.Accepted_.Id_, 0, Number, Index}.text();
      TaskHistory &Task = Job.Tasks_[Text];
      bool CouldRun = HasRoom && !Task.HasDone_ && Task.Runs_.empty();
      bool IsIdle = CouldRun && (!IsRunning || Step.IsLongRunning_) &&
                    IsHalfFree && Calm > StableWindow && Now > Task.LostUntil_;
      checkWait("waits", Text, IsIdle, Task.WaitsSince_, Now);
      bool IsMissing =
          CouldRun && Step.IsLongRunning_ && Calm > LongRunningCalm &&
          (!Task.LastEndedAt_ || Now > *Task.LastEndedAt_ + LongRunningPause);
      checkWait("long-running task waits", Text, IsMissing, Task.MissingSince_,
                Now);
    }
  }
}

void Oracle::harmed(const std::string &Worker, TimePoint Since,
                    TimePoint CalmSince, TimePoint Now) {
  if (Now - std::max(Since, CalmSince + StableWindow) > MaxHarm &&
      HarmedWorkers_.insert(Worker).second)
    report("harm", Worker);
}

void Oracle::calm(TimePoint Since, TimePoint Now) {
  for (auto &[Id, Job] : Jobs_) {
    checkWaiting(Job, Now - Since, Now);
    if (!Job.CancelledAt_ ||
        Now - std::max(*Job.CancelledAt_, Since + StableWindow) <=
            CancelLimit + KillTimeout)
      continue;
    for (const auto &[Text, Task] : Job.Tasks_)
      if (!Task.Runs_.empty())
        report("runs on", fmt::format("{} on {}", Text, *Task.Runs_.begin()));
  }
}

void Oracle::started(const std::string &Worker, const StartTask &Start,
                     std::uint64_t Token, TimePoint Now) {
  ++Starts_;
  const TaskName &Name = Start.Name_;
  std::string Text = Name.text();
  auto It = Jobs_.find(Name.Job_);
  if (It == Jobs_.end())
    return report("unasked", Text);
  JobHistory &Job = It->second;
  const StepSpec &Step = Job.Accepted_.Spec_.Steps_[Name.Step_];
  TaskHistory &History = Job.Tasks_[Text];
  if (Start.Payload_ != Job.Accepted_.Spec_.Payload_)
    report("payload", Text);
  if (!History.Runs_.empty())
    report("twice", fmt::format("{} runs on {} and {}", Text,
                                *History.Runs_.begin(), Worker));
  if (History.IsDoneAcknowledged_)
    report("repeated", fmt::format("{} on {}", Text, Worker));
  for (auto &[Run, IsRepeated] : History.DoneRuns_)
    IsRepeated = true;
  if (!Step.IsLongRunning_ &&
      History.AcknowledgedFailures_.size() >= Job.Attempts_)
    report("budget", Text);
  if (History.Crashes_ >= 3 &&
      ++History.StartsAfterThirdCrash_ > MaxStartsAfterThirdCrash)
    report("crashes", fmt::format("{} on {}", Text, Worker));
  if (Job.CancelledAt_ && Now > *Job.CancelledAt_ + CancelLimit)
    report("cancelled", Text);
  checkCheckpoint(History, Start, Token, Now);
  checkStepOrder(Job, Name);
  const std::string &Workspace = Job.Accepted_.Workspace_;
  if (History.Runs_.insert(Worker).second && !Workspace.empty()) {
    UsedBy_[Workspace] += Step.Request_;
    checkQuota(Workspace, Now);
  }
  Resources Reserved = Step.Request_;
  if (Step.IsFiller_)
    Reserved.MilliCpu_ = 0;
  Reserved_[Worker][Text] = Reserved;
  checkCapacity(Worker, Now);
}

void Oracle::ended(const std::string &Worker, const TaskName &Name,
                   std::uint64_t Run, EndReason Reason, TimePoint Now) {
  JobHistory &Job = Jobs_[Name.Job_];
  TaskHistory &History = Job.Tasks_[Name.text()];
  const std::string &Workspace = Job.Accepted_.Workspace_;
  if (History.Runs_.erase(Worker) > 0 && !Workspace.empty())
    UsedBy_[Workspace] -= Job.Accepted_.Spec_.Steps_[Name.Step_].Request_;
  History.LastEndedAt_ = Now;
  Reserved_[Worker].erase(Name.text());
  if (Reason != EndReason::Done)
    return;
  History.HasDone_ = true;
  History.DoneRuns_[Run] = false;
}

void Oracle::acknowledged(const std::string &, const TaskName &Name,
                          std::uint64_t Run, EndReason Reason,
                          bool HasLeaseExpired, TimePoint Now) {
  TaskHistory &History = Jobs_[Name.Job_].Tasks_[Name.text()];
  auto Last = History.LatestCheckpoints_.find(Run);
  if (Last != History.LatestCheckpoints_.end())
    save(History, Last->second, Now);
  if (Reason == EndReason::Failed)
    History.AcknowledgedFailures_.insert(Run);
  bool IsLasting =
      Jobs_[Name.Job_].Accepted_.Spec_.Steps_[Name.Step_].IsLongRunning_;
  if (Reason != EndReason::Done || HasLeaseExpired || IsLasting)
    return;
  History.IsDoneAcknowledged_ = true;
  // The end of a run on a worker that crashed later may never be acknowledged,
  // so a repeated run is a violation only once the end is acknowledged.
  if (History.DoneRuns_[Run])
    report("repeated",
           fmt::format("{} before its end was acknowledged", Name.text()));
}

bool Oracle::isDone(const std::string &Job) const {
  const JobHistory &History = Jobs_.at(Job);
  const JobSpec &Spec = History.Accepted_.Spec_;
  std::size_t Done = 0;
  std::size_t Tasks = 0;
  for (const StepSpec &Step : Spec.Steps_)
    Tasks += Step.Count_;
  for (const auto &[Text, Task] : History.Tasks_)
    Done += Task.HasDone_ ? 1 : 0;
  return Done == Tasks;
}

} // namespace filbertspring::scheduling::test
