#ifndef FILBERTSPRING_ENTRY_THREADS_ROUTER_THREAD_H
#define FILBERTSPRING_ENTRY_THREADS_ROUTER_THREAD_H

/// \file
/// The thread that runs the router.

#include "attempt_sender.h"
#include "pending_request_table.h"

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

/// Passes queued events to the router and performs its actions.
class RouterThread {
public:
  RouterThread(const Settings &Values, PendingRequestTable &PendingRequests,
               CounterRegistry &Counters);
  ~RouterThread();
  RouterThread(const RouterThread &) = delete;
  RouterThread &operator=(const RouterThread &) = delete;

  /// Queues \p Event for the router. Returns false if the queue is full.
  /// Thread-safe.
  bool post(routing::RoutingEvent Event);
  /// Sets the share of \p Contract. The share expires at \p Until unless it is
  /// set again. Thread-safe.
  void postShare(const ContractName &Contract, std::int32_t Permille,
                 TimePoint Until);
  /// Returns the loads that endpoints have reported since the last call.
  std::map<EndpointName, routing::ObservedLoad> takeLoads();
  /// Returns the sizes of the router's state.
  routing::RouterCounts counts() const;
  void stop();

private:
  /// A share of a contract's limits and the time at which it expires.
  struct Share {
    std::int32_t Permille_ = 0;
    TimePoint Until_;
  };

  void run();
  void updateShares(TimePoint Now);
  void handle(const routing::RoutingEvent &Event);
  void perform(const routing::RoutingAction &Action);
  void send(const routing::SendAttempt &Attempt);
  void postAttemptEnd(routing::AttemptEnded Ended);
  Duration waitTime() const;

  static constexpr std::size_t RingCapacity = 16384;

  PendingRequestTable &PendingRequests_;
  CounterRegistry &Counters_;
  routing::Router Router_;
  Ring<routing::RoutingEvent> Events_;
  std::vector<routing::RoutingEvent> ImmediateEvents_;
  /// The shares last passed to the router.
  std::map<ContractName, std::int32_t> RouterShares_;
  std::map<EndpointName, Address> Addresses_;
  mutable std::mutex Mutex_;
  std::map<EndpointName, routing::ObservedLoad> Loads_;
  std::map<ContractName, Share> Shares_;
  routing::RouterCounts Counts_;
  std::atomic<bool> Stopping_{false};
  AttemptSender AttemptSender_;
  std::thread Thread_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_THREADS_ROUTER_THREAD_H
