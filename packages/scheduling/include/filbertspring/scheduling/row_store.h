#ifndef FILBERTSPRING_SCHEDULING_ROW_STORE_H
#define FILBERTSPRING_SCHEDULING_ROW_STORE_H

/// \file
/// Rows of the store that outlives all instances, as values.

#include <cstdint>
#include <string>
#include <vector>

namespace filbertspring::scheduling {

/// Names a row. Rows of one partition can change in one transaction.
struct RowKey {
  std::string Table_;
  std::string Partition_;
  std::string Key_;

  friend auto operator<=>(const RowKey &, const RowKey &) = default;
};

/// A row as it was read.
struct Row {
  RowKey Key_;
  std::string Value_;
  /// Version of its last change.
  std::uint64_t Version_ = 0;
  /// A change feed reports that the row was removed.
  bool IsRemoved_ = false;
};

/// The version that a row must have; 0 for a row that must not exist.
struct RowCondition {
  RowKey Key_;
  std::uint64_t Version_ = 0;
};

/// Changes that take effect together or not at all.
struct RowTransaction {
  std::vector<RowCondition> Conditions_;
  std::vector<Row> Writes_;
  std::vector<RowKey> Removals_;
};

/// How a transaction ended.
enum class CommitOutcome {
  Committed,
  /// A condition did not hold; nothing was done.
  Conflict,
  /// The store refused the call; nothing was done.
  Refused,
  /// The transaction may have taken effect, or may do so later.
  Unknown,
};

/// The answer to a transaction.
struct CommitResult {
  CommitOutcome Outcome_ = CommitOutcome::Unknown;
  /// The store's version after a commit.
  std::uint64_t Version_ = 0;
  /// After a conflict: the present rows of the conditions that exist.
  std::vector<Row> CurrentRows_;
};

/// Rows of one moment, or changes in their order.
struct RowPage {
  std::vector<Row> Rows_;
  /// More rows follow after the last one.
  bool IsTruncated_ = false;
  /// The store's newest version.
  std::uint64_t Version_ = 0;
};

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_ROW_STORE_H
