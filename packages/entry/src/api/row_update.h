#ifndef FILBERTSPRING_ENTRY_API_ROW_UPDATE_H
#define FILBERTSPRING_ENTRY_API_ROW_UPDATE_H

/// \file
/// Read-modify-write of table rows, with retries after conflicts and lost
/// answers.

#include "../process_name.h"
#include "../threads/table_client_pool.h"

#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace filbertspring {

/// The changes that one attempt of a read-modify-write commits.
struct RowUpdate {
  /// The changes to write, each with the version that was read.
  std::vector<Change> Changes_;
};

/// The outcome of a read-modify-write.
enum class UpdateOutcome {
  /// The change is committed.
  Written,
  /// Nothing was written: the callback requested no change.
  Unchanged,
  /// Nothing was written: the table was unreachable, or every attempt
  /// conflicted with another writer.
  NotWritten,
  /// The change may have been committed.
  Unknown
};

/// The outcome of a read-modify-write and the version of the rows written.
struct UpdateResult {
  UpdateOutcome Outcome_ = UpdateOutcome::NotWritten;
  RowVersion Version_ = AbsentVersion;
};

/// Reads the rows of \p Keys, calls \p Decide for the changes, and commits
/// them; repeats this after a conflict. After a lost answer it reads the rows
/// again: if one of its own transactions wrote a row, the outcome is Written.
/// \p Decide gets the rows in the order of \p Keys and returns std::nullopt to
/// end without writing.
UpdateResult
updateRows(TableClientPool &Table, UniqueNameGenerator &Names,
           const std::vector<RowKey> &Keys,
           const std::function<std::optional<RowUpdate>(
               const std::vector<std::optional<StoredRow>> &)> &Decide);

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_API_ROW_UPDATE_H
