#include "scheduler_views.h"

#include <algorithm>
#include <fmt/format.h>

namespace filbertspring::placement {
namespace {

bool ownsAnyRack(const SchedulerCore &Core) {
  return std::ranges::any_of(
      Core.Racks_, [](const auto &Item) { return Item.second.Owned_; });
}

WaitReason waitReasonOf(const SchedulerCore &Core, const JobEntry &Entry) {
  if (Core.Draining_)
    return WaitReason::Draining;
  if (!Core.PlatformReachable_)
    return WaitReason::PlatformUnreachable;
  if (Entry.Locked_ || Entry.Stale_)
    return WaitReason::CommitUnderWay;
  if (!ownsAnyRack(Core))
    return WaitReason::NoRack;
  if (Entry.EligibleAt_ > Core.Now_)
    return WaitReason::LeftToPeer;
  return Entry.LastWaitReason_;
}

std::string explainTask(const SchedulerCore &Core, const JobEntry &Entry,
                        const Task &Subject) {
  if (Subject.State_ == TaskState::Claimed)
    return fmt::format("attempt {} on worker {} in zone {}", Subject.Attempt_,
                       Subject.Placement_.Worker_.str(),
                       Subject.Placement_.Zone_.str());
  if (Subject.State_ != TaskState::Waiting)
    return Subject.Reason_;
  std::string_view Why = nameOf(WaitReasonNames, waitReasonOf(Core, Entry));
  if (Subject.Reason_.empty())
    return std::string(Why);
  return fmt::format("{}; the last attempt ended: {}", Why, Subject.Reason_);
}

std::size_t attemptsOn(const RackState &Rack, const WorkerName &Worker) {
  return std::ranges::count_if(Rack.TrackedAttempts_, [&](const auto &Item) {
    return Item.second.Worker_ == Worker;
  });
}

void addWorkers(const SchedulerCore &Core, const RackState &Rack,
                SchedulerSnapshot &Snapshot) {
  for (const RackWorker &RowWorker : Rack.Row_.Workers_) {
    WorkerSnapshot Entry;
    Entry.Name_ = RowWorker.Name_;
    Entry.Rack_ = Rack.Name_;
    Entry.Zone_ = Rack.Zone_;
    Entry.Capacity_ = RowWorker.Capacity_;
    Entry.Committed_ = RowWorker.committed();
    Entry.Attempts_ = attemptsOn(Rack, RowWorker.Name_);
    auto It = Core.Workers_.find(RowWorker.Name_);
    if (It != Core.Workers_.end()) {
      const WorkerState &Worker = It->second;
      Entry.Reachable_ = Worker.LatestReading_ && Worker.Failures_ == 0;
      Entry.Leaving_ = Worker.Leaving_;
    }
    Snapshot.Workers_.push_back(std::move(Entry));
  }
}

} // namespace

std::vector<TaskExplanation> explainJob(const SchedulerCore &Core,
                                        const JobId &Job) {
  std::vector<TaskExplanation> Lines;
  const JobEntry *Entry = Core.Jobs_.find(Job);
  if (Entry == nullptr)
    return Lines;
  std::int32_t Index = 0;
  for (const Task &CurrentTask : Entry->Record_.Tasks_) {
    Lines.push_back({{Job, Index},
                     CurrentTask.State_,
                     explainTask(Core, *Entry, CurrentTask)});
    ++Index;
  }
  return Lines;
}

SchedulerSnapshot snapshotOf(const SchedulerCore &Core) {
  SchedulerSnapshot Snapshot;
  for (const auto &[Name, Rack] : Core.Racks_) {
    Snapshot.Racks_.push_back({Name, Rack.Zone_, Rack.Owned_, Rack.Epoch_,
                               Rack.TrackedAttempts_.size()});
    if (Rack.Owned_)
      addWorkers(Core, Rack, Snapshot);
  }
  for (const auto &[Name, Entry] : Core.Jobs_.jobs())
    Snapshot.WaitingTasks_ += Entry.WaitingTaskIndexes_.size();
  Snapshot.Drained_ =
      Core.Draining_ && Core.RackOfCommit_.empty() && !Core.PendingRejection_;
  return Snapshot;
}

} // namespace filbertspring::placement
