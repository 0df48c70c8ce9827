#ifndef FILBERTSPRING_ROUTING_ROUTER_H
#define FILBERTSPRING_ROUTING_ROUTER_H

/// \file
/// Decides which requests are admitted, to which endpoints they are sent, when
/// they are retried, and how their callers are answered.

#include "filbertspring/base/time.h"
#include "filbertspring/routing/action.h"
#include "filbertspring/routing/config.h"
#include "filbertspring/routing/event.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace filbertspring::routing {

/// Sizes of a router's state, for metrics.
struct RouterCounts {
  /// Requests that are waiting for an endpoint.
  std::size_t Queued_ = 0;
  /// Requests that hold a concurrency permit because their work may still be
  /// running.
  std::size_t InFlight_ = 0;
  /// Endpoints that may currently receive any request.
  std::size_t UsableEndpoints_ = 0;
};

/// Makes the routing decisions of one entry instance. Not thread-safe. The
/// router owns all of its state and performs no input or output.
class Router {
public:
  /// Creates a router whose random choices are determined by \p Seed.
  Router(RouterConfig Config, std::uint64_t Seed);
  ~Router();
  Router(Router &&) noexcept;
  Router &operator=(Router &&) noexcept;

  /// Handles \p Event at \p Now and appends the resulting actions to \p Out, to
  /// be carried out in order. \p Now must not decrease between calls. An event
  /// of one request takes time logarithmic in the number of requests held and,
  /// except with the baseline policies, independent of the number of endpoints.
  /// An endpoint list, contract or zone event takes time linear in the
  /// endpoints and requests held.
  void handle(const RoutingEvent &Event, TimePoint Now,
              std::vector<RoutingAction> &Out);

  /// Returns the time at which the next Tick is due, or std::nullopt.
  std::optional<TimePoint> nextWake() const;

  /// Returns the endpoint state to send to peers, ordered by endpoint name: the
  /// listed endpoints that are leaving, and those that reported their load to
  /// this router within \p MaxAge. Linear in the number of endpoints.
  std::vector<PeerEndpointReport> endpointReports(TimePoint Now,
                                                  Duration MaxAge) const;

  /// Returns the sizes of the router's state in constant time.
  RouterCounts counts() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring::routing

#endif // FILBERTSPRING_ROUTING_ROUTER_H
