#ifndef FILBERTSPRING_ENTRY_SNAPSHOT_H
#define FILBERTSPRING_ENTRY_SNAPSHOT_H

/// \file
/// Snapshots of the configuration and of the peers, which the membership thread
/// publishes to the threads that serve callers.

#include "filbertspring/domain/contract.h"
#include "filbertspring/domain/store.h"
#include "filbertspring/domain/zone.h"
#include "filbertspring/transport/peer_links.h"

#include <memory>
#include <mutex>
#include <vector>

namespace filbertspring {

/// The state of the link to a peer and the configuration version that the peer
/// last reported.
struct PeerView {
  InstanceName Name_;
  ZoneName Zone_;
  bool Connected_ = false;
  RowVersion Head_ = AbsentVersion;
};

/// The configuration in force here, and the state of this instance.
struct EntrySnapshot {
  /// False until contracts have been read from the table or from a peer.
  bool Configured_ = false;
  bool PlatformReachable_ = false;
  RowVersion Head_ = AbsentVersion;
  std::vector<Contract> Contracts_;
  std::vector<AvailabilityZone> Zones_;
  std::vector<ListedInstance> Listed_;
  std::vector<PeerView> Peers_;

  /// Returns the contract \p Name, or null if there is none. The snapshot owns
  /// the contract.
  const Contract *findContract(const ContractName &Name) const;
};

/// Holds the latest snapshot. Thread-safe.
class SnapshotPublisher {
public:
  SnapshotPublisher() : Current_(std::make_shared<const EntrySnapshot>()) {}

  /// Returns the latest snapshot. A published snapshot is immutable.
  std::shared_ptr<const EntrySnapshot> current() const;
  void publish(EntrySnapshot Snapshot);

private:
  mutable std::mutex Mutex_;
  std::shared_ptr<const EntrySnapshot> Current_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_SNAPSHOT_H
