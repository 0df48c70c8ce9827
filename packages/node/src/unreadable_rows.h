#ifndef FILBERTSPRING_NODE_UNREADABLE_ROWS_H
#define FILBERTSPRING_NODE_UNREADABLE_ROWS_H

/// \file
/// Logs rows that cannot be read, each one once.

#include "filbertspring/scheduling/row_store.h"

#include <set>
#include <string>

namespace filbertspring::node {

/// The rows of a list that could not be read when they were last seen. Feeds
/// and bulk reads deliver a row again and again, and a log line for each of
/// them would displace others. Not thread-safe.
class UnreadableRows {
public:
  /// Logs \p Key unless it is among the rows.
  void add(const scheduling::RowKey &Key);
  /// To be called for each row that was read or is gone.
  void remove(const scheduling::RowKey &Key);

private:
  std::set<std::string> Rows_;
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_UNREADABLE_ROWS_H
