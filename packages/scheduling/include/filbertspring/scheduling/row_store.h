#ifndef FILBERTSPRING_SCHEDULING_ROW_STORE_H
#define FILBERTSPRING_SCHEDULING_ROW_STORE_H

/// \file
/// Value types for rows and transactions of the external store, which outlives
/// all instances.

#include "filbertspring/base/enum_table.h"

#include <cstdint>
#include <string>
#include <vector>

namespace filbertspring::scheduling {

/// Identifies a row. A transaction can change rows of one partition only.
struct RowKey {
  std::string Table_;
  std::string Partition_;
  std::string Key_;

  friend auto operator<=>(const RowKey &, const RowKey &) = default;
};

/// A row and its version.
struct Row {
  RowKey Key_;
  std::string Value_;
  /// The store's version as of the last change of the row.
  std::uint64_t Version_ = 0;
  /// The row was removed; set in pages of a change feed only.
  bool IsRemoved_ = false;
};

/// A precondition: the version that a row must have, or 0 if it must not exist.
struct RowCondition {
  RowKey Key_;
  std::uint64_t Version_ = 0;
};

/// A conditional, atomic set of changes.
struct RowTransaction {
  std::vector<RowCondition> Conditions_;
  std::vector<Row> Writes_;
  std::vector<RowKey> Removals_;
};

/// How a transaction ended.
enum class CommitOutcome {
  Committed,
  /// A condition did not hold; nothing was changed.
  Conflict,
  /// The store refused the call; nothing was changed. It may take the same call
  /// later.
  Refused,
  /// The store takes no such call, for example because it is too large; nothing
  /// was changed.
  Rejected,
  /// The transaction may have taken effect, or may do so later.
  Unknown,
};

inline constexpr EnumTable<CommitOutcome, 5> CommitOutcomeNames{{
    {CommitOutcome::Committed, "committed"},
    {CommitOutcome::Conflict, "conflict"},
    {CommitOutcome::Refused, "refused"},
    {CommitOutcome::Rejected, "rejected"},
    {CommitOutcome::Unknown, "unknown"},
}};

/// The response to a transaction.
struct CommitResult {
  CommitOutcome Outcome_ = CommitOutcome::Unknown;
  /// The status of the answer; 0 without an answer.
  int Status_ = 0;
  /// The store's version after a commit.
  std::uint64_t Version_ = 0;
  /// After a conflict: the current rows that the conditions refer to, without
  /// those that do not exist.
  std::vector<Row> CurrentRows_;
};

/// A page of a scan, whose rows are consistent at one version, or of a change
/// feed, whose rows are in the order of their changes.
struct RowPage {
  std::vector<Row> Rows_;
  /// More rows follow after the last one.
  bool IsTruncated_ = false;
  /// The store's newest version.
  std::uint64_t Version_ = 0;
};

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_ROW_STORE_H
