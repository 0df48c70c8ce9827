#include "job_rejection.h"

#include "row_updates.h"
#include "table_reads.h"

#include <map>

namespace filbertspring::placement {
namespace {

constexpr std::size_t MaxRejectionsPerCommit = 32;

/// Returns the record of the job with its waiting tasks rejected.
Result<JobRecord> rejectedRecord(const JobEntry &Entry,
                                 const std::string &Reason) {
  Result<Job> Restored = Job::restore(Entry.Record_);
  if (!Restored)
    return fail(Restored.error());
  for (std::int32_t Index : Entry.WaitingTaskIndexes_)
    (void)Restored->reject(Index, Reason); // Cannot fail for a waiting task.
  return Restored->record();
}

/// Adds the rejection of \p Entry to \p Draft, guarded by the version of its
/// contract.
void addRejection(SchedulerCore &Core, JobEntry &Entry,
                  const std::string &Reason, Transaction &Draft,
                  std::map<RowKey, RowVersion> &Guards) {
  Result<JobRecord> Record = rejectedRecord(Entry, Reason);
  if (!Record)
    return;
  const ContractName &Contract = Entry.Record_.Contract_;
  Guards[{RowKind::Contract, Contract.str()}] =
      findRow(Core.Table_.Contracts_, Contract)->Version_;
  Draft.Changes_.push_back({{RowKind::Job, Entry.Record_.Id_.str()},
                            Entry.Version_,
                            std::move(*Record)});
  Entry.Locked_ = true;
  Core.Jobs_.updateQueue(Entry, Core.Now_);
  Core.log(LogEvent::TaskImpossible,
           {{Entry.Record_.Id_, *Entry.WaitingTaskIndexes_.begin()}, 0}, {}, {},
           Reason);
}

/// Returns the job of \p Row when it is queued in this scheduler, or null.
JobEntry *findQueued(SchedulerCore &Core, const StoredRow &Row) {
  JobEntry *Entry = Core.Jobs_.find(JobId(Row.Key_.Name_));
  return Entry != nullptr && Entry->Queued_ ? Entry : nullptr;
}

void endRejection(SchedulerCore &Core, bool Reread) {
  PendingRejection Ended = std::move(*Core.PendingRejection_);
  Core.PendingRejection_.reset();
  for (const Change &JobChange : Ended.Transaction_.Changes_) {
    JobEntry *Entry = Core.Jobs_.find(JobId(JobChange.Key_.Name_));
    if (Entry == nullptr)
      continue;
    Entry->Locked_ = false;
    Entry->Stale_ = Entry->Stale_ || Reread;
    Core.Jobs_.updateQueue(*Entry, Core.Now_);
    if (Reread)
      requestRow(Core, JobChange.Key_);
  }
}

} // namespace

void rejectImpossible(SchedulerCore &Core, const std::vector<StoredRow> &Rows) {
  expireRejection(Core);
  if (Core.PendingRejection_ || Core.Draining_ || !Core.PlatformReachable_)
    return;
  Transaction Draft;
  std::map<RowKey, RowVersion> Guards;
  for (const StoredRow &Row : Rows) {
    JobEntry *Entry = findQueued(Core, Row);
    if (Entry == nullptr || Draft.Changes_.size() >= MaxRejectionsPerCommit)
      continue;
    std::optional<std::string> Reason =
        impossibleReason(Entry->Record_, Core.Table_, Core.WorkerCapacities_,
                         Core.Now_, Core.Settings_.Rejection_);
    if (Reason)
      addRejection(Core, *Entry, *Reason, Draft, Guards);
  }
  if (Draft.Changes_.empty())
    return;
  Draft.Id_ = Core.nextTransaction();
  for (const auto &[Key, Version] : Guards)
    Draft.Guards_.push_back({Key, Version});
  Core.PendingRejection_ = PendingRejection{Draft.Id_, Core.Now_, Draft};
  Core.emit(CommitRows{std::move(Draft)});
}

void handleRejectionAnswer(SchedulerCore &Core, const CommitDone &Answer) {
  if (!Core.PendingRejection_ || Core.PendingRejection_->Id_ != Answer.Id_)
    return;
  Transaction Sent = Core.PendingRejection_->Transaction_;
  const CommitResult &Outcome = Answer.Result_;
  bool Committed = Outcome.Outcome_ == CommitOutcome::Committed;
  endRejection(Core, !Committed);
  for (const RowKey &Key : Outcome.Conflicts_)
    requestRow(Core, Key);
  if (!Committed)
    return;
  for (const Change &JobChange : Sent.Changes_)
    applyRow(Core,
             {JobChange.Key_, Outcome.Version_, Sent.Id_, *JobChange.Value_},
             std::nullopt);
}

void expireRejection(SchedulerCore &Core) {
  if (!Core.PendingRejection_)
    return;
  Duration Elapsed = Core.Now_ - Core.PendingRejection_->SentAt_;
  if (Elapsed >= Core.Settings_.Timing_.TableTimeout_)
    endRejection(Core, true);
}

} // namespace filbertspring::placement
