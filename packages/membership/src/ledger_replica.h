#ifndef FILBERTSPRING_MEMBERSHIP_SRC_LEDGER_REPLICA_H
#define FILBERTSPRING_MEMBERSHIP_SRC_LEDGER_REPLICA_H

/// \file
/// The local copy of one share ledger and the share that the instance may use
/// according to it.

#include "filbertspring/domain/store.h"
#include "filbertspring/membership/lease.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace filbertspring::membership {

/// A write of the ledger that may still be applied by the table.
struct PendingWrite {
  TransactionId Id_;
  RowVersion Expected_ = AbsentVersion;
  ShareLedgerRecord Record_;
  /// The share of this instance after the write.
  std::int32_t OwnPermille_ = 0;
  TimePoint SentAt_;
  /// False once the answer counts as lost.
  bool AwaitsAnswer_ = true;
};

/// The last known row of a ledger and the pending writes of this instance.
class LedgerReplica {
public:
  explicit LedgerReplica(InstanceName Self) : Self_(std::move(Self)) {}

  /// Applies a read sent at \p SentAt; \p Row is null when the row does not
  /// exist.
  void applyRead(const StoredRow *Row, TimePoint SentAt);
  /// Adds a write that is about to be sent. From then on the usable share of
  /// this instance is the smaller of its values before and after the write.
  void addPending(PendingWrite Write);
  /// Handles the end of a write. Returns false when \p Id is unknown.
  bool handleWriteEnd(const TransactionId &Id, const CommitResult &Result);
  /// Marks the outcome of unanswered writes sent at or before \p Limit as
  /// unknown. Returns true when there was one.
  bool expirePending(TimePoint Limit);

  /// Returns the share that this instance may use at \p Now under \p Lease.
  std::int32_t usable(const HolderLease &Lease, TimePoint Now) const;

  /// Returns true when the row was confirmed by a read or write sent within
  /// \p Lease.
  bool isConfirmedIn(const HolderLease &Lease) const;
  /// Returns true while a write awaits its answer.
  bool isAwaitingAnswer() const;
  /// Returns true when a further write is needed to determine the final value
  /// of the row, because an earlier write may still be applied.
  bool needsConfirmingWrite() const;
  bool hasPending() const { return !Pending_.empty(); }

  /// Returns whether a valid row, or that there is none, is known.
  bool isKnown() const { return Ledger_.has_value(); }
  const ShareLedger &ledger() const { return *Ledger_; }
  RowVersion version() const { return Version_; }

private:
  void discardOutdatedWrites(RowVersion Version);

  InstanceName Self_;
  std::optional<ShareLedger> Ledger_;
  RowVersion Version_ = AbsentVersion;
  /// Send time of the read or write that last confirmed the row.
  TimePoint ConfirmedAt_ = TimePoint::min();
  std::vector<PendingWrite> Pending_;
  /// True when no write of an earlier process with the same name can still be
  /// applied.
  bool EarlierWritesExcluded_ = false;
  /// The version of the row in the first read.
  std::optional<RowVersion> FirstReadVersion_;
};

} // namespace filbertspring::membership

#endif // FILBERTSPRING_MEMBERSHIP_SRC_LEDGER_REPLICA_H
