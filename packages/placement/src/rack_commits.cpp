#include "rack_commits.h"

#include "job_rejection.h"
#include "row_updates.h"
#include "table_reads.h"

namespace filbertspring::placement {
namespace {

void setLock(SchedulerCore &Core, const RowKey &Key, bool Locked) {
  if (Key.Kind_ == RowKind::QuotaLedger) {
    ContractName Name(Key.Name_);
    if (Locked) {
      Core.LockedLedgers_.insert(Name);
    } else {
      Core.LockedLedgers_.erase(Name);
      Core.markAllRacksDirty();
    }
    return;
  }
  if (Key.Kind_ != RowKind::Job)
    return;
  JobEntry *Entry = Core.Jobs_.find(JobId(Key.Name_));
  if (Entry == nullptr)
    return;
  Entry->Locked_ = Locked;
  Core.Jobs_.updateQueue(*Entry, Core.Now_);
}

void markStale(SchedulerCore &Core, const RowKey &Key) {
  requestRow(Core, Key);
  if (Key.Kind_ != RowKind::Job)
    return;
  JobEntry *Entry = Core.Jobs_.find(JobId(Key.Name_));
  if (Entry == nullptr)
    return;
  Entry->Stale_ = true;
  Core.Jobs_.updateQueue(*Entry, Core.Now_);
}

/// Removes the transaction in flight from the state and returns it.
PendingCommit removePendingCommit(SchedulerCore &Core, RackState &Rack) {
  PendingCommit Pending = std::move(*Rack.Pending_);
  Rack.Pending_.reset();
  Core.RackOfCommit_.erase(Pending.Transaction_.Id_);
  for (const Change &RowChange : Pending.Transaction_.Changes_)
    setLock(Core, RowChange.Key_, false);
  // Other racks may be waiting for the rows that this transaction locked.
  for (const auto &[Name, Other] : Core.Racks_)
    Core.markDirty(Name);
  return Pending;
}

/// Ends a transaction that did not take effect or whose outcome is unknown, and
/// delays the next one.
void endWithRetry(SchedulerCore &Core, RackState &Rack) {
  removePendingCommit(Core, Rack);
  const TimingSettings &Timing = Core.Settings_.Timing_;
  Rack.RetryAt_ =
      Core.Now_ + Rack.Backoff_.fail(Timing.InitialBackoff_, Timing.MaxBackoff_,
                                     Core.Random_);
}

void handleCommitted(SchedulerCore &Core, RackState &Rack, RowVersion Version) {
  // Applying the rack's row resolves the transaction and applies its other
  // rows.
  const Change &First = Rack.Pending_->Transaction_.Changes_.front();
  StoredRow Row{First.Key_, Version, Rack.Pending_->Transaction_.Id_,
                *First.Value_};
  TimePoint SentAt = Rack.Pending_->SentAt_;
  applyRow(Core, Row, SentAt);
}

void handleConflict(SchedulerCore &Core, RackState &Rack,
                    const std::vector<RowKey> &Conflicts) {
  Core.log(LogEvent::CommitConflict, {}, Rack.Name_, {},
           Conflicts.empty() ? "" : Conflicts.front().Name_);
  endWithRetry(Core, Rack);
  for (const RowKey &Key : Conflicts)
    markStale(Core, Key);
  if (Conflicts.empty())
    requestRack(Core, Rack.Name_);
}

} // namespace

void sendCommit(SchedulerCore &Core, RackState &Rack, const RackDraft &Draft,
                bool Takeover, std::map<AttemptRef, TrackedAttempt> Starts) {
  PendingCommit Pending;
  Pending.Transaction_ = Draft.build(Core.nextTransaction());
  Pending.SentAt_ = Core.Now_;
  Pending.ExpectedRackVersion_ = Rack.Version_;
  Pending.Takeover_ = Takeover;
  Pending.Starts_ = std::move(Starts);
  Core.RackOfCommit_[Pending.Transaction_.Id_] = Rack.Name_;
  for (const Change &RowChange : Pending.Transaction_.Changes_)
    setLock(Core, RowChange.Key_, true);
  Core.emit(CommitRows{Pending.Transaction_});
  Rack.Pending_ = std::move(Pending);
}

void handleCommitDone(SchedulerCore &Core, const CommitDone &Answer) {
  auto It = Core.RackOfCommit_.find(Answer.Id_);
  if (It == Core.RackOfCommit_.end()) {
    handleRejectionAnswer(Core, Answer);
    return;
  }
  RackState &Rack = *Core.findRack(It->second);
  switch (Answer.Result_.Outcome_) {
  case CommitOutcome::Committed:
    handleCommitted(Core, Rack, Answer.Result_.Version_);
    break;
  case CommitOutcome::Conflict:
    handleConflict(Core, Rack, Answer.Result_.Conflicts_);
    break;
  case CommitOutcome::NotCommitted:
    endWithRetry(Core, Rack);
    break;
  case CommitOutcome::Unknown:
    handleUnknownOutcome(Core, Rack);
    break;
  }
  Core.markDirty(Rack.Name_);
}

void handleUnknownOutcome(SchedulerCore &Core, RackState &Rack) {
  Core.log(LogEvent::CommitUnknown, {}, Rack.Name_, {});
  Rack.Pending_->OutcomeUnknown_ = true;
  for (const Change &RowChange : Rack.Pending_->Transaction_.Changes_)
    requestRow(Core, RowChange.Key_);
}

ResolvedCommit resolveByRow(SchedulerCore &Core, RackState &Rack,
                            const StoredRow &Row) {
  ResolvedCommit Resolved;
  if (!Rack.Pending_ || Row.Version_ <= Rack.Pending_->ExpectedRackVersion_)
    return Resolved;
  bool TookEffect = Row.Writer_ == Rack.Pending_->Transaction_.Id_;
  if (!TookEffect) {
    std::vector<Change> Changes = Rack.Pending_->Transaction_.Changes_;
    endWithRetry(Core, Rack);
    for (const Change &RowChange : Changes)
      if (RowChange.Key_.Kind_ != RowKind::Rack)
        markStale(Core, RowChange.Key_);
    return Resolved;
  }
  PendingCommit Pending = removePendingCommit(Core, Rack);
  Rack.Backoff_.reset();
  Rack.RetryAt_ = Core.Now_;
  // All rows of a transaction get the same version.
  for (const Change &RowChange : Pending.Transaction_.Changes_)
    if (RowChange.Key_.Kind_ != RowKind::Rack)
      applyRow(Core,
               {RowChange.Key_, Row.Version_, Pending.Transaction_.Id_,
                *RowChange.Value_},
               std::nullopt);
  Resolved.TookOver_ = Pending.Takeover_;
  Resolved.Starts_ = std::move(Pending.Starts_);
  return Resolved;
}

void abandonUnresolved(SchedulerCore &Core, RackState &Rack) {
  if (!Rack.Pending_ || !Rack.Pending_->OutcomeUnknown_)
    return;
  std::vector<Change> Changes = Rack.Pending_->Transaction_.Changes_;
  endWithRetry(Core, Rack);
  for (const Change &RowChange : Changes)
    if (RowChange.Key_.Kind_ != RowKind::Rack)
      markStale(Core, RowChange.Key_);
}

} // namespace filbertspring::placement
