#ifndef FILBERTSPRING_NODE_CELL_DIRECTORY_H
#define FILBERTSPRING_NODE_CELL_DIRECTORY_H

/// \file
/// What an instance knows of all cells: their owners and their load.

#include "filbertspring/node/node_settings.h"
#include "filbertspring/scheduling/owner_lease.h"
#include "rows.h"
#include "store_client.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace filbertspring::node {

/// Follows the rows of all cells in the store.
class CellDirectory {
public:
  struct Cell {
    scheduling::OwnerLease Lease_;
    CellStatus Status_;
  };

  /// \p Changed is called after each reading.
  CellDirectory(EventLoop &Loop, StoreClient &Store,
                const NodeSettings &Settings, const std::string &Nonce);
  void start(std::function<void()> Changed);

  /// \p Zone is one of the settings' zones.
  Cell &cell(const std::string &Zone) { return Cells_.at(Zone); }
  /// Returns the cell for a job that is accepted here: the own zone's, or
  /// another if that one is closed, silent or far busier.
  std::string chooseCell(const std::set<std::string> &ClosedZones) const;
  /// Returns the accepted jobs of \p Queue without a started task; nothing if
  /// the store was not read lately.
  std::optional<std::uint64_t> pending(const std::string &Queue) const;

private:
  void readAll();
  void follow(std::uint64_t After);
  void rowSeen(const scheduling::Row &Seen, TimePoint SentAt);
  double loadOf(const Cell &Of) const;

  EventLoop &Loop_;
  StoreClient &Store_;
  std::string OwnZone_;
  std::map<std::string, Cell> Cells_;
  std::function<void()> Changed_;
  TimePoint ReadAt_{};
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_CELL_DIRECTORY_H
