#ifndef FILBERTSPRING_ENTRY_THREADS_SHARE_UPDATER_H
#define FILBERTSPRING_ENTRY_THREADS_SHARE_UPDATER_H

/// \file
/// Renews the heartbeat row of this instance and updates its shares of the
/// contracts' limits.

#include "membership_context.h"

#include "filbertspring/membership/digest_builder.h"
#include "filbertspring/membership/heartbeat_writer.h"
#include "filbertspring/membership/liveness_tracker.h"
#include "filbertspring/membership/share_allocator.h"

#include <atomic>
#include <map>
#include <vector>

namespace filbertspring {

/// Runs on the membership thread.
class ShareUpdater {
public:
  ShareUpdater(MembershipContext &Context, membership::DigestBuilder &Digests);

  void tick(TimePoint Now);
  /// Sets the contracts that are in force.
  void setContracts(const std::vector<Contract> &Contracts);
  /// Handles new demands that peers reported.
  void handlePeerDemands(const std::vector<membership::DemandEntry> &Demands);
  /// Marks the instance as leaving in all later heartbeats.
  void leave();
  /// Stops the use of all shares. The following ticks release the shares and
  /// then the heartbeat row.
  void release();
  /// Returns whether the shares and the heartbeat row have been released.
  bool isReleased() const { return IsReleased_; }

  /// Returns the instances that have a heartbeat row, with their liveness.
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
  void continueRelease();

  MembershipContext &Context_;
  membership::DigestBuilder &Digests_;
  membership::HeartbeatWriter Heartbeat_;
  membership::LivenessTracker Liveness_;
  membership::ShareAllocator Shares_;
  std::vector<Contract> Contracts_;
  std::map<ContractName, membership::ShareGrant> PublishedGrants_;
  TimePoint LastHeartbeatScan_{};
  TimePoint LastDemandSample_{};
  bool IsReleasing_ = false;
  /// Read by the thread that stops the process.
  std::atomic<bool> IsReleased_{false};
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_THREADS_SHARE_UPDATER_H
