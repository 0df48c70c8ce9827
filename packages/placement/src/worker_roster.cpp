#include "worker_roster.h"

#include <algorithm>

namespace filbertspring::placement {
namespace {

enum class RosterChange { None, Upsert, Remove };

/// Returns the change that the row of the rack needs for one worker. \p InRow
/// is the worker's entry in the row, or null.
RosterChange changeFor(const SchedulerCore &Core, const WorkerState &Worker,
                       const RackWorker *InRow) {
  if (!Worker.ListedAt_)
    return RosterChange::None;
  Duration UnlistedFor = Core.Now_ - *Worker.ListedAt_;
  if (UnlistedFor > Core.Settings_.Rejection_.WorkerRetention_) {
    bool Removable = InRow != nullptr && InRow->Assignments_.empty();
    return Removable ? RosterChange::Remove : RosterChange::None;
  }
  bool UpToDate = InRow != nullptr && InRow->Capacity_ == Worker.Capacity_;
  return UpToDate ? RosterChange::None : RosterChange::Upsert;
}

const RackWorker *findIn(const RackRecord &Row, const WorkerName &Name) {
  auto Found = std::ranges::find(Row.Workers_, Name, &RackWorker::Name_);
  return Found == Row.Workers_.end() ? nullptr : &*Found;
}

} // namespace

void moveToRack(SchedulerCore &Core, WorkerState &Worker, const RackName &Rack,
                const ZoneName &Zone) {
  Core.WorkersByRack_[Worker.Rack_].erase(Worker.Name_);
  Core.WorkersByRack_[Rack].insert(Worker.Name_);
  Worker.Rack_ = Rack;
  Worker.Zone_ = Zone;
}

const std::set<WorkerName> &workersOf(const SchedulerCore &Core,
                                      const RackName &Rack) {
  static const std::set<WorkerName> NoWorkers;
  auto Found = Core.WorkersByRack_.find(Rack);
  return Found == Core.WorkersByRack_.end() ? NoWorkers : Found->second;
}

bool rosterNeedsUpdate(const SchedulerCore &Core, const RackState &Rack) {
  return std::ranges::any_of(
      workersOf(Core, Rack.Name_), [&](const WorkerName &Name) {
        const WorkerState &Worker = Core.Workers_.at(Name);
        const RackWorker *InRow = findIn(Rack.Row_, Name);
        return changeFor(Core, Worker, InRow) != RosterChange::None;
      });
}

void planRosterUpdate(const SchedulerCore &Core, const RackState &Rack,
                      RackDraft &Draft) {
  for (const WorkerName &Name : workersOf(Core, Rack.Name_)) {
    const WorkerState &Worker = Core.Workers_.at(Name);
    const RackWorker *InRow = Draft.rack().findWorker(Name);
    RosterChange Required = changeFor(Core, Worker, InRow);
    if (Required == RosterChange::None)
      continue;
    Draft.touch();
    if (Required == RosterChange::Remove) {
      (void)Draft.rack().removeWorker(Name); // Cannot fail without assignments.
      continue;
    }
    Resources Reserved = InRow == nullptr ? Resources{} : InRow->Reserved_;
    Draft.rack().upsertWorker(Name, Worker.Capacity_, Reserved);
  }
}

} // namespace filbertspring::placement
