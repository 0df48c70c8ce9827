#ifndef FILBERTSPRING_ENTRY_DESKS_ROUTE_DESK_H
#define FILBERTSPRING_ENTRY_DESKS_ROUTE_DESK_H

/// \file
/// The thread that owns the router.

#include "exchange_desk.h"
#include "ticket_desk.h"

#include "filbertspring/base/counters.h"
#include "filbertspring/base/ring.h"
#include "filbertspring/config/settings.h"
#include "filbertspring/routing/router.h"

#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace filbertspring {

/// Feeds events to the router and carries out its actions.
class RouteDesk {
public:
  RouteDesk(const Settings &Values, TicketDesk &Tickets,
            CounterRegistry &Counters);
  ~RouteDesk();
  RouteDesk(const RouteDesk &) = delete;
  RouteDesk &operator=(const RouteDesk &) = delete;

  /// Gives \p Event to the router's thread; returns false when its ring is
  /// full. Thread-safe.
  bool post(routing::RoutingEvent Event);
  /// Sets the share of \p Contract, which ends by itself at \p Until.
  void postShare(const ContractName &Contract, std::int32_t Permille,
                 TimePoint Until);
  /// Returns the loads that endpoints reported since the last call.
  std::map<EndpointName, routing::ObservedLoad> takeLoads();
  /// Returns the sizes of the router's state.
  routing::RouterCounts counts() const;
  void stop();

private:
  /// A share and when it ends.
  struct Share {
    std::int32_t Permille_ = 0;
    TimePoint Until_;
  };

  void run();
  void endShares(TimePoint Now);
  void handle(const routing::RoutingEvent &Event);
  void perform(const routing::RoutingAction &Action);
  void send(const routing::SendAttempt &Attempt);
  void postEnded(routing::AttemptEnded Ended);
  Duration waitTime() const;

  static constexpr std::size_t RingCapacity = 16384;

  TicketDesk &Tickets_;
  CounterRegistry &Counters_;
  routing::Router Router_;
  Ring<routing::RoutingEvent> Events_;
  std::vector<routing::RoutingEvent> Immediate_;
  /// The shares that the router knows, as of the last change.
  std::map<ContractName, std::int32_t> RouterShares_;
  std::map<EndpointName, Address> Addresses_;
  mutable std::mutex Mutex_;
  std::map<EndpointName, routing::ObservedLoad> Loads_;
  std::map<ContractName, Share> Shares_;
  routing::RouterCounts Counts_;
  std::atomic<bool> Stopping_{false};
  ExchangeDesk Exchanges_;
  std::thread Thread_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_DESKS_ROUTE_DESK_H
