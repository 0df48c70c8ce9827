#ifndef FILBERTSPRING_ENTRY_DESKS_PLACEMENT_DESK_H
#define FILBERTSPRING_ENTRY_DESKS_PLACEMENT_DESK_H

/// \file
/// The thread that owns the scheduler.

#include "table_desk.h"
#include "worker_desk.h"

#include "filbertspring/base/counters.h"
#include "filbertspring/base/ring.h"
#include "filbertspring/config/settings.h"
#include "filbertspring/placement/scheduler.h"

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

namespace filbertspring {

/// Feeds events to the scheduler and carries out its actions.
class PlacementDesk {
public:
  /// \p Self names this process among the owners of racks.
  PlacementDesk(const Settings &Values, const InstanceName &Self,
                TableDesk &Table, CounterRegistry &Counters);
  ~PlacementDesk();
  PlacementDesk(const PlacementDesk &) = delete;
  PlacementDesk &operator=(const PlacementDesk &) = delete;

  /// Gives \p Event to the scheduler's thread. An event that finds the ring
  /// full is dropped and counted; the scheduler times out what it waits for.
  void post(placement::PlacementEvent Event);

  /// Returns a line for each task of \p Job that the scheduler knows.
  std::vector<placement::TaskExplanation> explain(const JobId &Job) const;
  placement::SchedulerSnapshot snapshot() const;

  void stop();

private:
  void run();
  void handle(const placement::PlacementEvent &Event);
  void perform(placement::PlacementAction &Action);
  void commit(Transaction Request);
  void read(const placement::ReadRows &Request);
  Duration waitTime() const;

  static constexpr std::size_t RingCapacity = 16384;
  static constexpr std::size_t WorkerThreads = 16;

  TableDesk &Table_;
  Counter &Dropped_;
  mutable std::mutex Mutex_;
  placement::Scheduler Scheduler_;
  Ring<placement::PlacementEvent> Events_;
  std::atomic<bool> Stopping_{false};
  WorkerDesk Workers_;
  std::thread Thread_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_DESKS_PLACEMENT_DESK_H
