#ifndef FILBERTSPRING_PLACEMENT_SCHEDULER_H
#define FILBERTSPRING_PLACEMENT_SCHEDULER_H

/// \file
/// The scheduler of one entry instance.

#include "filbertspring/base/id.h"
#include "filbertspring/base/time.h"
#include "filbertspring/placement/placement_action.h"
#include "filbertspring/placement/placement_event.h"
#include "filbertspring/placement/scheduler_settings.h"
#include "filbertspring/placement/scheduler_view.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace filbertspring::placement {

/// Assigns waiting tasks to workers, maintains their leases and records their
/// ends in the table. It takes events and returns actions; it reads no clock
/// and does no I/O. Not thread-safe.
///
/// Two schedulers may both assume that they own the same rack. This causes
/// redundant work but is safe: each change of committed capacity is a
/// conditional write of the rack's row, and each start belongs to a committed
/// claim.
class Scheduler {
public:
  /// \p Seed randomizes backoffs and makes transaction identifiers unique, so
  /// it must differ for each start of an instance.
  Scheduler(SchedulerSettings Settings, InstanceName Self, std::uint64_t Seed);
  ~Scheduler();
  Scheduler(Scheduler &&) noexcept;
  Scheduler &operator=(Scheduler &&) noexcept;

  /// Processes \p Event at time \p Now, which must not decrease, and appends
  /// the resulting actions to \p Out. Logarithmic in the jobs and workers,
  /// linear in the racks of this instance and in the rows of the event.
  void handle(const PlacementEvent &Event, TimePoint Now,
              std::vector<PlacementAction> &Out);

  /// Returns the time at which handle() needs a Tick, or nothing.
  std::optional<TimePoint> nextWake() const;

  /// Returns an entry for each task of \p Job; empty when the job is unknown to
  /// this scheduler.
  std::vector<TaskExplanation> explain(const JobId &Job) const;

  /// Returns the current state. Linear in racks, workers and waiting jobs.
  SchedulerSnapshot snapshot() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_SCHEDULER_H
