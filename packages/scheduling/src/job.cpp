#include "filbertspring/scheduling/job.h"

#include <algorithm>
#include <utility>

namespace filbertspring::scheduling {

Job::Job(AcceptedJob Accepted, TimePoint SeenAt)
    : Accepted_(std::move(Accepted)), SeenAt_(SeenAt),
      IsLongRunning_(Accepted_.Spec_.isLongRunning()) {
  const JobSpec &Spec = Accepted_.Spec_;
  FirstSlots_.push_back(0);
  for (const StepSpec &Step : Spec.Steps_)
    FirstSlots_.push_back(FirstSlots_.back() + Step.Count_);
  RemainingTasks_ = FirstSlots_.back() * Spec.Occurrences_;
  Tasks_.resize(RemainingTasks_);
  IsReleased_.assign(Spec.Steps_.size() * Spec.Occurrences_, false);
  for (std::uint32_t Occurrence = 0; Occurrence < Spec.Occurrences_;
       ++Occurrence)
    for (const StepSpec &Step : Spec.Steps_)
      RemainingInStep_.push_back(Step.Count_);
}

std::optional<std::uint32_t> Job::slotOf(const TaskName &Name) const {
  const JobSpec &Spec = Accepted_.Spec_;
  if (Name.Occurrence_ >= Spec.Occurrences_ ||
      Name.Step_ >= Spec.Steps_.size() ||
      Name.Index_ >= Spec.Steps_[Name.Step_].Count_)
    return std::nullopt;
  return Name.Occurrence_ * FirstSlots_.back() + FirstSlots_[Name.Step_] +
         Name.Index_;
}

Task *Job::find(const TaskName &Name) {
  std::optional<std::uint32_t> Slot = slotOf(Name);
  return Slot ? &Tasks_[*Slot] : nullptr;
}

std::uint32_t Job::longestWaiting() const {
  return *std::min_element(Waiting_.begin(), Waiting_.end(),
                           [this](std::uint32_t Left, std::uint32_t Right) {
                             return at(Left).ReadyAt_ < at(Right).ReadyAt_;
                           });
}

bool Job::hasPlacedTask() const {
  return std::any_of(Tasks_.begin(), Tasks_.end(), [](const Task &Each) {
    return Each.Phase_ == TaskPhase::Placed;
  });
}

TaskName Job::nameOf(std::uint32_t Slot) const {
  TaskName Name;
  Name.Job_ = Accepted_.Id_;
  Name.Occurrence_ = Slot / FirstSlots_.back();
  std::uint32_t SlotInOccurrence = Slot % FirstSlots_.back();
  auto NextStep = std::upper_bound(FirstSlots_.begin(), FirstSlots_.end(),
                                   SlotInOccurrence);
  Name.Step_ = static_cast<std::uint32_t>(NextStep - FirstSlots_.begin()) - 1;
  Name.Index_ = SlotInOccurrence - FirstSlots_[Name.Step_];
  return Name;
}

std::uint32_t Job::endOfStep(std::uint32_t Slot) const {
  std::uint32_t SlotInOccurrence = Slot % FirstSlots_.back();
  auto NextStep = std::upper_bound(FirstSlots_.begin(), FirstSlots_.end(),
                                   SlotInOccurrence);
  return Slot - SlotInOccurrence + *NextStep;
}

std::vector<TaskName> Job::restore(const JobProgress &Progress) {
  std::vector<TaskName> Placed;
  for (const auto &[Text, Stored] : Progress.Tasks_) {
    std::optional<TaskName> Name = parseTaskName(Text);
    Task *Restored = Name ? find(*Name) : nullptr;
    if (!Restored)
      continue;
    if (Stored.IsDone_)
      complete(*Name);
    Restored->Progress_ = Stored;
    if (Stored.IsDone_ || Stored.Worker_.empty())
      continue;
    Restored->Phase_ = TaskPhase::Placed;
    Placed.push_back(*Name);
  }
  Cause_ = Progress.Cause_;
  if (isFinal(Progress.State_))
    finish(Progress.State_);
  else if (!isFinal(State_))
    State_ = Progress.State_;
  HasStarted_ = State_ != JobState::Queued;
  return Placed;
}

JobProgress Job::progress() const {
  JobProgress Result;
  Result.State_ = State_;
  Result.Cause_ = Cause_;
  if (isFinal(State_)) {
    // Only the state is needed, and which workers may still execute a task,
    // since that counts against the quota of the workspace.
    for (std::uint32_t Slot = 0;
         !Accepted_.Workspace_.empty() && Slot < Tasks_.size(); ++Slot) {
      const TaskProgress &Present = Tasks_[Slot].Progress_;
      if (Present.IsDone_ || Present.Worker_.empty())
        continue;
      TaskProgress &Stored = Result.Tasks_[nameOf(Slot).text()];
      Stored.Worker_ = Present.Worker_;
      Stored.LastRun_ = Present.LastRun_;
      Stored.DoubtfulWorker_ = Present.DoubtfulWorker_;
    }
    return Result;
  }
  const TaskProgress Initial;
  for (std::uint32_t Slot = 0; Slot < Tasks_.size(); ++Slot)
    if (Tasks_[Slot].Progress_ != Initial)
      Result.Tasks_[nameOf(Slot).text()] = Tasks_[Slot].Progress_;
  return Result;
}

const std::vector<std::uint32_t> &Job::changes() {
  std::sort(ChangedSlots_.begin(), ChangedSlots_.end());
  ChangedSlots_.erase(std::unique(ChangedSlots_.begin(), ChangedSlots_.end()),
                      ChangedSlots_.end());
  return ChangedSlots_;
}

std::vector<std::uint32_t> Job::takeChanges(std::size_t MaxTasks) {
  std::size_t Count = std::min(MaxTasks, changes().size());
  auto End = ChangedSlots_.begin() + static_cast<std::ptrdiff_t>(Count);
  std::vector<std::uint32_t> Taken(ChangedSlots_.begin(), End);
  ChangedSlots_.erase(ChangedSlots_.begin(), End);
  return Taken;
}

void Job::markChanged(const std::vector<std::uint32_t> &Slots) {
  ChangedSlots_.insert(ChangedSlots_.end(), Slots.begin(), Slots.end());
}

JobProgress Job::progressOf(const std::vector<std::uint32_t> &Slots) const {
  JobProgress Result;
  Result.State_ = State_;
  Result.Cause_ = Cause_;
  for (std::uint32_t Slot : Slots)
    Result.Tasks_[nameOf(Slot).text()] = Tasks_[Slot].Progress_;
  return Result;
}

bool Job::isStepDone(std::uint32_t Occurrence, std::uint32_t Step) const {
  return RemainingInStep_[Occurrence * Accepted_.Spec_.Steps_.size() + Step] ==
         0;
}

bool Job::isStepReady(std::uint32_t Occurrence, std::uint32_t Step) const {
  const std::vector<std::uint32_t> &DependsOn =
      Accepted_.Spec_.Steps_[Step].DependsOn_;
  return std::all_of(DependsOn.begin(), DependsOn.end(),
                     [&](std::uint32_t Dependency) {
                       return isStepDone(Occurrence, Dependency);
                     });
}

bool Job::releaseSteps(std::int64_t WallMs, TimePoint Now) {
  if (isFinal(State_))
    return false;
  const JobSpec &Spec = Accepted_.Spec_;
  bool HasReleased = false;
  for (std::uint32_t Occurrence = 0; Occurrence < Spec.Occurrences_;
       ++Occurrence) {
    if (Spec.dueMs(Occurrence) > WallMs)
      break;
    for (std::uint32_t Step = 0; Step < Spec.Steps_.size(); ++Step) {
      std::size_t StepPosition = Occurrence * Spec.Steps_.size() + Step;
      if (IsReleased_[StepPosition] || !isStepReady(Occurrence, Step))
        continue;
      IsReleased_[StepPosition] = true;
      HasReleased = true;
      std::uint32_t FirstSlot =
          Occurrence * FirstSlots_.back() + FirstSlots_[Step];
      for (std::uint32_t Index = 0; Index < Spec.Steps_[Step].Count_; ++Index) {
        Task &ReleasedTask = Tasks_[FirstSlot + Index];
        if (ReleasedTask.Phase_ != TaskPhase::Blocked)
          continue;
        ReleasedTask.Phase_ = TaskPhase::Waiting;
        ReleasedTask.ReadyAt_ = Now;
        Waiting_.insert(FirstSlot + Index);
      }
    }
  }
  return HasReleased;
}

Duration Job::remainingTime() const {
  std::uint32_t LastOccurrence = Accepted_.Spec_.Occurrences_ - 1;
  return criticalPath(Accepted_.Spec_,
                      [this, LastOccurrence](std::uint32_t Step) {
                        return !isStepDone(LastOccurrence, Step);
                      });
}

std::optional<std::int64_t> Job::nextDueMs() const {
  const JobSpec &Spec = Accepted_.Spec_;
  if (isFinal(State_))
    return std::nullopt;
  for (std::uint32_t Occurrence = 0; Occurrence < Spec.Occurrences_;
       ++Occurrence)
    if (!IsReleased_[Occurrence * Spec.Steps_.size()])
      return Spec.dueMs(Occurrence);
  return std::nullopt;
}

std::uint32_t Job::placedInStep(std::uint32_t Occurrence,
                                std::uint32_t Step) const {
  std::uint32_t FirstSlot = Occurrence * FirstSlots_.back() + FirstSlots_[Step];
  auto Begin = Tasks_.begin() + FirstSlot;
  return static_cast<std::uint32_t>(
      std::count_if(Begin, Begin + Accepted_.Spec_.Steps_[Step].Count_,
                    [](const Task &StepTask) {
                      return StepTask.Phase_ == TaskPhase::Placed;
                    }));
}

void Job::place(const TaskName &Name, std::uint64_t Run,
                const std::string &Worker) {
  std::optional<std::uint32_t> Slot = slotOf(Name);
  Task &PlacedTask = Tasks_[*Slot];
  PlacedTask.Phase_ = TaskPhase::Placed;
  PlacedTask.Progress_.LastRun_ = std::max(PlacedTask.Progress_.LastRun_, Run);
  PlacedTask.Progress_.Worker_ = Worker;
  Waiting_.erase(*Slot);
  ChangedSlots_.push_back(*Slot);
}

bool Job::noteDoubtfulStart(const TaskName &Name, const std::string &Worker) {
  std::optional<std::uint32_t> Slot = slotOf(Name);
  if (!Slot || Tasks_[*Slot].Progress_.DoubtfulWorker_ == Worker)
    return false;
  Tasks_[*Slot].Progress_.DoubtfulWorker_ = Worker;
  if (!step(Name).IsLongRunning_)
    return false;
  ChangedSlots_.push_back(*Slot);
  return true;
}

bool Job::markStarted() {
  if (std::exchange(HasStarted_, true))
    return false;
  if (State_ == JobState::Queued)
    State_ = JobState::Running;
  return true;
}

void Job::requeue(const TaskName &Name, TimePoint Now, TimePoint NotBefore) {
  std::optional<std::uint32_t> Slot = slotOf(Name);
  Task &TheTask = Tasks_[*Slot];
  if (TheTask.Phase_ != TaskPhase::Placed)
    return;
  TheTask.Phase_ = TaskPhase::Waiting;
  TheTask.Progress_.Worker_.clear();
  TheTask.ReadyAt_ = Now;
  TheTask.NotBefore_ = NotBefore;
  ChangedSlots_.push_back(*Slot);
  if (!isFinal(State_))
    Waiting_.insert(*Slot);
}

void Job::keepCheckpoint(const TaskName &Name, const std::string &Checkpoint) {
  std::optional<std::uint32_t> Slot = slotOf(Name);
  if (!Slot || Checkpoint.empty())
    return;
  Tasks_[*Slot].Progress_.Checkpoint_ = Checkpoint;
  ChangedSlots_.push_back(*Slot);
}

bool Job::complete(const TaskName &Name) {
  std::optional<std::uint32_t> Slot = slotOf(Name);
  if (!Slot || Tasks_[*Slot].Progress_.IsDone_)
    return false;
  Task &TheTask = Tasks_[*Slot];
  TheTask.Phase_ = TaskPhase::Done;
  TheTask.Progress_.IsDone_ = true;
  TheTask.Progress_.Checkpoint_.clear();
  TheTask.Progress_.Worker_.clear();
  TheTask.Progress_.DoubtfulWorker_.clear();
  Waiting_.erase(*Slot);
  ChangedSlots_.push_back(*Slot);
  markStarted();
  --RemainingInStep_[Name.Occurrence_ * Accepted_.Spec_.Steps_.size() +
                     Name.Step_];
  if (--RemainingTasks_ == 0)
    finish(JobState::Completed);
  return true;
}

bool Job::fail(const TaskName &Name, std::uint64_t Run,
               const std::string &Worker, std::uint32_t Attempts) {
  Task *TheTask = find(Name);
  if (!TheTask || Run <= TheTask->Progress_.LastFailedRun_)
    return false;
  TheTask->Progress_.LastFailedRun_ = Run;
  TheTask->LastFailedWorker_ = Worker;
  ChangedSlots_.push_back(*slotOf(Name));
  if (step(Name).IsLongRunning_)
    return true;
  ++TheTask->Progress_.Failures_;
  if (TheTask->Progress_.Failures_ >= Attempts && !TheTask->Progress_.IsDone_)
    finish(JobState::Failed);
  return true;
}

void Job::recordCrash(const TaskName &Name, const std::string &Worker,
                      bool IsIsolated) {
  Task *Suspected = find(Name);
  if (!Suspected || Suspected->Progress_.IsDone_)
    return;
  Suspected->Progress_.CrashedWorkers_.push_back(Worker);
  Suspected->Progress_.IsolatedCrashes_ += IsIsolated ? 1 : 0;
  Suspected->LastFailedWorker_ = Worker;
  ChangedSlots_.push_back(*slotOf(Name));
}

void Job::recordExposure(const TaskName &Name) {
  Task *Exposed = find(Name);
  if (!Exposed || Exposed->Progress_.IsDone_)
    return;
  ++Exposed->Progress_.Exposures_;
  ChangedSlots_.push_back(*slotOf(Name));
}

void Job::clearCrashes(const TaskName &Name) {
  Task *Cleared = find(Name);
  if (!Cleared)
    return;
  Cleared->Progress_.CrashedWorkers_.clear();
  Cleared->Progress_.IsolatedCrashes_ = 0;
  Cleared->Progress_.Exposures_ = 0;
  ChangedSlots_.push_back(*slotOf(Name));
}

void Job::giveUp(const TaskName &Name) {
  Task *Culprit = find(Name);
  if (!Culprit)
    return;
  std::string Cause = "task " + Name.text() + " crashed the workers";
  for (const std::string &Worker : Culprit->Progress_.CrashedWorkers_)
    Cause += " " + Worker;
  reject(std::move(Cause));
}

void Job::reject(std::string Cause) {
  if (isFinal(State_))
    return;
  Cause_ = std::move(Cause);
  finish(JobState::Failed);
}

void Job::cancel() { finish(JobState::Cancelled); }

void Job::finish(JobState State) {
  if (isFinal(State_))
    return;
  State_ = State;
  Waiting_.clear();
}

} // namespace filbertspring::scheduling
