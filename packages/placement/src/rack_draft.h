#ifndef FILBERTSPRING_PLACEMENT_RACK_DRAFT_H
#define FILBERTSPRING_PLACEMENT_RACK_DRAFT_H

/// \file
/// Builds one transaction of a rack.

#include "filbertspring/domain/store.h"

#include <map>
#include <optional>

namespace filbertspring::placement {

/// Working copies of the rows that one transaction changes, with the versions
/// on which the changes are based.
class RackDraft {
public:
  /// Returns a draft that is based on \p Record at \p Version. Errors:
  /// InvalidInput.
  static Result<RackDraft> make(const RackRecord &Record, RowVersion Version);

  Rack &rack() { return Rack_; }
  /// Returns the working copy of a job, created from \p Record on first use.
  /// Errors: InvalidInput.
  Result<Job *> job(const JobRecord &Record, RowVersion Version);
  /// Returns the working copy of a ledger, created from \p Record on first use.
  QuotaLedger &ledger(const QuotaLedgerRecord &Record, RowVersion Version);
  bool hasLedger(const ContractName &Contract) const;

  void guard(const RowKey &Key, RowVersion Expected) {
    Guards_[Key] = Expected;
  }
  /// Marks the rack's row as changed.
  void touch() { Touched_ = true; }
  bool touched() const { return Touched_; }

  /// Returns the transaction, which always includes the rack's row.
  Transaction build(TransactionId Id) const;

private:
  struct JobDraft {
    Job Job_;
    RowVersion Version_;
  };
  struct LedgerDraft {
    QuotaLedger Ledger_;
    RowVersion Version_;
  };

  RackDraft(Rack Subject, RowVersion Version)
      : Rack_(std::move(Subject)), Version_(Version) {}

  Rack Rack_;
  RowVersion Version_;
  bool Touched_ = false;
  std::map<JobId, JobDraft> Jobs_;
  std::map<ContractName, LedgerDraft> Ledgers_;
  std::map<RowKey, RowVersion> Guards_;
};

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_RACK_DRAFT_H
