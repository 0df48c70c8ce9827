#ifndef FILBERTSPRING_ROUTING_ACTION_H
#define FILBERTSPRING_ROUTING_ACTION_H

/// \file
/// What the router asks for.

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
  /// Open a new connection. Otherwise the idle connection that was used last
  /// serves, or a new one when none is idle.
  bool FreshConnection_ = false;
  /// End the attempt as TimedOut when nothing came after this time.
  Duration Timeout_{};
};

/// The answer of this attempt is no longer needed. Sent for idempotent requests
/// only; the attempt still ends with one AttemptEnded.
struct CancelAttempt {
  std::uint64_t Ticket_ = 0;
  AttemptNumber Attempt_ = 0;
};

/// Answer the caller. Each ticket gets exactly one of these.
struct AnswerCaller {
  std::uint64_t Ticket_ = 0;
  RequestOutcome Outcome_ = RequestOutcome::Unknown;
  /// Meaningful when the outcome is NotRun.
  NotRunReason Reason_ = NotRunReason::NoEndpoint;
  /// When a repeat may succeed; meaningful when the outcome is NotRun.
  Duration RetryAfter_{};
  /// The attempt whose answer is passed on, when the outcome is Completed.
  AttemptNumber Attempt_ = 0;
};

/// Close the idle connections to an endpoint that were opened before a time.
struct DropConnections {
  EndpointName Endpoint_;
  TimePoint OpenedBefore_;
};

/// Anything that the router asks for.
using RoutingAction =
    std::variant<SendAttempt, CancelAttempt, AnswerCaller, DropConnections>;

} // namespace filbertspring::routing

#endif // FILBERTSPRING_ROUTING_ACTION_H
