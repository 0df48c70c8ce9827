#ifndef FILBERTSPRING_ENTRY_DESKS_TICKET_DESK_H
#define FILBERTSPRING_ENTRY_DESKS_TICKET_DESK_H

/// \file
/// Requests that wait for their answer, between the threads that serve callers
/// and the router's thread.

#include "filbertspring/base/time.h"
#include "filbertspring/routing/outcome_table.h"
#include "filbertspring/transport/http_message.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace filbertspring {

/// What the router decided about a request.
struct TicketAnswer {
  routing::RequestOutcome Outcome_ = routing::RequestOutcome::Unknown;
  routing::NotRunReason Reason_ = routing::NotRunReason::NoEndpoint;
  Duration RetryAfter_{};
  /// The endpoint's whole answer, when completed.
  HttpAnswer Completed_;
};

/// A request while it is held.
struct Ticket {
  /// What is sent to endpoints.
  HttpRequest Outgoing_;

  std::mutex Mutex_;
  std::condition_variable Answered_;
  /// Whole answers by attempt, until the router chooses one.
  std::map<std::int32_t, HttpAnswer> Received_;
  std::optional<TicketAnswer> Answer_;
};

/// The requests that are held, by number. Thread-safe.
class TicketDesk {
public:
  /// Holds \p Outgoing and returns its number, which is never used twice.
  std::uint64_t open(HttpRequest Outgoing);
  /// Returns the request, or null when it is no longer held.
  std::shared_ptr<Ticket> find(std::uint64_t Number) const;
  /// Forgets the request.
  void close(std::uint64_t Number);

  /// Keeps the whole answer of one attempt.
  void storeReceived(std::uint64_t Number, std::int32_t Attempt,
                     HttpAnswer Answer);
  /// Gives the router's decision to the waiting caller; \p Attempt names the
  /// received answer that is passed on.
  void answer(std::uint64_t Number, TicketAnswer Answer, std::int32_t Attempt);
  /// Waits for the decision at most until \p Limit.
  static std::optional<TicketAnswer> wait(Ticket &Held, TimePoint Limit);

  /// Returns how many requests are held.
  std::size_t size() const;

private:
  mutable std::mutex Mutex_;
  std::uint64_t Last_ = 0;
  std::unordered_map<std::uint64_t, std::shared_ptr<Ticket>> Tickets_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_DESKS_TICKET_DESK_H
