#ifndef FILBERTSPRING_NODE_STORE_ROUTE_H
#define FILBERTSPRING_NODE_STORE_ROUTE_H

/// \file
/// Which way an instance calls the store: directly, or through another
/// instance while the store does not serve this one.
///
/// Answers the load of a cut between single instances and the store, in which
/// the instances still reach each other: without relays, all callers of such an
/// instance are refused. Decides, does no I/O.

#include "filbertspring/base/time.h"

#include <map>
#include <string>
#include <vector>

namespace filbertspring::node {

/// Times of a route.
struct StoreRouteTimes {
  /// A relay that failed is passed over for this long: the shortest cuts take
  /// some seconds.
  Duration RelayRetryDelay_ = std::chrono::milliseconds(1000);
  /// Between two direct calls that find out whether the store is back.
  Duration ProbeInterval_ = std::chrono::milliseconds(500);
  /// Refusals in a row after which the store refuses this instance, not one
  /// call: rates are exceeded for less than a second.
  unsigned RefusalsUntilUnreachable_ = 2;
  /// Without an answer by any way for this long, callers are better served by
  /// other instances: two pauses between feeds.
  Duration UnavailableAfter_ = std::chrono::milliseconds(1000);
};

/// The state of one instance's ways to the store.
class StoreRoute {
public:
  explicit StoreRoute(StoreRouteTimes Times = {}) : Times_(Times) {}

  /// Replaces the addresses of the instances that may relay calls.
  void setRelays(std::vector<std::string> Addresses);

  /// Whether the next call goes to the store itself.
  bool isDirect() const { return !IsUnreachable_; }
  /// Returns the address of the instance to relay through at \p Now; empty if
  /// there is none.
  std::string selectRelay(TimePoint Now) const;
  /// Whether a direct call should be tried at \p Now beside relayed ones; true
  /// once for each pause.
  bool claimProbe(TimePoint Now);

  /// The store answered a direct call. Returns whether it had been lost.
  bool recordDirectAnswer(TimePoint Now);
  /// A direct call got no answer. Returns whether it had not been lost.
  bool recordDirectFailure(TimePoint Now);
  /// The store refused a direct call without doing anything. Returns whether
  /// it is lost by that.
  bool recordDirectRefusal(TimePoint Now);
  /// A relayed call was answered, or not.
  void recordRelayAnswer(TimePoint Now);
  void recordRelayFailure(const std::string &Address, TimePoint Now);

  /// Whether calls are answered by any way at \p Now.
  bool isStoreAvailable(TimePoint Now) const;

private:
  void recordFailure(TimePoint Now);

  StoreRouteTimes Times_;
  std::vector<std::string> RelayAddresses_;
  /// Relays that are passed over, and until when.
  std::map<std::string, TimePoint> AvoidedUntil_;
  bool IsUnreachable_ = false;
  unsigned ConsecutiveRefusals_ = 0;
  TimePoint NextProbeAt_{};
  /// The first failure since the last answer by any way.
  bool HasUnansweredFailure_ = false;
  TimePoint FirstFailureAt_{};
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_STORE_ROUTE_H
