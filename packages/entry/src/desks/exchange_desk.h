#ifndef FILBERTSPRING_ENTRY_DESKS_EXCHANGE_DESK_H
#define FILBERTSPRING_ENTRY_DESKS_EXCHANGE_DESK_H

/// \file
/// Threads that carry requests to endpoints and their answers back.

#include "ticket_desk.h"

#include "filbertspring/base/ring.h"
#include "filbertspring/routing/action.h"
#include "filbertspring/routing/event.h"
#include "filbertspring/transport/http_exchange.h"

#include <functional>
#include <thread>
#include <vector>

namespace filbertspring {

/// Performs attempts on a fixed number of threads.
class ExchangeDesk {
public:
  /// Called on an exchange thread with the end of each attempt.
  using Ended = std::function<void(routing::AttemptEnded)>;

  ExchangeDesk(std::size_t Threads, Duration IdleLimit, TicketDesk &Tickets,
               Ended OnEnded);
  ~ExchangeDesk();
  ExchangeDesk(const ExchangeDesk &) = delete;
  ExchangeDesk &operator=(const ExchangeDesk &) = delete;

  /// Queues \p Attempt; returns false when the ring is full.
  bool send(routing::SendAttempt Attempt);
  /// Closes the connections to \p Target that are idle now.
  void dropConnections(const Address &Target);
  /// Waits for the queued attempts and joins the threads.
  void stop();

private:
  void run();
  routing::AttemptEnded perform(const routing::SendAttempt &Attempt);

  static constexpr std::size_t RingCapacity = 2048;

  TicketDesk &Tickets_;
  Ended OnEnded_;
  ExchangePool Pool_;
  Ring<routing::SendAttempt> Attempts_;
  std::vector<std::thread> Threads_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_DESKS_EXCHANGE_DESK_H
