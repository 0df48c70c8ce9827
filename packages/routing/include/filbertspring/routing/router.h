#ifndef FILBERTSPRING_ROUTING_ROUTER_H
#define FILBERTSPRING_ROUTING_ROUTER_H

/// \file
/// Decides which requests are admitted, where they are sent, when they are
/// tried again, and what their callers are told.

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

/// Sizes of a router's state, for gauges.
struct RouterCounts {
  /// Requests that wait for an endpoint.
  std::size_t Queued_ = 0;
  /// Requests that have an attempt that may still be running.
  std::size_t InFlight_ = 0;
  /// Endpoints that may receive work now.
  std::size_t UsableEndpoints_ = 0;
};

/// The routing decisions of one entry instance. Not thread-safe; it owns all of
/// its state and makes no input or output.
class Router {
public:
  /// \p Seed determines all random choices.
  Router(RouterConfig Config, std::uint64_t Seed);
  ~Router();
  Router(Router &&) noexcept;
  Router &operator=(Router &&) noexcept;

  /// Takes in \p Event at \p Now and appends what is to be done to \p Out, to
  /// be carried out in order. \p Now never goes back. An event of a request
  /// takes time logarithmic in the requests held and independent of the number
  /// of endpoints, but for the baseline policies; a list, contract or zone
  /// event is linear in the endpoints and requests held.
  void handle(const RoutingEvent &Event, TimePoint Now,
              std::vector<RoutingAction> &Out);

  /// Returns the time at which a Tick is due, or nothing.
  std::optional<TimePoint> nextWake() const;

  /// Returns what to pass on to peers: the listed endpoints that are leaving,
  /// and those whose load an answer told within \p MaxAge, in order of their
  /// names. Linear in the endpoints.
  std::vector<PeerEndpointReport> endpointReports(TimePoint Now,
                                                  Duration MaxAge) const;

  /// Returns the sizes of the state. O(1).
  RouterCounts counts() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring::routing

#endif // FILBERTSPRING_ROUTING_ROUTER_H
