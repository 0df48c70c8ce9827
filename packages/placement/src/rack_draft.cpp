#include "rack_draft.h"

namespace filbertspring::placement {

Result<RackDraft> RackDraft::make(const RackRecord &Record,
                                  RowVersion Version) {
  Result<Rack> Restored = Rack::restore(Record);
  if (!Restored)
    return fail(Restored.error());
  return RackDraft(std::move(*Restored), Version);
}

Result<Job *> RackDraft::job(const JobRecord &Record, RowVersion Version) {
  auto It = Jobs_.find(Record.Id_);
  if (It != Jobs_.end())
    return &It->second.Job_;
  Result<Job> Restored = Job::restore(Record);
  if (!Restored)
    return fail(Restored.error());
  JobDraft Draft{std::move(*Restored), Version};
  return &Jobs_.emplace(Record.Id_, std::move(Draft)).first->second.Job_;
}

QuotaLedger &RackDraft::ledger(const QuotaLedgerRecord &Record,
                               RowVersion Version) {
  auto It = Ledgers_.find(Record.Contract_);
  if (It == Ledgers_.end()) {
    LedgerDraft Draft{QuotaLedger(Record), Version};
    It = Ledgers_.emplace(Record.Contract_, std::move(Draft)).first;
  }
  return It->second.Ledger_;
}

bool RackDraft::hasLedger(const ContractName &Contract) const {
  return Ledgers_.contains(Contract);
}

Transaction RackDraft::build(TransactionId Id) const {
  Transaction NewTransaction;
  NewTransaction.Id_ = std::move(Id);
  for (const auto &[Key, Expected] : Guards_)
    NewTransaction.Guards_.push_back({Key, Expected});
  const RackRecord &Record = Rack_.record();
  NewTransaction.Changes_.push_back(
      {{RowKind::Rack, Record.Name_.str()}, Version_, Record});
  for (const auto &[Name, Draft] : Jobs_)
    NewTransaction.Changes_.push_back(
        {{RowKind::Job, Name.str()}, Draft.Version_, Draft.Job_.record()});
  for (const auto &[Name, Draft] : Ledgers_)
    NewTransaction.Changes_.push_back({{RowKind::QuotaLedger, Name.str()},
                                       Draft.Version_,
                                       Draft.Ledger_.record()});
  return NewTransaction;
}

} // namespace filbertspring::placement
