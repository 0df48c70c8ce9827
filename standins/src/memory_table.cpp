#include "filbertspring/standins/memory_table.h"

#include <utility>

namespace filbertspring {

std::optional<StoredRow> MemoryTable::read(const RowKey &Key) {
  ++Counts_.Reads_;
  auto Found = Rows_.find(Key);
  if (Found == Rows_.end())
    return std::nullopt;
  ++Counts_.RowsRead_;
  return Found->second;
}

std::vector<StoredRow> MemoryTable::scan(RowKind Kind) {
  ++Counts_.Reads_;
  std::vector<StoredRow> Found;
  for (const auto &[Key, Row] : Rows_)
    if (Key.Kind_ == Kind)
      Found.push_back(Row);
  Counts_.RowsRead_ += Found.size();
  return Found;
}

CommitResult MemoryTable::commit(const Transaction &Request,
                                 CommitFault Fault) {
  switch (Fault) {
  case CommitFault::None:
    return apply(Request);
  case CommitFault::Refuse:
    return {CommitOutcome::NotCommitted, AbsentVersion, {}};
  case CommitFault::LoseAnswer:
    apply(Request);
    break;
  case CommitFault::LoseRequest:
    break;
  case CommitFault::Delay:
    Delayed_.push_back(Request);
    break;
  }
  return {CommitOutcome::Unknown, AbsentVersion, {}};
}

void MemoryTable::deliverDelayed() {
  for (const Transaction &Request : std::exchange(Delayed_, {}))
    apply(Request);
}

RowVersion MemoryTable::versionOf(const RowKey &Key) const {
  auto Found = Rows_.find(Key);
  return Found == Rows_.end() ? AbsentVersion : Found->second.Version_;
}

CommitResult MemoryTable::apply(const Transaction &Request) {
  CommitResult Result;
  for (const Guard &Each : Request.Guards_)
    if (versionOf(Each.Key_) != Each.Expected_)
      Result.Conflicts_.push_back(Each.Key_);
  for (const Change &Each : Request.Changes_)
    if (versionOf(Each.Key_) != Each.Expected_)
      Result.Conflicts_.push_back(Each.Key_);
  if (!Result.Conflicts_.empty()) {
    ++Counts_.Conflicts_;
    Result.Outcome_ = CommitOutcome::Conflict;
    return Result;
  }
  ++Counts_.Commits_;
  Result.Outcome_ = CommitOutcome::Committed;
  Result.Version_ = ++LastVersion_;
  for (const Change &Each : Request.Changes_) {
    ++Counts_.RowsWritten_;
    if (Each.Value_)
      Rows_[Each.Key_] = {Each.Key_, LastVersion_, Request.Id_, *Each.Value_};
    else
      Rows_.erase(Each.Key_);
  }
  return Result;
}

} // namespace filbertspring
