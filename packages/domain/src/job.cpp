#include "filbertspring/domain/job.h"

#include <algorithm>

namespace filbertspring {
namespace {

bool isWaitingOrClaimed(const Task &Entry) {
  return Entry.State_ == TaskState::Waiting ||
         Entry.State_ == TaskState::Claimed;
}

bool isConsistent(const Task &Entry) {
  bool HasWorker = !Entry.Placement_.Worker_.empty();
  bool IsClaimed = Entry.State_ == TaskState::Claimed;
  bool HasAttempt = Entry.Attempt_ > 0;
  return HasWorker == IsClaimed && (HasAttempt || !IsClaimed) &&
         Entry.Attempt_ >= 0 && Entry.Failures_ >= 0;
}

/// Sets the state and the reason of \p Entry and clears its placement.
void setUnplacedState(Task &Entry, TaskState State, std::string Reason) {
  Entry.State_ = State;
  Entry.Placement_ = {};
  Entry.Reason_ = std::move(Reason);
}

} // namespace

Result<Job> Job::restore(JobRecord Record) {
  bool IsSizeValid =
      !Record.Tasks_.empty() && Record.Tasks_.size() <= Job::MaxTasks;
  if (!IsSizeValid || !std::ranges::all_of(Record.Tasks_, isConsistent))
    return filbertspring::fail(Errc::InvalidInput);
  return Job(std::move(Record));
}

bool Job::ended() const {
  return std::ranges::none_of(Record_.Tasks_, isWaitingOrClaimed);
}

Result<std::int32_t> Job::claim(std::int32_t Index, const Placement &Target) {
  if (Index < 0 || static_cast<std::size_t>(Index) >= Record_.Tasks_.size())
    return filbertspring::fail(Errc::UnknownTask);
  Task &Entry = Record_.Tasks_[Index];
  if (Entry.State_ != TaskState::Waiting)
    return filbertspring::fail(Errc::InvalidTransition);
  Entry.State_ = TaskState::Claimed;
  Entry.Placement_ = Target;
  Entry.Reason_.clear();
  return ++Entry.Attempt_;
}

Result<Task *> Job::claimedTask(std::int32_t Index, std::int32_t Attempt) {
  if (Index < 0 || static_cast<std::size_t>(Index) >= Record_.Tasks_.size())
    return filbertspring::fail(Errc::UnknownTask);
  Task &Entry = Record_.Tasks_[Index];
  if (Entry.State_ != TaskState::Claimed || Entry.Attempt_ != Attempt)
    return filbertspring::fail(Errc::StaleAttempt);
  return &Entry;
}

Status Job::finish(std::int32_t Index, std::int32_t Attempt) {
  Result<Task *> Entry = claimedTask(Index, Attempt);
  if (!Entry)
    return filbertspring::fail(Entry.error());
  setUnplacedState(**Entry, TaskState::Finished, {});
  return {};
}

Status Job::fail(std::int32_t Index, std::int32_t Attempt, std::string Reason) {
  Result<Task *> Entry = claimedTask(Index, Attempt);
  if (!Entry)
    return filbertspring::fail(Entry.error());
  ++(*Entry)->Failures_;
  bool AttemptsExhausted = (*Entry)->Failures_ >= Record_.MaxAttempts_;
  setUnplacedState(**Entry,
                   AttemptsExhausted ? TaskState::Failed : TaskState::Waiting,
                   std::move(Reason));
  return {};
}

Status Job::evict(std::int32_t Index, std::int32_t Attempt,
                  const CheckpointRef &Checkpoint, std::string Reason) {
  Result<Task *> Entry = claimedTask(Index, Attempt);
  if (!Entry)
    return filbertspring::fail(Entry.error());
  ++(*Entry)->Evictions_;
  if (!Checkpoint.empty())
    (*Entry)->Checkpoint_ = Checkpoint;
  setUnplacedState(**Entry, TaskState::Waiting, std::move(Reason));
  return {};
}

Status Job::recover(std::int32_t Index, std::int32_t Attempt,
                    std::string Reason) {
  Result<Task *> Entry = claimedTask(Index, Attempt);
  if (!Entry)
    return filbertspring::fail(Entry.error());
  setUnplacedState(**Entry, TaskState::Waiting, std::move(Reason));
  return {};
}

Status Job::reject(std::int32_t Index, std::string Reason) {
  if (Index < 0 || static_cast<std::size_t>(Index) >= Record_.Tasks_.size())
    return filbertspring::fail(Errc::UnknownTask);
  Task &Entry = Record_.Tasks_[Index];
  if (Entry.State_ != TaskState::Waiting)
    return filbertspring::fail(Errc::InvalidTransition);
  Entry.State_ = TaskState::Impossible;
  Entry.Reason_ = std::move(Reason);
  return {};
}

std::vector<AttemptRef> Job::cancel() {
  std::vector<AttemptRef> Running;
  for (std::size_t Index = 0; Index < Record_.Tasks_.size(); ++Index) {
    Task &Entry = Record_.Tasks_[Index];
    if (!isWaitingOrClaimed(Entry))
      continue;
    if (Entry.State_ == TaskState::Claimed)
      Running.push_back(
          {{Record_.Id_, static_cast<std::int32_t>(Index)}, Entry.Attempt_});
    setUnplacedState(Entry, TaskState::Cancelled, "cancelled by its owner");
  }
  return Running;
}

} // namespace filbertspring
