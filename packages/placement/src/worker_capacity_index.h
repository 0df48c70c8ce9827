#ifndef FILBERTSPRING_PLACEMENT_WORKER_CAPACITY_INDEX_H
#define FILBERTSPRING_PLACEMENT_WORKER_CAPACITY_INDEX_H

/// \file
/// Whether any worker could ever run a task.

#include "table_view.h"

#include "filbertspring/domain/endpoint.h"
#include "filbertspring/domain/job.h"
#include "filbertspring/placement/scheduler_settings.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace filbertspring::placement {

/// Remembers the capacities of the workers that the platform listed, for some
/// time after they left the list.
class WorkerCapacityIndex {
public:
  /// Takes in a list. Linear in the workers.
  void note(const std::vector<ListedInstance> &Listed, TimePoint Now,
            const RejectionSettings &Settings);

  /// Returns why no worker that is known, or may be missing from a lagging
  /// list, can run the tasks of \p Job; nothing when one may.
  std::optional<std::string> tooLarge(const JobRecord &Job,
                                      const std::vector<ZoneName> &Zones,
                                      TimePoint Now,
                                      const RejectionSettings &Settings) const;

private:
  struct Seen {
    ZoneName Zone_;
    Resources Capacity_;
    TimePoint At_{};
  };
  void rebuild();

  std::map<WorkerName, Seen> Seen_;
  /// Distinct capacities by zone.
  std::map<ZoneName, std::vector<Resources>> Shapes_;
  std::optional<TimePoint> ListedAt_;
  /// When a list last showed something new.
  TimePoint GrewAt_{};
};

/// Returns why the tasks of \p Job can never run, by its contract, its zones
/// or its size; nothing when they may. Says nothing about what is not known.
std::optional<std::string> impossibleReason(const JobRecord &Job,
                                            const TableView &Table,
                                            const WorkerCapacityIndex &Census,
                                            TimePoint Now,
                                            const RejectionSettings &Settings);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_WORKER_CAPACITY_INDEX_H
