#include "end_planner.h"

#include "row_updates.h"
#include "table_reads.h"

#include <algorithm>

namespace filbertspring::placement {
namespace {

Status applyEnd(Job &Subject, const TrackedAttempt &Tracked) {
  const AttemptRef &Attempt = Tracked.Assignment_.Attempt_;
  std::int32_t Index = Attempt.Task_.Index_;
  switch (Tracked.End_) {
  case AttemptEnd::Finished:
    return Subject.finish(Index, Attempt.Attempt_);
  case AttemptEnd::Failed:
    return Subject.fail(Index, Attempt.Attempt_, Tracked.EndReason_);
  case AttemptEnd::Evicted:
    return Subject.evict(Index, Attempt.Attempt_, Tracked.Checkpoint_,
                         Tracked.EndReason_);
  case AttemptEnd::Lost:
    break;
  }
  // The next attempt resumes from the last reported checkpoint.
  const Task &Entry = Subject.record().Tasks_[Index];
  bool Progressed =
      !Tracked.Checkpoint_.empty() && Tracked.Checkpoint_ != Entry.Checkpoint_;
  if (Progressed)
    return Subject.evict(Index, Attempt.Attempt_, Tracked.Checkpoint_,
                         Tracked.EndReason_);
  return Subject.recover(Index, Attempt.Attempt_, Tracked.EndReason_);
}

LogEvent eventOf(AttemptEnd End) {
  switch (End) {
  case AttemptEnd::Finished:
  case AttemptEnd::Failed:
    return LogEvent::TaskFinished;
  case AttemptEnd::Evicted:
    return LogEvent::TaskEvicted;
  case AttemptEnd::Lost:
    break;
  }
  return LogEvent::TaskRecovered;
}

/// Returns the entry of \p Job when its row is current and no transaction of
/// this scheduler writes it, else null.
JobEntry *findUnlockedJob(SchedulerCore &Core, const JobId &Job) {
  JobEntry *Entry = Core.Jobs_.find(Job);
  if (Entry == nullptr || Entry->Stale_) {
    requestJob(Core, Job);
    return nullptr;
  }
  return Entry->Locked_ ? nullptr : Entry;
}

void planEnd(SchedulerCore &Core, RackState &Rack,
             const TrackedAttempt &Tracked, RackDraft &Draft) {
  const AttemptRef &Attempt = Tracked.Assignment_.Attempt_;
  JobEntry *Entry = findUnlockedJob(Core, Attempt.Task_.Job_);
  if (Entry == nullptr)
    return;
  ClaimStatus Status = claimStatusOf(Entry->Record_, Attempt);
  if (Status == ClaimStatus::NotYetVisible) {
    requestJob(Core, Attempt.Task_.Job_);
    return;
  }
  // A cancelled task keeps its state; only its capacity is released.
  if (Status == ClaimStatus::Claimed) {
    Result<Job *> Subject = Draft.job(Entry->Record_, Entry->Version_);
    if (!Subject || !applyEnd(**Subject, Tracked))
      return;
  }
  if (!Draft.rack().release(Attempt))
    return;
  Draft.touch();
  Core.log(eventOf(Tracked.End_), Attempt, Rack.Name_, Tracked.Worker_,
           Tracked.EndReason_);
}

} // namespace

bool hasEndedAttempts(const RackState &Rack) {
  return std::ranges::any_of(Rack.TrackedAttempts_, [](const auto &Item) {
    return Item.second.State_ == AttemptPhase::Ended;
  });
}

void planEnds(SchedulerCore &Core, RackState &Rack, RackDraft &Draft) {
  std::size_t Remaining = Core.Settings_.Batch_.MaxEndsPerCommit_;
  for (const auto &[Attempt, Tracked] : Rack.TrackedAttempts_) {
    if (Tracked.State_ != AttemptPhase::Ended)
      continue;
    if (Remaining-- == 0)
      return;
    planEnd(Core, Rack, Tracked, Draft);
  }
}

} // namespace filbertspring::placement
