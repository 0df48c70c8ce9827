#include "store_loop.h"

#include <algorithm>

namespace filbertspring {
namespace {

constexpr int MaxStoreTries = 6;

/// Puts the rows that were found in the order of the keys.
std::vector<std::optional<StoredRow>>
inOrder(const std::vector<RowKey> &Keys, const std::vector<StoredRow> &Rows) {
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

/// Returns the version of a row that one of \p Own wrote.
std::optional<RowVersion> writtenBy(const std::set<TransactionId> &Own,
                                    const std::vector<StoredRow> &Rows) {
  for (const StoredRow &Row : Rows)
    if (Own.contains(Row.Writer_))
      return Row.Version_;
  return std::nullopt;
}

} // namespace

StoreResult
changeRows(TableDesk &Table, NameMaker &Names, const std::vector<RowKey> &Keys,
           const std::function<std::optional<StoreStep>(
               const std::vector<std::optional<StoredRow>> &)> &Step) {
  // Transactions whose answers were lost; they may be found in the rows.
  std::set<TransactionId> Unsettled;
  auto Failed = [&Unsettled] {
    return StoreResult{Unsettled.empty() ? StoreOutcome::NotDone
                                         : StoreOutcome::Unknown,
                       AbsentVersion};
  };
  for (int Try = 0; Try < MaxStoreTries; ++Try) {
    Result<RowBatch> Batch = Table.read(Keys);
    if (!Batch || !Batch->Findings_.empty())
      return Failed();
    if (auto Version = writtenBy(Unsettled, Batch->Rows_))
      return {StoreOutcome::Done, *Version};
    std::optional<StoreStep> Next = Step(inOrder(Keys, Batch->Rows_));
    if (!Next)
      return {Unsettled.empty() ? StoreOutcome::Nothing : StoreOutcome::Unknown,
              AbsentVersion};
    TransactionId Id(Names.next("change"));
    CommitResult Result = Table.commit({Id, {}, std::move(Next->Changes_)});
    if (Result.Outcome_ == CommitOutcome::Committed)
      return {StoreOutcome::Done, Result.Version_};
    if (Result.Outcome_ == CommitOutcome::Unknown)
      Unsettled.insert(Id);
    if (Result.Outcome_ == CommitOutcome::NotCommitted)
      return Failed();
  }
  return Failed();
}

} // namespace filbertspring
