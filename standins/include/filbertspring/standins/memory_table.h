#ifndef FILBERTSPRING_STANDINS_MEMORY_TABLE_H
#define FILBERTSPRING_STANDINS_MEMORY_TABLE_H

/// \file
/// An in-memory table of typed rows for tests and experiments, which can
/// inject the commit faults of the real service.

#include "filbertspring/domain/store.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace filbertspring {

/// Fault injected into a commit.
enum class CommitFault {
  None,
  /// The commit has no effect, and the caller receives this result.
  Refuse,
  /// The commit takes effect, but its answer is lost.
  LoseAnswer,
  /// The commit has no effect, and its answer is lost.
  LoseRequest,
  /// The answer is lost; the commit is applied by the next deliverDelayed().
  Delay
};

/// Counts of operations since the start.
struct TableCounts {
  std::uint64_t Reads_ = 0;
  std::uint64_t RowsRead_ = 0;
  std::uint64_t Commits_ = 0;
  std::uint64_t RowsWritten_ = 0;
  std::uint64_t Conflicts_ = 0;
};

/// A transactional table. Not thread-safe.
class MemoryTable {
public:
  /// Returns the row of \p Key, or std::nullopt when it does not exist.
  std::optional<StoredRow> read(const RowKey &Key);
  /// Returns all rows of \p Kind in key order.
  std::vector<StoredRow> scan(RowKind Kind);
  /// Applies \p Request, subject to \p Fault.
  CommitResult commit(const Transaction &Request,
                      CommitFault Fault = CommitFault::None);
  /// Applies the commits that were delayed, in order; those whose
  /// expected versions no longer match have no effect.
  void deliverDelayed();

  const TableCounts &counts() const { return Counts_; }

private:
  CommitResult apply(const Transaction &Request);
  RowVersion versionOf(const RowKey &Key) const;

  std::map<RowKey, StoredRow> Rows_;
  std::vector<Transaction> Delayed_;
  RowVersion LastVersion_ = 0;
  TableCounts Counts_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_STANDINS_MEMORY_TABLE_H
