#include "filbertspring/scheduling/job.h"

#include <algorithm>
#include <utility>

namespace filbertspring::scheduling {

Job::Job(AcceptedJob Accepted, TimePoint SeenAt)
    : Accepted_(std::move(Accepted)), SeenAt_(SeenAt),
      IsLongRunning_(Accepted_.Spec_.isLongRunning()) {
  const JobSpec &Spec = Accepted_.Spec_;
  StepSlots_.push_back(0);
  for (const StepSpec &Step : Spec.Steps_)
    StepSlots_.push_back(StepSlots_.back() + Step.Count_);
  UndoneTasks_ = StepSlots_.back() * Spec.Occurrences_;
  Tasks_.resize(UndoneTasks_);
  IsOpen_.assign(Spec.Steps_.size() * Spec.Occurrences_, false);
  for (std::uint32_t Occurrence = 0; Occurrence < Spec.Occurrences_;
       ++Occurrence)
    for (const StepSpec &Step : Spec.Steps_)
      OpenTasks_.push_back(Step.Count_);
}

std::optional<std::uint32_t> Job::slotOf(const TaskName &Name) const {
  const JobSpec &Spec = Accepted_.Spec_;
  if (Name.Occurrence_ >= Spec.Occurrences_ ||
      Name.Step_ >= Spec.Steps_.size() ||
      Name.Index_ >= Spec.Steps_[Name.Step_].Count_)
    return std::nullopt;
  return Name.Occurrence_ * StepSlots_.back() + StepSlots_[Name.Step_] +
         Name.Index_;
}

Task *Job::find(const TaskName &Name) {
  std::optional<std::uint32_t> Slot = slotOf(Name);
  return Slot ? &Tasks_[*Slot] : nullptr;
}

TaskName Job::nameOf(std::uint32_t Slot) const {
  TaskName Name;
  Name.Job_ = Accepted_.Id_;
  Name.Occurrence_ = Slot / StepSlots_.back();
  std::uint32_t Rest = Slot % StepSlots_.back();
  auto After = std::upper_bound(StepSlots_.begin(), StepSlots_.end(), Rest);
  Name.Step_ = static_cast<std::uint32_t>(After - StepSlots_.begin()) - 1;
  Name.Index_ = Rest - StepSlots_[Name.Step_];
  return Name;
}

std::vector<TaskName> Job::restore(const JobProgress &Progress) {
  std::vector<TaskName> Placed;
  for (const auto &[Text, Stored] : Progress.Tasks_) {
    std::optional<TaskName> Name = parseTaskName(Text);
    Task *Found = Name ? find(*Name) : nullptr;
    if (!Found)
      continue;
    if (Stored.IsDone_)
      complete(*Name);
    Found->Progress_ = Stored;
    if (Stored.IsDone_ || Stored.Worker_.empty())
      continue;
    Found->Phase_ = TaskPhase::Placed;
    Placed.push_back(*Name);
  }
  if (isFinal(Progress.State_))
    setFinal(Progress.State_);
  else if (!isFinal(State_))
    State_ = Progress.State_;
  HasStarted_ = State_ != JobState::Queued;
  return Placed;
}

JobProgress Job::progress() const {
  JobProgress Result;
  Result.State_ = State_;
  // Callers of a finished job ask for its state only.
  if (isFinal(State_))
    return Result;
  const TaskProgress Fresh;
  for (std::uint32_t Slot = 0; Slot < Tasks_.size(); ++Slot)
    if (Tasks_[Slot].Progress_ != Fresh)
      Result.Tasks_[nameOf(Slot).text()] = Tasks_[Slot].Progress_;
  return Result;
}

bool Job::isStepDone(std::uint32_t Occurrence, std::uint32_t Step) const {
  return OpenTasks_[Occurrence * Accepted_.Spec_.Steps_.size() + Step] == 0;
}

bool Job::isStepReady(std::uint32_t Occurrence, std::uint32_t Step) const {
  const std::vector<std::uint32_t> &After =
      Accepted_.Spec_.Steps_[Step].DependsOn_;
  return std::all_of(After.begin(), After.end(), [&](std::uint32_t Earlier) {
    return isStepDone(Occurrence, Earlier);
  });
}

bool Job::releaseSteps(std::int64_t WallMs, TimePoint Now) {
  if (isFinal(State_))
    return false;
  const JobSpec &Spec = Accepted_.Spec_;
  bool HasOpened = false;
  for (std::uint32_t Occurrence = 0; Occurrence < Spec.Occurrences_;
       ++Occurrence) {
    if (Spec.dueMs(Occurrence) > WallMs)
      break;
    for (std::uint32_t Step = 0; Step < Spec.Steps_.size(); ++Step) {
      std::size_t Position = Occurrence * Spec.Steps_.size() + Step;
      if (IsOpen_[Position] || !isStepReady(Occurrence, Step))
        continue;
      IsOpen_[Position] = true;
      HasOpened = true;
      std::uint32_t First = Occurrence * StepSlots_.back() + StepSlots_[Step];
      for (std::uint32_t Index = 0; Index < Spec.Steps_[Step].Count_; ++Index) {
        Task &Opened = Tasks_[First + Index];
        if (Opened.Phase_ != TaskPhase::Blocked)
          continue;
        Opened.Phase_ = TaskPhase::Waiting;
        Opened.ReadyAt_ = Now;
        Waiting_.insert(First + Index);
      }
    }
  }
  return HasOpened;
}

Duration Job::remainingTime() const {
  std::uint32_t Last = Accepted_.Spec_.Occurrences_ - 1;
  return criticalPath(Accepted_.Spec_, [this, Last](std::uint32_t Step) {
    return !isStepDone(Last, Step);
  });
}

std::optional<std::int64_t> Job::nextDueMs() const {
  const JobSpec &Spec = Accepted_.Spec_;
  if (isFinal(State_))
    return std::nullopt;
  for (std::uint32_t Occurrence = 0; Occurrence < Spec.Occurrences_;
       ++Occurrence)
    if (!IsOpen_[Occurrence * Spec.Steps_.size()])
      return Spec.dueMs(Occurrence);
  return std::nullopt;
}

std::uint32_t Job::placedInStep(std::uint32_t Occurrence,
                                std::uint32_t Step) const {
  std::uint32_t First = Occurrence * StepSlots_.back() + StepSlots_[Step];
  auto Begin = Tasks_.begin() + First;
  return static_cast<std::uint32_t>(std::count_if(
      Begin, Begin + Accepted_.Spec_.Steps_[Step].Count_,
      [](const Task &One) { return One.Phase_ == TaskPhase::Placed; }));
}

void Job::place(const TaskName &Name, std::uint64_t Run,
                const std::string &Worker) {
  std::optional<std::uint32_t> Slot = slotOf(Name);
  Task &Placed = Tasks_[*Slot];
  Placed.Phase_ = TaskPhase::Placed;
  Placed.Progress_.LastRun_ = std::max(Placed.Progress_.LastRun_, Run);
  Placed.Progress_.Worker_ = Worker;
  Waiting_.erase(*Slot);
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
  Task &Found = Tasks_[*Slot];
  if (Found.Phase_ != TaskPhase::Placed)
    return;
  Found.Phase_ = TaskPhase::Waiting;
  Found.Progress_.Worker_.clear();
  Found.ReadyAt_ = Now;
  Found.NotBefore_ = NotBefore;
  if (!isFinal(State_))
    Waiting_.insert(*Slot);
}

void Job::keepCheckpoint(const TaskName &Name, const std::string &Checkpoint) {
  Task *Found = find(Name);
  if (Found && !Checkpoint.empty())
    Found->Progress_.Checkpoint_ = Checkpoint;
}

bool Job::complete(const TaskName &Name) {
  std::optional<std::uint32_t> Slot = slotOf(Name);
  if (!Slot || Tasks_[*Slot].Progress_.IsDone_)
    return false;
  Task &Found = Tasks_[*Slot];
  Found.Phase_ = TaskPhase::Done;
  Found.Progress_.IsDone_ = true;
  Found.Progress_.Checkpoint_.clear();
  Found.Progress_.Worker_.clear();
  Waiting_.erase(*Slot);
  markStarted();
  --OpenTasks_[Name.Occurrence_ * Accepted_.Spec_.Steps_.size() + Name.Step_];
  if (--UndoneTasks_ == 0)
    setFinal(JobState::Completed);
  return true;
}

bool Job::fail(const TaskName &Name, std::uint64_t Run,
               const std::string &Worker, std::uint32_t Attempts) {
  Task *Found = find(Name);
  if (!Found || Run <= Found->Progress_.LastFailedRun_)
    return false;
  Found->Progress_.LastFailedRun_ = Run;
  Found->LastFailedWorker_ = Worker;
  if (step(Name).IsLongRunning_)
    return true;
  ++Found->Progress_.Failures_;
  if (Found->Progress_.Failures_ >= Attempts && !Found->Progress_.IsDone_)
    setFinal(JobState::Failed);
  return true;
}

void Job::cancel() { setFinal(JobState::Cancelled); }

void Job::setFinal(JobState State) {
  if (isFinal(State_))
    return;
  State_ = State;
  Waiting_.clear();
}

} // namespace filbertspring::scheduling
