#include "ledger_replica.h"

#include <algorithm>
#include <utility>

namespace filbertspring::membership {

void LedgerReplica::discardOutdatedWrites(RowVersion Version) {
  std::erase_if(Pending_, [Version](const PendingWrite &Write) {
    return Write.Expected_ < Version;
  });
}

void LedgerReplica::applyRead(const StoredRow *Row, TimePoint SentAt) {
  const RowVersion Version = Row ? Row->Version_ : AbsentVersion;
  const bool Outdated = Version < Version_ && (Row || SentAt < ConfirmedAt_);
  if (Outdated)
    return;
  const auto *Record =
      Row ? std::get_if<ShareLedgerRecord>(&Row->Value_) : nullptr;
  auto Restored = ShareLedger::restore(Record ? *Record : ShareLedgerRecord{});
  if (!Restored || (Row && !Record)) {
    Ledger_.reset();
    return;
  }
  Ledger_ = *std::move(Restored);
  Version_ = Version;
  ConfirmedAt_ = std::max(ConfirmedAt_, SentAt);
  discardOutdatedWrites(Version);
  // A delayed write of an earlier process may still be applied to the first
  // version read, but not to a later one.
  if (!FirstReadVersion_)
    FirstReadVersion_ = Version;
  if (Ledger_->shareOf(Self_) == 0 || Version > *FirstReadVersion_)
    EarlierWritesExcluded_ = true;
}

void LedgerReplica::addPending(PendingWrite Write) {
  Pending_.push_back(std::move(Write));
}

bool LedgerReplica::handleWriteEnd(const TransactionId &Id,
                                   const CommitResult &Result) {
  auto It = std::ranges::find(Pending_, Id, &PendingWrite::Id_);
  if (It == Pending_.end())
    return false;
  if (Result.Outcome_ == CommitOutcome::Unknown) {
    It->AwaitsAnswer_ = false;
    return true;
  }
  const PendingWrite Write = std::move(*It);
  Pending_.erase(It);
  const bool Newer = Result.Version_ > Version_;
  if (Result.Outcome_ != CommitOutcome::Committed || !Newer)
    return true;
  if (auto Restored = ShareLedger::restore(Write.Record_))
    Ledger_ = *std::move(Restored);
  Version_ = Result.Version_;
  ConfirmedAt_ = std::max(ConfirmedAt_, Write.SentAt_);
  EarlierWritesExcluded_ = true;
  discardOutdatedWrites(Version_);
  return true;
}

bool LedgerReplica::expirePending(TimePoint Limit) {
  bool Expired = false;
  for (PendingWrite &Write : Pending_) {
    if (!Write.AwaitsAnswer_ || Write.SentAt_ > Limit)
      continue;
    Write.AwaitsAnswer_ = false;
    Expired = true;
  }
  return Expired;
}

std::int32_t LedgerReplica::usable(const HolderLease &Lease,
                                   TimePoint Now) const {
  if (!Lease.holdsAt(Now) || !isConfirmedIn(Lease) || !EarlierWritesExcluded_)
    return 0;
  std::int32_t Usable = Ledger_->shareOf(Self_);
  for (const PendingWrite &Write : Pending_)
    Usable = std::min(Usable, Write.OwnPermille_);
  return Usable;
}

bool LedgerReplica::isConfirmedIn(const HolderLease &Lease) const {
  return Ledger_ && ConfirmedAt_ >= Lease.Since_;
}

bool LedgerReplica::isAwaitingAnswer() const {
  return std::ranges::any_of(Pending_, &PendingWrite::AwaitsAnswer_);
}

bool LedgerReplica::needsConfirmingWrite() const {
  const bool Unknown = std::ranges::any_of(
      Pending_, [](const auto &Write) { return !Write.AwaitsAnswer_; });
  return Unknown || !EarlierWritesExcluded_;
}

} // namespace filbertspring::membership
