#ifndef FILBERTSPRING_ROUTING_ACTION_H
#define FILBERTSPRING_ROUTING_ACTION_H

/// \file
/// The actions that the router returns for its caller to carry out.

#include "filbertspring/base/id.h"
#include "filbertspring/base/time.h"
#include "filbertspring/domain/endpoint.h"
#include "filbertspring/routing/attempt.h"
#include "filbertspring/routing/outcome_table.h"

#include <cstdint>
#include <variant>

namespace filbertspring::routing {

/// Send the request to an endpoint.
struct SendAttempt {
  std::uint64_t Ticket_ = 0;
  AttemptNumber Attempt_ = 0;
  EndpointName Endpoint_;
  Address Address_;
  ZoneName Zone_;
  /// Whether to open a new connection. If false, the most recently used idle
  /// connection is reused, or a new one is opened when none is idle.
  bool FreshConnection_ = false;
  /// Time after which the attempt ends as TimedOut when no answer has arrived.
  Duration Timeout_{};
};

/// Cancel an attempt whose answer is no longer needed. Emitted only for
/// idempotent requests; the attempt still ends with one AttemptEnded.
struct CancelAttempt {
  std::uint64_t Ticket_ = 0;
  AttemptNumber Attempt_ = 0;
};

/// Answer the caller. Emitted exactly once for each ticket.
struct AnswerCaller {
  std::uint64_t Ticket_ = 0;
  RequestOutcome Outcome_ = RequestOutcome::Unknown;
  /// Valid only when the outcome is NotRun.
  NotRunReason Reason_ = NotRunReason::NoEndpoint;
  /// Time after which a repeated request may succeed. Valid only when the
  /// outcome is NotRun.
  Duration RetryAfter_{};
  /// The attempt whose answer is returned to the caller. Valid only when the
  /// outcome is Completed.
  AttemptNumber Attempt_ = 0;
};

/// Close the idle connections to an endpoint that were opened before
/// OpenedBefore_.
struct DropConnections {
  EndpointName Endpoint_;
  TimePoint OpenedBefore_;
};

/// Any action of the router.
using RoutingAction =
    std::variant<SendAttempt, CancelAttempt, AnswerCaller, DropConnections>;

} // namespace filbertspring::routing

#endif // FILBERTSPRING_ROUTING_ACTION_H
