#ifndef FILBERTSPRING_ENTRY_THREADS_ATTEMPT_SENDER_H
#define FILBERTSPRING_ENTRY_THREADS_ATTEMPT_SENDER_H

/// \file
/// A pool of threads that send requests to endpoints and receive the answers.

#include "pending_request_table.h"

#include "filbertspring/base/ring.h"
#include "filbertspring/routing/action.h"
#include "filbertspring/routing/event.h"
#include "filbertspring/transport/http_exchange.h"

#include <functional>
#include <thread>
#include <vector>

namespace filbertspring {

/// Performs attempts (HTTP exchanges with endpoints) on a fixed number of
/// threads.
class AttemptSender {
public:
  /// Called on one of the threads when an attempt has ended.
  using EndCallback = std::function<void(routing::AttemptEnded)>;

  AttemptSender(std::size_t Threads, Duration IdleLimit,
                PendingRequestTable &PendingRequests, EndCallback OnEnded);
  ~AttemptSender();
  AttemptSender(const AttemptSender &) = delete;
  AttemptSender &operator=(const AttemptSender &) = delete;

  /// Queues \p Attempt. Returns false if the queue is full.
  bool send(routing::SendAttempt Attempt);
  /// Closes all connections to \p Target that are currently idle.
  void dropConnections(const Address &Target);
  /// Waits for the queued attempts and joins the threads.
  void stop();

private:
  void run();
  routing::AttemptEnded perform(const routing::SendAttempt &Attempt);

  static constexpr std::size_t RingCapacity = 2048;

  PendingRequestTable &PendingRequests_;
  EndCallback OnEnded_;
  ExchangePool Pool_;
  Ring<routing::SendAttempt> Attempts_;
  std::vector<std::thread> Threads_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_THREADS_ATTEMPT_SENDER_H
