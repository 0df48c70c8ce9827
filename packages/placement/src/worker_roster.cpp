#include "worker_roster.h"

#include <algorithm>

namespace filbertspring::placement {
namespace {

enum class RosterChange { None, Upsert, Remove };

/// Returns what has to change for one worker. \p Known is its place in the
/// row, or null.
RosterChange changeFor(const SchedulerCore &Core, const WorkerState &Worker,
                       const RackWorker *Known) {
  if (!Worker.ListedAt_)
    return RosterChange::None;
  Duration Absent = Core.Now_ - *Worker.ListedAt_;
  if (Absent > Core.Settings_.Rejection_.WorkerRetention_) {
    bool Removable = Known != nullptr && Known->Assignments_.empty();
    return Removable ? RosterChange::Remove : RosterChange::None;
  }
  bool Same = Known != nullptr && Known->Capacity_ == Worker.Capacity_;
  return Same ? RosterChange::None : RosterChange::Upsert;
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
  static const std::set<WorkerName> None;
  auto Found = Core.WorkersByRack_.find(Rack);
  return Found == Core.WorkersByRack_.end() ? None : Found->second;
}

bool rosterNeedsUpdate(const SchedulerCore &Core, const RackState &Rack) {
  return std::ranges::any_of(
      workersOf(Core, Rack.Name_), [&](const WorkerName &Name) {
        const WorkerState &Worker = Core.Workers_.at(Name);
        const RackWorker *Known = findIn(Rack.Row_, Name);
        return changeFor(Core, Worker, Known) != RosterChange::None;
      });
}

void planRosterUpdate(const SchedulerCore &Core, const RackState &Rack,
                      RackDraft &Draft) {
  for (const WorkerName &Name : workersOf(Core, Rack.Name_)) {
    const WorkerState &Worker = Core.Workers_.at(Name);
    const RackWorker *Known = Draft.rack().findWorker(Name);
    RosterChange Wanted = changeFor(Core, Worker, Known);
    if (Wanted == RosterChange::None)
      continue;
    Draft.touch();
    if (Wanted == RosterChange::Remove) {
      (void)Draft.rack().removeWorker(Name); // It has no assignment.
      continue;
    }
    Resources Reserved = Known == nullptr ? Resources{} : Known->Reserved_;
    Draft.rack().upsertWorker(Name, Worker.Capacity_, Reserved);
  }
}

} // namespace filbertspring::placement
