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

/// Decides which waiting tasks run on which workers, holds their leases and
/// ends them in the table. Events go in, actions come out; it reads no clock
/// and does no I/O. Not thread-safe.
///
/// Two schedulers may believe that they own the same rack. That wastes effort
/// and breaks nothing: each change of committed capacity is a conditional
/// write of the rack's row, and each start belongs to a committed claim.
class Scheduler {
public:
  /// \p Seed varies backoffs and makes transaction names unique: each start of
  /// an instance needs another one.
  Scheduler(SchedulerSettings Settings, InstanceName Self, std::uint64_t Seed);
  ~Scheduler();
  Scheduler(Scheduler &&) noexcept;
  Scheduler &operator=(Scheduler &&) noexcept;

  /// Takes in \p Event at \p Now, which never goes back, and appends what is
  /// to be done to \p Out. Logarithmic in the jobs and workers, linear in the
  /// racks of this instance and in the rows of the event.
  void handle(const PlacementEvent &Event, TimePoint Now,
              std::vector<PlacementAction> &Out);

  /// Returns when handle() wants a Tick, or nothing.
  std::optional<TimePoint> nextWake() const;

  /// Returns a line for each task of \p Job; empty when it is not known here.
  std::vector<TaskExplanation> explain(const JobId &Job) const;

  /// Returns the present state. Linear in racks, workers and waiting jobs.
  SchedulerSnapshot snapshot() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_SCHEDULER_H
