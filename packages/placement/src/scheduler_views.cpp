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
                SchedulerSnapshot &View) {
  for (const RackWorker &Each : Rack.Row_.Workers_) {
    WorkerSnapshot Shown;
    Shown.Name_ = Each.Name_;
    Shown.Rack_ = Rack.Name_;
    Shown.Zone_ = Rack.Zone_;
    Shown.Capacity_ = Each.Capacity_;
    Shown.Committed_ = Each.committed();
    Shown.Attempts_ = attemptsOn(Rack, Each.Name_);
    auto Known = Core.Workers_.find(Each.Name_);
    if (Known != Core.Workers_.end()) {
      const WorkerState &Worker = Known->second;
      Shown.Reachable_ = Worker.LatestReading_ && Worker.Failures_ == 0;
      Shown.Leaving_ = Worker.Leaving_;
    }
    View.Workers_.push_back(std::move(Shown));
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
  for (const Task &Each : Entry->Record_.Tasks_) {
    Lines.push_back(
        {{Job, Index}, Each.State_, explainTask(Core, *Entry, Each)});
    ++Index;
  }
  return Lines;
}

SchedulerSnapshot snapshotOf(const SchedulerCore &Core) {
  SchedulerSnapshot View;
  for (const auto &[Name, Rack] : Core.Racks_) {
    View.Racks_.push_back({Name, Rack.Zone_, Rack.Owned_, Rack.Epoch_,
                           Rack.TrackedAttempts_.size()});
    if (Rack.Owned_)
      addWorkers(Core, Rack, View);
  }
  for (const auto &[Name, Entry] : Core.Jobs_.jobs())
    View.WaitingTasks_ += Entry.WaitingTaskIndexes_.size();
  View.Drained_ =
      Core.Draining_ && Core.Commits_.empty() && !Core.PendingRejection_;
  return View;
}

} // namespace filbertspring::placement
