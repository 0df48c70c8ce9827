#ifndef FILBERTSPRING_ENTRY_THREADS_WORKER_COMMAND_SENDER_H
#define FILBERTSPRING_ENTRY_THREADS_WORKER_COMMAND_SENDER_H

/// \file
/// A pool of threads that send commands to workers and receive the answers.

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

/// Sends commands on a fixed number of threads. Keeps one connection per
/// worker, since there is at most one exchange with a worker at a time.
class WorkerCommandSender {
public:
  /// Called on one of the threads with the answer or the failure.
  using AnswerCallback = std::function<void(placement::PlacementEvent)>;

  WorkerCommandSender(const Settings &Values, std::size_t Threads,
                      AnswerCallback OnAnswered);
  ~WorkerCommandSender();
  WorkerCommandSender(const WorkerCommandSender &) = delete;
  WorkerCommandSender &operator=(const WorkerCommandSender &) = delete;

  /// Queues \p Commands. If the queue is full, the failure is reported at once
  /// on the calling thread.
  void send(const placement::SendCommands &Commands);
  /// Sends the queued commands and joins the threads.
  void stop();

private:
  void run();
  WorkerClient acquireClient(const Address &Worker);
  void releaseClient(const Address &Worker, WorkerClient Client);

  static constexpr std::size_t RingCapacity = 2048;

  const Settings &Settings_;
  AnswerCallback OnAnswered_;
  Ring<placement::SendCommands> Commands_;
  std::mutex Mutex_;
  /// The idle connections by worker address.
  std::map<std::string, WorkerClient> IdleClients_;
  std::vector<std::thread> Threads_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_THREADS_WORKER_COMMAND_SENDER_H
