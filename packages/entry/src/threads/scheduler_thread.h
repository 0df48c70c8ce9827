#ifndef FILBERTSPRING_ENTRY_THREADS_SCHEDULER_THREAD_H
#define FILBERTSPRING_ENTRY_THREADS_SCHEDULER_THREAD_H

/// \file
/// The thread that runs the scheduler.

#include "table_client_pool.h"
#include "worker_command_sender.h"

#include "filbertspring/base/counters.h"
#include "filbertspring/base/ring.h"
#include "filbertspring/config/settings.h"
#include "filbertspring/placement/scheduler.h"

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

namespace filbertspring {

/// Passes queued events to the scheduler and performs its actions.
class SchedulerThread {
public:
  /// \p Self is the name under which this process owns racks.
  SchedulerThread(const Settings &Values, const InstanceName &Self,
                  TableClientPool &Table, CounterRegistry &Counters);
  ~SchedulerThread();
  SchedulerThread(const SchedulerThread &) = delete;
  SchedulerThread &operator=(const SchedulerThread &) = delete;

  /// Queues \p Event for the scheduler. If the queue is full, the event is
  /// dropped and counted; the scheduler times out operations whose answers do
  /// not arrive. Thread-safe.
  void post(placement::PlacementEvent Event);

  /// Returns an explanation for each task of \p Job that the scheduler tracks.
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

  TableClientPool &Table_;
  Counter &DroppedEvents_;
  mutable std::mutex Mutex_;
  placement::Scheduler Scheduler_;
  Ring<placement::PlacementEvent> Events_;
  std::atomic<bool> Stopping_{false};
  WorkerCommandSender CommandSender_;
  std::thread Thread_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_THREADS_SCHEDULER_THREAD_H
