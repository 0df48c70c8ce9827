#ifndef FILBERTSPRING_TRANSPORT_HTTP_THREAD_POOL_H
#define FILBERTSPRING_TRANSPORT_HTTP_THREAD_POOL_H

/// \file
/// A thread pool that serves accepted connections.

#include "filbertspring/base/ring.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <httplib.h>
#include <thread>
#include <vector>

namespace filbertspring {

/// A fixed number of threads with a bounded queue. When the queue is full, the
/// accepting thread itself runs the task with isShedding() set, so that the
/// connection is refused.
class HttpThreadPool final : public httplib::TaskQueue {
public:
  HttpThreadPool(std::size_t Threads, std::size_t MaxQueued);

  void enqueue(std::function<void()> Task) override;
  /// Completes the queued tasks, then joins the threads.
  void shutdown() override;

  /// Returns true when the current task must refuse its connection because the
  /// server is overloaded.
  static bool isShedding();
  /// Returns true when connections wait for a thread.
  bool hasQueuedTasks() const { return QueuedTasks_ > 0; }

private:
  void run();

  Ring<std::function<void()>> Tasks_;
  std::atomic<std::size_t> QueuedTasks_{0};
  std::vector<std::thread> Threads_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_TRANSPORT_HTTP_THREAD_POOL_H
