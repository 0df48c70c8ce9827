#ifndef FILBERTSPRING_PLACEMENT_WORKER_CAPACITY_INDEX_H
#define FILBERTSPRING_PLACEMENT_WORKER_CAPACITY_INDEX_H

/// \file
/// Detection of jobs that no worker can ever run.

#include "table_view.h"

#include "filbertspring/domain/endpoint.h"
#include "filbertspring/domain/job.h"
#include "filbertspring/placement/scheduler_settings.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace filbertspring::placement {

/// Keeps the capacities of the workers that the platform lists, and those of
/// delisted workers for ImpossibleSettings::WorkerMemory_.
class WorkerCapacityIndex {
public:
  /// Updates the index with a list of the platform. Linear in the workers.
  void update(const std::vector<ListedInstance> &Listed, TimePoint Now,
              const RejectionSettings &Settings);

  /// Returns the reason when the tasks of \p Job exceed the capacity of every
  /// worker in \p Zones. Returns std::nullopt when a worker may fit, also when
  /// the list is outdated or may be incomplete.
  std::optional<std::string>
  oversizeReason(const JobRecord &Job, const std::vector<ZoneName> &Zones,
                 TimePoint Now, const RejectionSettings &Settings) const;

private:
  struct ListedWorker {
    ZoneName Zone_;
    Resources Capacity_;
    TimePoint ListedAt_{};
  };
  void rebuildCapacities();

  std::map<WorkerName, ListedWorker> Workers_;
  /// Distinct capacities by zone.
  std::map<ZoneName, std::vector<Resources>> CapacitiesByZone_;
  std::optional<TimePoint> UpdatedAt_;
  /// When a list last had a new worker or a changed capacity or zone.
  TimePoint ChangedAt_{};
};

/// Returns the reason when the tasks of \p Job can never run because of its
/// contract, its zones or its size. Returns std::nullopt when they may run,
/// also when the contract or the zones are not known yet.
std::optional<std::string>
impossibleReason(const JobRecord &Job, const TableView &Table,
                 const WorkerCapacityIndex &Capacities, TimePoint Now,
                 const RejectionSettings &Settings);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_WORKER_CAPACITY_INDEX_H
