#ifndef FILBERTSPRING_ENTRY_DESKS_SHARE_FOLLOWER_H
#define FILBERTSPRING_ENTRY_DESKS_SHARE_FOLLOWER_H

/// \file
/// Keeps this instance's heartbeat and its shares of the contracts' limits.

#include "membership_thread.h"

#include "filbertspring/membership/digest_builder.h"
#include "filbertspring/membership/heartbeat_writer.h"
#include "filbertspring/membership/liveness_tracker.h"
#include "filbertspring/membership/share_allocator.h"

#include <map>
#include <vector>

namespace filbertspring {

/// Runs on the membership thread.
class ShareFollower {
public:
  ShareFollower(MembershipThread &Thread, membership::DigestBuilder &Digests);

  void tick(TimePoint Now);
  /// These contracts are in force.
  void contractsInForce(const std::vector<Contract> &Contracts);
  /// Peers told of new demands.
  void demandsObserved(const std::vector<membership::DemandEntry> &Demands);
  /// Later heartbeats say that the instance is leaving.
  void leave();
  /// Gives all shares and the heartbeat back.
  void release();

  /// Returns the instances with a heartbeat row.
  std::vector<membership::Member> members() const;

private:
  void handleHeartbeat(const membership::HeartbeatEvent &Event);
  void handleShare(const membership::ShareEvent &Event);
  void commitHeartbeat(const Transaction &Request);
  void readOwnHeartbeat();
  void scanHeartbeats();
  void readLedgers(const std::vector<ContractName> &Contracts,
                   TimePoint SentAt);
  void commitLedger(const Transaction &Request);
  void sampleDemand(TimePoint Now);
  void publishGrants(TimePoint Now);
  void deleteLapsedRows(TimePoint Now);

  MembershipThread &Thread_;
  membership::DigestBuilder &Digests_;
  membership::HeartbeatWriter Heartbeat_;
  membership::LivenessTracker Liveness_;
  membership::ShareAllocator Shares_;
  std::vector<Contract> Contracts_;
  std::map<ContractName, membership::ShareGrant> Published_;
  TimePoint LastScan_{};
  TimePoint LastSample_{};
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_DESKS_SHARE_FOLLOWER_H
