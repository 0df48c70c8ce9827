#ifndef FILBERTSPRING_ENTRY_API_STORE_LOOP_H
#define FILBERTSPRING_ENTRY_API_STORE_LOOP_H

/// \file
/// Reading a row, changing its value and writing it back, with the conflicts
/// and lost answers that may come between.

#include "../desks/table_desk.h"
#include "../process_name.h"

#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace filbertspring {

/// What a change of rows wants to do next.
struct StoreStep {
  /// The changes to write, with the versions that were read.
  std::vector<Change> Changes_;
};

/// How a change of rows ended.
enum class StoreOutcome {
  /// The rows hold the change.
  Done,
  /// Nothing was written: the step function wanted no change.
  Nothing,
  /// Nothing was written: the table was not reached, or others wrote first
  /// each time.
  NotDone,
  /// It may have been written.
  Unknown
};

/// The end of a change of rows.
struct StoreResult {
  StoreOutcome Outcome_ = StoreOutcome::NotDone;
  RowVersion Version_ = AbsentVersion;
};

/// Reads \p Keys, lets \p Step decide on changes, and writes them; repeats
/// after a conflict. After a lost answer it reads again: a row written by one
/// of its own transactions means Done. \p Step gets the rows in the order of
/// \p Keys and returns nothing to end without writing.
StoreResult
changeRows(TableDesk &Table, NameMaker &Names, const std::vector<RowKey> &Keys,
           const std::function<std::optional<StoreStep>(
               const std::vector<std::optional<StoredRow>> &)> &Step);

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_API_STORE_LOOP_H
