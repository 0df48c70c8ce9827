#include "row_update.h"

#include <algorithm>

namespace filbertspring {
namespace {

constexpr int MaxUpdateAttempts = 6;

/// Returns the row of each key, in the order of \p Keys; std::nullopt for a
/// missing row.
std::vector<std::optional<StoredRow>>
rowsInKeyOrder(const std::vector<RowKey> &Keys,
               const std::vector<StoredRow> &Rows) {
  std::vector<std::optional<StoredRow>> Result;
  for (const RowKey &Key : Keys) {
    auto Found = std::ranges::find(Rows, Key, &StoredRow::Key_);
    if (Found == Rows.end())
      Result.emplace_back();
    else
      Result.emplace_back(*Found);
  }
  return Result;
}

/// Returns the version of the first row that one of \p Transactions wrote.
std::optional<RowVersion>
versionWrittenBy(const std::set<TransactionId> &Transactions,
                 const std::vector<StoredRow> &Rows) {
  for (const StoredRow &Row : Rows)
    if (Transactions.contains(Row.Writer_))
      return Row.Version_;
  return std::nullopt;
}

} // namespace

UpdateResult
updateRows(TableClientPool &Table, UniqueNameGenerator &Names,
           const std::vector<RowKey> &Keys,
           const std::function<std::optional<RowUpdate>(
               const std::vector<std::optional<StoredRow>> &)> &Decide) {
  // Transactions whose answers were lost and that may have been committed.
  std::set<TransactionId> UnknownTransactions;
  auto Failed = [&UnknownTransactions] {
    return UpdateResult{UnknownTransactions.empty() ? UpdateOutcome::NotWritten
                                                    : UpdateOutcome::Unknown,
                        AbsentVersion};
  };
  for (int Attempt = 0; Attempt < MaxUpdateAttempts; ++Attempt) {
    Result<RowBatch> Batch = Table.read(Keys);
    if (!Batch || !Batch->Findings_.empty())
      return Failed();
    if (auto Version = versionWrittenBy(UnknownTransactions, Batch->Rows_))
      return {UpdateOutcome::Written, *Version};
    std::optional<RowUpdate> Update =
        Decide(rowsInKeyOrder(Keys, Batch->Rows_));
    if (!Update)
      return {UnknownTransactions.empty() ? UpdateOutcome::Unchanged
                                          : UpdateOutcome::Unknown,
              AbsentVersion};
    TransactionId Id(Names.next("change"));
    CommitResult Result = Table.commit({Id, {}, std::move(Update->Changes_)});
    if (Result.Outcome_ == CommitOutcome::Committed)
      return {UpdateOutcome::Written, Result.Version_};
    if (Result.Outcome_ == CommitOutcome::Unknown)
      UnknownTransactions.insert(Id);
    if (Result.Outcome_ == CommitOutcome::NotCommitted)
      return Failed();
  }
  return Failed();
}

} // namespace filbertspring
