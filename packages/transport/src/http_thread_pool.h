#ifndef FILBERTSPRING_TRANSPORT_HTTP_THREAD_POOL_H
#define FILBERTSPRING_TRANSPORT_HTTP_THREAD_POOL_H

/// \file
/// The threads that serve accepted connections.

#include "filbertspring/base/ring.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <httplib.h>
#include <thread>
#include <vector>

namespace filbertspring {

/// A fixed number of threads behind a bounded ring. A connection that finds
/// the ring full is served by the accepting thread, as one to be shed.
class HttpThreadPool final : public httplib::TaskQueue {
public:
  HttpThreadPool(std::size_t Threads, std::size_t MaxWaiting);

  void enqueue(std::function<void()> Task) override;
  /// Waits for the tasks that were enqueued, then joins the threads.
  void shutdown() override;

  /// Returns true on a thread that must refuse the connection it serves.
  static bool shedding();
  /// Returns true when connections wait for a thread.
  bool hasWaiting() const { return Waiting_ > 0; }

private:
  void run();

  Ring<std::function<void()>> Tasks_;
  std::atomic<std::size_t> Waiting_{0};
  std::vector<std::thread> Threads_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_TRANSPORT_HTTP_THREAD_POOL_H
