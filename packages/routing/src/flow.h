#ifndef FILBERTSPRING_ROUTING_SRC_FLOW_H
#define FILBERTSPRING_ROUTING_SRC_FLOW_H

/// \file
/// The requests of one service of one contract: limits, queues, and weighted
/// fair queueing between contracts.

#include "filbertspring/domain/contract.h"
#include "limiter.h"
#include "moving_mean.h"
#include "retry_budget.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace filbertspring::routing {

/// A contract in force and the state shared by all of its services.
struct ContractState {
  Contract Terms_;
  std::int32_t Permille_ = 0;
  RetryBudget Budget_;
};

/// Requests ordered by deadline, then by ticket.
using DeadlineQueue = std::set<std::pair<TimePoint, std::uint64_t>>;

/// The requests and limits of one service of one contract.
struct Flow {
  std::shared_ptr<ContractState> Contract_;
  ServiceTerms Terms_;
  RateLimiter RateLimiter_;
  /// The concurrency limit scaled by this instance's share: the number of
  /// concurrency permits.
  std::int64_t ConcurrencyLimit_ = 0;
  /// Requests that hold a permit because their work may still be running.
  std::int64_t PermitsInUse_ = 0;
  /// Requests with an active attempt.
  std::int64_t ActiveRequests_ = 0;
  /// Mean duration of a completed attempt.
  MovingMean Latency_{0.05};
  /// Requests that are waiting for a permit and an endpoint.
  DeadlineQueue Waiting_{};
  /// Requests that hold a permit and are waiting for another endpoint.
  DeadlineQueue Retrying_{};
  /// Earliest virtual start time of the next request, for fair queueing.
  double VirtualStart_ = 0.0;
  /// False once the contract is no longer in force or no longer has this
  /// service. The flow is kept while its requests hold permits, because these
  /// count against the limit if the service is added again.
  bool InForce_ = true;

  std::size_t queued() const { return Waiting_.size() + Retrying_.size(); }
  /// Returns the ticket of the request to be sent next, or std::nullopt when no
  /// request may be sent.
  std::optional<std::uint64_t> nextTicket() const;
  /// Returns the predicted wait of a request that is queued now.
  Duration predictedWait() const;
};

/// Shares the endpoints of one service between contracts by weighted fair
/// queueing: each contract receives endpoint time in proportion to its weight.
class FairQueue {
public:
  void add(std::shared_ptr<Flow> Member);
  void remove(const Flow *Member);

  /// Returns the flows that have a request to send, ordered by virtual start
  /// time. O(F log F) for F flows. The pointers are valid until add() or
  /// remove() is called.
  std::vector<Flow *> readyFlows() const;
  /// Advances the virtual time for a request of \p Member that was sent.
  void charge(Flow &Member);

private:
  std::vector<std::shared_ptr<Flow>> Members_;
  double VirtualTime_ = 0.0;
};

} // namespace filbertspring::routing

#endif // FILBERTSPRING_ROUTING_SRC_FLOW_H
