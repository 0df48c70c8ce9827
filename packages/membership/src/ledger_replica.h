#ifndef FILBERTSPRING_MEMBERSHIP_SRC_LEDGER_REPLICA_H
#define FILBERTSPRING_MEMBERSHIP_SRC_LEDGER_REPLICA_H

/// \file
/// One instance's knowledge of one share ledger, and what it may use by it.

#include "filbertspring/domain/store.h"
#include "filbertspring/membership/lease.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace filbertspring::membership {

/// A write of the ledger that may still take effect.
struct PendingWrite {
  TransactionId Id_;
  RowVersion Expected_ = AbsentVersion;
  ShareLedgerRecord Record_;
  /// The own share after it.
  std::int32_t OwnPermille_ = 0;
  TimePoint SentAt_;
  /// False once its answer is lost.
  bool AwaitsAnswer_ = true;
};

/// The last known row of a ledger and the own writes that may change it.
class LedgerReplica {
public:
  explicit LedgerReplica(InstanceName Self) : Self_(std::move(Self)) {}

  /// Takes in a read sent at \p SentAt; \p Row is null when it is absent.
  void adoptRead(const StoredRow *Row, TimePoint SentAt);
  /// Notes a write about to be sent. From now on the own share counts as the
  /// smaller of its values before and after.
  void addPending(PendingWrite Write);
  /// Notes the end of a write. Returns false when \p Id is not known.
  bool endPending(const TransactionId &Id, const CommitResult &Result);
  /// Counts writes sent before \p Limit and not answered as unknown. Returns
  /// true when there was one.
  bool expirePending(TimePoint Limit);

  /// Returns what the rows let this instance use during \p Lease.
  std::int32_t usable(const HolderLease &Lease, TimePoint Now) const;

  /// Returns true when the row is known by a read within \p Lease.
  bool knownIn(const HolderLease &Lease) const;
  /// Returns true while a write awaits its answer.
  bool writing() const;
  /// Returns true when only a further write can tell what the row will be.
  bool needsSettling() const;
  bool hasPending() const { return !Pending_.empty(); }

  const ShareLedger &ledger() const { return *Ledger_; }
  RowVersion version() const { return Version_; }

private:
  void settleUpTo(RowVersion Version);

  InstanceName Self_;
  std::optional<ShareLedger> Ledger_;
  RowVersion Version_ = AbsentVersion;
  /// When the read or write that last confirmed the row was sent.
  TimePoint ConfirmedAt_ = TimePoint::min();
  std::vector<PendingWrite> Pending_;
  /// Whether no write of an earlier process of the same name can take effect.
  bool OwnsHistory_ = false;
  /// The version of the first row read that assigned something to Self_.
  std::optional<RowVersion> InheritedAt_;
};

} // namespace filbertspring::membership

#endif // FILBERTSPRING_MEMBERSHIP_SRC_LEDGER_REPLICA_H
