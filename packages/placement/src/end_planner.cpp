#include "end_planner.h"

#include "row_updates.h"
#include "table_reads.h"

#include <algorithm>

namespace filbertspring::placement {
namespace {

Status applyEnd(Job &Subject, const TrackedAttempt &Held) {
  const AttemptRef &Attempt = Held.Assignment_.Attempt_;
  std::int32_t Index = Attempt.Task_.Index_;
  switch (Held.End_) {
  case AttemptEnd::Finished:
    return Subject.finish(Index, Attempt.Attempt_);
  case AttemptEnd::Failed:
    return Subject.fail(Index, Attempt.Attempt_, Held.EndReason_);
  case AttemptEnd::Evicted:
    return Subject.evict(Index, Attempt.Attempt_, Held.Checkpoint_,
                         Held.EndReason_);
  case AttemptEnd::Lost:
    break;
  }
  // The next attempt goes on from the last checkpoint that was reported.
  const Task &Entry = Subject.record().Tasks_[Index];
  bool Progressed =
      !Held.Checkpoint_.empty() && Held.Checkpoint_ != Entry.Checkpoint_;
  if (Progressed)
    return Subject.evict(Index, Attempt.Attempt_, Held.Checkpoint_,
                         Held.EndReason_);
  return Subject.recover(Index, Attempt.Attempt_, Held.EndReason_);
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

/// Returns the entry of the attempt's job when its row is known and free.
JobEntry *usableJob(SchedulerCore &Core, const JobId &Job) {
  JobEntry *Entry = Core.Jobs_.find(Job);
  if (Entry == nullptr || Entry->Stale_) {
    requestJob(Core, Job);
    return nullptr;
  }
  return Entry->Locked_ ? nullptr : Entry;
}

void planEnd(SchedulerCore &Core, RackState &Rack, const TrackedAttempt &Held,
             RackDraft &Draft) {
  const AttemptRef &Attempt = Held.Assignment_.Attempt_;
  JobEntry *Entry = usableJob(Core, Attempt.Task_.Job_);
  if (Entry == nullptr)
    return;
  ClaimStatus Standing = claimStatusOf(Entry->Record_, Attempt);
  if (Standing == ClaimStatus::NotYetVisible) {
    requestJob(Core, Attempt.Task_.Job_);
    return;
  }
  // A task that was cancelled keeps its state; only the capacity comes back.
  if (Standing == ClaimStatus::Claimed) {
    Result<Job *> Subject = Draft.job(Entry->Record_, Entry->Version_);
    if (!Subject || !applyEnd(**Subject, Held))
      return;
  }
  if (!Draft.rack().release(Attempt))
    return;
  Draft.touch();
  Core.log(eventOf(Held.End_), Attempt, Rack.Name_, Held.Worker_,
           Held.EndReason_);
}

} // namespace

bool hasEnds(const RackState &Rack) {
  return std::ranges::any_of(Rack.TrackedAttempts_, [](const auto &Item) {
    return Item.second.State_ == AttemptPhase::Ended;
  });
}

void planEnds(SchedulerCore &Core, RackState &Rack, RackDraft &Draft) {
  std::size_t Left = Core.Settings_.Batch_.MaxEndsPerCommit_;
  for (const auto &[Attempt, Held] : Rack.TrackedAttempts_) {
    if (Held.State_ != AttemptPhase::Ended)
      continue;
    if (Left-- == 0)
      return;
    planEnd(Core, Rack, Held, Draft);
  }
}

} // namespace filbertspring::placement
