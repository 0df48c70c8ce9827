#ifndef FILBERTSPRING_ENTRY_DESKS_WORKER_DESK_H
#define FILBERTSPRING_ENTRY_DESKS_WORKER_DESK_H

/// \file
/// Threads that carry commands to workers and their answers back.

#include "filbertspring/base/ring.h"
#include "filbertspring/config/settings.h"
#include "filbertspring/placement/placement_action.h"
#include "filbertspring/placement/placement_event.h"

#include <atomic>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace filbertspring {

/// Sends commands on a fixed number of threads. Each thread keeps connections
/// of its own.
class WorkerDesk {
public:
  /// Called on a worker thread with the answer or the failure.
  using Answered = std::function<void(placement::PlacementEvent)>;

  WorkerDesk(const Settings &Values, std::size_t Threads, Answered OnAnswered);
  ~WorkerDesk();
  WorkerDesk(const WorkerDesk &) = delete;
  WorkerDesk &operator=(const WorkerDesk &) = delete;

  /// Queues \p Commands; when the ring is full the failure is reported at once
  /// on this thread.
  void send(placement::SendCommands Commands);
  /// Waits for the queued commands and joins the threads.
  void stop();

private:
  void run();

  static constexpr std::size_t RingCapacity = 2048;

  const Settings &Values_;
  Answered OnAnswered_;
  Ring<placement::SendCommands> Commands_;
  std::atomic<bool> Stopping_{false};
  std::vector<std::thread> Threads_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_DESKS_WORKER_DESK_H
