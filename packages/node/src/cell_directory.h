#ifndef FILBERTSPRING_NODE_CELL_DIRECTORY_H
#define FILBERTSPRING_NODE_CELL_DIRECTORY_H

/// \file
/// A local copy of the cell's rows: its owner, its status and its instances.

#include "filbertspring/node/node_settings.h"
#include "filbertspring/scheduling/owner_lease.h"
#include "rows.h"
#include "store_client.h"
#include "unreadable_rows.h"
#include "worker_routes.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace filbertspring::node {

/// Follows the cell's rows in the store. Keeps the state of the owner's lease,
/// the counts of pending jobs, and the addresses of the other instances, which
/// it passes to the store client as relays.
class CellDirectory {
public:
  CellDirectory(EventLoop &Loop, StoreClient &Store,
                const NodeSettings &Settings, const std::string &Nonce);
  /// Starts to follow the rows. Calls \p RowsRead after every successful read,
  /// and \p InstancesChanged after an announcement was read.
  void start(std::function<void()> RowsRead,
             std::function<void()> InstancesChanged);

  scheduling::OwnerLease &lease() { return Lease_; }
  /// Returns the other instances that have announced themselves. Some of them
  /// may be gone.
  std::vector<RelayCandidate> otherInstances() const;
  /// Returns whether the rows were read recently, so that a change of the owner
  /// is noticed soon.
  bool isCurrent(TimePoint Now) const;
  /// Returns the number of accepted jobs of \p Queue without a started task, or
  /// nothing if no recent count is available.
  std::optional<std::uint64_t> pending(const std::string &Queue) const;

private:
  void readAll();
  void followChanges(std::uint64_t After);
  void handleRow(const scheduling::Row &StoredRow, TimePoint SentAt);
  void handleStatusRow(const scheduling::Row &StoredRow);
  void handleInstanceRow(const scheduling::Row &StoredRow);
  /// Writes the announcement of this instance unless it is already stored.
  void storeOwnAnnouncement();

  EventLoop &Loop_;
  StoreClient &Store_;
  std::string Instance_;
  Announcement OwnAnnouncement_;
  /// The announcements of all instances, by name.
  std::map<std::string, Announcement> Instances_;
  scheduling::OwnerLease Lease_;
  CellStatus Status_;
  UnreadableRows UnreadableRows_;
  std::function<void()> RowsRead_;
  std::function<void()> InstancesChanged_;
  TimePoint LastReadAt_{};
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_CELL_DIRECTORY_H
