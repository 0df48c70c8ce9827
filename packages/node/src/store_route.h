#ifndef FILBERTSPRING_NODE_STORE_ROUTE_H
#define FILBERTSPRING_NODE_STORE_ROUTE_H

/// \file
/// Decides how an instance calls the store: directly, or relayed by another
/// instance while the store does not serve this one.
///
/// Handles network partitions between single instances and the store during
/// which the instances still reach each other. Without relays, such an instance
/// would have to refuse all its callers. Does no I/O itself.

#include "filbertspring/base/time.h"

#include <map>
#include <string>
#include <vector>

namespace filbertspring::node {

/// Delays and limits of a route.
struct StoreRouteTimes {
  /// How long a relay is not used after it failed. The shortest network
  /// partitions last some seconds.
  Duration RelayRetryDelay_ = std::chrono::milliseconds(1000);
  /// The time between two direct calls that probe whether the store serves this
  /// instance again.
  Duration ProbeInterval_ = std::chrono::milliseconds(500);
  /// The number of consecutive refusals after which the store is treated as
  /// unreachable. A single refusal may be caused by the store's rate limit,
  /// which is exceeded for less than a second.
  unsigned RefusalsUntilUnreachable_ = 2;
  /// After this time without any answer, direct or relayed, callers are sent to
  /// other instances. Twice the pause between feeds.
  Duration UnavailableAfter_ = std::chrono::milliseconds(1000);
};

/// The state of one instance's connections to the store.
class StoreRoute {
public:
  explicit StoreRoute(StoreRouteTimes Times = {}) : Times_(Times) {}

  /// Replaces the addresses of the instances that may relay calls.
  void setRelays(std::vector<std::string> Addresses);

  /// Returns whether the next call is sent to the store itself.
  bool isDirect() const { return !IsUnreachable_; }
  /// Returns the address of the instance that relays calls at \p Now, or an
  /// empty text if there is none.
  std::string selectRelay(TimePoint Now) const;
  /// Returns whether the caller should probe the store with a direct call at
  /// \p Now. Returns true only once in each probe interval.
  bool claimProbe(TimePoint Now);

  /// Records that the store answered a direct call. Returns whether it was
  /// unreachable before.
  bool recordDirectAnswer(TimePoint Now);
  /// Records that a direct call got no answer. Returns whether the store was
  /// reachable before.
  bool recordDirectFailure(TimePoint Now);
  /// Records that the store refused a direct call without carrying it out.
  /// Returns whether the store becomes unreachable by this.
  bool recordDirectRefusal(TimePoint Now);
  /// Records that a relayed call was answered.
  void recordRelayAnswer(TimePoint Now);
  /// Records that the relay at \p Address did not serve a call.
  void recordRelayFailure(const std::string &Address, TimePoint Now);

  /// Returns whether calls are answered, directly or relayed, at \p Now.
  bool isStoreAvailable(TimePoint Now) const;

private:
  void recordFailure(TimePoint Now);

  StoreRouteTimes Times_;
  std::vector<std::string> RelayAddresses_;
  /// The relays that failed, and until when they are not used.
  std::map<std::string, TimePoint> AvoidedUntil_;
  bool IsUnreachable_ = false;
  unsigned ConsecutiveRefusals_ = 0;
  TimePoint NextProbeAt_{};
  /// Whether a call failed since the last answer, direct or relayed.
  bool HasFailedSinceAnswer_ = false;
  /// The time of the first failure since that answer.
  TimePoint FirstFailureAt_{};
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_STORE_ROUTE_H
