#ifndef FILBERTSPRING_ENTRY_SNAPSHOT_H
#define FILBERTSPRING_ENTRY_SNAPSHOT_H

/// \file
/// What the membership thread shows to the threads that serve callers.

#include "filbertspring/domain/contract.h"
#include "filbertspring/domain/store.h"
#include "filbertspring/domain/zone.h"
#include "filbertspring/transport/peer_links.h"

#include <memory>
#include <mutex>
#include <vector>

namespace filbertspring {

/// A peer and what it said of its configuration.
struct PeerView {
  InstanceName Name_;
  ZoneName Zone_;
  bool Connected_ = false;
  RowVersion Head_ = AbsentVersion;
};

/// The configuration in force here, and the state of this instance.
struct EntrySnapshot {
  /// False until contracts are known from the table or a peer.
  bool Configured_ = false;
  bool PlatformReachable_ = false;
  RowVersion Head_ = AbsentVersion;
  std::vector<Contract> Contracts_;
  std::vector<AvailabilityZone> Zones_;
  std::vector<ListedInstance> Listed_;
  std::vector<PeerView> Peers_;

  /// Returns the contract called \p Name, or null. The snapshot owns it.
  const Contract *findContract(const ContractName &Name) const;
};

/// Holds the latest snapshot. Thread-safe.
class SnapshotBoard {
public:
  SnapshotBoard() : Current_(std::make_shared<const EntrySnapshot>()) {}

  /// Returns the latest snapshot; it never changes.
  std::shared_ptr<const EntrySnapshot> current() const;
  void publish(EntrySnapshot Next);

private:
  mutable std::mutex Mutex_;
  std::shared_ptr<const EntrySnapshot> Current_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_SNAPSHOT_H
