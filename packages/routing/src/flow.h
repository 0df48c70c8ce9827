#ifndef FILBERTSPRING_ROUTING_SRC_FLOW_H
#define FILBERTSPRING_ROUTING_SRC_FLOW_H

/// \file
/// The requests of one service of one contract: limits, queue and fair turn.

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

/// A contract in force and what all of its services share.
struct ContractState {
  Contract Terms_;
  std::int32_t Permille_ = 0;
  RetryBudget Budget_;
};

/// Requests ordered by deadline, then by ticket.
using DeadlineQueue = std::set<std::pair<TimePoint, std::uint64_t>>;

/// One service of one contract.
struct Flow {
  std::shared_ptr<ContractState> Contract_;
  ServiceTerms Terms_;
  RateLimiter Rate_;
  /// This instance's share of the concurrency limit.
  std::int64_t Limit_ = 0;
  /// Requests that hold a unit of it: their work may still be running.
  std::int64_t InUse_ = 0;
  /// Requests with an attempt that has not ended.
  std::int64_t Active_ = 0;
  /// Time of one attempt.
  MovingMean Latency_{0.05};
  /// Requests that wait for a unit of the limit and an endpoint.
  DeadlineQueue Waiting_{};
  /// Requests that hold a unit and wait for another endpoint.
  DeadlineQueue Retrying_{};
  /// Virtual time at which its next request may start.
  double NextTurn_ = 0.0;
  /// False once the contract is no longer in force or leaves it out. It is kept
  /// while its requests hold units, which count if it comes back.
  bool InForce_ = true;

  std::size_t queued() const { return Waiting_.size() + Retrying_.size(); }
  /// Returns the ticket of the request to be sent next, or nothing.
  std::optional<std::uint64_t> next() const;
  /// Returns how long a request that is queued now is likely to wait.
  Duration predictedWait() const;
};

/// Shares the endpoints of one service between contracts, in proportion to
/// their weights and the time that their requests take.
class FairQueue {
public:
  void add(std::shared_ptr<Flow> Member);
  void remove(const Flow *Member);

  /// Returns the flows that have a request to send, the one whose turn it is
  /// first. O(F log F) for F flows. The pointers hold until add() or remove().
  std::vector<Flow *> inTurn() const;
  /// Accounts for a request of \p Member that was sent.
  void charge(Flow &Member);

private:
  std::vector<std::shared_ptr<Flow>> Members_;
  double VirtualTime_ = 0.0;
};

} // namespace filbertspring::routing

#endif // FILBERTSPRING_ROUTING_SRC_FLOW_H
