#ifndef FILBERTSPRING_NODE_CELL_DIRECTORY_H
#define FILBERTSPRING_NODE_CELL_DIRECTORY_H

/// \file
/// What an instance knows of the cell: its owner and its load.

#include "filbertspring/node/node_settings.h"
#include "filbertspring/scheduling/owner_lease.h"
#include "rows.h"
#include "store_client.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace filbertspring::node {

/// Follows the rows of the cell in the store.
class CellDirectory {
public:
  CellDirectory(EventLoop &Loop, StoreClient &Store,
                const NodeSettings &Settings, const std::string &Nonce);
  /// \p Changed is called after each reading.
  void start(std::function<void()> Changed);

  scheduling::OwnerLease &lease() { return Lease_; }
  /// Returns the accepted jobs of \p Queue without a started task; nothing if
  /// the store was not read lately.
  std::optional<std::uint64_t> pending(const std::string &Queue) const;

private:
  void readAll();
  void follow(std::uint64_t After);
  void rowRead(const scheduling::Row &Seen, TimePoint SentAt);
  void instanceSeen(const scheduling::Row &Seen);
  /// Stores where others reach this instance, unless it is stored.
  void announce();

  EventLoop &Loop_;
  StoreClient &Store_;
  std::string Instance_;
  Announcement Mine_;
  /// All instances that announced themselves, by name.
  std::map<std::string, Announcement> Instances_;
  scheduling::OwnerLease Lease_;
  CellStatus Status_;
  std::function<void()> Changed_;
  TimePoint ReadAt_{};
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_CELL_DIRECTORY_H
