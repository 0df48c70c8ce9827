#ifndef FILBERTSPRING_ENTRY_THREADS_PENDING_REQUEST_TABLE_H
#define FILBERTSPRING_ENTRY_THREADS_PENDING_REQUEST_TABLE_H

/// \file
/// Requests that wait for an answer, shared by the threads that serve callers,
/// the router thread and the threads that send attempts.

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

/// The decision of the router on a request.
struct RequestDecision {
  routing::RequestOutcome Outcome_ = routing::RequestOutcome::Unknown;
  routing::NotRunReason Reason_ = routing::NotRunReason::NoEndpoint;
  Duration RetryAfter_{};
  /// The complete answer of the endpoint, if the outcome is Completed.
  HttpAnswer Completed_;
};

/// A request whose caller waits for the decision of the router.
struct PendingRequest {
  /// The request that is sent to endpoints.
  HttpRequest Outgoing_;

  std::mutex Mutex_;
  std::condition_variable DecisionReady_;
  /// The complete answers by attempt number, until the router selects one.
  std::map<std::int32_t, HttpAnswer> ReceivedAnswers_;
  std::optional<RequestDecision> Decision_;
};

/// The pending requests by number. Events and actions of the router refer to a
/// request by this number (\c Ticket_). Thread-safe.
class PendingRequestTable {
public:
  /// Adds a pending request that is sent as \p Outgoing and returns its number.
  /// Numbers are never reused.
  std::uint64_t open(HttpRequest Outgoing);
  /// Returns the request, or null if it is no longer pending.
  std::shared_ptr<PendingRequest> find(std::uint64_t Number) const;
  /// Removes the request.
  void close(std::uint64_t Number);

  /// Stores the complete answer of one attempt.
  void storeReceived(std::uint64_t Number, std::int32_t Attempt,
                     HttpAnswer Answer);
  /// Passes the router's decision to the waiting caller. \p Attempt is the
  /// attempt whose received answer is passed on.
  void answer(std::uint64_t Number, RequestDecision Decision,
              std::int32_t Attempt);
  /// Waits for the decision until \p Limit at the latest. Returns std::nullopt
  /// if there is none by then.
  static std::optional<RequestDecision> wait(PendingRequest &Request,
                                             TimePoint Limit);

  /// Returns the number of pending requests.
  std::size_t size() const;

private:
  mutable std::mutex Mutex_;
  std::uint64_t LastNumber_ = 0;
  std::unordered_map<std::uint64_t, std::shared_ptr<PendingRequest>> Requests_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_THREADS_PENDING_REQUEST_TABLE_H
