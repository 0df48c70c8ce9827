#ifndef FILBERTSPRING_ENTRY_DESKS_WORKER_DESK_H
#define FILBERTSPRING_ENTRY_DESKS_WORKER_DESK_H

/// \file
/// Threads that carry commands to workers and their answers back.

#include "filbertspring/base/ring.h"
#include "filbertspring/config/settings.h"
#include "filbertspring/placement/placement_action.h"
#include "filbertspring/placement/placement_event.h"
#include "filbertspring/platform/worker_client.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace filbertspring {

/// Sends commands on a fixed number of threads. One connection to each worker
/// is kept, since one exchange with each is under way at a time.
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
  void send(const placement::SendCommands &Commands);
  /// Waits for the queued commands and joins the threads.
  void stop();

private:
  void run();
  WorkerClient takeClient(const Address &Worker);
  void giveBack(const Address &Worker, WorkerClient Client);

  static constexpr std::size_t RingCapacity = 2048;

  const Settings &Values_;
  Answered OnAnswered_;
  Ring<placement::SendCommands> Commands_;
  std::mutex Mutex_;
  /// Connections by address.
  std::map<std::string, WorkerClient> Idle_;
  std::vector<std::thread> Threads_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_DESKS_WORKER_DESK_H
