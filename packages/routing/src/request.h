#ifndef FILBERTSPRING_ROUTING_SRC_REQUEST_H
#define FILBERTSPRING_ROUTING_SRC_REQUEST_H

/// \file
/// The state of one request in the router.

#include "endpoint_table.h"
#include "flow.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <vector>

namespace filbertspring::routing {

/// One attempt of a request. Its number is its position in Request::Attempts_,
/// starting at 1.
struct Attempt {
  EndpointId Endpoint_ = 0;
  TimePoint SentAt_;
  bool FreshConnection_ = false;
  bool Active_ = true;
  bool CancelSent_ = false;
};

/// A request from its admission until none of its attempts can still be
/// running.
struct Request {
  std::uint64_t Ticket_ = 0;
  std::shared_ptr<Flow> Flow_;
  TimePoint Deadline_;
  bool Idempotent_ = true;
  /// When the request was last queued.
  TimePoint QueuedAt_;
  std::vector<Attempt> Attempts_;
  /// Endpoints of its attempts, except those that refused it as busy.
  std::vector<EndpointId> TriedEndpoints_;
  bool Queued_ = false;
  bool Answered_ = false;
  bool CallerDisconnected_ = false;
  bool HoldsPermit_ = false;
  /// Whether an attempt ended without confirmation of whether the request ran.
  bool MayHaveRun_ = false;
  /// Result of the most recent attempt that did not complete.
  AttemptResult LastResult_ = AttemptResult::ConnectFailed;

  /// Number of attempts that were refused by an endpoint.
  std::int32_t Refusals_ = 0;

  /// Returns the number of attempts that were not refused.
  std::int32_t unrefusedAttempts() const {
    return static_cast<std::int32_t>(Attempts_.size()) - Refusals_;
  }
  bool hasActiveAttempt() const {
    return std::ranges::any_of(Attempts_, &Attempt::Active_);
  }
};

} // namespace filbertspring::routing

#endif // FILBERTSPRING_ROUTING_SRC_REQUEST_H
