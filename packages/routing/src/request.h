#ifndef FILBERTSPRING_ROUTING_SRC_REQUEST_H
#define FILBERTSPRING_ROUTING_SRC_REQUEST_H

/// \file
/// A request that the router holds.

#include "endpoint_table.h"
#include "flow.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <vector>

namespace filbertspring::routing {

/// One attempt of a request; its number is its position, from 1.
struct Attempt {
  EndpointId Endpoint_ = 0;
  TimePoint SentAt_;
  bool FreshConnection_ = false;
  bool Active_ = true;
  bool CancelSent_ = false;
};

/// A request from its admission until its work is surely over.
struct Request {
  std::uint64_t Ticket_ = 0;
  std::shared_ptr<Flow> Flow_;
  TimePoint Deadline_;
  bool Idempotent_ = true;
  /// When it last joined the queue.
  TimePoint QueuedAt_;
  std::vector<Attempt> Attempts_;
  /// Endpoints of its attempts, but for those that were busy.
  std::vector<EndpointId> Tried_;
  bool Queued_ = false;
  bool Answered_ = false;
  bool CallerGone_ = false;
  bool HoldsUnit_ = false;
  /// An attempt ended without saying whether it ran.
  bool MayHaveRun_ = false;
  /// How the last attempt ended that did not complete.
  AttemptResult LastResult_ = AttemptResult::ConnectFailed;

  /// Attempts that its endpoints refused.
  std::int32_t Refusals_ = 0;

  /// Returns the number of the other attempts.
  std::int32_t unrefused() const {
    return static_cast<std::int32_t>(Attempts_.size()) - Refusals_;
  }
  bool active() const {
    return std::ranges::any_of(Attempts_, &Attempt::Active_);
  }
};

} // namespace filbertspring::routing

#endif // FILBERTSPRING_ROUTING_SRC_REQUEST_H
